"""Delays between calls to the store that fail."""

from typing import Final

from dragonflyshelf.core.store import messages as store

INITIAL_SECONDS: Final = 0.15
"""Delay before the first retry."""

MAX_SECONDS: Final = 0.8
"""Longest delay for what other instances or the choice of a leader need."""

MAX_UNSHARED_SECONDS: Final = 5.0
"""Longest delay for objects that only this instance waits for.

They come from the leader too, which the lease reveals sooner.
"""


class Backoff:
    """Delay of one watch, doubled with each failure."""

    def __init__(self, kind: store.ObjectKind) -> None:
        """Create a backoff without failures."""
        self._kind = kind
        self._seconds = INITIAL_SECONDS

    def reset(self) -> None:
        """Record a call that succeeded."""
        self._seconds = INITIAL_SECONDS

    def next_delay(self, has_followers: bool) -> float:
        """Return the seconds to wait after a failure."""
        is_shared = has_followers or self._kind is store.ObjectKind.CONTROL
        max_seconds = MAX_SECONDS if is_shared else MAX_UNSHARED_SECONDS
        delay = min(self._seconds, max_seconds)
        self._seconds = delay * 2
        return delay
