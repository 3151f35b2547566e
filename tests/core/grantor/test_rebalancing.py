"""Tests of rebalancing by load patterns."""

import dataclasses

from dragonflyshelf.core.grantor import const
from dragonflyshelf.core.grantor import objects
from dragonflyshelf.core.grantor import planning
from dragonflyshelf.core.grantor import rebalancing
from dragonflyshelf.core import ids
from dragonflyshelf.core.upstreams import service_times
from tests.core.grantor import simulation as simulations

SERVICE = simulations.SERVICE
RESPONSE_COUNT = 100.0
TOTAL_LOAD_KEY = objects.TOTAL_LOAD_KEY
UPSTREAMS = [
    simulations.Upstream(name=ids.UpstreamId(f"u{n}")).registration()
    for n in range(4)
]
ASSIGNMENTS = planning.initial_assignments(UPSTREAMS)


def rebalance(
    load: dict[int, float],
    assignments: rebalancing.Assignments = ASSIGNMENTS,
    **service_time_by_upstream: float,
) -> rebalancing.Assignments:
    """Return the assignments after one rebalancing pass."""
    sums_by_incarnation = {
        upstream.incarnation: service_times.ServiceTimeSum(
            life=upstream.incarnation,
            seconds=RESPONSE_COUNT
            * service_time_by_upstream.get(str(upstream.id), 0.1),
            answers=RESPONSE_COUNT,
        )
        for upstream in UPSTREAMS
    }
    return rebalancing.Rebalancer(
        assignments,
        UPSTREAMS,
        {ids.ShardKey(key): rate for key, rate in load.items()},
        rebalancing.capacities(UPSTREAMS, sums_by_incarnation),
    ).rebalance(const.MIN_CONCURRENT_MOVE_COUNT)


def settle(assignments: rebalancing.Assignments) -> rebalancing.Assignments:
    """Return the assignments after all moves have ended."""
    return tuple(
        dataclasses.replace(assignment, is_settled=True)
        for assignment in assignments
    )


def load_by_holder(
    assignments: rebalancing.Assignments, load: dict[int, float]
) -> dict[ids.UpstreamId, float]:
    """Return the load of each holder that is reported by bucket."""
    plan = objects.ShardPlan(service=SERVICE, assignments=assignments)
    load_by_upstream = {upstream.id: 0.0 for upstream in UPSTREAMS}
    for key, rate in load.items():
        assignment = plan.find(ids.ShardKey(key))
        if key != TOTAL_LOAD_KEY and assignment is not None:
            load_by_upstream[assignment.upstream] += rate
    return load_by_upstream


class TestAdjacentHotKeys:
    """Busy keys that are adjacent."""

    def test_are_spread(self) -> None:
        """After several passes no holder has much more than the mean load."""
        load = {64 * n: 10.0 for n in range(16)}
        load[TOTAL_LOAD_KEY] = 160.0
        assignments = ASSIGNMENTS
        for _ in range(8):
            assignments = settle(rebalance(load, assignments))
        load_by_upstream = load_by_holder(assignments, load)
        assert max(load_by_upstream.values()) <= 1.5 * 160.0 / 4

    def test_few_keys_move(self) -> None:
        """Only busy buckets are moved, not whole ranges."""
        load = {64 * n: 10.0 for n in range(16)}
        load[TOTAL_LOAD_KEY] = 160.0
        assignments = rebalance(load)
        moved_key_count = sum(
            assignment.last - assignment.first + 1
            for assignment in assignments
            if not assignment.is_settled
        )
        assert 0 < moved_key_count <= 4 * 2048


class TestHotBucket:
    """A bucket with most of the traffic."""

    def test_moves_to_the_fastest_upstream(self) -> None:
        """The hot bucket moves to the upstream with the highest capacity."""
        load = {0: 60.0, TOTAL_LOAD_KEY: 100.0}
        assignments = ASSIGNMENTS
        for _ in range(8):
            assignments = settle(rebalance(load, assignments, u3=0.05))
        plan = objects.ShardPlan(service=SERVICE, assignments=assignments)
        assignment = plan.find(ids.ShardKey(0))
        assert assignment is not None
        assert assignment.upstream == "u3"


class TestEvenLoad:
    """Load that is spread evenly."""

    def test_nothing_moves(self) -> None:
        """An even load moves no key."""
        assert rebalance({TOTAL_LOAD_KEY: 100.0}) == ASSIGNMENTS

    def test_new_upstream_is_assigned_load(self) -> None:
        """A new upstream without ranges is assigned part of the load."""
        assignments = planning.initial_assignments(UPSTREAMS[:3])
        assert any(
            assignment.upstream == "u3"
            for assignment in rebalance({TOTAL_LOAD_KEY: 100.0}, assignments)
        )


class TestSplitAndMerge:
    """Splitting and merging of ranges."""

    def test_split_keeps_every_key(self) -> None:
        """The parts of a range cover it without a gap."""
        assignment = ASSIGNMENTS[1]
        first = ids.ShardKey(assignment.first + 64)
        parts = planning.split(assignment, first, ids.ShardKey(first + 63))
        assert [part.first for part in parts] == [
            assignment.first,
            first,
            first + 64,
        ]
        assert parts[-1].last == assignment.last

    def test_adjacent_ranges_are_merged(self) -> None:
        """Adjacent settled ranges of one holder are merged."""
        assignment = ASSIGNMENTS[0]
        parts = planning.split(assignment, ids.ShardKey(64), ids.ShardKey(127))
        assert planning.merged(list(parts)) == (assignment,)

    def test_merged_range_has_the_highest_epoch(self) -> None:
        """A merged range has the highest epoch of its parts."""
        assignment = ASSIGNMENTS[0]
        first, second, _ = planning.split(
            assignment, ids.ShardKey(64), ids.ShardKey(127)
        )
        higher = dataclasses.replace(second, epoch=ids.Epoch(8))
        (merged,) = planning.merged([first, higher])
        assert merged.epoch == 8


class TestHotKey:
    """One key with most of the traffic of its holder."""

    def test_other_keys_leave_its_holder(self) -> None:
        """The holder's other keys are moved, and the hot key stays."""
        load = {0: 80.0, 64: 4.0, 640: 4.0, TOTAL_LOAD_KEY: 120.0}
        before = objects.ShardPlan(service=SERVICE, assignments=ASSIGNMENTS)
        holder = before.find(ids.ShardKey(0)).life
        assignments = ASSIGNMENTS
        for _ in range(6):
            assignments = settle(rebalance(load, assignments))
        after = objects.ShardPlan(service=SERVICE, assignments=assignments)
        assert after.find(ids.ShardKey(0)).life == holder
        assert after.find(ids.ShardKey(64)).life != holder
        assert after.find(ids.ShardKey(640)).life != holder

    def test_moves_to_a_much_faster_holder(self) -> None:
        """A hot key is moved to a holder that serves it much faster."""
        load = {0: 80.0, TOTAL_LOAD_KEY: 90.0}
        assignments = ASSIGNMENTS
        for _ in range(6):
            assignments = settle(
                rebalance(load, assignments, u0=0.2, u1=0.1, u2=0.05, u3=0.1)
            )
        after = objects.ShardPlan(service=SERVICE, assignments=assignments)
        assert after.find(ids.ShardKey(0)).upstream == "u2"

    def test_others_are_rebalanced_meanwhile(self) -> None:
        """Another overloaded holder is relieved while one key is hot."""
        load = {0: 80.0, TOTAL_LOAD_KEY: 120.0}
        second = ASSIGNMENTS[1]
        for number in range(4):
            load[second.first + 64 * number] = 10.0
        assignments = ASSIGNMENTS
        for _ in range(6):
            assignments = settle(rebalance(load, assignments))
        load_of_second = load_by_holder(assignments, load)[second.upstream]
        assert load_of_second <= 20.0

    def test_unfinished_move_does_not_block_others(self) -> None:
        """A move that does not end does not block other moves."""
        load = {64 * n: 10.0 for n in range(16)}
        load[TOTAL_LOAD_KEY] = 160.0
        unfinished = planning.moved(ASSIGNMENTS[-1], UPSTREAMS[0])
        assignments = rebalance(load, (*ASSIGNMENTS[:-1], unfinished))
        assert sum(not assignment.is_settled for assignment in assignments) > 1
