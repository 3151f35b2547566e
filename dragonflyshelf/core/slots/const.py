"""Constants of the assignment of slots."""

from typing import Final

REQUEST_TIMEOUT_SECONDS: Final = 0.06
"""Seconds after which an instance places a request itself."""

EXPIRY_MARGIN_SECONDS: Final = 0.25
"""Seconds after its latest start for which a queued request still waits.

By then its broker would have refused it.
"""

SUCCESSOR_WAIT_SECONDS: Final = 0.5
"""Seconds for which queued requests wait for the successor of a broker.

They were queued because their holder had no room.
"""

AVOIDANCE_SECONDS: Final = 1.0
"""Seconds for which a broker that has not responded is not asked."""

MAX_TERM_SECONDS: Final = 120.0
"""Longest time to a deadline that a broker believes."""

TERM_MARGIN_SECONDS: Final = 1.0
"""Time after a request's deadline at which its slot is free again.

By then its instance would have reported the end.
"""
