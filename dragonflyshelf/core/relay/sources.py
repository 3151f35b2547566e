"""Choice between the store and the leading instance as the source."""

from collections import abc

from typing import Final

from dragonflyshelf.core import ids
from dragonflyshelf.core.store import messages as store

EVERY_KIND: Final = frozenset(store.ObjectKind)
LEASE_KIND: Final = frozenset({store.ObjectKind.CONTROL})
NO_KIND: Final[frozenset[store.ObjectKind]] = frozenset()
WRITTEN_BY_OTHERS: Final = EVERY_KIND - LEASE_KIND

DIRECT_AFTER: Final = 2.7
"""Age of the configuration past which an instance watches for itself."""

FIRST_SILENCE: Final = 0.8
"""Seconds after the start for which a leading instance is looked for."""

DIRECT_FOR: Final = 0.7
"""Seconds for which an instance goes on watching for itself."""

RELAY_SILENCE: Final = 0.9
"""Seconds without an update after which the relay counts as lost."""


class SourceChooser:
    """Tells which kinds an instance has to watch in the store itself.

    A leader watches all but the kind that it writes, and a follower that
    hears nothing fresh watches all; the others would only pay for calls
    that the leader makes already. An instance that has just started
    looks for a leader first.
    """

    def __init__(self) -> None:
        """Create a chooser that has heard nothing."""
        self._updated_at = ids.Instant(0.0)
        self._direct_until = ids.Instant(0.0)
        self._has_heard = False

    def start(self, now: ids.Instant) -> None:
        """Begin with a moment to hear of a leader."""
        self._updated_at = ids.Instant(now - RELAY_SILENCE + FIRST_SILENCE)

    def updated(self, now: ids.Instant) -> None:
        """Note an update of the leading instance."""
        self._updated_at = now
        self._has_heard = True

    def wanted(
        self, is_leading: bool, age: float, now: ids.Instant
    ) -> abc.Set[store.ObjectKind]:
        """Return the kinds to watch; ``age`` is of the configuration."""
        wants_store = self.wants_store(is_leading, age, now)
        if is_leading:
            return WRITTEN_BY_OTHERS
        if wants_store:
            return EVERY_KIND
        return NO_KIND if self._has_heard else LEASE_KIND

    def wants_store(
        self, is_leading: bool, age: float, now: ids.Instant
    ) -> bool:
        """Decide for now; ``age`` is that of the configuration."""
        is_silent = now - self._updated_at > RELAY_SILENCE
        is_old = self._has_heard and age > DIRECT_AFTER
        if is_leading or is_silent or is_old:
            self._direct_until = ids.Instant(now + DIRECT_FOR)
        return now < self._direct_until
