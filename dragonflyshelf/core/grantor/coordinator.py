"""Decides who leads and, as the leader, who holds which shard range."""

from collections import abc
from typing import Final

from dragonflyshelf.core.grantor import const
from dragonflyshelf.core.grantor import lease
from dragonflyshelf.core.grantor import messages
from dragonflyshelf.core.grantor import objects
from dragonflyshelf.core.grantor import shards
from dragonflyshelf.core import ids
from dragonflyshelf.core import registry
from dragonflyshelf.core import settings
from dragonflyshelf.core.upstreams import messages as upstream_events
from dragonflyshelf.core.upstreams import objects as upstreams

Effects = list[messages.Effect]
Handler = abc.Callable[
    ["GrantorCoordinator", messages.Event, ids.Instant], None
]

HANDLERS: Final[registry.Registry[type, Handler]] = registry.Registry(
    "grantor handlers"
)


class GrantorCoordinator:
    """Lease and shard ranges, as far as this instance is concerned."""

    def __init__(self, config: settings.Settings, own: objects.Lease) -> None:
        """Create a coordinator that follows."""
        self._config = config
        self.lease = lease.LeaseKeeper(config, own)
        self._registrations: tuple[upstreams.Registration, ...] = ()
        self._evacuated: frozenset[ids.DataCentreId] = frozenset()
        self._keepers_by_service: dict[ids.ServiceName, shards.ShardKeeper] = (
            {}
        )
        self._sharded: frozenset[ids.ServiceName] = frozenset()
        self._role = lease.Role.FOLLOWING
        self._effects: Effects = []

    @property
    def is_leading(self) -> bool:
        """Tell whether this instance holds the lease."""
        return self._role is lease.Role.LEADING

    def handle(self, event: messages.Event, now: ids.Instant) -> Effects:
        """Take in one event and return what is to be done."""
        HANDLERS.get(type(event))(self, event, now)
        self._follow_role(now)
        self._work(now)
        effects = self._effects
        self._effects = []
        return effects

    def wake_at(self, now: ids.Instant) -> ids.Instant:
        """Return when ``TimePassed`` is wanted next."""
        return ids.Instant(now + const.TICK)

    def _keeper(
        self, service: ids.ServiceName, now: ids.Instant
    ) -> shards.ShardKeeper:
        found = self._keepers_by_service.get(service)
        if found is None:
            found = shards.ShardKeeper(service, self._config.grants)
            self._keepers_by_service[service] = found
            self._update(service, found, now)
        return found

    def _update(
        self,
        service: ids.ServiceName,
        keeper: shards.ShardKeeper,
        now: ids.Instant,
    ) -> None:
        of_service = tuple(
            one for one in self._registrations if one.service == service
        )
        keeper.set_upstreams(of_service, self._evacuated, now)

    def _follow_role(self, now: ids.Instant) -> None:
        """Tell the keepers and the others when this instance's part changes.

        A leader that is detached and leads again was never replaced.
        """
        role = self.lease.role
        if role is self._role:
            return
        before = self._role
        self._role = role
        if role is lease.Role.FOLLOWING:
            for one in self._keepers_by_service.values():
                one.follow()
        elif before is lease.Role.FOLLOWING:
            self._lead(now)
        leads = role is lease.Role.LEADING
        self._effects.append(messages.LeadershipChanged(leads=leads))

    def _lead(self, now: ids.Instant) -> None:
        for service in self._sharded:
            self._keeper(service, now)
        for one in self._keepers_by_service.values():
            one.lead(self.lease.predecessor_until, now)

    def _work(self, now: ids.Instant) -> None:
        """Renew the lease and the grants that are due."""
        write = self.lease.tick(now)
        if write is not None:
            self._effects.append(write)
        self._follow_role(now)
        if self._role is lease.Role.FOLLOWING:
            return
        leads = self._role is lease.Role.LEADING
        for service, keeper in self._keepers_by_service.items():
            if service in self._sharded:
                self._effects.extend(keeper.tick(leads, now))

    @HANDLERS.register(messages.ControlListed)
    def _on_listed(
        self, event: messages.ControlListed, now: ids.Instant
    ) -> None:
        self.lease.listed(now)

    @HANDLERS.register(messages.ControlSeen)
    def _on_seen(self, event: messages.ControlSeen, now: ids.Instant) -> None:
        if isinstance(event.value, objects.Lease):
            self.lease.see(event, now)
            return
        self._keeper(event.value.service, now).see(event)

    @HANDLERS.register(messages.ControlWritten)
    def _on_written(
        self, event: messages.ControlWritten, now: ids.Instant
    ) -> None:
        value = event.write.value
        if isinstance(value, objects.Lease):
            self.lease.written(event, now)
            return
        self._keeper(value.service, now).written(event, now)

    @HANDLERS.register(messages.ServicesChanged)
    def _on_services(
        self, event: messages.ServicesChanged, now: ids.Instant
    ) -> None:
        self._sharded = frozenset(
            one.name for one in event.services if one.sharded
        )
        if self._role is lease.Role.FOLLOWING:
            return
        for service in self._sharded:
            keeper = self._keeper(service, now)
            if not keeper.is_leading:
                keeper.lead(self.lease.predecessor_until, now)

    @HANDLERS.register(upstream_events.RegistrationsChanged)
    def _on_registrations(
        self, event: upstream_events.RegistrationsChanged, now: ids.Instant
    ) -> None:
        self._registrations = event.registrations
        for service, keeper in self._keepers_by_service.items():
            self._update(service, keeper, now)

    @HANDLERS.register(upstream_events.EvacuationsChanged)
    def _on_evacuations(
        self, event: upstream_events.EvacuationsChanged, now: ids.Instant
    ) -> None:
        self._evacuated = event.data_centres
        for service, keeper in self._keepers_by_service.items():
            self._update(service, keeper, now)

    @HANDLERS.register(messages.LoadReported)
    def _on_load(self, event: messages.LoadReported, now: ids.Instant) -> None:
        for service, keeper in self._keepers_by_service.items():
            loads = tuple(one for one in event.loads if one.service == service)
            keeper.loads.report(event.instance, loads, now)

    @HANDLERS.register(upstream_events.ServiceTimesChanged)
    def _on_paces(
        self, event: upstream_events.ServiceTimesChanged, now: ids.Instant
    ) -> None:
        for keeper in self._keepers_by_service.values():
            keeper.set_paces(event.sums)

    @HANDLERS.register(messages.RangeAnswered)
    def _on_answered(
        self, event: messages.RangeAnswered, now: ids.Instant
    ) -> None:
        keeper = self._keeper(event.call.service, now)
        if keeper.is_leading:
            keeper.answered(event, now)

    @HANDLERS.register(messages.InstancesCounted)
    def _on_instances(
        self, event: messages.InstancesCounted, now: ids.Instant
    ) -> None:
        self.lease.set_instances(event.count)

    @HANDLERS.register(messages.TimePassed)
    def _on_time(self, event: messages.TimePassed, now: ids.Instant) -> None:
        """Leave it to ``handle`` to look at what is due."""

    @HANDLERS.register(messages.Resign)
    def _on_resign(self, event: messages.Resign, now: ids.Instant) -> None:
        write = self.lease.resign()
        if write is not None:
            self._effects.append(write)
