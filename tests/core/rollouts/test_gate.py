"""Which versions an instance uses by a plan."""

import dataclasses

import pytest

from dragonflyshelf.core import ids
from dragonflyshelf.core.rollouts import gate
from dragonflyshelf.core.rollouts import objects
from tests.core.rollouts import harness
from tests.core.rollouts import replay

Step = objects.RolloutStep
CANARY = harness.target("new-0")
OTHER_TARGET = harness.target("new-1")
PRESENT = harness.present("old-0")
NOW = ids.Instant(50.0)

PLAN = objects.RolloutPlan(
    service=replay.SERVICE,
    target=replay.TARGET,
    duration=16.0,
    step=Step.CANARY,
    deadline=0.0,
    written_at=0.0,
    share=0.1,
    canaries=(CANARY.incarnation,),
)


def make_gate(name: str = "i1", **values: object) -> gate.VersionGate:
    """Return a gate with a plan that was confirmed now."""
    created = gate.VersionGate(replay.make_settings(name))
    created.set_plan(dataclasses.replace(PLAN, **values))
    created.confirm(NOW)
    return created


def count_canary_requests(
    version_gate: gate.VersionGate, count: int, now: ids.Instant = NOW
) -> int:
    """Return how many of the next requests go to a canary."""
    taken = 0
    for _ in range(count):
        version_gate.count_request(replay.SERVICE)
        if version_gate.canaries(replay.SERVICE, now):
            version_gate.take(replay.SERVICE)
            taken += 1
    return taken


class TestExcludedVersions:
    """Each step excludes the versions that it should."""

    def test_without_a_plan(self) -> None:
        """All versions are equal."""
        version_gate = gate.VersionGate(replay.make_settings())
        assert not version_gate.excludes(PRESENT)
        assert not version_gate.excludes(CANARY)

    @pytest.mark.parametrize(
        "step", [Step.WAITING, Step.CANARY, Step.ROLLED_BACK]
    )
    def test_unproven(self, step: Step) -> None:
        """The target is excluded beyond the share."""
        version_gate = make_gate(step=step)
        assert version_gate.excludes(CANARY)
        assert version_gate.excludes(OTHER_TARGET)
        assert not version_gate.excludes(PRESENT)

    def test_full(self) -> None:
        """The others are excluded."""
        version_gate = make_gate(step=Step.FULL)
        assert version_gate.excludes(PRESENT)
        assert not version_gate.excludes(CANARY)

    def test_completed(self) -> None:
        """The upstreams that stop are excluded, and no version as such."""
        version_gate = make_gate(
            step=Step.COMPLETED, retired=(PRESENT.incarnation,)
        )
        assert version_gate.excludes(PRESENT)
        assert not version_gate.excludes(harness.present("later"))
        assert not version_gate.excludes(CANARY)

    def test_barred(self) -> None:
        """The target of a former order stays excluded."""
        barred = replay.make_registration("x", ids.UpstreamVersion("v0"))
        version_gate = make_gate(barred=("v0",))
        assert version_gate.excludes(barred)
        assert not version_gate.excludes(PRESENT)

    def test_divided_service(self) -> None:
        """Its canaries get what their keys bring, and so do old holders."""
        version_gate = make_gate(is_sharded=True)
        assert not version_gate.excludes(CANARY)
        assert version_gate.excludes(OTHER_TARGET)
        version_gate = make_gate(is_sharded=True, step=Step.FULL)
        assert not version_gate.excludes(PRESENT)


class TestShare:
    """The canaries get their share in whole requests."""

    def test_one_instance(self) -> None:
        """One of ten requests goes to a canary."""
        assert count_canary_requests(make_gate(), 1000) in (99, 100, 101)

    def test_many_instances(self) -> None:
        """Instances that see five requests each keep to it in sum."""
        taken = sum(
            count_canary_requests(make_gate(f"instance-{number}"), 5)
            for number in range(300)
        )
        assert 130 <= taken <= 170

    def test_no_burst_after_a_pause(self) -> None:
        """Without a canary to use the credit does not grow on."""
        version_gate = make_gate()
        for _ in range(1000):
            version_gate.count_request(replay.SERVICE)
        assert count_canary_requests(version_gate, 5) <= gate.MAX_CREDIT

    def test_plan_not_confirmed(self) -> None:
        """An instance out of touch stops at the end of the term."""
        term = replay.make_settings().rollouts.term
        version_gate = make_gate(share=1.0)
        in_time = ids.Instant(NOW + term - 0.1)
        assert count_canary_requests(version_gate, 10, in_time) == 10
        too_late = ids.Instant(NOW + term + 0.1)
        assert count_canary_requests(version_gate, 10, too_late) == 0
