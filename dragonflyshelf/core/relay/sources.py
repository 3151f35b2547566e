"""Selection of the kinds that are watched in the store directly."""

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
"""Age of the configuration past which a relay watches the store."""

FIRST_SILENCE: Final = 0.8
"""Seconds after the start in which a leader is expected to be found."""

MEMBER_DIRECT_AFTER: Final = 2.5
"""Age of the configuration past which other followers watch the store.

It is longer than that of relays, so that members first wait for theirs.
"""

DIRECT_FOR: Final = 0.7
"""Minimum time for which an instance keeps watching the store."""

RELAY_SILENCE: Final = 0.9
"""Seconds without an update after which its source counts as lost."""


class SourceChooser:
    """Selects the kinds that an instance watches in the store.

    The leader watches all kinds except the one that it writes; a follower
    that receives no updates watches all. Other followers watch none, as
    that would repeat calls that the leader makes already. A follower
    whose replica is too old watches the configuration and the lease. An
    instance that has just started watches the lease to find a leader.
    """

    def __init__(self) -> None:
        """Create a selector that has received no update."""
        self._updated_at = ids.Instant(0.0)
        self._direct_until = ids.Instant(0.0)
        self._beside_until = ids.Instant(0.0)
        self._has_heard = False

    def start(self, now: ids.Instant) -> None:
        """Start the time in which a leader is expected to be found."""
        self._updated_at = ids.Instant(now - RELAY_SILENCE + FIRST_SILENCE)

    def updated(self, now: ids.Instant) -> None:
        """Record an update from the leader or a relay."""
        self._updated_at = now
        self._has_heard = True

    def wanted(
        self, is_leading: bool, is_relay: bool, age: float, now: ids.Instant
    ) -> abc.Set[store.ObjectKind]:
        """Return the kinds to watch; ``age`` is that of the configuration."""
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
        """Return the kinds to watch while updates are received.

        The replica ages if the leader cannot reach the store. A relay
        then tries the store for its members, which try later if that
        has not helped. The lease shows whether another instance, which
        can reach the store, has become leader.
        """
        if age > (DIRECT_AFTER if is_relay else MEMBER_DIRECT_AFTER):
            self._beside_until = ids.Instant(now + DIRECT_FOR)
        if now < self._beside_until:
            return FRESHNESS_KINDS
        return NO_KIND
