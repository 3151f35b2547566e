"""Which versions this instance may use, by the plans of roll-outs."""

from dragonflyshelf.core import ids
from dragonflyshelf.core.rollouts import objects
from dragonflyshelf.core import settings
from dragonflyshelf.core import stagger
from dragonflyshelf.core.upstreams import objects as upstreams

MAX_CREDIT = 2.0
"""Requests that the canaries may get at once after a time without any."""

DISTANT_PAST = ids.Instant(float("-inf"))
Step = objects.RolloutStep


class VersionGate:
    """Excludes upstreams by version, and spends this instance's share.

    Without a plan all versions of a service are equal.
    """

    def __init__(self, config: settings.Settings) -> None:
        """Create a gate that knows no plan."""
        self._instance = config.instance.name
        self._term = config.rollouts.term
        self._confirmed_at = DISTANT_PAST
        self._plans_by_service: dict[ids.ServiceName, objects.RolloutPlan] = {}
        self._credit_by_service: dict[ids.ServiceName, float] = {}

    def set_plan(self, plan: objects.RolloutPlan) -> None:
        """Apply the plan of a service."""
        self._plans_by_service[plan.service] = plan

    def confirm(self, confirmed_at: ids.Instant) -> None:
        """Record up to when the plans are known to be the newest."""
        self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def is_counted(self, service: ids.ServiceName) -> bool:
        """Return whether outcomes of a service are to be reported."""
        plan = self._plans_by_service.get(service)
        return plan is not None and not plan.step.is_final

    def excludes(self, registration: upstreams.Registration) -> bool:
        """Return whether an upstream gets no requests beyond the share."""
        plan = self._plans_by_service.get(registration.service)
        return plan is not None and plan.excludes(registration)

    def count_request(self, service: ids.ServiceName) -> None:
        """Raise the credit of a service's canaries by the share."""
        plan = self._plans_by_service.get(service)
        if plan is None or plan.step is not Step.CANARY:
            return
        credit = self._credit(service) + plan.share
        self._credit_by_service[service] = min(credit, MAX_CREDIT)

    def canaries(
        self, service: ids.ServiceName, now: ids.Instant
    ) -> tuple[ids.UpstreamIncarnation, ...]:
        """Return the canaries if the next request is to go to one."""
        plan = self._plans_by_service.get(service)
        if plan is None or plan.step is not Step.CANARY or plan.is_sharded:
            return ()
        if now - self._confirmed_at > self._term:
            return ()
        return plan.canaries if self._credit(service) >= 1.0 else ()

    def take(self, service: ids.ServiceName) -> None:
        """Spend the credit for a request to a canary."""
        self._credit_by_service[service] = self._credit(service) - 1.0

    def _credit(self, service: ids.ServiceName) -> float:
        """Return the credit, which starts at this instance's place."""
        credit = self._credit_by_service.get(service)
        if credit is None:
            credit = stagger.find_ratio(f"{self._instance}/{service}")
        return credit
