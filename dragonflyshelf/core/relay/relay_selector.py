"""Selection of the instance from which updates are requested.

A follower requests updates from the leader until the leader redirects
it to a relay in the follower's own data centre. The leader thus serves
one follower in each other data centre, and one in its own if there are
many instances. Neither its traffic nor that between data centres grows
with their number.
"""

from typing import Final

from dragonflyshelf.core import addresses
from dragonflyshelf.core.grantor import objects as grantor
from dragonflyshelf.core import ids

RELAY_AVOIDANCE_SECONDS: Final = 5.0
"""Seconds for which a relay is not used again after it was dropped."""

MAX_CONFIGURATION_AGE_SECONDS: Final = 6.0
"""Age of the configuration past which a relay is dropped.

It exceeds the age at which requests are refused: during a store outage
all replicas age, and switching to the leader yields no newer one.
"""

RELAY_TIMEOUT_SECONDS: Final = 0.7
"""Seconds without an update after which a relay is dropped."""

RELAY_HANDOVER_SECONDS: Final = 0.8
"""Seconds in which a relay must show that it follows a new leader."""

NEVER: Final = ids.Instant(float("inf"))


class RelaySelector:
    """Selects between the leader and the relay that it assigned."""

    def __init__(self, own_id: ids.InstanceId) -> None:
        """Create a selector without a known leader."""
        self._own_id = own_id
        self._leader_id = ids.InstanceId("")
        self._leader_address: addresses.Address | None = None
        self._relay_address: addresses.Address | None = None
        self._updated_at = ids.Instant(0.0)
        self._has_relay_update = False
        self._handover_until = NEVER
        self._lease_revision = ids.Revision(0)
        self._avoid_until_by_address: dict[addresses.Address, ids.Instant] = {}

    @property
    def address(self) -> addresses.Address | None:
        """Return the address for update requests, None if there is none."""
        return self._relay_address or self._leader_address

    @property
    def relay_address(self) -> addresses.Address:
        """Return the address of the relay, ``NO_ADDRESS`` without one."""
        return self._relay_address or addresses.NO_ADDRESS

    @property
    def uses_relay(self) -> bool:
        """Return whether updates are requested from a relay."""
        return self._relay_address is not None

    def update_lease(
        self, lease: grantor.Lease, revision: ids.Revision, now: ids.Instant
    ) -> None:
        """Apply the lease, whose object has a revision in the store.

        The relay is kept when the leader changes, unless it does not show
        soon that it follows the new one; so not all instances come to a new
        leader at once.
        """
        leader_address = None
        if lease.holder and lease.holder != self._own_id:
            leader_address = lease.address
        is_new_leader = (
            leader_address != self._leader_address
            or lease.holder != self._leader_id
        )
        self._leader_id = lease.holder
        self._leader_address = leader_address
        if is_new_leader and self._relay_address is not None:
            self._lease_revision = revision
            self._handover_until = ids.Instant(now + RELAY_HANDOVER_SECONDS)
        if lease.holder == self._own_id or (
            leader_address == self._relay_address
        ):
            self._set_relay(None)

    def _set_relay(self, relay: addresses.Address | None) -> None:
        self._relay_address = relay
        self._has_relay_update = False
        self._handover_until = NEVER

    def record_known(self, revision: ids.Revision) -> None:
        """Record the revision of the control objects in an update."""
        if revision >= self._lease_revision:
            self._handover_until = NEVER

    def record_update(
        self, relay: addresses.Address, now: ids.Instant
    ) -> None:
        """Record an update and the relay that it assigns."""
        self._updated_at = now
        if relay == addresses.NO_ADDRESS:
            self._has_relay_update = self.uses_relay
            return
        if now >= self._avoid_until_by_address.get(relay, now):
            self._set_relay(relay)

    def should_drop_relay(self, age: float, now: ids.Instant) -> bool:
        """Return whether the relay is silent or its data is outdated.

        So is that of a relay which does not follow a new leader. ``age`` is
        that of the configuration. What an instance had before the relay's
        first update is not the relay's data.
        """
        if self._relay_address is None:
            return False
        if now - self._updated_at > RELAY_TIMEOUT_SECONDS:
            return True
        if now > self._handover_until:
            return True
        return self._has_relay_update and age > MAX_CONFIGURATION_AGE_SECONDS

    def drop_relay(self, now: ids.Instant) -> None:
        """Drop the relay and revert to the leader.

        One that only did not follow a new leader is not avoided: that
        leader assigns it again once it does.
        """
        if self._relay_address is None:
            return
        if now <= self._handover_until:
            until = ids.Instant(now + RELAY_AVOIDANCE_SECONDS)
            self._avoid_until_by_address[self._relay_address] = until
        self._set_relay(None)
