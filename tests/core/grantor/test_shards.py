"""Tests of the grants of one service's ranges, with a virtual clock."""

import dataclasses

import pytest

from dragonflyshelf.core.grantor import messages
from dragonflyshelf.core.grantor import objects
from dragonflyshelf.core.grantor import shards
from dragonflyshelf.core import ids
from dragonflyshelf.core import settings
from dragonflyshelf.core.upstreams import objects as upstreams

SERVICE = ids.ServiceName("archive")
GRANTS = settings.GrantSettings()
HOLD_SECONDS = GRANTS.hold * (1.0 + GRANTS.clock_rate)
"""Longest time for which an upstream holds a range after a grant."""

LAST_KEY = objects.SHARD_KEY_COUNT - 1
MIDDLE = objects.SHARD_KEY_COUNT // 2
TICK_SECONDS = 0.1
Outcome = messages.CallOutcome


def make_registration(name: str) -> upstreams.Registration:
    """Return the registration of an upstream."""
    return upstreams.Registration(
        id=ids.UpstreamId(name),
        service=SERVICE,
        host="10.0.0.1",
        port=80,
        data_centre=ids.DataCentreId("a"),
        slots=6,
        is_draining=False,
        warmup_left_seconds=0.0,
        started_at_ms=1,
    )


UPSTREAMS = {name: make_registration(name) for name in ("u1", "u2")}


def assign(
    first: int, last: int, name: str, epoch: int = 2, former: str = ""
) -> objects.Assignment:
    """Return the assignment of a range, which moves from ``former``."""
    assignment = objects.Assignment(
        first=ids.ShardKey(first),
        last=ids.ShardKey(last),
        upstream=ids.UpstreamId(name),
        life=UPSTREAMS[name].incarnation,
        epoch=ids.Epoch(epoch),
    )
    if not former:
        return assignment
    return dataclasses.replace(
        assignment,
        former_upstream=ids.UpstreamId(former),
        former_life=UPSTREAMS[former].incarnation,
        is_settled=False,
    )


class Leader:
    """The manager of a leader, whose calls the test answers."""

    def __init__(self, *assignments: objects.Assignment) -> None:
        """Start to lead with a stored plan."""
        self.now = ids.Instant(100.0)
        self.revision = 0
        self.release_seconds = GRANTS.call_timeout
        self._releases: list[tuple[float, messages.ReleaseRange]] = []
        self.manager = shards.ShardManager(SERVICE, GRANTS)
        self.manager.set_upstreams(
            tuple(UPSTREAMS.values()), frozenset(), self.now
        )
        self.manager.start_leading(ids.Instant(0.0), self.now)
        self.store_plan(*assignments)
        self.settle()

    def store_plan(self, *assignments: objects.Assignment) -> None:
        """Let the manager observe a new plan."""
        self.revision += 1
        self.manager.observe(
            messages.ControlObserved(
                name=self.manager.name,
                revision=ids.Revision(self.revision),
                value=objects.ShardPlan(
                    service=SERVICE, assignments=assignments
                ),
            )
        )

    def advance(self, until: float) -> list[messages.GrantRange]:
        """Return the grants of a time; all releases are lost.

        The plans that the manager would write are not stored.
        """
        grants = []
        while self.now < until:
            self.now = ids.Instant(min(self.now + TICK_SECONDS, until))
            while self._releases and self._releases[0][0] <= self.now:
                self.complete(self._releases.pop(0)[1], Outcome.LOST)
            for effect in self.manager.tick(True, self.now):
                if isinstance(effect, messages.GrantRange):
                    grants.append(effect)
                elif isinstance(effect, messages.ReleaseRange):
                    lost_at = self.now + self.release_seconds
                    self._releases.append((lost_at, effect))
        return grants

    def settle(self) -> None:
        """Renew all grants until those of a predecessor have expired."""
        end_at = self.now + GRANTS.max_hold + 1.0
        while self.now < end_at:
            for call in self.advance(self.now + TICK_SECONDS):
                self.complete(call)

    def next_grants(self) -> list[messages.GrantRange]:
        """Return the grants that are due next."""
        grants: list[messages.GrantRange] = []
        while not grants:
            grants = self.advance(self.now + TICK_SECONDS)
        return grants

    def complete(
        self,
        call: messages.GrantRange | messages.ReleaseRange,
        outcome: Outcome = Outcome.DONE,
        sent_at: float | None = None,
    ) -> None:
        """Let a call end now."""
        self.manager.complete_call(
            messages.RangeCallCompleted(
                call=call,
                outcome=outcome,
                sent_at=ids.Instant(self.now if sent_at is None else sent_at),
            ),
            self.now,
        )

    def granted_at(self, first: int) -> float:
        """Return when a range is granted to its new holder."""
        end_at = self.now + 20.0
        while self.now < end_at:
            for call in self.advance(self.now + TICK_SECONDS):
                if call.assignment.first == first:
                    return self.now
                self.complete(call)
        raise AssertionError("the range is never granted")


class TestRangeThatIsSplit:
    """A renewal is under way while its range is split.

    OWNER: the rest that its holder retained kept the expiry of the renewal
    before, so that the leader granted it to another one too early.
    """

    def split(
        self, leader: Leader, first: int, last: int
    ) -> messages.GrantRange:
        """Move a part to u2 while the whole is renewed; return that call."""
        (call,) = leader.next_grants()
        leader.complete(call)
        (renewal,) = leader.next_grants()
        parts = []
        if first:
            parts.append(assign(0, first - 1, "u1"))
        parts.append(assign(first, last, "u2", 4, "u1"))
        if last < LAST_KEY:
            parts.append(assign(last + 1, LAST_KEY, "u1"))
        leader.store_plan(*parts)
        return renewal

    @pytest.mark.parametrize(
        ("first", "last"), [(0, 63), (64, 127), (MIDDLE, LAST_KEY)]
    )
    @pytest.mark.parametrize(
        ("outcome", "delay"), [(Outcome.DONE, 0.45), (Outcome.LOST, 0.5)]
    )
    def test_renewal_that_ends_late(
        self, first: int, last: int, outcome: Outcome, delay: float
    ) -> None:
        """All parts are held until the renewal of the whole expires.

        The next calls for the parts are not sent, which says nothing of it.
        """
        leader = Leader(assign(0, LAST_KEY, "u1"))
        renewal = self.split(leader, first, last)
        sent_at = leader.now
        calls = leader.advance(sent_at + delay - TICK_SECONDS)
        calls += leader.advance(leader.now + GRANTS.renew_interval)
        for call in calls:
            leader.complete(call, Outcome.UNSENT)
        leader.complete(renewal, outcome, sent_at)
        arrived_at = leader.now if outcome is Outcome.DONE else sent_at
        rest_first, rest_last = (0, first - 1) if first else (64, LAST_KEY)
        leader.store_plan(assign(rest_first, rest_last, "u2", 4, "u1"))
        assert leader.granted_at(rest_first) >= arrived_at + HOLD_SECONDS

    @pytest.mark.parametrize(("first", "last"), [(0, 63), (64, 127)])
    def test_renewal_under_way(self, first: int, last: int) -> None:
        """Until its outcome is known it may still arrive."""
        leader = Leader(assign(0, LAST_KEY, "u1"))
        self.split(leader, first, last)
        sent_at = leader.now
        for call in leader.advance(sent_at + GRANTS.renew_interval):
            leader.complete(call, Outcome.UNSENT)
        rest_first = last + 1
        leader.store_plan(assign(rest_first, LAST_KEY, "u2", 4, "u1"))
        latest_arrival = sent_at + GRANTS.call_timeout
        assert leader.granted_at(rest_first) >= latest_arrival + HOLD_SECONDS

    @pytest.mark.parametrize(("first", "last"), [(0, 63), (64, 127)])
    def test_renewal_that_was_not_sent(self, first: int, last: int) -> None:
        """The moved part waits for the renewal before it only."""
        leader = Leader(assign(0, LAST_KEY, "u1"))
        renewal = self.split(leader, first, last)
        granted_at = leader.now - GRANTS.renew_interval
        leader.complete(renewal, Outcome.UNSENT)
        expected = granted_at + HOLD_SECONDS
        assert leader.granted_at(first) == pytest.approx(expected, abs=0.21)


class TestRangesThatAreMerged:
    """Two ranges of one holder become one."""

    def grant_parts(self, *epochs: int) -> tuple[Leader, float]:
        """Renew the second of two ranges later than the first.

        Return when the second one was granted.
        """
        leader = Leader(
            assign(0, MIDDLE - 1, "u1", epochs[0]),
            assign(MIDDLE, LAST_KEY, "u1", epochs[1]),
        )
        first, second = leader.next_grants()
        leader.complete(first)
        leader.advance(leader.now + 0.5)
        leader.complete(second)
        return leader, leader.now

    def merge(self, leader: Leader) -> None:
        """Merge the ranges, as the plan that is stored next says."""
        leader.store_plan(assign(0, LAST_KEY, "u1", 4))

    def move(self, leader: Leader) -> float:
        """Return when the merged range, which is moved, is granted."""
        leader.release_seconds = TICK_SECONDS
        leader.store_plan(assign(0, LAST_KEY, "u2", 6, "u1"))
        return leader.granted_at(0)

    @pytest.mark.parametrize("epochs", [(2, 4), (4, 2), (4, 4)])
    def test_expiry(self, epochs: tuple[int, int]) -> None:
        """The merged range is held until the last of its parts expires."""
        leader, granted_at = self.grant_parts(*epochs)
        self.merge(leader)
        assert self.move(leader) >= granted_at + HOLD_SECONDS

    @pytest.mark.parametrize("epochs", [(2, 4), (4, 2), (4, 4)])
    def test_renewal_of_a_part(self, epochs: tuple[int, int]) -> None:
        """A grant of the second part that ends after the merge counts."""
        leader, _ = self.grant_parts(*epochs)
        first, second = leader.next_grants()
        leader.complete(first)
        self.merge(leader)
        leader.now = ids.Instant(leader.now + 0.5)
        leader.complete(second)
        granted_at = leader.now
        assert self.move(leader) >= granted_at + HOLD_SECONDS

    def test_part_is_not_the_whole(self) -> None:
        """A grant of one part doesn't make the merged range held.

        A detached leader renews what is held only.
        """
        leader = Leader()
        leader.store_plan(
            assign(0, MIDDLE - 1, "u1", 4), assign(MIDDLE, LAST_KEY, "u1", 2)
        )
        first, _ = leader.next_grants()
        self.merge(leader)
        leader.complete(first)
        renewed_at = ids.Instant(leader.now + GRANTS.renew_interval)
        assert not leader.manager.tick(False, renewed_at)
