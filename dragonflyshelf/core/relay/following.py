"""Choice of the instance that this one asks.

A follower asks the leading instance until that one names another in
the follower's own data centre. So the leading instance answers one
follower in each other data centre, and the bytes between data centres
do not grow with the instances.
"""

from typing import Final

from dragonflyshelf.core import addresses
from dragonflyshelf.core.grantor import objects as grantor
from dragonflyshelf.core import ids

AVOIDANCE: Final = 5.0
"""Seconds for which a relay that was silent is not asked again."""

OLDEST: Final = 6.0
"""Age of the configuration, in seconds, past which a relay is left.

While the store is down all copies grow old, and the leader has none
that is newer; so it is above the age at which requests are refused.
"""

SILENCE: Final = 0.7
"""Seconds without an update after which a relay is left."""


class Following:
    """The leading instance, and the relay that it has named."""

    def __init__(self, own: ids.InstanceId) -> None:
        """Create the choice of an instance that knows no leader."""
        self._own = own
        self._holder = ids.InstanceId("")
        self._leader: addresses.Address | None = None
        self._relay: addresses.Address | None = None
        self._updated_at = ids.Instant(0.0)
        self._avoided_until: dict[addresses.Address, ids.Instant] = {}

    @property
    def address(self) -> addresses.Address | None:
        """Return whom to ask, None for nobody."""
        return self._relay or self._leader

    @property
    def uses_relay(self) -> bool:
        """Tell whether another than the leading instance is asked."""
        return self._relay is not None

    def see_lease(self, lease: grantor.Lease) -> None:
        """Take in the lease; a relay counts for one leader only."""
        leader = None
        if lease.holder and lease.holder != self._own:
            leader = lease.address
        if leader != self._leader or lease.holder != self._holder:
            self._relay = None
        self._holder = lease.holder
        self._leader = leader

    def updated(self, relay: addresses.Address, now: ids.Instant) -> None:
        """Note an update, and whom it names to be asked instead."""
        self._updated_at = now
        if relay == addresses.NOWHERE:
            return
        if now >= self._avoided_until.get(relay, now):
            self._relay = relay

    def is_useless(self, age: float, now: ids.Instant) -> bool:
        """Tell whether the relay is silent or tells nothing fresh.

        ``age`` is that of the configuration.
        """
        if self._relay is None:
            return False
        return now - self._updated_at > SILENCE or age > OLDEST

    def lose(self, now: ids.Instant) -> None:
        """Go back to the leading instance, as the relay is of no use."""
        if self._relay is None:
            return
        until = ids.Instant(now + AVOIDANCE)
        self._avoided_until[self._relay] = until
        self._relay = None
