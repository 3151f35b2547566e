"""All services and upstreams that this instance may send to."""

from collections import abc

from dragonflyshelf.core import ids
from dragonflyshelf.core.routing import objects as routing
from dragonflyshelf.core.scheduling import service as services
from dragonflyshelf.core import settings
from dragonflyshelf.core.upstreams import choice
from dragonflyshelf.core.upstreams import objects
from dragonflyshelf.core.upstreams import ramp
from dragonflyshelf.core.upstreams import state


class Fleet:
    """States of services and upstreams, and which may get new work."""

    def __init__(self, instance: settings.InstanceSettings) -> None:
        """Create a fleet without upstreams."""
        self._data_centre = instance.data_centre
        self.ramp = ramp.WarmupRamp(instance.name)
        self._states_by_service: dict[
            ids.ServiceName, services.ServiceState
        ] = {}
        self._services_by_name: dict[ids.ServiceName, routing.Service] = {}
        self._evacuated: frozenset[ids.DataCentreId] = frozenset()

    def service(self, name: ids.ServiceName) -> services.ServiceState:
        """Return the state of a service."""
        found = self._states_by_service.get(name)
        if found is None:
            found = services.ServiceState(name)
            self._states_by_service[name] = found
        return found

    def service_names(self) -> tuple[ids.ServiceName, ...]:
        """Return the names of all services."""
        return tuple(self._states_by_service)

    def is_sharded(self, name: ids.ServiceName) -> bool:
        """Tell whether requests to a service go by shard key."""
        found = self._services_by_name.get(name)
        return found is not None and found.sharded

    def set_services(self, configured: abc.Iterable[routing.Service]) -> None:
        """Take over the services of a new configuration."""
        self._services_by_name = {one.name: one for one in configured}

    def set_registrations(
        self,
        registrations: abc.Iterable[objects.Registration],
        now: ids.Instant,
    ) -> None:
        """Take over the registry; known upstreams keep their state."""
        known = {
            life: one
            for found in self._states_by_service.values()
            for life, one in found.upstreams_by_life.items()
        }
        for found in self._states_by_service.values():
            found.upstreams_by_life = {}
        for registration in registrations:
            life = registration.incarnation
            kept = known.get(life)
            if kept is None:
                kept = state.UpstreamState(registration, now)
            else:
                self._update(kept, registration, now)
            of_service = self.service(registration.service)
            of_service.upstreams_by_life[life] = kept

    def _update(
        self,
        kept: state.UpstreamState,
        registration: objects.Registration,
        now: ids.Instant,
    ) -> None:
        if (
            registration.warmup_left_seconds
            != kept.registration.warmup_left_seconds
        ):
            kept.warmup_until = ids.Instant(
                now + registration.warmup_left_seconds
            )
        kept.registration = registration

    def set_evacuated(
        self, data_centres: frozenset[ids.DataCentreId], now: ids.Instant
    ) -> None:
        """Take over the evacuations; upstreams that return are cold."""
        returned = self._evacuated - data_centres
        self._evacuated = data_centres
        for found in self._states_by_service.values():
            terms = self._services_by_name.get(found.name)
            if terms is None:
                continue
            for one in found.upstreams_by_life.values():
                if one.registration.data_centre in returned:
                    warmup_until = ids.Instant(now + terms.warmup)
                    one.warmup_until = max(one.warmup_until, warmup_until)

    def is_usable(self, one: state.UpstreamState) -> bool:
        """Tell whether an upstream may be given new work."""
        registration = one.registration
        if registration.is_draining:
            return False
        return registration.data_centre not in self._evacuated

    def bears_one_more(
        self, one: state.UpstreamState, now: ids.Instant
    ) -> bool:
        """Tell whether an upstream can be sent a request now."""
        if not one.has_capacity(now):
            return False
        if not one.is_warming_up(now):
            return True
        rate = self._warmup_rate(one)
        return self.ramp.has_token(one.registration.incarnation, rate, now)

    def count_send(self, one: state.UpstreamState, now: ids.Instant) -> None:
        """Count a request that is sent."""
        if one.is_warming_up(now):
            rate = self._warmup_rate(one)
            self.ramp.take(one.registration.incarnation, rate, now)

    def usable(self, name: ids.ServiceName) -> list[state.UpstreamState]:
        """Return the upstreams of a service that may get new work."""
        found = self.service(name).upstreams_by_life.values()
        return [one for one in found if self.is_usable(one)]

    def choose(
        self,
        service: services.ServiceState,
        candidates: abc.Sequence[state.UpstreamState],
        objective: float,
        now: ids.Instant,
    ) -> state.UpstreamState:
        """Return the best of some upstreams; there is at least one."""
        choosing = choice.ChoiceContext(
            now=now,
            data_centre=self._data_centre,
            mean_service_time=service.mean_time,
            objective=objective,
        )
        policy = choice.POLICIES.get(choice.DEFAULT_POLICY)
        return policy(choice.exclude_ejected(candidates, now), choosing)

    def _warmup_rate(self, one: state.UpstreamState) -> float:
        terms = self._services_by_name.get(one.registration.service)
        return terms.warmup_rate if terms is not None else 1.0
