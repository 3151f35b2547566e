"""Roll-out of one service, as the leader runs it.

What is decided is written to the plan first and told to the operator then,
so that a successor finds each decision that was told.
"""

from collections import abc
import dataclasses
from typing import Any, Final

from dragonflyshelf.core import errors
from dragonflyshelf.core.grantor import const
from dragonflyshelf.core.grantor import messages as grantor
from dragonflyshelf.core import ids
from dragonflyshelf.core import registry
from dragonflyshelf.core.rollouts import budget
from dragonflyshelf.core.rollouts import fleet
from dragonflyshelf.core.rollouts import judge
from dragonflyshelf.core.rollouts import messages
from dragonflyshelf.core.rollouts import objects
from dragonflyshelf.core.rollouts import outcomes
from dragonflyshelf.core.rollouts import status
from dragonflyshelf.core.routing import objects as routing
from dragonflyshelf.core import settings
from dragonflyshelf.core.store import messages as store

MIN_CANARY_SECONDS: Final = 2.0
"""Shortest canary step that tells anything."""

MIN_FULL_SECONDS: Final = 1.6
"""Shortest time for which all requests go to the target."""

DEADLINE_MARGIN_SECONDS: Final = 1.0
"""Time before the deadline by which the last step is to be written."""

FORCED_MARGIN_SECONDS: Final = 0.4
"""The same for a service whose former upstreams still respond."""

MIN_REWRITE_SECONDS: Final = 0.5
"""Time after a plan before its share is changed."""

MAX_REWRITE_SECONDS: Final = 2.5
"""Time after which a plan is written for a successor's sake."""

KEY_SHARE_RATIO: Final = 0.5
"""Canaries of a divided service, in those that the share would allow.

Rebalancing gives them the busiest keys that fit.
"""

SHARE_CHANGE_RATIO: Final = 0.2
"""Change of the share, in its present value, that is worth a write."""

KNOWN_UPSTREAMS_SECONDS: Final = 1.0
"""Time after an order in which its service's upstreams become known."""

ONLY_TARGETS_PROBLEM: Final = "all upstreams have the target version already"

DISTANT_PAST: Final = ids.Instant(float("-inf"))
Step = objects.RolloutStep
StepHandler = abc.Callable[["Rollout"], None]

STEP_HANDLERS: Final[registry.Registry[Step, StepHandler]] = registry.Registry(
    "handlers of roll-out steps"
)


class Rollout:
    """Order, plan, budget and judge of a service's roll-out."""

    def __init__(
        self, config: settings.Settings, service: ids.ServiceName
    ) -> None:
        """Create a roll-out without an order or a plan."""
        self._config = config
        self._service = service
        self.fleet = fleet.VersionFleet()
        self._order: objects.RolloutOrder | None = None
        self._plan: objects.RolloutPlan | None = None
        self._revision = ids.Revision(0)
        self._is_known_service: bool | None = None
        self._is_sharded = False
        self._effects: list[messages.Effect] = []
        self._now = ids.Instant(0.0)
        self._unix_time = 0.0
        self._pending_plan: grantor.WriteControl | None = None
        self._next_write_at = DISTANT_PAST
        self.stop_leading()

    def stop_leading(self) -> None:
        """Forget what only the leader knows."""
        self._judge = judge.Judge(self._config)
        self._budget = budget.ExposureBudget(self._config, 0.0, 0.0)
        self._step_started_at: ids.Instant | None = None
        self._deadline_at: ids.Instant | None = None
        self._present_seen_at = DISTANT_PAST
        self._plan_written_at = DISTANT_PAST
        self._pending_plan = None
        self._status_writer = status.StatusWriter()

    def set_order(self, order: objects.RolloutOrder | None) -> None:
        """Replace the order; a new one starts with nothing spent."""
        former = self._order
        self._order = order
        is_same = (
            former is not None
            and order is not None
            and dataclasses.replace(former, revision=order.revision) == order
        )
        if not is_same:
            self._status_writer.reset()

    def set_service(self, service: routing.Service | None) -> None:
        """Set the service as configured, None if it is not."""
        self._is_known_service = service is not None
        self._is_sharded = service is not None and service.is_sharded

    def observe(
        self, revision: ids.Revision, plan: objects.RolloutPlan
    ) -> None:
        """Update the plan from the store unless the revision is old."""
        if revision <= self._revision:
            return
        former = self._plan
        self._revision = revision
        self._plan = plan
        if (
            former is None
            or former.step is not plan.step
            or former.target != plan.target
        ):
            self._step_started_at = None

    def add_outcome(
        self, outcome: outcomes.OutcomeSum, now: ids.Instant
    ) -> None:
        """Add what an instance has reported."""
        plan = self._plan
        registration = self.fleet.find(outcome.life)
        if plan is None or registration is None:
            return
        is_new = registration.version == plan.target
        self._budget.add(outcome.sent, is_new, now)
        if not is_new and outcome.answers:
            self._present_seen_at = now
        if plan.step in (Step.CANARY, Step.FULL):
            self._judge.add(outcome, registration.data_centre, is_new, now)

    def complete_plan(
        self, event: grantor.ControlWriteCompleted, now: ids.Instant
    ) -> None:
        """Process the outcome of a plan's write."""
        if event.write is self._pending_plan:
            self._pending_plan = None
            if event.outcome is not store.WriteOutcome.DONE:
                self._next_write_at = ids.Instant(
                    now + const.RETRY_INTERVAL_SECONDS
                )
        if event.current is not None:
            value: Any = event.current.value
            self.observe(event.current.revision, value)

    def complete_status(
        self, event: messages.StatusWriteCompleted, now: ids.Instant
    ) -> None:
        """Process the outcome of a status's write."""
        self._status_writer.complete(event, now)

    def tick(
        self, now: ids.Instant, unix_time: float
    ) -> list[messages.Effect]:
        """Return what is due at the leader."""
        self._now = now
        self._unix_time = unix_time
        self._effects = []
        if self._pending_plan is None and now >= self._next_write_at:
            self._advance()
        if self._order is not None and self._plan is not None:
            self._effects.extend(
                self._status_writer.find_due(self._order, self._plan, now)
            )
        return self._effects

    def _advance(self) -> None:
        plan = self._plan
        if self._order is None:
            if plan is not None and not plan.is_closed:
                self._close(plan)
            return
        if plan is None or not plan.is_for(self._order):
            if self._is_known_service is not None:
                self._begin(self._order)
            return
        if self._step_started_at is None:
            self._start_step(plan)
        STEP_HANDLERS.get(plan.step)(self)

    def _begin(self, order: objects.RolloutOrder) -> None:
        """Write the first plan of an order, or refuse the order."""
        self._status_writer.reset()
        self._budget = budget.ExposureBudget(self._config, 0.0, 0.0)
        self._deadline_at = ids.Instant(self._now + order.duration)
        plan = objects.RolloutPlan(
            service=order.service,
            target=order.target,
            duration=order.duration,
            step=Step.WAITING,
            deadline=self._unix_time + order.duration,
            written_at=self._unix_time,
            barred=self._find_barred(),
            is_sharded=self._is_sharded,
        )
        problem = self._find_problem(order)
        if not problem and self.fleet.has_only_targets(plan):
            problem = ONLY_TARGETS_PROBLEM
        if problem:
            self._refuse(plan, problem)
            return
        others = set(plan.barred) - {order.target}
        self._write(
            dataclasses.replace(plan, barred=tuple(sorted(others))), "ordered"
        )

    def _refuse(self, plan: objects.RolloutPlan, problem: str) -> None:
        """Write a plan that moves nothing."""
        assert self._order is not None
        error = errors.RolloutRefused(problem)
        self._effects.append(
            messages.RefuseOrder(order=self._order, error=error)
        )
        self._write(
            dataclasses.replace(plan, step=Step.ROLLED_BACK, is_refused=True),
            problem,
        )

    def _find_problem(self, order: objects.RolloutOrder) -> str:
        if order.duration <= 0:
            return f"order for {order.service} has no valid duration"
        if not order.target:
            return f"order for {order.service} has no target version"
        if not self._is_known_service:
            return f"{order.service} is not configured"
        return ""

    def _find_barred(self) -> tuple[ids.UpstreamVersion, ...]:
        """Return the versions that former orders have not let in."""
        former = self._plan
        if former is None:
            return ()
        barred = set(former.barred)
        if former.step is not Step.COMPLETED and not former.is_refused:
            barred.add(former.target)
        return tuple(sorted(barred))

    def _close(self, plan: objects.RolloutPlan) -> None:
        """Record that the order of a plan has been removed."""
        step = plan.step if plan.step.is_final else Step.ROLLED_BACK
        self._write(
            dataclasses.replace(plan, step=step, is_closed=True, share=0.0),
            "order removed",
        )

    def _start_step(self, plan: objects.RolloutPlan) -> None:
        """Begin a step, which a former leader may have begun before.

        Then what it may have let the target have since counts as spent.
        """
        is_successor = self._plan_written_at == DISTANT_PAST
        self._step_started_at = self._now
        self._present_seen_at = self._now
        if is_successor:
            gap = max(self._unix_time - plan.written_at, 0.0)
            unseen = plan.rate * gap
            self._budget = budget.ExposureBudget(
                self._config,
                plan.requests + unseen,
                plan.spent + plan.share * unseen,
            )
        if self._deadline_at is None:
            self._deadline_at = ids.Instant(
                self._now + plan.deadline - self._unix_time
            )
        if plan.step is Step.CANARY:
            self._judge = judge.Judge(self._config)

    @property
    def _seconds_left(self) -> float:
        """Return the time to the deadline, by this leader's clock.

        Only a successor needs the time of day, which may be set.
        """
        assert self._deadline_at is not None
        return self._deadline_at - self._now

    @property
    def _step_seconds(self) -> float:
        assert self._step_started_at is not None
        return self._now - self._step_started_at

    def _canary_seconds_left(self, plan: objects.RolloutPlan) -> float:
        """Return the planned rest of the canary step."""
        config = self._config.rollouts
        ends_in = self._seconds_left - (
            (1.0 - config.canary_until) * plan.duration
        )
        shortest = max(config.canary_ratio * plan.duration, MIN_CANARY_SECONDS)
        if plan.step is Step.CANARY:
            shortest -= self._step_seconds
        return max(ends_in, shortest)

    @STEP_HANDLERS.register(Step.WAITING)
    def _wait(self) -> None:
        plan = self._plan
        assert plan is not None
        needed_seconds = (
            MIN_CANARY_SECONDS + MIN_FULL_SECONDS + DEADLINE_MARGIN_SECONDS
        )
        if self._seconds_left < needed_seconds:
            self._roll_back("no warm upstreams in time")
            return
        if self.fleet.has_only_targets(plan):
            if self._step_seconds >= KNOWN_UPSTREAMS_SECONDS:
                self._refuse(plan, ONLY_TARGETS_PROBLEM)
            return
        share = self._find_share(plan)
        canaries = self._choose_canaries(plan, share)
        if share and canaries:
            self._write(
                dataclasses.replace(
                    plan, step=Step.CANARY, share=share, canaries=canaries
                ),
                "upstreams are warm",
            )

    @STEP_HANDLERS.register(Step.CANARY)
    def _try_canaries(self) -> None:
        plan = self._plan
        assert plan is not None
        verdict = self._judge.find_verdict()
        if verdict is judge.Verdict.BAD:
            self._roll_back("bad")
        elif self._seconds_left < MIN_FULL_SECONDS + DEADLINE_MARGIN_SECONDS:
            self._roll_back("not known to be good in time")
        elif (
            verdict is judge.Verdict.GOOD
            and self._canary_seconds_left(plan) <= 0
            and self.fleet.can_carry(plan, self._now)
        ):
            self._write(
                dataclasses.replace(
                    plan, step=Step.FULL, share=1.0, canaries=()
                ),
                "good",
            )
        else:
            self._update_canaries(plan)

    def _update_canaries(self, plan: objects.RolloutPlan) -> None:
        """Write the plan again if its share or canaries are outdated."""
        usable = {
            registration.incarnation
            for registration in self.fleet.warm_targets(plan, self._now)
        }
        share = self._find_share(plan)
        canaries = plan.canaries
        is_spent = plan.is_sharded and not share
        if is_spent or not canaries or not usable.issuperset(canaries):
            canaries = self._choose_canaries(plan, share)
        age = self._now - self._plan_written_at
        is_changed = canaries != plan.canaries or (
            abs(share - plan.share) > SHARE_CHANGE_RATIO * plan.share
        )
        if (is_changed and age >= MIN_REWRITE_SECONDS) or (
            age >= MAX_REWRITE_SECONDS
        ):
            self._write(
                dataclasses.replace(plan, share=share, canaries=canaries), ""
            )

    @STEP_HANDLERS.register(Step.FULL)
    def _finish(self) -> None:
        plan = self._plan
        assert plan is not None
        verdict = self._judge.find_verdict()
        if verdict is judge.Verdict.BAD:
            self._roll_back("bad")
            return
        if not self.fleet.targets(plan):
            self._roll_back("upstreams of the target lost")
            return
        is_urgent = self._seconds_left < FORCED_MARGIN_SECONDS
        is_drained = (
            self._step_seconds >= MIN_FULL_SECONDS
            and self._now - self._present_seen_at
            >= self._config.rollouts.drained
        )
        if verdict is judge.Verdict.GOOD and (is_drained or is_urgent):
            self._write(
                dataclasses.replace(
                    plan,
                    step=Step.COMPLETED,
                    retired=self.fleet.retired(plan),
                ),
                "good",
            )
        elif is_urgent:
            self._roll_back("not known to be good in time")

    @STEP_HANDLERS.register(Step.COMPLETED)
    @STEP_HANDLERS.register(Step.ROLLED_BACK)
    def _stay(self) -> None:
        """Do nothing: the step is the last one."""

    def _roll_back(self, reason: str) -> None:
        assert self._plan is not None
        self._write(
            dataclasses.replace(
                self._plan, step=Step.ROLLED_BACK, share=0.0, canaries=()
            ),
            reason,
        )

    def _find_share(self, plan: objects.RolloutPlan) -> float:
        share = self._budget.find_share(
            plan.share, self._canary_seconds_left(plan), self._now
        )
        return round(share, 3)

    def _choose_canaries(
        self, plan: objects.RolloutPlan, share: float
    ) -> tuple[ids.UpstreamIncarnation, ...]:
        """Return as many warm upstreams as the share of the present ones.

        None are returned until there are enough. In a divided service they
        get more than a holder's usual part, as they start with no keys.
        """
        warm = self.fleet.warm_targets(plan, self._now)
        ratio = KEY_SHARE_RATIO if plan.is_sharded else 1.0
        count = max(round(ratio * share * len(self.fleet.present(plan))), 1)
        if len(warm) < count or not share:
            return ()
        by_data_centre: dict[ids.DataCentreId, int] = {}
        ranked = []
        for registration in sorted(warm, key=lambda entry: entry.id):
            data_centre = registration.data_centre
            rank = by_data_centre.get(data_centre, 0)
            by_data_centre[data_centre] = rank + 1
            ranked.append((rank, registration.incarnation))
        return tuple(incarnation for _, incarnation in sorted(ranked)[:count])

    def _write(self, plan: objects.RolloutPlan, reason: str) -> None:
        """Write a plan; a reason tells that its step is new."""
        plan = dataclasses.replace(
            plan,
            written_at=round(self._unix_time, 3),
            requests=round(self._budget.requests, 1),
            spent=round(self._budget.spent, 1),
            rate=round(self._budget.rate(self._now), 1),
            reason=reason or plan.reason,
        )
        self._pending_plan = grantor.WriteControl(
            name=objects.plan_name(self._service),
            expected_revision=self._revision,
            value=plan,
            timeout=const.WRITE_TIMEOUT_SECONDS,
        )
        self._plan_written_at = self._now
        self._effects.append(self._pending_plan)
        if reason:
            self._effects.append(
                messages.StepChanged(
                    plan=plan,
                    figures=str(self._judge.figures),
                    allowance=self._budget.allowance,
                )
            )
