"""Tests of the rate limits over all instances."""

import random

import pytest

from dragonflyshelf.core import ids
from dragonflyshelf.core.quota import allocator
from dragonflyshelf.core.quota import bucket
from dragonflyshelf.core.quota import const
from dragonflyshelf.core.quota import limiter
from dragonflyshelf.core.quota import messages
from dragonflyshelf.core.quota import pool
from dragonflyshelf.core.routing import objects

WORKSPACE = ids.WorkspaceId("one")
RATE = 40.0
INSTANCE_COUNT = 8


def workspace(rate: float = RATE) -> objects.Workspace:
    """Return a workspace whose burst is one second of its rate."""
    return objects.Workspace(
        name=WORKSPACE, key_digests=(), priority=None, rate=rate, burst=rate
    )


class LimiterCluster:
    """The allocator of a leader and the limiters of its instances."""

    def __init__(self, instance_count: int = INSTANCE_COUNT) -> None:
        """Create the parts; the leader responds at once."""
        self.now = ids.Instant(10.0)
        self.allocator = allocator.TokenAllocator()
        self.allocator.set_workspaces((workspace(),), self.now)
        self.limiters = [
            limiter.WorkspaceLimiter() for _ in range(instance_count)
        ]
        for workspace_limiter in self.limiters:
            workspace_limiter.set_workspaces((workspace(),))
            workspace_limiter.set_instance_count(instance_count)
        self.is_leader_reachable = True
        self.admitted: list[float] = []

    def send(self, number: int) -> bool:
        """Send a request to an instance; return whether it is admitted."""
        workspace_limiter = self.limiters[number]
        result = workspace_limiter.take(WORKSPACE, self.now)
        waiting = int(result is limiter.AdmissionResult.PENDING)
        request = workspace_limiter.next_request(WORKSPACE, waiting, self.now)
        if request is not None and self.is_leader_reachable:
            workspace_limiter.add_allocation(
                self.allocator.allocate(request, self.now), self.now
            )
        admitted = result is limiter.AdmissionResult.ADMITTED
        if waiting and self.is_leader_reachable:
            admitted = workspace_limiter.take_deferred(WORKSPACE, self.now)
        elif waiting:
            self.now = ids.Instant(
                self.now + const.TOKEN_REQUEST_TIMEOUT_SECONDS + 0.001
            )
            assert workspace_limiter.check_timeout(WORKSPACE, self.now)
            admitted = workspace_limiter.take_deferred(WORKSPACE, self.now)
        if admitted:
            self.admitted.append(self.now)
        return admitted

    def max_admitted(self, seconds: float) -> int:
        """Return the most admissions in any window of so many seconds."""
        return max(
            (
                sum(
                    start <= instant < start + seconds
                    for instant in self.admitted
                )
                for start in self.admitted
            ),
            default=0,
        )


class TestLimitOverInstances:
    """The instances together enforce rate and burst."""

    @pytest.mark.parametrize("seed", range(10))
    def test_above_the_rate(self, seed: int) -> None:
        """Five times the rate, unevenly spread, is limited to the rate."""
        rng = random.Random(seed)
        cluster = LimiterCluster()
        for _ in range(int(RATE * 5 * 8)):
            cluster.now = ids.Instant(cluster.now + 1 / (RATE * 5))
            cluster.send(min(int(rng.expovariate(0.5)), INSTANCE_COUNT - 1))
        window = 5.0
        bound = (RATE * window + RATE) * 1.1 + 20
        assert cluster.max_admitted(window) <= bound
        assert len(cluster.admitted) >= RATE * 8 * 0.9

    @pytest.mark.parametrize("seed", range(10))
    def test_within_the_rate(self, seed: int) -> None:
        """A workspace within its rate is hardly ever refused."""
        rng = random.Random(seed)
        cluster = LimiterCluster()
        refused = 0
        for _ in range(int(RATE * 0.6 * 20)):
            cluster.now = ids.Instant(
                cluster.now + rng.expovariate(RATE * 0.6)
            )
            refused += not cluster.send(rng.randrange(INSTANCE_COUNT))
        assert refused <= 5

    @pytest.mark.parametrize("seed", range(5))
    def test_sparse_requests(self, seed: int) -> None:
        """Sparse requests use one token each.

        With 64 instances each of them rarely sees a request of the
        workspace; tokens that it prefetched would be lost to the others.
        """
        rng = random.Random(seed)
        cluster = LimiterCluster(64)
        refused = 0
        for _ in range(int(RATE * 0.8 * 20)):
            cluster.now = ids.Instant(
                cluster.now + rng.expovariate(RATE * 0.8)
            )
            refused += not cluster.send(rng.randrange(64))
        assert refused <= 5

    def test_without_a_leader(self) -> None:
        """Half of the rate is served while no leader allocates tokens."""
        cluster = LimiterCluster()
        cluster.is_leader_reachable = False
        for number in range(int(RATE * 2 * 10)):
            cluster.now = ids.Instant(cluster.now + 1 / (RATE * 2))
            cluster.send(number % INSTANCE_COUNT)
        seconds = cluster.now - 10.0
        served = len(cluster.admitted)
        assert served <= RATE * const.FALLBACK_RATIO * (seconds + 2)
        assert served >= RATE * const.FALLBACK_RATIO * seconds * 0.7

    def test_restart_without_a_leader(self) -> None:
        """Instances without a list of instances together keep the limit.

        All instances of a large deployment restart at once, and a
        workspace with a small rate sends requests to each of them before
        there is a leader.
        """
        rate = 9.0
        limiters = [limiter.WorkspaceLimiter() for _ in range(69)]
        for workspace_limiter in limiters:
            workspace_limiter.set_workspaces((workspace(rate),))
        admitted = 0
        for tenth in range(50):
            now = ids.Instant(10.0 + tenth / 10)
            for workspace_limiter in limiters:
                workspace_limiter.take(WORKSPACE, now)
                workspace_limiter.next_request(WORKSPACE, 1, now)
                workspace_limiter.check_timeout(
                    WORKSPACE, ids.Instant(now + 0.31)
                )
                admitted += workspace_limiter.take_deferred(
                    WORKSPACE, ids.Instant(now + 0.31)
                )
        assert admitted <= (rate * 5 + rate) * 1.1 + 20

    def test_late_allocation(self) -> None:
        """Used tokens of the fallback share are subtracted from late ones."""
        workspace_limiter = limiter.WorkspaceLimiter()
        workspace_limiter.set_workspaces((workspace(),))
        workspace_limiter.set_instance_count(INSTANCE_COUNT)
        for _ in range(2):
            workspace_limiter.take(WORKSPACE, ids.Instant(10.0))
        workspace_limiter.next_request(WORKSPACE, 2, ids.Instant(10.0))
        assert workspace_limiter.check_timeout(WORKSPACE, ids.Instant(10.31))
        assert all(
            workspace_limiter.take_deferred(WORKSPACE, ids.Instant(10.31))
            for _ in range(2)
        )
        allocation = messages.TokenAllocation(
            workspace=WORKSPACE, tokens=3, wait=0.0
        )
        workspace_limiter.add_allocation(allocation, ids.Instant(10.32))
        results = [
            workspace_limiter.take(WORKSPACE, ids.Instant(10.33))
            for _ in range(2)
        ]
        assert results == [
            limiter.AdmissionResult.ADMITTED,
            limiter.AdmissionResult.PENDING,
        ]

    @pytest.mark.parametrize("seconds", [0.05, 0.25, 0.4])
    def test_slow_leader(self, seconds: float) -> None:
        """The tokens of a leader that responds late are used."""
        token_allocator = allocator.TokenAllocator()
        token_allocator.set_workspaces((workspace(),), ids.Instant(10.0))
        workspace_limiter = limiter.WorkspaceLimiter()
        workspace_limiter.set_workspaces((workspace(),))
        workspace_limiter.set_instance_count(INSTANCE_COUNT)
        allocations: list[tuple[float, messages.TokenAllocation]] = []
        waiting = admitted = 0
        steps = 2000
        for step in range(steps):
            now = ids.Instant(10.0 + step / 100)
            while allocations and allocations[0][0] <= now:
                workspace_limiter.add_allocation(allocations.pop(0)[1], now)
            if step % 5 == 0:
                result = workspace_limiter.take(WORKSPACE, now)
                admitted += result is limiter.AdmissionResult.ADMITTED
                waiting += result is limiter.AdmissionResult.PENDING
            request = workspace_limiter.next_request(WORKSPACE, waiting, now)
            if request is not None:
                allocations.append(
                    (now + seconds, token_allocator.allocate(request, now))
                )
            if waiting and workspace_limiter.check_timeout(WORKSPACE, now):
                admitted += workspace_limiter.take_deferred(WORKSPACE, now)
                waiting = 0
            while waiting and workspace_limiter.take_deferred(WORKSPACE, now):
                admitted += 1
                waiting -= 1
        assert admitted >= steps / 5 * 0.8

    def test_probe_after_timeout(self) -> None:
        """After a timeout the leader is probed whatever the demand.

        With many instances the demand at each of them is too low for a
        prefetch, so none would notice that the leader responds again.
        """
        workspace_limiter = limiter.WorkspaceLimiter()
        workspace_limiter.set_workspaces((workspace(),))
        workspace_limiter.set_instance_count(64)
        workspace_limiter.take(WORKSPACE, ids.Instant(10.0))
        workspace_limiter.next_request(WORKSPACE, 1, ids.Instant(10.0))
        assert workspace_limiter.check_timeout(
            WORKSPACE, ids.Instant(10.0 + 0.2)
        )
        assert (
            workspace_limiter.take(WORKSPACE, ids.Instant(11.0))
            is limiter.AdmissionResult.OVER_LIMIT
        )
        probe = workspace_limiter.next_request(WORKSPACE, 0, ids.Instant(11.0))
        assert probe is not None
        allocation = messages.TokenAllocation(
            workspace=WORKSPACE, tokens=1, wait=0.0
        )
        workspace_limiter.add_allocation(allocation, ids.Instant(11.01))
        assert (
            workspace_limiter.take(WORKSPACE, ids.Instant(11.02))
            is limiter.AdmissionResult.ADMITTED
        )

    def test_lowered_limit(self) -> None:
        """A lowered rate applies at once."""
        cluster = LimiterCluster()
        lowered = (workspace(5.0),)
        cluster.allocator.set_workspaces(lowered, cluster.now)
        for workspace_limiter in cluster.limiters:
            workspace_limiter.set_workspaces(lowered)
        for number in range(200):
            cluster.now = ids.Instant(cluster.now + 0.025)
            cluster.send(number % INSTANCE_COUNT)
        assert len(cluster.admitted) <= 5 * 5 + 5


class TestRelay:
    """A relay requests tokens for its members."""

    def allocation(
        self, tokens: int, wait: float = 0.0
    ) -> messages.TokenAllocation:
        """Return a token allocation of the leader."""
        return messages.TokenAllocation(
            workspace=WORKSPACE, tokens=tokens, wait=wait
        )

    def request(
        self,
        token_pool: pool.TokenPool,
        link: str,
        now: float,
        tokens: int = 1,
    ) -> list[pool.Reply]:
        """Send the token request of a member; return the replies."""
        request = messages.TokenRequest(workspace=WORKSPACE, tokens=tokens)
        return list(token_pool.request_tokens(link, request, ids.Instant(now)))

    def test_members_share_a_request(self) -> None:
        """One token request under way covers several members."""
        token_pool = pool.TokenPool()
        assert not self.request(token_pool, "one", 1.0)
        first = token_pool.next_request(WORKSPACE, True, ids.Instant(1.0))
        assert first is not None and first.tokens == 1
        assert not self.request(token_pool, "two", 1.01, tokens=2)
        assert (
            token_pool.next_request(WORKSPACE, True, ids.Instant(1.01)) is None
        )
        replies = list(
            token_pool.add_allocation(self.allocation(1), ids.Instant(1.02))
        )
        assert [reply.link for reply in replies] == ["one"]
        second = token_pool.next_request(WORKSPACE, True, ids.Instant(1.02))
        assert second is not None and second.tokens == 2

    def test_hands_out_only_allocated_tokens(self) -> None:
        """A relay hands out only allocated tokens, and discards old ones."""
        token_pool = pool.TokenPool()
        self.request(token_pool, "one", 1.0)
        token_pool.next_request(WORKSPACE, True, ids.Instant(1.0))
        replies = list(
            token_pool.add_allocation(self.allocation(2), ids.Instant(1.01))
        )
        assert sum(reply.allocation.tokens for reply in replies) == 1
        late = 1.01 + const.RELAY_TOKEN_TTL_SECONDS + 0.01
        assert not self.request(token_pool, "two", late)

    def test_no_tokens_available(self) -> None:
        """Members get a wait at once while no tokens are available."""
        token_pool = pool.TokenPool()
        self.request(token_pool, "one", 1.0)
        token_pool.next_request(WORKSPACE, True, ids.Instant(1.0))
        (reply,) = token_pool.add_allocation(
            self.allocation(0, wait=0.5), ids.Instant(1.01)
        )
        assert (reply.allocation.tokens, round(reply.allocation.wait, 3)) == (
            0,
            0.5,
        )
        (reply,) = self.request(token_pool, "two", 1.31)
        assert reply.allocation.wait == pytest.approx(0.2)
        assert (
            token_pool.next_request(WORKSPACE, True, ids.Instant(1.31)) is None
        )


class RelayCluster:
    """Relays with members, of which a leader serves some."""

    def __init__(self, rate: float) -> None:
        """Create five relays with 39 instances each."""
        self.now = ids.Instant(10.0)
        self.allocator = allocator.TokenAllocator()
        self.allocator.set_workspaces((workspace(rate),), self.now)
        self.relays = [pool.TokenPool() for _ in range(5)]
        self.limiters = [
            [limiter.WorkspaceLimiter() for _ in range(39)]
            for _ in self.relays
        ]
        for relay, members in zip(self.relays, self.limiters):
            relay.fallback_share.set_workspaces((workspace(rate),))
            relay.fallback_share.set_instances(39, 195)
            for member in members:
                member.set_workspaces((workspace(rate),))
                member.set_instance_count(195)
        self.served_relays = {0, 1, 2, 3, 4}
        self.admitted: list[float] = []
        self.refused: list[float] = []

    def send(self, relay_number: int, member_number: int) -> None:
        """Send a request; the relay responds within its timeout."""
        member = self.limiters[relay_number][member_number]
        result = member.take(WORKSPACE, self.now)
        pending_count = int(result is limiter.AdmissionResult.PENDING)
        request = member.next_request(WORKSPACE, pending_count, self.now)
        if request is not None:
            for allocation in self.ask(relay_number, request):
                member.add_allocation(allocation, self.now)
        is_admitted = result is limiter.AdmissionResult.ADMITTED
        if pending_count:
            is_admitted = member.take_deferred(WORKSPACE, self.now)
        (self.admitted if is_admitted else self.refused).append(self.now)

    def ask(
        self, relay_number: int, request: messages.TokenRequest
    ) -> list[messages.TokenAllocation]:
        """Return what the relay sends to a member within its timeout."""
        relay = self.relays[relay_number]
        replies = list(relay.request_tokens("link", request, self.now))
        upward = relay.next_request(WORKSPACE, True, self.now)
        if upward is not None and relay_number in self.served_relays:
            replies += relay.add_allocation(
                self.allocator.allocate(upward, self.now), self.now
            )
        timeout = const.RELAY_REQUEST_TIMEOUT_SECONDS
        replies += relay.resolve_overdue(ids.Instant(self.now + timeout))
        return [reply.allocation for reply in replies]

    def run(self, seconds: float, demand: float, rng: random.Random) -> None:
        """Send requests at a rate to random instances."""
        end = self.now + seconds
        while self.now < end:
            self.now = ids.Instant(self.now + rng.expovariate(demand))
            self.send(rng.randrange(5), rng.randrange(39))

    def served_share(self, since: float) -> float:
        """Return the share of the requests that were admitted."""
        admitted = sum(instant >= since for instant in self.admitted)
        refused = sum(instant >= since for instant in self.refused)
        return admitted / (admitted + refused)


class TestRelaysWithoutALeader:
    """Nothing was served at 195 instances while no leader responded.

    The share of one instance was a 390th of a rate, less than a token.
    """

    @pytest.mark.parametrize("seed", range(5))
    def test_no_leader(self, seed: int) -> None:
        """A workspace at half of its rate is mostly served."""
        cluster = RelayCluster(rate=8.7)
        cluster.served_relays = set()
        cluster.run(40.0, 8.7 / 2, random.Random(seed))
        assert cluster.served_share(12.0) >= 0.5

    @pytest.mark.parametrize("seed", range(5))
    @pytest.mark.parametrize("rate", [8.7, 100.0])
    def test_limit(self, seed: int, rate: float) -> None:
        """The rate holds while the leader comes, goes and serves some."""
        rng = random.Random(seed)
        cluster = RelayCluster(rate)
        for _ in range(12):
            cluster.served_relays = {
                number for number in range(5) if rng.random() < 0.5
            }
            silent_count = 39 * (5 - len(cluster.served_relays))
            cluster.run(1.0, rate * 3, rng)
            cluster.allocator.reserve_fallback(silent_count, 195, cluster.now)
        bound = (rate * 5 + rate) * 1.1 + 20
        window_counts = [
            sum(start <= other < start + 5 for other in cluster.admitted)
            for start in cluster.admitted
        ]
        assert max(window_counts) <= bound

    @pytest.mark.parametrize("seed", range(5))
    def test_leader_that_is_back(self, seed: int) -> None:
        """All is served a second after a leader responds again."""
        rng = random.Random(seed)
        cluster = RelayCluster(rate=8.7)
        cluster.served_relays = set()
        cluster.run(10.0, 5.0, rng)
        cluster.served_relays = {0, 1, 2, 3, 4}
        back_at = cluster.now
        cluster.run(30.0, 5.0, rng)
        assert cluster.served_share(back_at + 1.0) >= 0.99


class TestBucket:
    """Tokens accrue at the rate, up to the burst."""

    def test_accrues(self) -> None:
        """A token is available after the time in which one accrues."""
        token_bucket = bucket.TokenBucket(
            rate=2.0, burst=1.0, now=ids.Instant(0.0)
        )
        assert token_bucket.take(ids.Instant(0.0))
        assert token_bucket.seconds_to_token(
            ids.Instant(0.0)
        ) == pytest.approx(0.5)
        assert not token_bucket.take(ids.Instant(0.4))
        assert token_bucket.take(ids.Instant(0.6))

    def test_lower_burst_drops_tokens(self) -> None:
        """Tokens above a lowered burst are dropped."""
        token_bucket = bucket.TokenBucket(
            rate=0.0, burst=9.0, now=ids.Instant(0.0)
        )
        token_bucket.set_rate(0.0, 1.0, ids.Instant(0.0))
        assert token_bucket.take(ids.Instant(0.0))
        assert not token_bucket.take(ids.Instant(0.0))
