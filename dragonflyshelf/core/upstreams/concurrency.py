"""Limit on the requests under way at an upstream that may be full.

Load pattern: a key takes much of the traffic, its holder is full and resets
what comes on top, and each of many instances sees but a few of its
requests. What an instance has sent itself says little about the room there;
a request that is turned away says that there is none.

The limit is halved when that happens and nothing is sent for a pause, which
doubles while the upstream stays full. Responses raise it again.
"""

from typing import Final

from dragonflyshelf.core import ids

MIN_COUNT: Final = 1.0
"""Requests that may always be under way, but for a pause."""

DECREASE_RATIO: Final = 0.5
"""Factor by which a request that is turned away lowers the limit."""

MAX_PAUSE_SECONDS: Final = 1.0
"""Longest time without a request to an upstream that stays full."""


class ConcurrencyLimit:
    """Adaptive limit on the requests of this instance at one upstream."""

    def __init__(self, max_count: float) -> None:
        """Create a limit at its maximum."""
        self.max_count = max_count
        self._count = max_count
        self._pause_seconds = 0.0
        self._paused_until = ids.Instant(0.0)

    def has_room(self, in_flight: int, now: ids.Instant) -> bool:
        """Return whether another request may be sent."""
        return now >= self._paused_until and in_flight < self._count

    def record_full(
        self, in_flight: int, service_time: float, now: ids.Instant
    ) -> None:
        """Lower the limit, as the upstream has turned a request away.

        ``in_flight`` requests are still under way there. What was sent
        before a pause and is turned away in it says nothing new.
        """
        if now < self._paused_until:
            return
        self._count = max(
            min(self._count, in_flight) * DECREASE_RATIO, MIN_COUNT
        )
        self._pause_seconds = min(
            max(self._pause_seconds * 2, service_time), MAX_PAUSE_SECONDS
        )
        self._paused_until = ids.Instant(now + self._pause_seconds)

    def record_response(self) -> None:
        """Raise the limit, as the upstream has served a request."""
        self._count = min(self._count + 1.0, self.max_count)
        self._pause_seconds = 0.0
