"""Tests of rates and bursts, counted over all instances."""

import random

import pytest

from dragonflyshelf.core import ids
from dragonflyshelf.core.quota import bucket
from dragonflyshelf.core.quota import const
from dragonflyshelf.core.quota import lender
from dragonflyshelf.core.quota import limiter
from dragonflyshelf.core.quota import messages
from dragonflyshelf.core.quota import pool
from dragonflyshelf.core.routing import objects

ONE = ids.WorkspaceId("one")
RATE = 40.0
INSTANCES = 8


def workspace(rate: float = RATE) -> objects.Workspace:
    """Return a workspace whose burst is one second of its rate."""
    return objects.Workspace(
        name=ONE, key_digests=(), priority=None, rate=rate, burst=rate
    )


class Fleet:
    """A home of tokens and the limiters that borrow from it."""

    def __init__(self, instances: int = INSTANCES) -> None:
        """Create the parts; the home answers at once."""
        self.now = ids.Instant(10.0)
        self.home = lender.TokenLender()
        self.home.set_workspaces((workspace(),), self.now)
        self.limiters = [limiter.WorkspaceLimiter() for _ in range(instances)]
        for one in self.limiters:
            one.set_workspaces((workspace(),))
            one.set_instances(instances)
        self.is_reached = True
        self.admitted: list[float] = []

    def ask(self, number: int) -> bool:
        """Let a request arrive at an instance; tell if it is admitted."""
        one = self.limiters[number]
        verdict = one.take(ONE, self.now)
        waiting = int(verdict is limiter.Verdict.BORROWING)
        wanted = one.wanted(ONE, waiting, self.now)
        if wanted is not None and self.is_reached:
            one.lent(self.home.lend(wanted, self.now), self.now)
        admitted = verdict is limiter.Verdict.ADMITTED
        if waiting and self.is_reached:
            admitted = one.retake(ONE, self.now)
        elif waiting:
            self.now = ids.Instant(self.now + const.LEADER_SILENCE + 0.001)
            assert one.overdue(ONE, self.now)
            admitted = one.retake(ONE, self.now)
        if admitted:
            self.admitted.append(self.now)
        return admitted

    def most_in(self, seconds: float) -> int:
        """Return the most admissions in any window of that length."""
        return max(
            (
                sum(start <= one < start + seconds for one in self.admitted)
                for start in self.admitted
            ),
            default=0,
        )


class TestSum:
    """The instances together keep to rate and burst."""

    @pytest.mark.parametrize("seed", range(10))
    def test_several_times_the_rate(self, seed: int) -> None:
        """Five times the rate over uneven instances is cut to the rate."""
        chance = random.Random(seed)
        fleet = Fleet()
        for _ in range(int(RATE * 5 * 8)):
            fleet.now = ids.Instant(fleet.now + 1 / (RATE * 5))
            fleet.ask(min(int(chance.expovariate(0.5)), INSTANCES - 1))
        window = 5.0
        bound = (RATE * window + RATE) * 1.1 + 20
        assert fleet.most_in(window) <= bound
        assert len(fleet.admitted) >= RATE * 8 * 0.9

    @pytest.mark.parametrize("seed", range(10))
    def test_within_the_rate(self, seed: int) -> None:
        """A workspace within its rate sees next to no refusal."""
        chance = random.Random(seed)
        fleet = Fleet()
        refused = 0
        for _ in range(int(RATE * 0.6 * 20)):
            fleet.now = ids.Instant(fleet.now + chance.expovariate(RATE * 0.6))
            refused += not fleet.ask(chance.randrange(INSTANCES))
        assert refused <= 5

    @pytest.mark.parametrize("seed", range(5))
    def test_tokens_of_rare_requests(self, seed: int) -> None:
        """Requests that are spread thin use one token each.

        With 64 instances each sees a request of the workspace only now
        and then; what it borrows ahead is lost to the others.
        """
        chance = random.Random(seed)
        fleet = Fleet(64)
        refused = 0
        for _ in range(int(RATE * 0.8 * 20)):
            fleet.now = ids.Instant(fleet.now + chance.expovariate(RATE * 0.8))
            refused += not fleet.ask(chance.randrange(64))
        assert refused <= 5

    def test_without_a_leader(self) -> None:
        """Half of the rate is served while nobody lends."""
        fleet = Fleet()
        fleet.is_reached = False
        for number in range(int(RATE * 2 * 10)):
            fleet.now = ids.Instant(fleet.now + 1 / (RATE * 2))
            fleet.ask(number % INSTANCES)
        seconds = fleet.now - 10.0
        served = len(fleet.admitted)
        assert served <= RATE * const.FALLBACK_PART * (seconds + 2)
        assert served >= RATE * const.FALLBACK_PART * seconds * 0.7

    def test_all_start_without_a_leader(self) -> None:
        """Instances that know of no other stay within the sum.

        All of a large deployment are killed at once, and a workspace
        with a small rate asks each of them before any leads.
        """
        rate = 9.0
        limiters = [limiter.WorkspaceLimiter() for _ in range(69)]
        for one in limiters:
            one.set_workspaces((workspace(rate),))
        admitted = 0
        for tenth in range(50):
            now = ids.Instant(10.0 + tenth / 10)
            for one in limiters:
                one.take(ONE, now)
                one.wanted(ONE, 1, now)
                one.overdue(ONE, ids.Instant(now + 0.31))
                admitted += one.retake(ONE, ids.Instant(now + 0.31))
        assert admitted <= (rate * 5 + rate) * 1.1 + 20

    def test_late_answer(self) -> None:
        """What the fixed part has given is subtracted from late tokens."""
        one = limiter.WorkspaceLimiter()
        one.set_workspaces((workspace(),))
        one.set_instances(INSTANCES)
        for _ in range(2):
            one.take(ONE, ids.Instant(10.0))
        one.wanted(ONE, 2, ids.Instant(10.0))
        assert one.overdue(ONE, ids.Instant(10.31))
        assert all(one.retake(ONE, ids.Instant(10.31)) for _ in range(2))
        lend = messages.LendTokens(workspace=ONE, tokens=3, wait=0.0)
        one.lent(lend, ids.Instant(10.32))
        verdicts = [one.take(ONE, ids.Instant(10.33)) for _ in range(2)]
        assert verdicts == [
            limiter.Verdict.ADMITTED,
            limiter.Verdict.BORROWING,
        ]

    @pytest.mark.parametrize("seconds", [0.05, 0.25, 0.4])
    def test_slow_leader(self, seconds: float) -> None:
        """A leader that answers late still lends what it has."""
        home = lender.TokenLender()
        home.set_workspaces((workspace(),), ids.Instant(10.0))
        one = limiter.WorkspaceLimiter()
        one.set_workspaces((workspace(),))
        one.set_instances(INSTANCES)
        answers: list[tuple[float, messages.LendTokens]] = []
        waiting = admitted = 0
        steps = 2000
        for step in range(steps):
            now = ids.Instant(10.0 + step / 100)
            while answers and answers[0][0] <= now:
                one.lent(answers.pop(0)[1], now)
            if step % 5 == 0:
                verdict = one.take(ONE, now)
                admitted += verdict is limiter.Verdict.ADMITTED
                waiting += verdict is limiter.Verdict.BORROWING
            wanted = one.wanted(ONE, waiting, now)
            if wanted is not None:
                answers.append((now + seconds, home.lend(wanted, now)))
            if waiting and one.overdue(ONE, now):
                admitted += one.retake(ONE, now)
                waiting = 0
            while waiting and one.retake(ONE, now):
                admitted += 1
                waiting -= 1
        assert admitted >= steps / 5 * 0.8

    def test_leader_is_heard_again(self) -> None:
        """After a silence a request now and then is enough to find it.

        With many instances each sees too little of any workspace to
        borrow ahead.
        """
        one = limiter.WorkspaceLimiter()
        one.set_workspaces((workspace(),))
        one.set_instances(64)
        one.take(ONE, ids.Instant(10.0))
        one.wanted(ONE, 1, ids.Instant(10.0))
        assert one.overdue(ONE, ids.Instant(10.0 + 0.2))
        assert one.take(ONE, ids.Instant(11.0)) is limiter.Verdict.OVER
        probe = one.wanted(ONE, 0, ids.Instant(11.0))
        assert probe is not None
        lend = messages.LendTokens(workspace=ONE, tokens=1, wait=0.0)
        one.lent(lend, ids.Instant(11.01))
        assert one.take(ONE, ids.Instant(11.02)) is limiter.Verdict.ADMITTED

    def test_lowered_limit(self) -> None:
        """A lowered rate binds at once."""
        fleet = Fleet()
        lowered = (workspace(5.0),)
        fleet.home.set_workspaces(lowered, fleet.now)
        for one in fleet.limiters:
            one.set_workspaces(lowered)
        for number in range(200):
            fleet.now = ids.Instant(fleet.now + 0.025)
            fleet.ask(number % INSTANCES)
        assert len(fleet.admitted) <= 5 * 5 + 5


class TestRelay:
    """A relay borrows for the instances behind it."""

    def lend(self, tokens: int, wait: float = 0.0) -> messages.LendTokens:
        """Return an answer of the leading instance."""
        return messages.LendTokens(workspace=ONE, tokens=tokens, wait=wait)

    def borrow(
        self, made: pool.TokenPool, link: str, now: float, tokens: int = 1
    ) -> list[pool.Answer]:
        """Let a member borrow; return what it is told at once."""
        wanted = messages.BorrowTokens(workspace=ONE, tokens=tokens)
        return list(made.borrow(link, wanted, ids.Instant(now)))

    def test_members_share_an_answer(self) -> None:
        """Two that wait are asked for in one call and both answered."""
        made = pool.TokenPool()
        assert not self.borrow(made, "one", 1.0)
        first = made.wanted(ONE, True, ids.Instant(1.0))
        assert first is not None and first.tokens == 1
        assert not self.borrow(made, "two", 1.01, tokens=2)
        assert made.wanted(ONE, True, ids.Instant(1.01)) is None
        told = list(made.lent(self.lend(1), ids.Instant(1.02)))
        assert [one.link for one in told] == ["one"]
        second = made.wanted(ONE, True, ids.Instant(1.02))
        assert second is not None and second.tokens == 2

    def test_what_is_not_lent_is_not_given(self) -> None:
        """A relay gives away no more than it was lent, and not for long."""
        made = pool.TokenPool()
        self.borrow(made, "one", 1.0)
        made.wanted(ONE, True, ids.Instant(1.0))
        told = list(made.lent(self.lend(2), ids.Instant(1.01)))
        assert sum(one.lend.tokens for one in told) == 1
        late = 1.01 + const.RELAY_STOCK_LIFE + 0.01
        assert not self.borrow(made, "two", late)

    def test_empty_home(self) -> None:
        """Members are told at once when there is nothing for a while."""
        made = pool.TokenPool()
        self.borrow(made, "one", 1.0)
        made.wanted(ONE, True, ids.Instant(1.0))
        (told,) = made.lent(self.lend(0, wait=0.5), ids.Instant(1.01))
        assert (told.lend.tokens, round(told.lend.wait, 3)) == (0, 0.5)
        (told,) = self.borrow(made, "two", 1.31)
        assert told.lend.wait == pytest.approx(0.2)
        assert made.wanted(ONE, True, ids.Instant(1.31)) is None


class TestBucket:
    """Tokens accrue at the rate, up to the burst."""

    def test_accrues(self) -> None:
        """A token is there after the time of one token."""
        made = bucket.TokenBucket(rate=2.0, burst=1.0, now=ids.Instant(0.0))
        assert made.take(ids.Instant(0.0))
        assert made.seconds_to_token(ids.Instant(0.0)) == pytest.approx(0.5)
        assert not made.take(ids.Instant(0.4))
        assert made.take(ids.Instant(0.6))

    def test_lower_burst_loses_tokens(self) -> None:
        """Tokens over a lowered burst are lost."""
        made = bucket.TokenBucket(rate=0.0, burst=9.0, now=ids.Instant(0.0))
        made.set_rate(0.0, 1.0, ids.Instant(0.0))
        assert made.take(ids.Instant(0.0))
        assert not made.take(ids.Instant(0.0))
