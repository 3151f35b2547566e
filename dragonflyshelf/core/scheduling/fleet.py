"""Services and upstreams to which this instance can send requests."""

from collections import abc
import enum

from dragonflyshelf.core import ids
from dragonflyshelf.core.relay import followers
from dragonflyshelf.core.rollouts import gate
from dragonflyshelf.core.routing import objects as routing
from dragonflyshelf.core.scheduling import service as services
from dragonflyshelf.core import settings
from dragonflyshelf.core.upstreams import broker_ramp
from dragonflyshelf.core.upstreams import choice
from dragonflyshelf.core.upstreams import notices
from dragonflyshelf.core.upstreams import objects
from dragonflyshelf.core.upstreams import ramp
from dragonflyshelf.core.upstreams import state


class BrokerRole(enum.Enum):
    """Part that this instance has in the assignment of holders' slots.

    A ``MEMBER`` has or had a broker, a ``BROKER`` has served a member.
    """

    NONE = "none"
    MEMBER = "member"
    BROKER = "broker"


class Fleet:
    """State of all services and upstreams, and their eligibility."""

    def __init__(self, config: settings.Settings) -> None:
        """Create a fleet without upstreams."""
        self._data_centre = config.instance.data_centre
        self.ramp = ramp.WarmupRamp(config.instance.name)
        self._broker_ramp = broker_ramp.BrokerRamp()
        self._data_centre_count = 1
        self._instance_count = 0
        self.broker_role = BrokerRole.NONE
        self.versions = gate.VersionGate(config)
        self.notices = notices.UpstreamNotices()
        self._states_by_service: dict[
            ids.ServiceName, services.ServiceState
        ] = {}
        self._services_by_name: dict[ids.ServiceName, routing.Service] = {}
        self._evacuated_data_centres: frozenset[ids.DataCentreId] = frozenset()

    def service_state(self, name: ids.ServiceName) -> services.ServiceState:
        """Return the state of a service, created on first use."""
        service_state = self._states_by_service.get(name)
        if service_state is None:
            service_state = services.ServiceState(name)
            self._states_by_service[name] = service_state
        return service_state

    def service_names(self) -> tuple[ids.ServiceName, ...]:
        """Return the names of all services."""
        return tuple(self._states_by_service)

    def is_sharded(self, name: ids.ServiceName) -> bool:
        """Return whether requests to a service are routed by shard key."""
        service = self._services_by_name.get(name)
        return service is not None and service.is_sharded

    def set_services(
        self, service_configs: abc.Iterable[routing.Service]
    ) -> None:
        """Replace the services with those of a new configuration."""
        self._services_by_name = {
            service.name: service for service in service_configs
        }

    def set_registrations(
        self,
        registrations: abc.Iterable[objects.Registration],
        now: ids.Instant,
    ) -> None:
        """Replace the registrations; known upstreams keep their state."""
        states_by_incarnation = {
            key: upstream
            for service in self._states_by_service.values()
            for key, upstream in service.upstreams_by_incarnation.items()
        }
        for service in self._states_by_service.values():
            service.upstreams_by_incarnation = {}
        registrations = tuple(registrations)
        self._data_centre_count = len(
            {registration.data_centre for registration in registrations}
        )
        self._broker_ramp.remove_others(
            frozenset(item.incarnation for item in registrations)
        )
        for registration in registrations:
            incarnation = registration.incarnation
            upstream_state = states_by_incarnation.get(incarnation)
            if upstream_state is None:
                upstream_state = state.UpstreamState(registration, now)
            else:
                self._update_registration(upstream_state, registration, now)
            owning_service = self.service_state(registration.service)
            owning_service.upstreams_by_incarnation[incarnation] = (
                upstream_state
            )

    def _update_registration(
        self,
        upstream_state: state.UpstreamState,
        registration: objects.Registration,
        now: ids.Instant,
    ) -> None:
        if (
            registration.warmup_left_seconds
            != upstream_state.registration.warmup_left_seconds
        ):
            upstream_state.warmup_until = ids.Instant(
                now + registration.warmup_left_seconds
            )
        upstream_state.registration = registration

    def set_evacuated(
        self, data_centres: frozenset[ids.DataCentreId], now: ids.Instant
    ) -> None:
        """Replace the evacuated data centres.

        Upstreams of a data centre that returns to service warm up again.
        """
        returned = self._evacuated_data_centres - data_centres
        self._evacuated_data_centres = data_centres
        for service_state in self._states_by_service.values():
            service_config = self._services_by_name.get(service_state.name)
            if service_config is None:
                continue
            for upstream in service_state.upstreams_by_incarnation.values():
                if upstream.registration.data_centre in returned:
                    warmup_until = ids.Instant(
                        now + service_config.warmup_seconds
                    )
                    upstream.warmup_until = max(
                        upstream.warmup_until, warmup_until
                    )

    def is_usable(self, upstream: state.UpstreamState) -> bool:
        """Return whether an upstream may receive new requests.

        Canaries of a roll-out may not: they get those of its share only.
        """
        if self.versions.excludes(upstream.registration):
            return False
        return self._is_in_service(upstream)

    def _is_in_service(self, upstream: state.UpstreamState) -> bool:
        """Return whether an upstream neither leaves nor is evacuated."""
        registration = upstream.registration
        if registration.is_draining:
            return False
        if self.notices.is_leaving(registration.incarnation):
            return False
        return registration.data_centre not in self._evacuated_data_centres

    def can_accept(
        self, upstream: state.UpstreamState, now: ids.Instant
    ) -> bool:
        """Return whether an upstream has capacity for a request now."""
        if now < self.backoff_until(upstream):
            return False
        if not upstream.has_capacity(now):
            return False
        if not self._has_unassigned_room(upstream):
            return False
        if not upstream.is_warming_up(now):
            return True
        registration = upstream.registration
        rate = self._warmup_rate(upstream)
        if not self.is_brokered(registration.service):
            return self.ramp.has_token(registration.incarnation, rate, now)
        if self.broker_role is BrokerRole.MEMBER:
            return False
        return self._broker_ramp.has_token(
            registration.incarnation, self._broker_rate(rate), now
        )

    def _has_unassigned_room(self, upstream: state.UpstreamState) -> bool:
        """Return whether a member may send without its broker.

        The members of a lost broker send to a holder at the same time; in
        sum that is about what the broker would have sent.
        """
        registration = upstream.registration
        if self.broker_role is not BrokerRole.MEMBER:
            return True
        if not self.is_sharded(registration.service):
            return True
        member_count = self._instance_count / max(self._data_centre_count, 1)
        room = registration.slots / max(member_count, 1.0)
        return upstream.in_flight < max(room, 1.0)

    def is_brokered(self, name: ids.ServiceName) -> bool:
        """Return whether brokers are the senders to cold holders.

        That needs a broker in every data centre.
        """
        if self.broker_role is BrokerRole.NONE or not self.is_sharded(name):
            return False
        return self._instance_count > followers.MAX_DIRECT_INSTANCE_COUNT

    def set_instances(self, instances: tuple[ids.InstanceId, ...]) -> None:
        """Set the names of all instances."""
        self._instance_count = len(instances)
        self.ramp.set_instances(instances)

    def warmup_limit(
        self, upstream: state.UpstreamState, now: ids.Instant
    ) -> float:
        """Return the requests per second that a broker may send.

        Infinite for an upstream that is not a holder in its warm-up.
        """
        is_brokered = self.is_brokered(upstream.registration.service)
        if not is_brokered or not upstream.is_warming_up(now):
            return float("inf")
        return self._broker_rate(self._warmup_rate(upstream))

    def _broker_rate(self, rate: float) -> float:
        """Return this broker's part of a warm-up rate.

        There is a broker in each data centre at most.
        """
        return rate / max(self._data_centre_count, 1)

    def backoff_until(self, upstream: state.UpstreamState) -> ids.Instant:
        """Return until when an upstream wants no requests."""
        return self.notices.backoff_until(upstream.registration.incarnation)

    def record_attempt(
        self, upstream: state.UpstreamState, now: ids.Instant
    ) -> None:
        """Count an attempt towards the warm-up rate of an upstream."""
        if not upstream.is_warming_up(now):
            return
        registration = upstream.registration
        rate = self._warmup_rate(upstream)
        if not self.is_brokered(registration.service):
            self.ramp.take(registration.incarnation, rate, now)
        elif self.broker_role is BrokerRole.BROKER:
            self._broker_ramp.take(
                registration.incarnation, self._broker_rate(rate), now
            )

    def usable_upstreams(
        self, name: ids.ServiceName
    ) -> list[state.UpstreamState]:
        """Return the upstreams of a service that may receive requests."""
        upstreams = self.service_state(name).upstreams_by_incarnation.values()
        return [upstream for upstream in upstreams if self.is_usable(upstream)]

    def due_canaries(
        self, name: ids.ServiceName, now: ids.Instant
    ) -> list[state.UpstreamState]:
        """Return the canaries that may get the next request of a service.

        There are none unless the share of the roll-out calls for it.
        """
        upstreams = self.service_state(name).upstreams_by_incarnation
        canaries = [
            upstreams[incarnation]
            for incarnation in self.versions.canaries(name, now)
            if incarnation in upstreams
        ]
        return [
            canary
            for canary in canaries
            if self._is_in_service(canary) and self.can_accept(canary, now)
        ]

    def choose(
        self,
        service: services.ServiceState,
        candidates: abc.Sequence[state.UpstreamState],
        objective: float,
        now: ids.Instant,
    ) -> state.UpstreamState:
        """Return the best of a non-empty list of candidates."""
        context = choice.ChoiceContext(
            now=now,
            data_centre=self._data_centre,
            mean_service_time=service.mean_service_time,
            objective=objective,
        )
        policy = choice.POLICIES.get(choice.DEFAULT_POLICY)
        return policy(choice.exclude_ejected(candidates, now), context)

    def remote(
        self, upstreams: abc.Iterable[state.UpstreamState]
    ) -> list[state.UpstreamState]:
        """Return the upstreams of other data centres."""
        return [
            upstream
            for upstream in upstreams
            if upstream.registration.data_centre != self._data_centre
        ]

    def choose_local(
        self, name: ids.ServiceName, objective: float, now: ids.Instant
    ) -> state.UpstreamState | None:
        """Return the best upstream of this data centre with a free slot.

        Upstreams that warm up are left out: their senders are fixed.
        """
        service = self.service_state(name)
        candidates = [
            upstream
            for upstream in service.upstreams_by_incarnation.values()
            if upstream.registration.data_centre == self._data_centre
            and upstream.has_free_slot(now)
            and self.is_usable(upstream)
            and now >= self.backoff_until(upstream)
            and not upstream.is_warming_up(now)
        ]
        if not candidates:
            return None
        return self.choose(service, candidates, objective, now)

    def find_acceptable(
        self,
        name: ids.ServiceName,
        incarnation: ids.UpstreamIncarnation,
        now: ids.Instant,
    ) -> state.UpstreamState | None:
        """Return an upstream that may get a request now, None otherwise."""
        upstream = self.find_willing(name, incarnation, now)
        if upstream is None or not self.can_accept(upstream, now):
            return None
        return upstream

    def find_willing(
        self,
        name: ids.ServiceName,
        incarnation: ids.UpstreamIncarnation,
        now: ids.Instant,
    ) -> state.UpstreamState | None:
        """Return an upstream that wants requests, whatever its load is."""
        upstreams = self.service_state(name).upstreams_by_incarnation
        upstream = upstreams.get(incarnation)
        if upstream is None or not self.is_usable(upstream):
            return None
        return upstream if now >= self.backoff_until(upstream) else None

    def _warmup_rate(self, upstream: state.UpstreamState) -> float:
        service_config = self._services_by_name.get(
            upstream.registration.service
        )
        return (
            service_config.warmup_rate if service_config is not None else 1.0
        )
