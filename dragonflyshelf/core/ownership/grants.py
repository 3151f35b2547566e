"""Which grants this instance gives to the upstreams that it leads."""

from dragonflyshelf.core.configuration import view
from dragonflyshelf.core.dispatch import fences
from dragonflyshelf.core import ids
from dragonflyshelf.core.ownership import leading
from dragonflyshelf.core.ownership import messages
from dragonflyshelf.core.ownership import objects
from dragonflyshelf.core.ownership import releases
from dragonflyshelf.core import settings
from dragonflyshelf.core import states


class GrantCoordinator:
    """Renews grants while the own lease runs.

    A grant never outlives the lease of its giver, and leaves out the
    shards that are sealed. The first one has no shards: it claims the
    term and learns the start id and the clock of the upstream.
    """

    def __init__(
        self,
        config: settings.Settings,
        led: leading.LedUpstreams,
        released: releases.ShardReleases,
        shared_view: view.ObjectView,
    ) -> None:
        """Create the coordinator; it has given nothing yet."""
        self._config = config.ownership
        self._led = led
        self._releases = released
        self._view = shared_view

    def handle_tick(
        self, lease_until: ids.Instant, now: ids.Instant
    ) -> list[messages.SendGrant]:
        """Return the grants that are due."""
        ttl = min(self._config.grant_ttl, lease_until - now)
        if ttl <= 0:
            return []
        return [
            grant
            for segment in self._view.values(states.ObjectKind.SEGMENT)
            for leader in segment.leaders
            if self._is_due(leader, now)
            for grant in self._grant(segment, leader, ttl, now)
        ]

    def _is_due(self, leader: objects.Leadership, now: ids.Instant) -> bool:
        led = self._led.led_by_upstream.get(leader.upstream)
        if led is None or led.term != leader.term:
            return False
        if self._view.get(states.ObjectKind.UPSTREAM, leader.upstream) is None:
            return False
        return self._led.due(leader.upstream, now)

    def _grant(
        self,
        segment: objects.Segment,
        leader: objects.Leadership,
        ttl: float,
        now: ids.Instant,
    ) -> list[messages.SendGrant]:
        known = self._view.get(states.ObjectKind.UPSTREAM, leader.upstream)
        if known is None:
            return []
        led = self._led.led_by_upstream[leader.upstream]
        shards = tuple(
            messages.ShardEpoch(shard=one.shard, epoch=one.epoch)
            for one in segment.assignments
            if one.upstream == leader.upstream
            and led.start_id
            and fences.ShardKey(
                service=segment.service, shard=one.shard, epoch=one.epoch
            )
            not in self._releases
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
                start_id=led.start_id,
                until_ms=self._led.grant_end(leader.upstream, ttl, now),
            )
        ]
