"""Requests and versions of a service while it is rolled out."""

import dataclasses

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.rollouts import objects
from dragonflyshelf.core.scheduling import messages as scheduling
from dragonflyshelf.core.slots import messages as slots
from dragonflyshelf.core import states
from dragonflyshelf.core.upstreams import state
from tests.core.scheduling import world

Step = objects.RolloutStep
OLD = world.upstream("old", slots=20, version=ids.UpstreamVersion("v1"))
NEW = world.upstream("new", slots=20, version=ids.UpstreamVersion("v2"))
OTHER_NEW = world.upstream("new2", slots=20, version=ids.UpstreamVersion("v2"))
PLAN = objects.RolloutPlan(
    service=world.LETTERS,
    target=ids.UpstreamVersion("v2"),
    duration=16.0,
    step=Step.CANARY,
    deadline=0.0,
    written_at=0.0,
    share=1.0,
    canaries=(NEW.incarnation,),
)


def make_harness(**values: object) -> world.SchedulerHarness:
    """Return a harness with both versions and a plan just confirmed."""
    harness = world.make_harness(OLD, NEW, OTHER_NEW)
    set_plan(harness, **values)
    return harness


def set_plan(harness: world.SchedulerHarness, **values: object) -> None:
    """Apply a plan, and confirm it as of now."""
    plan = dataclasses.replace(PLAN, **values)
    harness.handle(scheduling.RolloutPlanChanged(plan=plan))
    harness.handle(scheduling.PlansConfirmed(confirmed_at=harness.now))


def fail(harness: world.SchedulerHarness, exchange: ids.ExchangeId) -> None:
    """End an attempt with a server error that was withheld."""
    harness.finish(
        exchange,
        state.AttemptResult.FAILED,
        error=errors.UpstreamServerError(
            "failed", outcome=states.Outcome.UNKNOWN
        ),
    )


class TestShareOfAnInstance:
    """Whole requests go to the canaries, and to no other new upstream."""

    def test_canary(self) -> None:
        """With credit a request goes to a canary."""
        harness = make_harness()
        exchange = harness.request()
        assert harness.sent_to(exchange) == [NEW.id]

    def test_share(self) -> None:
        """Of 40 requests with a share of a tenth four do."""
        harness = make_harness(share=0.1)
        sent = []
        for _ in range(40):
            exchange = harness.request()
            sent += harness.sent_to(exchange)
            harness.finish(exchange)
        assert sent.count(NEW.id) in (3, 4, 5)
        assert OTHER_NEW.id not in sent

    def test_retry(self) -> None:
        """A request that failed at a canary goes elsewhere.

        There is credit for it, as for a time there were no canaries.
        """
        harness = make_harness(canaries=())
        for _ in range(5):
            harness.finish(harness.request())
        set_plan(harness)
        exchange = harness.request()
        fail(harness, exchange)
        assert harness.sent_to(exchange) == [NEW.id, OLD.id]

    def test_no_slot_asked_for(self) -> None:
        """No slot is requested for a request that goes to a canary."""
        harness = make_harness()
        harness.handle(slots.BrokerChanged(is_available=True))
        harness.request()
        assert not any(
            isinstance(effect, slots.SlotRequest)
            and effect != slots.CAPABILITY_QUERY
            for effect in harness.effects
        )

    def test_without_a_plan(self) -> None:
        """Before an order all versions are equal."""
        harness = world.make_harness(OLD, NEW, OTHER_NEW)
        sent = {
            upstream
            for _ in range(30)
            for upstream in harness.sent_to(harness.request())
        }
        assert sent == {OLD.id, NEW.id, OTHER_NEW.id}


class TestLaterSteps:
    """What a plan excludes gets nothing more, also what waits for it."""

    def test_full(self) -> None:
        """All requests go to the target."""
        harness = make_harness(step=Step.FULL)
        sent = [harness.sent_to(harness.request())[0] for _ in range(10)]
        assert OLD.id not in sent

    def test_rolled_back(self) -> None:
        """None goes there, and what was not sent yet is returned."""
        harness = make_harness()
        harness.request()
        set_plan(harness, step=Step.ROLLED_BACK, share=0.0, canaries=())
        returned = [
            effect.incarnation
            for effect in harness.effects
            if isinstance(effect, scheduling.ReturnUnsent)
        ]
        assert NEW.incarnation in returned
        assert harness.sent_to(harness.request()) == [OLD.id]

    def test_assigned_slot(self) -> None:
        """A slot of an excluded upstream is not used."""
        harness = make_harness(step=Step.FULL)
        harness.handle(slots.BrokerChanged(is_available=True))
        exchange = harness.request()
        harness.handle(
            slots.SlotAssignment(number=exchange, incarnation=OLD.incarnation)
        )
        assert OLD.id not in harness.sent_to(exchange)


class TestOutcomes:
    """Outcomes are reported while a service is rolled out."""

    def test_counted(self) -> None:
        """Attempts and failures are counted by upstream."""
        harness = make_harness()
        exchange = harness.request()
        fail(harness, exchange)
        harness.finish(exchange)
        report = harness.core.outcomes.take_report()
        counts = {
            outcome.life: (outcome.sent, outcome.answers, outcome.failures)
            for outcome in report
        }
        assert counts == {
            NEW.incarnation: (1, 1, 1),
            OLD.incarnation: (1, 1, 0),
        }
        assert not harness.core.outcomes.take_report()

    def test_after_the_end(self) -> None:
        """Without a roll-out nothing is reported."""
        harness = make_harness(step=Step.COMPLETED)
        harness.finish(harness.request())
        assert not harness.core.outcomes.take_report()
