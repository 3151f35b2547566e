"""Tests of the placement of ranges of a service with many upstreams.

Load: 234 upstreams of three speeds, and keys of which the first are the
busiest, as a few things out of many are.
"""

import dataclasses

import pytest

from dragonflyshelf.core.grantor import capacity
from dragonflyshelf.core.grantor import const
from dragonflyshelf.core.grantor import objects
from dragonflyshelf.core.grantor import planning
from dragonflyshelf.core.grantor import rebalancing
from dragonflyshelf.core import ids
from dragonflyshelf.core.upstreams import service_times
from tests.core.grantor import simulation as simulations

UPSTREAM_COUNT = 234
DATA_CENTRES = ("a", "b", "c")
SPEEDS = (0.5, 1.0, 1.0, 1.5)
SLOWEST, FASTEST = min(SPEEDS), max(SPEEDS)
SERVICE_TIME_SECONDS = 0.42
RESPONSE_COUNT = 100.0
SKEW_EXPONENT = 0.66
"""Share of the load in the first part x of the keys: x to this power."""

QUIET_RATE = 650.0
BUSY_RATE = 2000.0
PASS_COUNT = 5

REGISTRATIONS = [
    dataclasses.replace(
        simulations.Upstream(name=ids.UpstreamId(f"u{n:03}")).registration(),
        data_centre=ids.DataCentreId(DATA_CENTRES[n % len(DATA_CENTRES)]),
        slots=6,
    )
    for n in range(UPSTREAM_COUNT)
]
SPEED_BY_INCARNATION = {
    registration.incarnation: SPEEDS[n % len(SPEEDS)]
    for n, registration in enumerate(REGISTRATIONS)
}
SUMS_BY_INCARNATION = {
    incarnation: service_times.ServiceTimeSum(
        life=incarnation,
        seconds=RESPONSE_COUNT * SERVICE_TIME_SECONDS / speed,
        answers=RESPONSE_COUNT,
    )
    for incarnation, speed in SPEED_BY_INCARNATION.items()
}


def make_load(rate: float) -> dict[ids.ShardKey, float]:
    """Return the load by bucket, in requests per second."""
    count = objects.SHARD_KEY_COUNT // objects.BUCKET_KEY_COUNT
    edges = [
        rate * (number / count) ** SKEW_EXPONENT for number in range(count + 1)
    ]
    load = {
        ids.ShardKey(objects.BUCKET_KEY_COUNT * number): end - start
        for number, (start, end) in enumerate(zip(edges, edges[1:]))
    }
    load[objects.TOTAL_LOAD_KEY] = rate
    return load


class PlacedService:
    """Assignments of the service at a rate, all moves done at once."""

    def __init__(self, rate: float) -> None:
        """Place the ranges as at a start."""
        self.load = make_load(rate)
        self.candidates = list(REGISTRATIONS)
        self.assignments = planning.initial_assignments(REGISTRATIONS)

    def _make_rebalancer(self) -> rebalancing.Rebalancer:
        return rebalancing.Rebalancer(
            self.assignments,
            self.candidates,
            self.load,
            capacity.find_capacities(
                self.candidates,
                SUMS_BY_INCARNATION,
                self.load[objects.TOTAL_LOAD_KEY],
            ),
        )

    def rebalance(self) -> None:
        """Rebalance until nothing is left to be done."""
        max_moves = int(
            const.CONCURRENT_MOVES_PER_UPSTREAM_RATIO * len(self.candidates)
        )
        for _ in range(PASS_COUNT):
            self.assignments = tuple(
                map(
                    planning.settled,
                    self._make_rebalancer().rebalance(max_moves),
                )
            )

    def evacuate(self, data_centre: str) -> None:
        """Give the ranges of a data centre to upstreams of the others."""
        self.candidates = [
            registration
            for registration in REGISTRATIONS
            if registration.data_centre != data_centre
        ]
        remaining = {candidate.incarnation for candidate in self.candidates}
        rebalancer = self._make_rebalancer()
        self.assignments = tuple(
            (
                assignment
                if assignment.life in remaining
                else planning.settled(rebalancer.place(assignment))
            )
            for assignment in self.assignments
        )

    def load_by_incarnation(self) -> dict[ids.UpstreamIncarnation, float]:
        """Return the requests per second at each holder."""
        plan = objects.ShardPlan(
            service=simulations.SERVICE, assignments=self.assignments
        )
        loads = {candidate.incarnation: 0.0 for candidate in self.candidates}
        for key, rate in self.load.items():
            assignment = plan.find(key)
            assert assignment is not None
            if key != objects.TOTAL_LOAD_KEY:
                loads[assignment.life] += rate
        return loads

    def highest_utilization(self) -> float:
        """Return the busy part of the slots of the busiest holder."""
        return max(
            rate * SERVICE_TIME_SECONDS / SPEED_BY_INCARNATION[incarnation] / 6
            for incarnation, rate in self.load_by_incarnation().items()
        )

    def share_at_speed(self, speed: float) -> float:
        """Return the part of the load at upstreams of a speed."""
        loads = self.load_by_incarnation()
        at_speed = sum(
            rate
            for incarnation, rate in loads.items()
            if SPEED_BY_INCARNATION[incarnation] == speed
        )
        return at_speed / sum(loads.values())


class TestManyUpstreams:
    """More upstreams than a plan of a small service has ranges."""

    @pytest.mark.parametrize("rate", [QUIET_RATE, BUSY_RATE])
    def test_busy_keys_are_spread(self, rate: float) -> None:
        """No holder of the busiest keys has more than it can serve."""
        service = PlacedService(rate)
        assert service.highest_utilization() > 1.0
        service.rebalance()
        assert service.highest_utilization() < 1.0

    def test_range_count_is_bounded(self) -> None:
        """The number of grants to be renewed stays in proportion."""
        service = PlacedService(BUSY_RATE)
        service.rebalance()
        max_count = const.MAX_RANGES_PER_UPSTREAM * UPSTREAM_COUNT
        assert len(service.assignments) <= max_count + UPSTREAM_COUNT // 4


class TestEvacuation:
    """A data centre is evacuated under load."""

    def test_ranges_go_by_load(self) -> None:
        """Its ranges go to those that have room, before any pass."""
        service = PlacedService(QUIET_RATE)
        service.rebalance()
        service.evacuate("a")
        assert service.highest_utilization() < 1.0


class TestUnequalSpeeds:
    """Upstreams that differ three times in speed."""

    def test_room_to_spare(self) -> None:
        """The slowest hold few of the keys while others have room."""
        service = PlacedService(QUIET_RATE)
        service.rebalance()
        assert service.share_at_speed(SLOWEST) < 0.05
        assert service.share_at_speed(FASTEST) > 0.5
        utilization = service.highest_utilization()
        assert utilization <= const.OVERLOAD_RATIO * (
            capacity.COMFORTABLE_UTILIZATION
        )

    def test_no_room_to_spare(self) -> None:
        """Under load all are utilized alike: each in proportion to speed."""
        service = PlacedService(BUSY_RATE)
        service.rebalance()
        slow, fast = map(service.share_at_speed, (SLOWEST, FASTEST))
        assert slow > 0.5 * fast * SLOWEST / FASTEST
