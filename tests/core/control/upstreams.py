"""Fake upstreams with fences, and the account of what they ran."""

import dataclasses
from typing import Any

from dragonflyshelf.core.dispatch import fences
from dragonflyshelf.core import ids
from dragonflyshelf.core.ownership import messages
from dragonflyshelf.core.ownership import objects


def key_of(
    service: ids.ServiceName, one: objects.Assignment
) -> fences.ShardKey:
    """Return the key of a shard under its present epoch."""
    return fences.ShardKey(service=service, shard=one.shard, epoch=one.epoch)


class Runs:
    """Every run, checked against the ones before."""

    def __init__(self) -> None:
        """Create an empty account."""
        self.owner_by_key: dict[fences.ShardKey, str] = {}
        self.last_by_shard: dict[ids.ShardId, fences.ShardKey] = {}
        self.at_by_shard: dict[ids.ShardId, float] = {}
        self.gaps: list[tuple[float, float, ids.ShardId]] = []
        self.assigned_by_shard: dict[ids.ShardId, objects.Assignment] = {}
        self.count = 0

    def add(self, upstream: str, key: fences.ShardKey, at: float) -> None:
        """Count a run; one owner for an epoch, and epochs only grow."""
        self.count += 1
        owner = self.owner_by_key.setdefault(key, upstream)
        assert owner == upstream, (key, owner, upstream)
        last = self.last_by_shard.get(key.shard, key)
        assert last.epoch <= key.epoch, (last, key, upstream, at)
        self.last_by_shard[key.shard] = key
        before = self.at_by_shard.get(key.shard)
        if before is not None:
            self.gaps.append((before, at, key.shard))
        self.at_by_shard[key.shard] = at

    def longest_gap(
        self, start: float, end: float, shards: set[int] | None = None
    ) -> float:
        """Return the longest time in a window without a run of a shard."""
        still = [(at, end, shard) for shard, at in self.at_by_shard.items()]
        return max(
            min(after, end) - max(before, start)
            for before, after, shard in [*self.gaps, *still]
            if shards is None or shard in shards
        )

    def check_segment(self, segment: objects.Segment) -> None:
        """Check an assignment against what was acknowledged before."""
        for one in segment.assignments:
            known = self.assigned_by_shard.get(one.shard)
            if known is not None:
                assert one.epoch >= known.epoch, (known, one)
                same = one.epoch == known.epoch
                assert not same or one.upstream == known.upstream, (known, one)
            self.assigned_by_shard[one.shard] = one
        assert len(segment.assignments) >= len(self.assigned_by_shard)


@dataclasses.dataclass(kw_only=True)
class Granted:
    """The epoch of a shard and until when it may be served."""

    epoch: int
    until: float


class FakeUpstream:
    """Takes grants and runs requests whose fence is valid."""

    def __init__(self, name: str, fenced: bool) -> None:
        """Create an upstream without grants."""
        self.name = name
        self.fenced = fenced
        self.dead = False
        self.frozen = False
        self.cut_from: set[str] = set()
        self.waiting: list[tuple[Any, tuple[Any, ...]]] = []
        self.answered: set[int] = set()
        self.starts = 0
        self.start()

    def start(self) -> None:
        """Forget everything, as a new process does."""
        self.starts += 1
        self.start_id = ids.StartId(f"{self.name}-{self.starts}")
        self.term = ids.Term(0)
        self.granted: dict[ids.ShardId, Granted] = {}
        self.dead = False

    def kill(self) -> None:
        """End the process."""
        self.dead = True
        self.frozen = False
        self.waiting.clear()

    def thaw(self, world: Any) -> None:
        """Go on as if nothing had happened, with all that waited."""
        self.frozen = False
        waiting, self.waiting = self.waiting, []
        for action, arguments in waiting:
            action(*arguments)

    def on_grant(
        self, world: Any, sender: Any, grant: messages.SendGrant
    ) -> None:
        """Take in a grant after its latency."""
        sent_at = sender.local(world.at)
        delay = world.latency()
        world.later(
            delay, self._receive, self._grant, world, sender, grant, sent_at
        )
        world.later(grant.ttl, self._time_out, world, sender, grant, sent_at)

    def _receive(self, action: Any, world: Any, sender: Any, *rest: Any):
        if self.dead or sender.name in self.cut_from:
            return
        if self.frozen:
            self.waiting.append((action, (world, sender, *rest)))
            return
        action(world, sender, *rest)

    def _grant(
        self,
        world: Any,
        sender: Any,
        grant: messages.SendGrant,
        sent_at: ids.Instant,
    ) -> None:
        accepted = grant.term >= self.term
        expected = grant.start_id in ("", self.start_id)
        if accepted and expected:
            self.term = grant.term
            self._take(world, grant)
        self.answered.add(id(grant))
        answer = messages.GrantAnswered(
            upstream=ids.UpstreamId(self.name),
            accepted=accepted,
            start_id=self.start_id,
            term=self.term,
            sent_at=sent_at,
            given_term=grant.term,
            reached=True,
            clock_ms=int(world.at * 1000),
        )
        world.later(world.latency(), world.deliver, sender, answer)

    def _take(self, world: Any, grant: messages.SendGrant) -> None:
        until = min(world.at + grant.ttl, grant.until_ms / 1000)
        for one in grant.shards:
            present = self.granted.get(one.shard)
            if present is None or present.epoch <= one.epoch:
                self.granted[one.shard] = Granted(epoch=one.epoch, until=until)

    def _time_out(
        self,
        world: Any,
        sender: Any,
        grant: messages.SendGrant,
        sent_at: ids.Instant,
    ) -> None:
        if id(grant) in self.answered:
            self.answered.discard(id(grant))
            return
        failed = messages.GrantAnswered(
            upstream=ids.UpstreamId(self.name),
            accepted=False,
            start_id=ids.StartId(""),
            term=ids.Term(0),
            sent_at=sent_at,
            error="timeout",
            given_term=grant.term,
        )
        world.deliver(sender, failed)

    def on_release(
        self, world: Any, sender: Any, release: messages.SendRelease
    ) -> None:
        """Forget shards after the latency of the message."""
        world.later(
            world.latency(),
            self._receive,
            self._release,
            world,
            sender,
            release,
        )

    def _release(
        self, world: Any, sender: Any, release: messages.SendRelease
    ) -> None:
        accepted = release.term >= self.term
        if accepted:
            for one in release.shards:
                self.granted.pop(one.shard, None)
        answer = messages.ReleaseAnswered(
            upstream=ids.UpstreamId(self.name),
            service=release.service,
            accepted=accepted,
            shards=release.shards,
        )
        world.later(world.latency(), world.deliver, sender, answer)

    def on_request(
        self, world: Any, key: fences.ShardKey, term: ids.Term
    ) -> None:
        """Run a request if its fence is valid."""
        if self.dead:
            return
        if self.frozen:
            self.waiting.append((self.on_request, (world, key, term)))
            return
        if self._allows(world, key, term):
            world.runs.add(self.name, key, world.at)

    def _allows(
        self, world: Any, key: fences.ShardKey, term: ids.Term
    ) -> bool:
        if not self.fenced:
            return True
        granted = self.granted.get(key.shard)
        return (
            term >= self.term
            and granted is not None
            and granted.epoch == key.epoch
            and world.at <= granted.until
        )
