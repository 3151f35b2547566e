"""Selection of the kinds that are watched in the store directly."""

from collections import abc
import dataclasses
from typing import Final

from dragonflyshelf.core import ids
from dragonflyshelf.core import settings
from dragonflyshelf.core.store import messages as store

ALL_KINDS: Final = frozenset(store.REPLICATED_KINDS)
"""Kinds watched by an instance that receives no updates."""

FRESHNESS_KINDS: Final = frozenset(
    {store.ObjectKind.CONFIGURATION, store.ObjectKind.CONTROL}
)
"""Kinds watched while the configuration received in updates is too old.

They decide whether requests are refused and which instance leads.
"""

LEASE_KINDS: Final = frozenset({store.ObjectKind.CONTROL})
"""Kind of the control objects, one of which is the lease."""

NO_KINDS: Final[frozenset[store.ObjectKind]] = frozenset()
"""Kinds watched while updates are received and recent."""

LEADER_WATCHED_KINDS: Final = ALL_KINDS - LEASE_KINDS
"""Kinds that the leader watches: all except the one that it writes."""

RELAY_DIRECT_WATCH_AGE_SECONDS: Final = 2.2
"""Age of the configuration past which a relay watches the store."""

LEADER_DISCOVERY_SECONDS: Final = 0.8
"""Seconds after the start in which a leader is expected to be found."""

MEMBER_DIRECT_WATCH_AGE_SECONDS: Final = 2.5
"""Age of the configuration past which other followers watch the store.

It is longer than that of relays, so that members first wait for theirs.
"""

MIN_DIRECT_WATCH_SECONDS: Final = 0.7
"""Minimum time for which an instance keeps watching the store."""

UPDATE_TIMEOUT_SECONDS: Final = 0.9
"""Seconds without an update after which its source counts as lost."""

RELAY_DELAY_SECONDS: Final = 0.5
"""Time by which what is known through a relay is older."""

DIRECT_READ_SECONDS: Final = 0.25
"""Time from the age at which the store is read until its state is known."""

TAKEOVER_SECONDS: Final = 0.3
"""Seconds after the end of a lease in which another instance acquires it.

After that the lease alone does not help, as it may stay without a holder.
"""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReplicaState:
    """Role of this instance, and ages in seconds of what it replicates.

    ``complete_age`` is the time since the replica was complete. It shows
    how long ago the leader renewed its lease, and how late its updates are.
    ``is_relay`` is set if others follow this instance, ``uses_relay`` if it
    follows a relay itself.
    """

    is_leading: bool = False
    is_relay: bool = False
    uses_relay: bool = False
    configuration_age: float
    complete_age: float


class WatchSelector:
    """Selects the kinds that an instance watches in the store.

    The leader watches all kinds except the one that it writes; a follower
    that receives no updates watches all. Other followers watch none, as
    that would repeat calls that the leader makes already. A follower whose
    replica has not been complete for the length of a lease watches the
    lease, and then all kinds, early enough for the promised times: its
    leader does not reach the store, or its updates are late. One whose
    configuration is too old watches the configuration and the lease. An
    instance that has just started watches the lease to find a leader.
    """

    def __init__(
        self,
        leadership: settings.LeadershipSettings,
        promises: settings.PromiseSettings,
        stagger_ratio: float = 0.0,
    ) -> None:
        """Create a selector that has received no update.

        ``stagger_ratio``, from 0 to 1, is this instance's place among the
        members of a relay, of which a few are to read the store first.
        """
        self._stagger_ratio = stagger_ratio
        self._lease_seconds = leadership.lease
        self._max_unwatched_age = promises.change - DIRECT_READ_SECONDS
        self._updated_at = ids.Instant(0.0)
        self._watch_all_until = ids.Instant(0.0)
        self._freshness_watch_until = ids.Instant(0.0)
        self._lease_watch_until = ids.Instant(0.0)
        self._has_update = False

    def start(self, now: ids.Instant) -> None:
        """Start the time in which a leader is expected to be found."""
        self._updated_at = ids.Instant(
            now - UPDATE_TIMEOUT_SECONDS + LEADER_DISCOVERY_SECONDS
        )

    def record_update(self, now: ids.Instant) -> None:
        """Record an update from the leader or a relay."""
        self._updated_at = now
        self._has_update = True

    def select_kinds(
        self, state: ReplicaState, now: ids.Instant
    ) -> abc.Set[store.ObjectKind]:
        """Return the kinds to watch."""
        if state.is_leading or self._is_source_lost(state, now):
            self._watch_all_until = ids.Instant(now + MIN_DIRECT_WATCH_SECONDS)
        if state.is_leading:
            return LEADER_WATCHED_KINDS
        if now < self._watch_all_until:
            return ALL_KINDS
        if not self._has_update:
            return LEASE_KINDS
        return self._kinds_with_updates(state, now)

    def _is_source_lost(self, state: ReplicaState, now: ids.Instant) -> bool:
        """Return whether updates are missing, late or of a former leader."""
        if now - self._updated_at > UPDATE_TIMEOUT_SECONDS:
            return True
        max_age = min(
            self._max_complete_age(state) + TAKEOVER_SECONDS,
            self._max_unwatched_age,
        )
        return self._has_update and state.complete_age > max_age

    def _max_complete_age(self, state: ReplicaState) -> float:
        """Return the age in seconds past which the lease is read.

        A complete replica has it at most while the lease is valid. Members
        of a relay begin one after the other, as far as the promises allow:
        the first of them tells the relay, which tells the others.
        """
        if not state.uses_relay:
            return self._lease_seconds
        age = self._lease_seconds + RELAY_DELAY_SECONDS
        room = max(self._max_unwatched_age - TAKEOVER_SECONDS - age, 0.0)
        return age + room * self._stagger_ratio

    def _kinds_with_updates(
        self, state: ReplicaState, now: ids.Instant
    ) -> abc.Set[store.ObjectKind]:
        """Return the kinds to watch while updates are received.

        The replica ages if the leader cannot reach the store. A relay
        then tries the store for its members, which try later if that
        has not helped. The lease shows whether another instance, which
        can reach the store, has become leader.
        """
        watch_until = ids.Instant(now + MIN_DIRECT_WATCH_SECONDS)
        if state.complete_age > self._max_complete_age(state):
            self._lease_watch_until = watch_until
        max_age = MEMBER_DIRECT_WATCH_AGE_SECONDS
        if state.is_relay:
            max_age = RELAY_DIRECT_WATCH_AGE_SECONDS
        if state.configuration_age > max_age:
            self._freshness_watch_until = watch_until
        if now < self._freshness_watch_until:
            return FRESHNESS_KINDS
        if now < self._lease_watch_until:
            return LEASE_KINDS
        return NO_KINDS
