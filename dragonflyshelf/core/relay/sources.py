"""Choice between the store and the leading instance as the source."""

from collections import abc

from typing import Final

from dragonflyshelf.core import ids
from dragonflyshelf.core.store import messages as store

EVERY_KIND: Final = frozenset(store.ObjectKind)
FRESHNESS_KINDS: Final = frozenset(
    {store.ObjectKind.CONFIGURATION, store.ObjectKind.CONTROL}
)
LEASE_KIND: Final = frozenset({store.ObjectKind.CONTROL})
NO_KIND: Final[frozenset[store.ObjectKind]] = frozenset()
WRITTEN_BY_OTHERS: Final = EVERY_KIND - LEASE_KIND

DIRECT_AFTER: Final = 2.2
"""Age of the configuration past which an instance watches for itself."""

FIRST_SILENCE: Final = 0.8
"""Seconds after the start for which a leading instance is looked for."""

MEMBER_DIRECT_AFTER: Final = 2.5
"""The same age for an instance that nobody asks."""

DIRECT_FOR: Final = 0.7
"""Seconds for which an instance goes on watching for itself."""

RELAY_SILENCE: Final = 0.9
"""Seconds without an update after which the relay counts as lost."""


class SourceChooser:
    """Tells which kinds an instance has to watch in the store itself.

    A leader watches all but the kind that it writes, and a follower that
    hears nothing watches all; the others would only pay for calls that
    the leader makes already. A follower whose copy grows old watches the
    configuration and the lease. An instance that has just started looks
    for a leader first.
    """

    def __init__(self) -> None:
        """Create a chooser that has heard nothing."""
        self._updated_at = ids.Instant(0.0)
        self._direct_until = ids.Instant(0.0)
        self._beside_until = ids.Instant(0.0)
        self._has_heard = False

    def start(self, now: ids.Instant) -> None:
        """Begin with a moment to hear of a leader."""
        self._updated_at = ids.Instant(now - RELAY_SILENCE + FIRST_SILENCE)

    def updated(self, now: ids.Instant) -> None:
        """Note an update of the leading instance."""
        self._updated_at = now
        self._has_heard = True

    def wanted(
        self, is_leading: bool, is_relay: bool, age: float, now: ids.Instant
    ) -> abc.Set[store.ObjectKind]:
        """Return the kinds to watch; ``age`` is of the configuration."""
        if is_leading or now - self._updated_at > RELAY_SILENCE:
            self._direct_until = ids.Instant(now + DIRECT_FOR)
        if is_leading:
            return WRITTEN_BY_OTHERS
        if now < self._direct_until:
            return EVERY_KIND
        if not self._has_heard:
            return LEASE_KIND
        return self._wanted_beside(is_relay, age, now)

    def _wanted_beside(
        self, is_relay: bool, age: float, now: ids.Instant
    ) -> abc.Set[store.ObjectKind]:
        """Return what is watched while another instance tells the rest.

        Its copies grow old when it does not reach the store. A relay
        then tries for its members; they try later, if it has not helped.
        The lease shows whether another leads that reaches the store.
        """
        if age > (DIRECT_AFTER if is_relay else MEMBER_DIRECT_AFTER):
            self._beside_until = ids.Instant(now + DIRECT_FOR)
        if now < self._beside_until:
            return FRESHNESS_KINDS
        return NO_KIND
