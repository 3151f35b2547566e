"""Constants of the tokens that instances borrow from one another."""

from typing import Final

BATCH: Final = 0.25
"""Seconds of demand for which tokens are borrowed at once."""

DEMAND_MEMORY: Final = 1.0
"""Seconds over which the demand of a workspace is averaged."""

FALLBACK_PART: Final = 0.5
"""Part of a rate that all instances together use without a leader."""

FALLBACK_LIFE: Final = 5.0
"""Seconds without use after which the fixed part begins anew.

A part below one token would otherwise fill up to one at every instance.
"""

FIRST_LEVEL: Final = 0.3
"""Part of a burst that a new home of tokens starts with."""

INSTANCES_UNKNOWN: Final = 64
"""Instances among which a rate is divided before they are known."""

LEADER_SILENCE: Final = 0.18
"""Seconds without an answer after which a borrowing has failed."""

LONGEST_WAIT: Final = 5.0
"""Seconds that a borrower is told to wait at most."""

MOST_BORROWED: Final = 32
"""Tokens that are borrowed at once at most."""

PROBE_INTERVAL: Final = 0.2
"""Seconds between borrowings from a leader that does not answer."""

PROBE_TOKENS: Final = 1
"""Tokens for which a leader that was silent is asked, whatever the demand."""

RELAY_STOCK_LIFE: Final = 0.3
"""Seconds after which tokens that no member has taken are lost."""

RELAY_WAIT_LIFE: Final = 0.5
"""Seconds after which a member has long gone on without an answer."""

SHORTEST_WAIT: Final = 0.05
"""Seconds after which a borrower that got nothing may ask again.

A workspace over its rate would else ask with each of its requests.
"""

STOCK_LIFE: Final = 1.0
"""Seconds after which tokens that were not used are lost."""
