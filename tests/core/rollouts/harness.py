"""A leader's roll-outs against a store whose answers a test decides."""

import dataclasses
from typing import Any

from dragonflyshelf.core.grantor import messages as grantor
from dragonflyshelf.core import ids
from dragonflyshelf.core.rollouts import coordinator
from dragonflyshelf.core.rollouts import messages
from dragonflyshelf.core.rollouts import objects
from dragonflyshelf.core.rollouts import outcomes
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.core.upstreams import messages as upstream_events
from tests.core.rollouts import replay

PRESENT_NAMES = tuple(f"old-{number}" for number in range(10))
TARGET_NAMES = tuple(f"new-{number}" for number in range(10))
ROUTE = ids.RouteName("main")
REQUESTS_PER_TICK = 20


def present(name: str, **values: Any) -> Any:
    """Return the registration of a present upstream."""
    return replay.make_registration(name, replay.PRESENT, **values)


def target(name: str, **values: Any) -> Any:
    """Return the registration of an upstream of the target."""
    return replay.make_registration(name, replay.TARGET, **values)


ALL_UPSTREAMS = (
    *map(present, PRESENT_NAMES),
    *map(target, TARGET_NAMES),
)


@dataclasses.dataclass(kw_only=True)
class PlanStore:
    """The plan and the statuses in the store, shared by leaders."""

    plan: objects.RolloutPlan | None = None
    revision: int = 0
    statuses: list[objects.RolloutStatus] = dataclasses.field(
        default_factory=list
    )

    def write(self, write: grantor.WriteControl) -> store.WriteOutcome:
        """Replace the plan if its revision is the expected one."""
        if write.expected_revision != self.revision:
            return store.WriteOutcome.CONFLICT
        plan: Any = write.value
        self.plan = plan
        self.revision += 1
        return store.WriteOutcome.DONE

    def observed(self) -> grantor.ControlObserved | None:
        """Return the plan as a response has it."""
        if self.plan is None:
            return None
        return grantor.ControlObserved(
            name=replay.PLAN_NAME,
            revision=ids.Revision(self.revision),
            value=self.plan,
        )


class Leader:
    """One leader, with the effects that the store has not answered."""

    def __init__(self, plan_store: PlanStore, now: float = 100.0) -> None:
        """Create a leader that knows services, upstreams and the plan."""
        self.store = plan_store
        self.now = ids.Instant(now)
        self.core = coordinator.RolloutCoordinator(replay.make_settings())
        self.reported: list[messages.StepChanged] = []
        self.refusals: list[messages.RefuseOrder] = []
        self.status_outcome = store.WriteOutcome.DONE
        self.status_writes: list[messages.WriteStatus] = []
        self.handle(replay.make_services())
        self.register(*ALL_UPSTREAMS)
        observed = plan_store.observed()
        if observed is not None:
            self.handle(observed)
        self.handle(grantor.LeadershipChanged(is_leading=True))

    def handle(self, event: Any) -> None:
        """Handle an event, and have the store answer the writes."""
        for effect in self.core.handle(event, self.now):
            if isinstance(effect, grantor.WriteControl):
                self._answer_plan(effect)
            elif isinstance(effect, messages.WriteStatus):
                self._answer_status(effect)
            elif isinstance(effect, messages.StepChanged):
                self.reported.append(effect)
            else:
                self.refusals.append(effect)

    def _answer_plan(self, effect: grantor.WriteControl) -> None:
        outcome = self.store.write(effect)
        self.handle(
            grantor.ControlWriteCompleted(
                write=effect,
                outcome=outcome,
                sent_at=self.now,
                current=self.store.observed(),
            )
        )

    def _answer_status(self, effect: messages.WriteStatus) -> None:
        self.status_writes.append(effect)
        if self.status_outcome is store.WriteOutcome.DONE:
            self.store.statuses.append(effect.status)
        self.handle(
            messages.StatusWriteCompleted(
                write=effect, outcome=self.status_outcome
            )
        )

    def order(self, *orders: objects.RolloutOrder) -> None:
        """Replace the orders."""
        self.handle(messages.OrdersChanged(orders=orders))

    def register(self, *registrations: Any) -> None:
        """Replace the registrations."""
        self.handle(
            upstream_events.RegistrationsChanged(registrations=registrations)
        )

    @property
    def plan(self) -> objects.RolloutPlan:
        """Return the plan in the store."""
        assert self.store.plan is not None
        return self.store.plan

    def advance(self, seconds: float, failure_ratio: float = 0.0) -> None:
        """Let time pass, in which instances report by the plan."""
        for _ in range(round(seconds * 10)):
            self.now = ids.Instant(self.now + 0.1)
            if self.store.plan is not None:
                self._report(self.plan, failure_ratio)
            self.handle(
                messages.TimePassed(
                    unix_time=replay.EPOCH_SECONDS + self.now,
                    orders_confirmed_at=self.now,
                )
            )

    def advance_to(self, step: objects.RolloutStep) -> None:
        """Let time pass until a step is reached."""
        for _ in range(200):
            if self.store.plan is not None and self.plan.step is step:
                return
            self.advance(0.1)
        raise AssertionError(f"{step} was not reached")

    def _report(self, plan: objects.RolloutPlan, failure_ratio: float) -> None:
        new_count = round(REQUESTS_PER_TICK * plan.share)
        sums = []
        for count, name, ratio in (
            (new_count, TARGET_NAMES[0], failure_ratio),
            (REQUESTS_PER_TICK - new_count, PRESENT_NAMES[0], 0.0),
        ):
            times = [0] * outcomes.RANGE_COUNT
            failures = round(count * ratio)
            times[10] = count - failures
            if count:
                sums.append(
                    outcomes.OutcomeSum(
                        service=replay.SERVICE,
                        route=ROUTE,
                        life=ids.UpstreamIncarnation(f"{name}@1"),
                        sent=count,
                        answers=count,
                        failures=failures,
                        times=tuple(times),
                    )
                )
        self.handle(messages.OutcomesReported(sums=tuple(sums)))
