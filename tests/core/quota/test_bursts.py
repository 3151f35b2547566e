"""Tests of requests that come at once, and of rates without a burst."""

import heapq
import itertools
import random

import pytest

from dragonflyshelf.core import ids
from dragonflyshelf.core.quota import allocator
from dragonflyshelf.core.quota import limiter
from dragonflyshelf.core.quota import messages
from dragonflyshelf.core.routing import objects
from dragonflyshelf.core.scheduling import admission

WORKSPACE = ids.WorkspaceId("one")
STEP_SECONDS = 0.01
DELAY_SECONDS = 0.03
"""Time from a token request to its allocation."""

WINDOW_SECONDS = 5.0
OVERAGE_RATIO = 1.1
SLACK_COUNT = 20
"""QUOTA: (rate x window + burst) x 1.1 + 20 in any window."""


def make_workspace(rate: float, burst: float) -> objects.Workspace:
    """Return a workspace with a rate and a burst."""
    return objects.Workspace(
        name=WORKSPACE, key_digests=(), priority=None, rate=rate, burst=burst
    )


class QueueCluster:
    """The token queues of some instances, and the leader's allocator."""

    def __init__(
        self, workspace: objects.Workspace, instance_count: int
    ) -> None:
        """Create the parts; tokens come ``DELAY_SECONDS`` after a request."""
        self.now = ids.Instant(10.0)
        self.workspace = workspace
        self.allocator = allocator.TokenAllocator()
        self.allocator.set_workspaces((workspace,), self.now)
        self.queues = [admission.TokenQueue() for _ in range(instance_count)]
        for queue in self.queues:
            queue.limiter.set_workspaces((workspace,))
            queue.limiter.set_instance_count(instance_count)
        self.is_leader_reachable = True
        self.admitted_at: list[float] = []
        self.refused_count = 0
        self.longest_wait = 0.0
        self._arrived_at: dict[ids.ExchangeId, ids.Instant] = {}
        self._numbers = itertools.count(1)
        self._requests: list[tuple[float, int, int, messages.TokenRequest]] = (
            []
        )

    def fill_bucket(self) -> None:
        """Let the leader's bucket accrue its burst while nothing is sent."""
        self.allocator.allocate(
            messages.TokenRequest(workspace=WORKSPACE, tokens=0), self.now
        )
        self.now = ids.Instant(self.now + 60.0)

    def send(self, index: int) -> None:
        """Send a request to an instance."""
        queue = self.queues[index]
        exchange = ids.ExchangeId(next(self._numbers))
        self._arrived_at[exchange] = self.now
        result = queue.take(exchange, WORKSPACE, self.now)
        if result is limiter.AdmissionResult.ADMITTED:
            self.admitted_at.append(self.now)
        elif result is limiter.AdmissionResult.OVER_LIMIT:
            self.refused_count += 1
        self._request_tokens(index)

    def advance(self, seconds: float) -> None:
        """Let time pass, deliver allocations and resolve timeouts."""
        end = self.now + seconds
        while self.now < end:
            self.now = ids.Instant(self.now + STEP_SECONDS)
            while self._requests and self._requests[0][0] <= self.now:
                _, _, index, request = heapq.heappop(self._requests)
                self._deliver(index, request)
            for index, queue in enumerate(self.queues):
                self._count(queue.resolve_overdue(self.now))
                if queue.has_waiting:
                    self._request_tokens(index)

    def _request_tokens(self, index: int) -> None:
        request = self.queues[index].next_request(WORKSPACE, self.now)
        if request is not None and self.is_leader_reachable:
            heapq.heappush(
                self._requests,
                (
                    self.now + DELAY_SECONDS,
                    next(self._numbers),
                    index,
                    request,
                ),
            )

    def _deliver(self, index: int, request: messages.TokenRequest) -> None:
        queue = self.queues[index]
        allocation = self.allocator.allocate(request, self.now)
        self._count(queue.add_allocation(allocation, self.now))
        if queue.has_waiting:
            self._request_tokens(index)

    def _count(
        self, decisions: "itertools.chain[admission.AdmissionDecision]"
    ) -> None:
        for decision in list(decisions):
            waited = self.now - self._arrived_at[decision.exchange]
            self.longest_wait = max(self.longest_wait, waited)
            if decision.is_admitted:
                self.admitted_at.append(self.now)
            else:
                self.refused_count += 1

    def find_excess(self) -> float:
        """Return by how much the busiest window is over the bound."""
        workspace = self.workspace
        bound = (
            workspace.rate * WINDOW_SECONDS + workspace.burst
        ) * OVERAGE_RATIO + SLACK_COUNT
        most = first = 0
        for last, instant in enumerate(self.admitted_at):
            while self.admitted_at[first] < instant - WINDOW_SECONDS:
                first += 1
            most = max(most, last - first + 1)
        return most - bound


class TestRequestsAtOnce:
    """9 of 10 requests at once of an idle workspace were refused."""

    @pytest.mark.parametrize("count", [2, 10, 40])
    def test_idle_workspace(self, count: int) -> None:
        """All are admitted that its burst allows."""
        cluster = QueueCluster(make_workspace(50.0, 50.0), 8)
        cluster.fill_bucket()
        for _ in range(count):
            cluster.send(0)
        cluster.advance(0.5)
        assert len(cluster.admitted_at) == count
        assert not cluster.refused_count

    def test_many_instances(self) -> None:
        """Five at once at each of eight instances are within the burst."""
        cluster = QueueCluster(make_workspace(50.0, 50.0), 8)
        cluster.fill_bucket()
        for number in range(40):
            cluster.send(number % 8)
        cluster.advance(0.5)
        assert len(cluster.admitted_at) == 40

    def test_beyond_the_burst(self) -> None:
        """Those over the limit are refused, none waits for good."""
        cluster = QueueCluster(make_workspace(5.0, 10.0), 8)
        cluster.fill_bucket()
        for _ in range(60):
            cluster.send(0)
        cluster.advance(1.0)
        assert 10 <= len(cluster.admitted_at) <= 15
        assert len(cluster.admitted_at) + cluster.refused_count == 60
        assert not cluster.queues[0].has_waiting

    @pytest.mark.parametrize("rate", [40.0, 400.0])
    def test_long_above_the_rate(self, rate: float) -> None:
        """Each is decided by the first allocation requested after it came.

        The leader always has a few tokens left for each instance, so that
        none is told that there are none.
        """
        rng = random.Random(3)
        cluster = QueueCluster(make_workspace(rate, rate), 8)
        count = int(rate * 3 * STEP_SECONDS * 1000)
        for number in range(count):
            cluster.send(rng.randrange(8))
            if number % max(int(rate * 3 * STEP_SECONDS), 1) == 0:
                cluster.advance(STEP_SECONDS)
        cluster.advance(2 * DELAY_SECONDS + STEP_SECONDS)
        assert len(cluster.admitted_at) + cluster.refused_count == count
        assert cluster.longest_wait <= 2 * DELAY_SECONDS + 2 * STEP_SECONDS

    def test_lost_leader(self) -> None:
        """Those that wait on when the leader goes get the fallback share."""
        cluster = QueueCluster(make_workspace(50.0, 50.0), 8)
        cluster.fill_bucket()
        cluster.send(0)
        for _ in range(9):
            cluster.send(0)
        cluster.is_leader_reachable = False
        cluster.advance(1.0)
        assert cluster.admitted_at
        assert len(cluster.admitted_at) + cluster.refused_count == 10
        assert not cluster.queues[0].has_waiting


class TestRateWithoutBurst:
    """A rate without a burst refused everything."""

    @pytest.mark.parametrize("rate", [2.0, 40.0, 400.0])
    @pytest.mark.parametrize("burst", [0.0, 1.0])
    @pytest.mark.parametrize("seed", range(3))
    def test_within_the_rate(
        self, rate: float, burst: float, seed: int
    ) -> None:
        """Requests at three quarters of the rate are admitted."""
        rng = random.Random(seed)
        cluster = QueueCluster(make_workspace(rate, burst), 4)
        cluster.fill_bucket()
        seconds = 20.0
        for _ in range(int(seconds / STEP_SECONDS)):
            if rng.random() < rate * 0.75 * STEP_SECONDS % 1:
                cluster.send(rng.randrange(4))
            for _ in range(int(rate * 0.75 * STEP_SECONDS)):
                cluster.send(rng.randrange(4))
            cluster.advance(STEP_SECONDS)
        sent_count = len(cluster.admitted_at) + cluster.refused_count
        assert len(cluster.admitted_at) >= sent_count * 0.7

    @pytest.mark.parametrize("rate", [2.0, 40.0, 400.0])
    def test_above_the_rate(self, rate: float) -> None:
        """Three times the rate is limited to it, in any window."""
        rng = random.Random(7)
        cluster = QueueCluster(make_workspace(rate, 0.0), 8)
        for step in range(2000):
            is_due = (step + 1) * rate * 3 * STEP_SECONDS // 1
            for _ in range(int(is_due - step * rate * 3 * STEP_SECONDS // 1)):
                cluster.send(rng.randrange(8))
            cluster.advance(STEP_SECONDS)
        assert cluster.find_excess() <= 0
        assert len(cluster.admitted_at) >= rate * 20 * 0.8


class TestQuota:
    """QUOTA: rate and burst hold in sum over all instances."""

    @pytest.mark.parametrize("seed", range(12))
    def test_random_bursts(self, seed: int) -> None:
        """Bursts at once, idle times and lost leaders keep the bound."""
        rng = random.Random(seed)
        rate = rng.choice([2.0, 20.0, 80.0, 200.0])
        burst = rng.choice([0.0, 1.0, rate, rate * 3])
        cluster = QueueCluster(make_workspace(rate, burst), 8)
        for _ in range(200):
            if rng.random() < 0.03:
                cluster.is_leader_reachable = not cluster.is_leader_reachable
            target = rng.randrange(8)
            for _ in range(int(rng.expovariate(2 / rate)) + 1):
                cluster.send(rng.choice([target, rng.randrange(8)]))
            cluster.advance(rng.choice([0.02, 0.1, 0.4, 2.0]))
        assert cluster.find_excess() <= 0
