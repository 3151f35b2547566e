"""Which grants this instance gives to the upstreams that it leads."""

from dragonflyshelf.core.configuration import view
from dragonflyshelf.core import ids
from dragonflyshelf.core.membership import objects as membership
from dragonflyshelf.core.ownership import messages
from dragonflyshelf.core.ownership import objects
from dragonflyshelf.core import settings
from dragonflyshelf.core import states


class GrantCoordinator:
    """Renews grants while the own lease runs.

    A grant never outlives the lease of its giver.
    """

    def __init__(
        self,
        config: settings.Settings,
        own: membership.Member,
        shared_view: view.ObjectView,
    ) -> None:
        """Create the coordinator; it has given nothing yet."""
        self._config = config.ownership
        self._own = own
        self._view = shared_view
        self._next_round = ids.Instant(0.0)

    def handle_tick(
        self, lease_until: ids.Instant, now: ids.Instant
    ) -> list[messages.SendGrant]:
        """Return the grants that are due."""
        ttl = min(self._config.grant_ttl, lease_until - now)
        if ttl <= 0 or now < self._next_round:
            return []
        self._next_round = ids.Instant(now + self._config.grant_interval)
        return [
            grant
            for segment in self._view.values(states.ObjectKind.SEGMENT)
            for leader in segment.leaders
            if leader.instance == self._own.instance
            and leader.incarnation == self._own.incarnation
            for grant in self._grant(segment, leader, ttl)
        ]

    def on_view(self) -> None:
        """Give grants at once after a change."""
        self._next_round = ids.Instant(0.0)

    def _grant(
        self,
        segment: objects.Segment,
        leader: objects.Leadership,
        ttl: float,
    ) -> list[messages.SendGrant]:
        known = self._view.get(states.ObjectKind.UPSTREAM, leader.upstream)
        if known is None or not known.value.fenced:
            return []
        shards = tuple(
            messages.ShardEpoch(shard=one.shard, epoch=one.epoch)
            for one in segment.assignments
            if one.upstream == leader.upstream
        )
        return [
            messages.SendGrant(
                upstream=leader.upstream,
                service=segment.service,
                host=known.value.host,
                port=known.value.port,
                term=leader.term,
                ttl=ttl,
                shards=shards,
            )
        ]
