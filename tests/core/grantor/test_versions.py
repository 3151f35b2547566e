"""Shard ranges and versions of a divided service that is rolled out."""

import dataclasses

from dragonflyshelf.core.grantor import coordinator
from dragonflyshelf.core.grantor import messages
from dragonflyshelf.core.grantor import objects
from dragonflyshelf.core import ids
from dragonflyshelf.core.rollouts import objects as rollouts
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.core.upstreams import messages as upstream_events
from dragonflyshelf.core.upstreams import objects as upstreams
from tests.core.rollouts import replay

Step = rollouts.RolloutStep
OLD = tuple(
    replay.make_registration(f"old-{number}", replay.PRESENT)
    for number in range(3)
)
NEW = tuple(
    replay.make_registration(f"new-{number}", replay.TARGET)
    for number in range(3)
)
OWN_LEASE = objects.Lease(
    holder=ids.InstanceId("i1"),
    incarnation=ids.Incarnation(1),
    host="10.0.0.1",
    port=7100,
    count=0,
)
ROLLOUT = rollouts.RolloutPlan(
    service=replay.SERVICE,
    target=replay.TARGET,
    duration=16.0,
    step=Step.WAITING,
    deadline=0.0,
    written_at=0.0,
    is_sharded=True,
)


class Grantor:
    """A leader whose writes and calls succeed at once."""

    def __init__(self, *registrations: upstreams.Registration) -> None:
        """Create a grantor of one divided service."""
        self.now = ids.Instant(10.0)
        self.plan: objects.ShardPlan | None = None
        self._revision = 1
        self._core = coordinator.GrantorCoordinator(
            replay.make_settings(), OWN_LEASE
        )
        self.handle(messages.ControlListed())
        self.handle(replay.make_services(is_sharded=True))
        self.handle(
            upstream_events.RegistrationsChanged(registrations=registrations)
        )

    def handle(self, event: messages.Event) -> None:
        """Handle an event, and answer what it calls for."""
        for effect in self._core.handle(event, self.now):
            if isinstance(effect, messages.WriteControl):
                self._answer_write(effect)
            elif isinstance(
                effect, messages.GrantRange | messages.ReleaseRange
            ):
                self.handle(
                    messages.RangeCallCompleted(
                        call=effect,
                        outcome=messages.CallOutcome.DONE,
                        sent_at=self.now,
                        handover="h",
                    )
                )

    def _answer_write(self, write: messages.WriteControl) -> None:
        self._revision += 1
        if isinstance(write.value, objects.ShardPlan):
            self.plan = write.value
        self.handle(
            messages.ControlWriteCompleted(
                write=write,
                outcome=store.WriteOutcome.DONE,
                sent_at=self.now,
                current=messages.ControlObserved(
                    name=write.name,
                    revision=ids.Revision(self._revision),
                    value=write.value,
                ),
            )
        )

    def roll_out(self, **values: object) -> None:
        """Observe a plan of the roll-out."""
        self._revision += 1
        self.handle(
            messages.ControlObserved(
                name=rollouts.plan_name(replay.SERVICE),
                revision=ids.Revision(self._revision),
                value=dataclasses.replace(ROLLOUT, **values),
            )
        )

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds * 10)):
            self.now = ids.Instant(self.now + 0.1)
            self.handle(messages.TimePassed())

    def holders(self) -> set[str]:
        """Return the versions of the holders of all ranges."""
        assert self.plan is not None
        return {
            assignment.upstream.partition("-")[0]
            for assignment in self.plan.assignments
        }


class TestRanges:
    """Only versions that the plan lets hold keys get ranges."""

    def test_waiting(self) -> None:
        """The target gets none."""
        grantor = Grantor(*OLD, *NEW)
        grantor.roll_out()
        grantor.advance(6.0)
        assert grantor.holders() == {"old"}

    def test_full(self) -> None:
        """All ranges move to the target before the others stop."""
        grantor = Grantor(*OLD, *NEW)
        grantor.roll_out()
        grantor.advance(6.0)
        grantor.roll_out(step=Step.FULL)
        grantor.advance(2.0)
        assert grantor.holders() == {"new"}

    def test_rolled_back(self) -> None:
        """They move back."""
        grantor = Grantor(*OLD, *NEW)
        grantor.roll_out(step=Step.FULL)
        grantor.advance(6.0)
        assert grantor.holders() == {"new"}
        grantor.roll_out(step=Step.ROLLED_BACK)
        grantor.advance(2.0)
        assert grantor.holders() == {"old"}

    def test_without_a_roll_out(self) -> None:
        """All versions are equal."""
        grantor = Grantor(*OLD, *NEW)
        grantor.advance(6.0)
        assert grantor.holders() == {"old", "new"}
