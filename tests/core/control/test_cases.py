"""One test for each named case of ownership, with a virtual clock."""

import collections
import math

import pytest

from dragonflyshelf.core.configuration import objects as configuration
from dragonflyshelf.core.control import messages as control
from dragonflyshelf.core import ids
from dragonflyshelf.core.membership import messages as leases
from dragonflyshelf.core.ownership import objects
from dragonflyshelf.core import states
from dragonflyshelf.core.timeline import events
from tests.core.control import world

HOMES = {"i0": "a", "i1": "b", "i2": "c", "i3": "a", "i4": "b", "i5": "c"}
LOSS_SECONDS = 3.0
STEADY_GAP = 0.5


@pytest.fixture(name="steady")
def fixture_steady() -> world.World:
    """Return a world in which every shard is served."""
    steady = world.World(7, HOMES)
    steady.run(8)
    assert steady.runs.longest_gap(7, 8) < STEADY_GAP
    return steady


def segment_of(steady: world.World) -> objects.Segment:
    """Return the assignment as the platform has it."""
    stored = steady.store.get(
        states.ObjectKind.SEGMENT, ids.ObjectName(world.SERVICE)
    )
    assert stored is not None
    return stored.value


def members_of(steady: world.World) -> set[str]:
    """Return the instances that the rosters have in the platform."""
    rosters = steady.store.list(frozenset({states.ObjectKind.ROSTER}))
    return {
        member.instance
        for stored in rosters
        for member in stored.value.members
    }


def a_leader(steady: world.World) -> objects.Leadership:
    """Return one leadership of an upstream that owns shards."""
    segment = segment_of(steady)
    owning = {one.upstream for one in segment.assignments}
    return next(one for one in segment.leaders if one.upstream in owning)


def shards_led_by(steady: world.World, instance: str) -> set[int]:
    """Return the shards whose requests an instance sends."""
    segment = segment_of(steady)
    led = {one.upstream for one in segment.leaders if one.instance == instance}
    return {one.shard for one in segment.assignments if one.upstream in led}


def gap_after(steady: world.World, seconds: float) -> float:
    """Let time pass; return the longest gap within it."""
    start = steady.at
    steady.run(seconds)
    return steady.runs.longest_gap(start, steady.at)


class TestPlatformOutage:
    """Nothing stops because the platform is out."""

    def test_alone(self, steady: world.World) -> None:
        """All goes on for many times the promise."""
        steady.faults.platform_out = True
        assert gap_after(steady, 60) < STEADY_GAP
        steady.faults.platform_out = False
        assert gap_after(steady, 10) < STEADY_GAP

    @pytest.mark.parametrize("before_loss", [0.1, 5.0])
    def test_with_a_loss(
        self, steady: world.World, before_loss: float
    ) -> None:
        """The rest go on; the keys are back soon after the return."""
        lost = a_leader(steady).instance
        others = set(range(12)) - shards_led_by(steady, lost)
        start = steady.at
        steady.faults.platform_out = True
        steady.run(before_loss)
        steady.kill(lost)
        steady.run(15)
        steady.faults.platform_out = False
        returned = steady.at
        steady.run(10)
        served = steady.runs.longest_gap(returned + LOSS_SECONDS, steady.at)
        assert served < STEADY_GAP
        if others:
            gap = steady.runs.longest_gap(start, returned, others)
            assert gap < STEADY_GAP

    def test_lone_instance(self) -> None:
        """An instance with no others goes on by itself."""
        alone = world.World(1, {"i0": "a"})
        alone.run(4)
        alone.faults.platform_out = True
        assert gap_after(alone, 30) < STEADY_GAP


class TestLostReleases:
    """A promise ends although the message that releases it is lost."""

    @pytest.mark.parametrize("seed", [7, 8, 9])
    def test_loss_after_an_outage(self, seed: int) -> None:
        """A leader lost after an outage is succeeded as at other times."""
        steady = world.World(seed, HOMES, promise=120.0)
        steady.run(8)
        steady.faults.lost_types = (leases.PromiseRelease,)
        steady.faults.platform_out = True
        steady.run(5)
        steady.faults.platform_out = False
        steady.run(5)
        lost = a_leader(steady).instance
        steady.kill(lost)
        assert gap_after(steady, LOSS_SECONDS) < LOSS_SECONDS
        assert lost not in members_of(steady)


class TestNarration:
    """The time line has what was done, not what was tried."""

    def test_each_term_is_taken_once(self) -> None:
        """A planner that cannot write tells of no leadership."""
        steady = world.World(7, HOMES)
        steady.run(8)
        home = HOMES[a_leader(steady).instance]
        steady.faults.cut_from_platform |= {
            one for one, other in HOMES.items() if other == home
        }
        steady.run(12)
        taken = collections.Counter(
            (one.upstream, one.term)
            for one in steady.events
            if one.kind is events.EventKind.LEADERSHIP_TAKEN
        )
        assert taken
        assert set(taken.values()) == {1}


class TestLosses:
    """Keys are served again within the target after each loss."""

    def test_upstream(self, steady: world.World) -> None:
        """The shards of a lost upstream go to several others."""
        leader = a_leader(steady)
        lost = {
            one.shard
            for one in segment_of(steady).assignments
            if one.upstream == leader.upstream
        }
        steady.upstreams[leader.upstream].kill()
        assert gap_after(steady, 8) < LOSS_SECONDS
        after = segment_of(steady).assignments
        owners = {one.upstream for one in after if one.shard in lost}
        assert leader.upstream not in owners
        assert len(owners) > 1
        counts = collections.Counter(one.upstream for one in after)
        assert max(counts.values()) <= math.ceil(12 / 3 * 1.15)

    def test_leader(self, steady: world.World) -> None:
        """Another instance leads."""
        steady.kill(a_leader(steady).instance)
        assert gap_after(steady, 8) < LOSS_SECONDS

    def test_leader_and_upstream(self, steady: world.World) -> None:
        """Both at once."""
        leader = a_leader(steady)
        steady.kill(leader.instance)
        steady.upstreams[leader.upstream].kill()
        assert gap_after(steady, 8) < LOSS_SECONDS

    def test_data_centre(self, steady: world.World) -> None:
        """All instances of a data centre at once."""
        home = HOMES[a_leader(steady).instance]
        for name in [one for one, other in HOMES.items() if other == home]:
            steady.kill(name)
        assert gap_after(steady, 8) < LOSS_SECONDS

    def test_data_centre_cut_off(self, steady: world.World) -> None:
        """Its leaders stop, others take over, nothing reverts."""
        home = HOMES[a_leader(steady).instance]
        inside = {one for one, other in HOMES.items() if other == home}
        pairs = {
            (one, other)
            for one in HOMES
            for other in HOMES
            if (one in inside) != (other in inside)
        }
        steady.faults.cut_pairs |= pairs
        steady.faults.cut_from_platform |= inside
        assert gap_after(steady, 10) < LOSS_SECONDS
        for name in inside:
            assert not any(
                steady.instances[name].may_send(one, steady.at)
                for one in steady.upstreams
            )
        steady.faults = world.Faults()
        assert gap_after(steady, 10) < LOSS_SECONDS

    def test_one_cut_from_platform(self, steady: world.World) -> None:
        """Others carry the renewals of an instance cut off from it."""
        leader = a_leader(steady)
        steady.faults.cut_from_platform.add(leader.instance)
        assert gap_after(steady, 12) < STEADY_GAP
        assert a_leader(steady).term == leader.term

    def test_data_centre_cut_from_platform(self, steady: world.World) -> None:
        """Others carry renewals and relay the state to a data centre."""
        home = HOMES[a_leader(steady).instance]
        steady.faults.cut_from_platform |= {
            one for one, other in HOMES.items() if other == home
        }
        assert gap_after(steady, 6) < LOSS_SECONDS
        assert gap_after(steady, 6) < LOSS_SECONDS


class TestPauses:
    """A process that was paused does not act on what it believed."""

    def test_leader(self, steady: world.World) -> None:
        """A paused leader is succeeded, and stops when it wakes."""
        leader = a_leader(steady)
        steady.pause(leader.instance)
        assert gap_after(steady, 6) < LOSS_SECONDS
        steady.resume(leader.instance)
        steady.run(1)
        succeeded = next(
            one
            for one in segment_of(steady).leaders
            if one.upstream == leader.upstream
        )
        assert succeeded.term > leader.term
        assert gap_after(steady, 6) < STEADY_GAP

    def test_upstream(self, steady: world.World) -> None:
        """A frozen upstream runs nothing on an old epoch afterwards."""
        leader = a_leader(steady)
        frozen = steady.upstreams[leader.upstream]
        frozen.frozen = True
        assert gap_after(steady, 6) < LOSS_SECONDS
        frozen.thaw(steady)
        assert gap_after(steady, 6) < STEADY_GAP


class TestLostAnswers:
    """Updates whose answers are lost change nothing twice."""

    def test_all_answers(self, steady: world.World) -> None:
        """Leases run on by what the watch brings."""
        steady.faults.lost_answers = 1.0
        assert gap_after(steady, 8) < STEADY_GAP

    def test_with_a_loss(self, steady: world.World) -> None:
        """A takeover is recognised though its answer is lost."""
        steady.faults.lost_answers = 1.0
        steady.kill(a_leader(steady).instance)
        assert gap_after(steady, 8) < LOSS_SECONDS


class TestAdministration:
    """What operators take out of service empties and comes back."""

    def test_draining_upstream(self, steady: world.World) -> None:
        """Its shards move without a long gap, and it gets no more."""
        name = a_leader(steady).upstream
        steady.put(
            states.ObjectKind.UPSTREAM,
            configuration.Upstream(
                name=name,
                service=world.SERVICE,
                host=name,
                port=1,
                data_centre=ids.DataCentreId("a"),
                state=states.AdminState.DRAINING,
            ),
        )
        assert gap_after(steady, 6) < 1.0
        owners = {one.upstream for one in segment_of(steady).assignments}
        assert name not in owners

    def test_data_centre(self, steady: world.World) -> None:
        """Its instances hand over what they lead."""
        home = HOMES[a_leader(steady).instance]
        for state in (states.AdminState.OUT, states.AdminState.IN_SERVICE):
            steady.put(
                states.ObjectKind.DATA_CENTRE,
                configuration.DataCentre(
                    name=ids.DataCentreId(home), state=state
                ),
            )
            assert gap_after(steady, 6) < 1.0 or home == "a"
            leaders = {one.instance for one in segment_of(steady).leaders}
            closed = state is states.AdminState.OUT
            assert not closed or all(HOMES[one] != home for one in leaders)

    def test_leaving_instance(self, steady: world.World) -> None:
        """An instance that drains ends without leading anything."""
        leader = a_leader(steady)
        leaving = steady.instances[leader.instance]
        steady.deliver(leaving, control.DrainWanted())
        assert gap_after(steady, 6) < 1.0
        assert leaving.drained
        leaders = {one.instance for one in segment_of(steady).leaders}
        assert leader.instance not in leaders
