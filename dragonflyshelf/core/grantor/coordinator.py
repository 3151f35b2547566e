"""Leader election and, on the leader, assignment of shard ranges."""

from collections import abc
import dataclasses
from typing import Final

from dragonflyshelf.core.grantor import const
from dragonflyshelf.core.grantor import lease
from dragonflyshelf.core.grantor import messages
from dragonflyshelf.core.grantor import objects
from dragonflyshelf.core.grantor import shards
from dragonflyshelf.core import ids
from dragonflyshelf.core import registry
from dragonflyshelf.core.rollouts import objects as rollouts
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
    """This instance's leadership state and the shard ranges it manages."""

    def __init__(
        self, config: settings.Settings, own_lease: objects.Lease
    ) -> None:
        """Create a coordinator in the follower role."""
        self._config = config
        self.lease_manager = lease.LeaseManager(config, own_lease)
        self._registrations: tuple[upstreams.Registration, ...] = ()
        self._evacuated_data_centres: frozenset[ids.DataCentreId] = frozenset()
        self._managers_by_service: dict[
            ids.ServiceName, shards.ShardManager
        ] = {}
        self._sharded_services: frozenset[ids.ServiceName] = frozenset()
        self._rollout_plans_by_service: dict[
            ids.ServiceName, rollouts.RolloutPlan
        ] = {}
        self._role = lease.Role.FOLLOWER
        self._effects: Effects = []

    @property
    def is_leading(self) -> bool:
        """Return whether this instance is the leader."""
        return self._role is lease.Role.LEADER

    def handle(self, event: messages.Event, now: ids.Instant) -> Effects:
        """Process an event and return the resulting effects."""
        HANDLERS.get(type(event))(self, event, now)
        self._apply_role(now)
        self._run_due_work(now)
        effects = self._effects
        self._effects = []
        return effects

    def wake_at(self, now: ids.Instant) -> ids.Instant:
        """Return the instant at which ``TimePassed`` is due next."""
        return ids.Instant(now + const.TICK_INTERVAL_SECONDS)

    def _manager(
        self, service: ids.ServiceName, now: ids.Instant
    ) -> shards.ShardManager:
        manager = self._managers_by_service.get(service)
        if manager is None:
            manager = shards.ShardManager(service, self._config.grants)
            self._managers_by_service[service] = manager
            self._update_upstreams(service, manager, now)
        return manager

    def _update_upstreams(
        self,
        service: ids.ServiceName,
        manager: shards.ShardManager,
        now: ids.Instant,
    ) -> None:
        rollout_plan = self._rollout_plans_by_service.get(service)
        service_registrations = tuple(
            _apply_rollout(registration, rollout_plan)
            for registration in self._registrations
            if registration.service == service
        )
        manager.set_upstreams(
            service_registrations, self._evacuated_data_centres, now
        )

    def _apply_role(self, now: ids.Instant) -> None:
        """Propagate a change of this instance's role.

        A detached leader that becomes the leader again was not replaced
        in between, so the shard managers keep their state.
        """
        role = self.lease_manager.role
        if role is self._role:
            return
        previous_role = self._role
        self._role = role
        if role is lease.Role.FOLLOWER:
            for manager in self._managers_by_service.values():
                manager.stop_leading()
        elif previous_role is lease.Role.FOLLOWER:
            self._start_leading(now)
        is_leading = role is lease.Role.LEADER
        self._effects.append(messages.LeadershipChanged(is_leading=is_leading))

    def _start_leading(self, now: ids.Instant) -> None:
        for service in self._sharded_services:
            self._manager(service, now)
        for manager in self._managers_by_service.values():
            manager.start_leading(self.lease_manager.predecessor_until, now)

    def _run_due_work(self, now: ids.Instant) -> None:
        """Renew the lease and the grants that are due for renewal."""
        write = self.lease_manager.tick(now)
        if write is not None:
            self._effects.append(write)
        self._apply_role(now)
        if self._role is lease.Role.FOLLOWER:
            return
        is_leading = self._role is lease.Role.LEADER
        for service, manager in self._managers_by_service.items():
            if service in self._sharded_services:
                self._effects.extend(manager.tick(is_leading, now))

    @HANDLERS.register(messages.ControlListed)
    def _on_control_listed(
        self, event: messages.ControlListed, now: ids.Instant
    ) -> None:
        self.lease_manager.record_listed(now)

    @HANDLERS.register(messages.ControlObserved)
    def _on_control_observed(
        self, event: messages.ControlObserved, now: ids.Instant
    ) -> None:
        if isinstance(event.value, objects.Lease):
            self.lease_manager.observe(event, now)
        elif isinstance(event.value, objects.ShardPlan):
            self._manager(event.value.service, now).observe(event)
        else:
            self._observe_rollout(event.value, now)

    def _observe_rollout(
        self, plan: rollouts.RolloutPlan, now: ids.Instant
    ) -> None:
        """Have the versions that a plan excludes hold no keys."""
        self._rollout_plans_by_service[plan.service] = plan
        manager = self._managers_by_service.get(plan.service)
        if manager is not None:
            self._update_upstreams(plan.service, manager, now)

    @HANDLERS.register(messages.ControlWriteCompleted)
    def _on_control_write_completed(
        self, event: messages.ControlWriteCompleted, now: ids.Instant
    ) -> None:
        value = event.write.value
        if isinstance(value, objects.Lease):
            self.lease_manager.complete_write(event, now)
        elif isinstance(value, objects.ShardPlan):
            self._manager(value.service, now).complete_write(event, now)

    @HANDLERS.register(messages.ServicesChanged)
    def _on_services_changed(
        self, event: messages.ServicesChanged, now: ids.Instant
    ) -> None:
        self._sharded_services = frozenset(
            configured.name
            for configured in event.services
            if configured.is_sharded
        )
        if self._role is lease.Role.FOLLOWER:
            return
        for service in self._sharded_services:
            manager = self._manager(service, now)
            if not manager.is_leading:
                manager.start_leading(
                    self.lease_manager.predecessor_until, now
                )

    @HANDLERS.register(upstream_events.RegistrationsChanged)
    def _on_registrations_changed(
        self, event: upstream_events.RegistrationsChanged, now: ids.Instant
    ) -> None:
        self._registrations = event.registrations
        for service, manager in self._managers_by_service.items():
            self._update_upstreams(service, manager, now)

    @HANDLERS.register(upstream_events.EvacuationsChanged)
    def _on_evacuations_changed(
        self, event: upstream_events.EvacuationsChanged, now: ids.Instant
    ) -> None:
        self._evacuated_data_centres = event.data_centres
        for service, manager in self._managers_by_service.items():
            self._update_upstreams(service, manager, now)

    @HANDLERS.register(messages.LoadReported)
    def _on_load_reported(
        self, event: messages.LoadReported, now: ids.Instant
    ) -> None:
        for service, manager in self._managers_by_service.items():
            loads = tuple(
                load for load in event.loads if load.service == service
            )
            manager.load_tracker.add_report(event.instance, loads, now)

    @HANDLERS.register(upstream_events.ServiceTimesChanged)
    def _on_service_times_changed(
        self, event: upstream_events.ServiceTimesChanged, now: ids.Instant
    ) -> None:
        for manager in self._managers_by_service.values():
            manager.set_service_times(event.sums)

    @HANDLERS.register(messages.RangeCallCompleted)
    def _on_range_call_completed(
        self, event: messages.RangeCallCompleted, now: ids.Instant
    ) -> None:
        manager = self._manager(event.call.service, now)
        if manager.is_leading:
            manager.complete_call(event, now)

    @HANDLERS.register(messages.InstanceCountChanged)
    def _on_instance_count_changed(
        self, event: messages.InstanceCountChanged, now: ids.Instant
    ) -> None:
        self.lease_manager.set_instance_count(event.count)

    @HANDLERS.register(messages.TimePassed)
    def _on_time_passed(
        self, event: messages.TimePassed, now: ids.Instant
    ) -> None:
        """Do nothing here; ``handle`` runs the due work after any event."""

    @HANDLERS.register(messages.Resign)
    def _on_resign(self, event: messages.Resign, now: ids.Instant) -> None:
        write = self.lease_manager.resign()
        if write is not None:
            self._effects.append(write)


def _apply_rollout(
    registration: upstreams.Registration, plan: rollouts.RolloutPlan | None
) -> upstreams.Registration:
    """Return the registration, as leaving if a roll-out excludes it.

    The keys of an upstream that leaves are moved with their handover.
    """
    if plan is None or plan.may_hold(registration):
        return registration
    return dataclasses.replace(registration, is_draining=True)
