"""Instants at which refused callers are asked to return.

Load pattern: lasting overload, in which all who are refused would return at
the same instant, and be refused again. Each is given a place of its own in
the time that the queue is expected to need for them.
"""

from dragonflyshelf.core import ids
from dragonflyshelf.core.scheduling import const


class ReturnPlaces:
    """Places of one queue that were given to callers."""

    def __init__(self) -> None:
        """Create an empty list of places."""
        self._last_at = ids.Instant(0.0)

    def next_delay(
        self, wait_seconds: float, throughput: float, now: ids.Instant
    ) -> float:
        """Return after how many seconds the next place is free.

        ``wait_seconds`` is the expected wait in the queue, and
        ``throughput`` the requests per second that leave it.
        """
        latest = ids.Instant(now + const.MAX_RETRY_AFTER_SECONDS)
        place_at = max(self._last_at + 1.0 / throughput, now + wait_seconds)
        self._last_at = ids.Instant(min(place_at, latest))
        return self._last_at - now
