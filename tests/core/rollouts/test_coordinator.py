"""Steps of a roll-out at the leader, and its losses."""

import pytest

from dragonflyshelf.core.grantor import messages as grantor
from dragonflyshelf.core import ids
from dragonflyshelf.core.rollouts import objects
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.core.upstreams import messages as upstream_events
from tests.core.rollouts import harness
from tests.core.rollouts import replay

Step = objects.RolloutStep
State = objects.RolloutState


def make_leader() -> harness.Leader:
    """Return a leader with an order for a service with all upstreams."""
    leader = harness.Leader(harness.PlanStore())
    leader.order(replay.make_order())
    return leader


def told_states(plan_store: harness.PlanStore) -> list[State]:
    """Return the states that the operator was told."""
    return [status.state for status in plan_store.statuses]


class TestSteps:
    """A good version is brought in step by step, a bad one taken back."""

    def test_good_version(self) -> None:
        """The plan and the status say so at each step."""
        leader = make_leader()
        leader.advance(0.1)
        assert leader.plan.step is Step.WAITING
        leader.advance_to(Step.CANARY)
        assert 0 < leader.plan.share <= 0.25
        leader.advance_to(Step.FULL)
        leader.advance_to(Step.COMPLETED)
        leader.advance(0.1)
        assert told_states(leader.store) == [State.RUNNING, State.COMPLETE]
        assert set(leader.plan.retired) == {
            f"{name}@1" for name in harness.PRESENT_NAMES
        }

    def test_bad_version(self) -> None:
        """It is rolled back soon, and its target gets nothing."""
        leader = make_leader()
        leader.advance_to(Step.CANARY)
        leader.advance(3.0, failure_ratio=0.5)
        assert leader.plan.step is Step.ROLLED_BACK
        assert not leader.plan.share
        assert told_states(leader.store)[-1] is State.ROLLED_BACK

    def test_bad_when_all_use_it(self) -> None:
        """It is rolled back, as the present upstreams are still there."""
        leader = make_leader()
        leader.advance_to(Step.FULL)
        leader.advance(1.0, failure_ratio=0.3)
        assert leader.plan.step is Step.ROLLED_BACK

    def test_few_canaries(self) -> None:
        """The canaries are as many as the share of the present ones."""
        leader = make_leader()
        leader.advance_to(Step.CANARY)
        expected = round(leader.plan.share * len(harness.PRESENT_NAMES))
        assert len(leader.plan.canaries) == max(expected, 1)


class TestCapacity:
    """A roll-out is completed only by upstreams that can carry it."""

    def test_no_upstreams(self) -> None:
        """Without upstreams of the target it is rolled back in time."""
        leader = make_leader()
        leader.register(*map(harness.present, harness.PRESENT_NAMES))
        leader.advance(replay.DURATION_SECONDS)
        assert leader.plan.step is Step.ROLLED_BACK
        assert told_states(leader.store)[-1] is State.ROLLED_BACK

    def test_cold_upstreams(self) -> None:
        """Upstreams that warm up are no canaries."""
        leader = make_leader()
        leader.register(
            *map(harness.present, harness.PRESENT_NAMES),
            *(
                harness.target(name, warmup_left_seconds=3.0)
                for name in harness.TARGET_NAMES
            ),
        )
        leader.advance(2.5)
        assert leader.plan.step is Step.WAITING
        leader.advance(1.0)
        assert leader.plan.step is Step.CANARY

    def test_too_few_upstreams(self) -> None:
        """Half of the slots don't carry all: it is rolled back."""
        leader = make_leader()
        leader.register(
            *map(harness.present, harness.PRESENT_NAMES),
            *map(harness.target, harness.TARGET_NAMES[:5]),
        )
        leader.advance(replay.DURATION_SECONDS)
        assert leader.plan.step is Step.ROLLED_BACK

    def test_canary_leaves(self) -> None:
        """Another upstream takes the place of a canary that leaves."""
        leader = make_leader()
        leader.advance_to(Step.CANARY)
        lost = set(leader.plan.canaries)
        leader.register(
            *(
                upstream
                for upstream in harness.ALL_UPSTREAMS
                if upstream.incarnation not in lost
            )
        )
        leader.advance(1.0)
        assert leader.plan.canaries
        assert not lost & set(leader.plan.canaries)

    def test_canaries_evacuated(self) -> None:
        """Nothing is sent to a data centre that is evacuated."""
        leader = make_leader()
        leader.advance_to(Step.CANARY)
        leader.handle(
            upstream_events.EvacuationsChanged(
                data_centres=frozenset({ids.DataCentreId("a")})
            )
        )
        leader.advance(1.0)
        assert leader.plan.canaries == ()


class TestLostLeader:
    """A successor that knows only the store goes on."""

    @pytest.mark.parametrize(
        "step", [Step.WAITING, Step.CANARY, Step.FULL, Step.COMPLETED]
    )
    def test_at_any_step(self, step: Step) -> None:
        """The roll-out is completed, and the operator told so."""
        leader = make_leader()
        leader.advance_to(step)
        successor = harness.Leader(leader.store, leader.now + 2.0)
        successor.order(replay.make_order(revision=6))
        successor.advance_to(Step.COMPLETED)
        successor.advance(0.1)
        assert told_states(leader.store)[-1] is State.COMPLETE

    def test_status_not_written(self) -> None:
        """What was decided is told, also if the former leader could not."""
        leader = make_leader()
        leader.advance_to(Step.CANARY)
        leader.status_outcome = store.WriteOutcome.UNKNOWN
        leader.advance(3.0, failure_ratio=0.5)
        assert State.ROLLED_BACK not in told_states(leader.store)
        successor = harness.Leader(leader.store, leader.now + 2.0)
        successor.order(replay.make_order())
        successor.advance(0.1)
        assert told_states(leader.store)[-1] is State.ROLLED_BACK

    def test_spent_meanwhile(self) -> None:
        """The share counts as spent for the time without a leader."""
        leader = make_leader()
        leader.advance_to(Step.CANARY)
        leader.advance(2.6)
        plan = leader.plan
        successor = harness.Leader(leader.store, leader.now + 3.0)
        successor.order(replay.make_order())
        successor.advance(0.1)
        least = plan.spent + plan.share * plan.rate * 3.0
        assert successor.plan.spent >= least

    def test_orders_not_known_yet(self) -> None:
        """A successor does not take an order it hasn't read for removed."""
        leader = make_leader()
        leader.advance_to(Step.CANARY)
        successor = harness.Leader(leader.store, leader.now + 2.0)
        successor.handle(
            harness.messages.TimePassed(
                unix_time=replay.EPOCH_SECONDS + successor.now,
                orders_confirmed_at=ids.Instant(successor.now - 1.0),
            )
        )
        assert leader.plan.step is Step.CANARY


class TestOverlappingLeaders:
    """Two that think they lead don't undo each other's decision."""

    def test_former_leader_writes_late(self) -> None:
        """It adopts the plan of the other one, and completes nothing."""
        former = make_leader()
        former.advance_to(Step.FULL)
        other = harness.Leader(former.store, former.now)
        other.order(replay.make_order())
        other.advance(1.2, failure_ratio=0.4)
        assert former.plan.step is Step.ROLLED_BACK
        former.advance(3.0)
        assert former.plan.step is Step.ROLLED_BACK
        assert State.COMPLETE not in told_states(former.store)

    def test_leader_that_is_none_any_more(self) -> None:
        """It writes nothing."""
        leader = make_leader()
        leader.advance_to(Step.CANARY)
        revision = leader.store.revision
        leader.handle(grantor.LeadershipChanged(is_leading=False))
        leader.advance(5.0, failure_ratio=0.5)
        assert leader.store.revision == revision


class TestStatusWrites:
    """The status is told until the store has acknowledged it."""

    @pytest.mark.parametrize(
        "outcome",
        [
            store.WriteOutcome.CONFLICT,
            store.WriteOutcome.FAILED,
            store.WriteOutcome.UNKNOWN,
        ],
    )
    def test_repeated(self, outcome: store.WriteOutcome) -> None:
        """It is repeated under the newest revision that was seen."""
        leader = make_leader()
        leader.status_outcome = outcome
        leader.advance(0.2)
        assert not leader.store.statuses
        leader.status_outcome = store.WriteOutcome.DONE
        leader.order(replay.make_order(revision=9))
        leader.advance(0.5)
        assert told_states(leader.store) == [State.RUNNING]
        assert leader.status_writes[-1].expected_revision == 9

    def test_told_once(self) -> None:
        """An acknowledged status is not written again."""
        leader = make_leader()
        leader.advance(1.0)
        leader.order(replay.make_order(revision=6))
        leader.advance(1.0)
        assert told_states(leader.store) == [State.RUNNING]


class TestOtherOrders:
    """Orders that are odd, removed, or given before another has ended."""

    @pytest.mark.parametrize("values", [{"duration": 0.0}, {"target": ""}])
    def test_invalid(self, values: dict[str, object]) -> None:
        """It is refused with its code, and nothing is moved."""
        leader = harness.Leader(harness.PlanStore())
        leader.order(replay.make_order(**values))
        leader.advance(3.0)
        assert leader.plan.step is Step.ROLLED_BACK
        assert [refusal.error.code for refusal in leader.refusals] == ["DS206"]
        expected = [State.ROLLED_BACK] if leader.plan.target else []
        assert told_states(leader.store) == expected

    def test_unknown_service(self) -> None:
        """It is refused once a configuration is known."""
        leader = make_leader()
        leader.handle(grantor.ServicesChanged(services=()))
        leader.advance(1.0)
        assert leader.plan.step is Step.ROLLED_BACK
        assert leader.refusals[0].error.code == "DS206"

    def test_version_in_service(self) -> None:
        """An order for the only version there is excludes nothing."""
        leader = harness.Leader(harness.PlanStore())
        leader.register(*map(harness.present, harness.PRESENT_NAMES))
        leader.order(replay.make_order(target=replay.PRESENT))
        leader.advance(0.5)
        assert leader.refusals[0].error.code == "DS206"
        assert not leader.plan.excludes(harness.present("old-0"))
        assert leader.plan.may_hold(harness.present("old-0"))
        assert told_states(leader.store) == [State.ROLLED_BACK]

    def test_version_in_service_known_late(self) -> None:
        """The same where the upstreams become known after the order."""
        leader = harness.Leader(harness.PlanStore())
        leader.register()
        leader.order(replay.make_order(target=replay.PRESENT))
        leader.advance(0.5)
        leader.register(*map(harness.present, harness.PRESENT_NAMES))
        leader.advance(1.0)
        assert not leader.plan.excludes(harness.present("old-0"))

    def test_refused_order_excludes_nothing(self) -> None:
        """Neither version is left without requests by an odd order."""
        leader = harness.Leader(harness.PlanStore())
        leader.order(replay.make_order(target=replay.PRESENT, duration=0.0))
        leader.advance(0.5)
        for upstream in harness.ALL_UPSTREAMS:
            assert not leader.plan.excludes(upstream)

    def test_order_after_a_refused_one(self) -> None:
        """The target of a refused order is not barred."""
        leader = harness.Leader(harness.PlanStore())
        leader.order(replay.make_order(target=replay.PRESENT, duration=0.0))
        leader.advance(0.5)
        leader.order(replay.make_order())
        leader.advance(0.1)
        assert not leader.plan.excludes(harness.present("old-0"))
        assert leader.plan.excludes(harness.target("new-0"))

    def test_refused_order_after_a_bad_version(self) -> None:
        """A version that was taken back stays without requests."""
        leader = make_leader()
        leader.advance_to(Step.CANARY)
        leader.advance(3.0, failure_ratio=0.5)
        leader.order(replay.make_order(duration=0.0))
        leader.advance(0.5)
        assert leader.plan.is_refused
        assert leader.plan.excludes(harness.target("new-0"))

    def test_second_order(self) -> None:
        """The first target is barred, and the second order starts anew."""
        leader = make_leader()
        leader.advance_to(Step.CANARY)
        second = replay.make_order(target=ids.UpstreamVersion("v3"))
        leader.order(second)
        leader.advance(0.1)
        assert leader.plan.target == "v3"
        assert leader.plan.step is Step.WAITING
        assert leader.plan.excludes(harness.target("new-0"))
        assert not leader.plan.excludes(harness.present("old-0"))

    def test_removed(self) -> None:
        """What was not completed is rolled back."""
        leader = make_leader()
        leader.advance_to(Step.FULL)
        leader.order()
        leader.advance(0.1)
        assert leader.plan.step is Step.ROLLED_BACK

    def test_same_order_again(self) -> None:
        """After its removal an order that was rolled back starts anew."""
        leader = make_leader()
        leader.advance_to(Step.CANARY)
        leader.advance(3.0, failure_ratio=0.5)
        leader.order()
        leader.advance(0.1)
        leader.order(replay.make_order(revision=20))
        leader.advance(0.2)
        assert not leader.plan.step.is_final
        assert told_states(leader.store)[-1] is State.RUNNING
