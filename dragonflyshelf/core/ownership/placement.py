"""Where shards and leaderships belong, by rendezvous hashing."""

import collections
from collections import abc
import math

import xxhash

from dragonflyshelf.core import ids
from dragonflyshelf.core.ownership import objects


def weight(candidate: str, subject: str) -> int:
    """Return the rendezvous weight of a candidate for a subject."""
    return xxhash.xxh3_64_intdigest(f"{candidate}/{subject}".encode())


def heaviest(candidates: abc.Iterable[str], subject: str) -> str:
    """Return the candidate with the highest weight."""
    return max(candidates, key=lambda one: (weight(one, subject), one))


class BoundedPlacement:
    """Places shards so that none gets much more than the mean."""

    def __init__(
        self,
        service: ids.ServiceName,
        usable: abc.Collection[ids.UpstreamId],
        shards: int,
        bound: float,
    ) -> None:
        """Create a placement; ``bound`` is the part above the mean."""
        self._service = service
        self._usable = sorted(usable)
        self.mean = shards / max(1, len(self._usable))
        self._most = max(1, math.ceil(self.mean * (1 + bound)))
        self.count_by_upstream: collections.Counter[ids.UpstreamId] = (
            collections.Counter()
        )

    def count(self, assignments: abc.Iterable[objects.Assignment]) -> None:
        """Count shards where they are or are moving to."""
        for one in assignments:
            self.count_by_upstream[one.next_upstream or one.upstream] += 1

    def choose(self, shard: ids.ShardId) -> ids.UpstreamId:
        """Return and count the upstream for a shard."""
        open_ = [
            one
            for one in self._usable
            if self.count_by_upstream[one] < self._most
        ]
        subject = f"{self._service}/{shard}"
        chosen = ids.UpstreamId(heaviest(open_ or self._usable, subject))
        self.count_by_upstream[chosen] += 1
        return chosen

    def imbalance(self) -> tuple[ids.UpstreamId, ids.UpstreamId, int]:
        """Return the fullest, the emptiest and their difference."""
        fullest = max(
            self._usable, key=lambda one: (self.count_by_upstream[one], one)
        )
        emptiest = min(
            self._usable, key=lambda one: (self.count_by_upstream[one], one)
        )
        difference = (
            self.count_by_upstream[fullest] - self.count_by_upstream[emptiest]
        )
        return fullest, emptiest, difference

    def move(self, source: ids.UpstreamId, target: ids.UpstreamId) -> None:
        """Count a shard that moves."""
        self.count_by_upstream[source] -= 1
        self.count_by_upstream[target] += 1
