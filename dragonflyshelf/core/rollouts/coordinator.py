"""Roll-outs of all services, run by the leader alone."""

from collections import abc
from typing import Final

from dragonflyshelf.core.grantor import messages as grantor
from dragonflyshelf.core import ids
from dragonflyshelf.core import registry
from dragonflyshelf.core.rollouts import messages
from dragonflyshelf.core.rollouts import objects
from dragonflyshelf.core.rollouts import rollout
from dragonflyshelf.core.routing import objects as routing
from dragonflyshelf.core import settings
from dragonflyshelf.core.upstreams import messages as upstream_events
from dragonflyshelf.core.upstreams import objects as upstreams

Effects = list[messages.Effect]
Handler = abc.Callable[
    ["RolloutCoordinator", messages.Event, ids.Instant], Effects | None
]

HANDLERS: Final[registry.Registry[type, Handler]] = registry.Registry(
    "roll-out handlers"
)


class RolloutCoordinator:
    """Knows plans on every instance, and advances them on the leader."""

    def __init__(self, config: settings.Settings) -> None:
        """Create a coordinator of a follower."""
        self._config = config
        self._rollouts_by_service: dict[ids.ServiceName, rollout.Rollout] = {}
        self._registrations: tuple[upstreams.Registration, ...] = ()
        self._evacuated: frozenset[ids.DataCentreId] = frozenset()
        self._services_by_name: (
            dict[ids.ServiceName, routing.Service] | None
        ) = None
        self._leading_since: ids.Instant | None = None

    def handle(self, event: messages.Event, now: ids.Instant) -> Effects:
        """Process an event and return the resulting effects."""
        return HANDLERS.get(type(event))(self, event, now) or []

    def _get_rollout(
        self, service: ids.ServiceName, now: ids.Instant
    ) -> rollout.Rollout:
        known = self._rollouts_by_service.get(service)
        if known is None:
            known = rollout.Rollout(self._config, service)
            self._rollouts_by_service[service] = known
            self._update_service(service, known)
            known.fleet.set_evacuated(self._evacuated)
            self._update_upstreams(service, known, now)
        return known

    def _update_service(
        self, service: ids.ServiceName, known: rollout.Rollout
    ) -> None:
        if self._services_by_name is not None:
            known.set_service(self._services_by_name.get(service))

    def _update_upstreams(
        self,
        service: ids.ServiceName,
        known: rollout.Rollout,
        now: ids.Instant,
    ) -> None:
        known.fleet.set_registrations(
            (
                registration
                for registration in self._registrations
                if registration.service == service
            ),
            now,
        )

    @HANDLERS.register(messages.OrdersChanged)
    def _on_orders_changed(
        self, event: messages.OrdersChanged, now: ids.Instant
    ) -> None:
        orders_by_service = {order.service: order for order in event.orders}
        for service in orders_by_service:
            self._get_rollout(service, now)
        for service, known in self._rollouts_by_service.items():
            known.set_order(orders_by_service.get(service))

    @HANDLERS.register(messages.OutcomesReported)
    def _on_outcomes_reported(
        self, event: messages.OutcomesReported, now: ids.Instant
    ) -> None:
        for outcome in event.sums:
            known = self._rollouts_by_service.get(outcome.service)
            if known is not None:
                known.add_outcome(outcome, now)

    @HANDLERS.register(grantor.ControlObserved)
    def _on_control_observed(
        self, event: grantor.ControlObserved, now: ids.Instant
    ) -> None:
        if isinstance(event.value, objects.RolloutPlan):
            known = self._get_rollout(event.value.service, now)
            known.observe(event.revision, event.value)

    @HANDLERS.register(grantor.ControlWriteCompleted)
    def _on_control_write_completed(
        self, event: grantor.ControlWriteCompleted, now: ids.Instant
    ) -> None:
        if isinstance(event.write.value, objects.RolloutPlan):
            known = self._get_rollout(event.write.value.service, now)
            known.complete_plan(event, now)

    @HANDLERS.register(messages.StatusWriteCompleted)
    def _on_status_write_completed(
        self, event: messages.StatusWriteCompleted, now: ids.Instant
    ) -> None:
        for known in self._rollouts_by_service.values():
            known.complete_status(event, now)

    @HANDLERS.register(grantor.LeadershipChanged)
    def _on_leadership_changed(
        self, event: grantor.LeadershipChanged, now: ids.Instant
    ) -> None:
        self._leading_since = now if event.is_leading else None
        for known in self._rollouts_by_service.values():
            known.stop_leading()

    @HANDLERS.register(grantor.ServicesChanged)
    def _on_services_changed(
        self, event: grantor.ServicesChanged, now: ids.Instant
    ) -> None:
        self._services_by_name = {
            service.name: service for service in event.services
        }
        for service, known in self._rollouts_by_service.items():
            self._update_service(service, known)

    @HANDLERS.register(upstream_events.RegistrationsChanged)
    def _on_registrations_changed(
        self, event: upstream_events.RegistrationsChanged, now: ids.Instant
    ) -> None:
        self._registrations = event.registrations
        for service, known in self._rollouts_by_service.items():
            self._update_upstreams(service, known, now)

    @HANDLERS.register(upstream_events.EvacuationsChanged)
    def _on_evacuations_changed(
        self, event: upstream_events.EvacuationsChanged, now: ids.Instant
    ) -> None:
        self._evacuated = event.data_centres
        for known in self._rollouts_by_service.values():
            known.fleet.set_evacuated(event.data_centres)

    @HANDLERS.register(messages.TimePassed)
    def _on_time_passed(
        self, event: messages.TimePassed, now: ids.Instant
    ) -> Effects:
        """Advance the roll-outs once the orders are known as leader."""
        since = self._leading_since
        if since is None or event.orders_confirmed_at < since:
            return []
        return [
            effect
            for known in self._rollouts_by_service.values()
            for effect in known.tick(now, event.unix_time)
        ]
