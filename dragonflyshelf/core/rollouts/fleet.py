"""Upstreams of a service by version, as the leader knows them."""

from collections import abc

from dragonflyshelf.core import ids
from dragonflyshelf.core.rollouts import objects
from dragonflyshelf.core.upstreams import objects as upstreams

MIN_CAPACITY_RATIO = 0.75
"""Slots of the target, in those of the others, that carry all requests."""


class VersionFleet:
    """Registered upstreams of one service, and those that were."""

    def __init__(self) -> None:
        """Create a fleet without upstreams."""
        self._registrations: tuple[upstreams.Registration, ...] = ()
        self._known_by_incarnation: dict[
            ids.UpstreamIncarnation, upstreams.Registration
        ] = {}
        self._warm_at_by_incarnation: dict[
            ids.UpstreamIncarnation, ids.Instant
        ] = {}
        self._evacuated: frozenset[ids.DataCentreId] = frozenset()

    def set_registrations(
        self,
        registrations: abc.Iterable[upstreams.Registration],
        now: ids.Instant,
    ) -> None:
        """Replace the registrations; gone ones are still known."""
        self._registrations = tuple(registrations)
        for registration in self._registrations:
            incarnation = registration.incarnation
            known = self._known_by_incarnation.get(incarnation)
            if (
                known is None
                or known.warmup_left_seconds
                != registration.warmup_left_seconds
            ):
                self._warm_at_by_incarnation[incarnation] = ids.Instant(
                    now + registration.warmup_left_seconds
                )
            self._known_by_incarnation[incarnation] = registration

    def set_evacuated(self, data_centres: frozenset[ids.DataCentreId]) -> None:
        """Replace the evacuated data centres."""
        self._evacuated = data_centres

    def find(
        self, incarnation: ids.UpstreamIncarnation
    ) -> upstreams.Registration | None:
        """Return an upstream that is or was registered."""
        return self._known_by_incarnation.get(incarnation)

    def warm_targets(
        self, plan: objects.RolloutPlan, now: ids.Instant
    ) -> list[upstreams.Registration]:
        """Return the usable upstreams of the target that are warm."""
        return [
            registration
            for registration in self.targets(plan)
            if self._warm_at_by_incarnation[registration.incarnation] <= now
        ]

    def targets(
        self, plan: objects.RolloutPlan
    ) -> list[upstreams.Registration]:
        """Return the usable upstreams of the target, warm or not."""
        return [
            registration
            for registration in self._registrations
            if registration.version == plan.target
            and self._is_usable(registration)
        ]

    def present(
        self, plan: objects.RolloutPlan
    ) -> list[upstreams.Registration]:
        """Return the usable upstreams that a plan wants to replace."""
        return [
            registration
            for registration in self._registrations
            if registration.version != plan.target
            and registration.version not in plan.barred
            and self._is_usable(registration)
        ]

    def has_only_targets(self, plan: objects.RolloutPlan) -> bool:
        """Return whether no upstream of another version is registered."""
        return bool(self._registrations) and all(
            registration.version == plan.target
            for registration in self._registrations
        )

    def retired(
        self, plan: objects.RolloutPlan
    ) -> tuple[ids.UpstreamIncarnation, ...]:
        """Return all registered upstreams of other versions."""
        return tuple(
            registration.incarnation
            for registration in self._registrations
            if registration.version != plan.target
        )

    def can_carry(self, plan: objects.RolloutPlan, now: ids.Instant) -> bool:
        """Return whether the target's warm upstreams can carry all."""
        target_slots = sum(
            registration.slots for registration in self.warm_targets(plan, now)
        )
        present_slots = sum(
            registration.slots for registration in self.present(plan)
        )
        return target_slots >= max(MIN_CAPACITY_RATIO * present_slots, 1)

    def _is_usable(self, registration: upstreams.Registration) -> bool:
        return (
            not registration.is_draining
            and registration.data_centre not in self._evacuated
        )
