"""What the system keeps in the store for itself."""

import bisect
import dataclasses

from dragonflyshelf.core import addresses
from dragonflyshelf.core import ids

BUCKET_KEYS = 64
"""Neighbouring keys whose load is counted together."""

SHARD_KEYS = 65536
"""Number of shard keys of a service."""

ALL_KEYS = ids.ShardKey(SHARD_KEYS)
"""Place of a service's whole load among the loads of its buckets."""


def bucket_of(key: ids.ShardKey) -> ids.ShardKey:
    """Return the first key of the bucket that holds a key."""
    return ids.ShardKey(key - key % BUCKET_KEYS)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Lease:
    """The instance that leads, and how the others reach it.

    ``count`` grows with each renewal. ``former_for`` is for how many
    seconds after the renewal a former holder may still send grants.
    """

    holder: ids.InstanceId
    incarnation: ids.Incarnation
    host: str
    port: int
    count: int
    former_for: float = 0.0

    @property
    def address(self) -> addresses.Address:
        """Return where the others ask the holder."""
        return addresses.Address(host=self.host, port=self.port)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Assignment:
    """A range of shard keys, both ends inclusive, and its holder.

    ``epoch`` is the fencing token of the grant. Until ``is_settled`` the
    former holder may still hold the range.
    """

    first: ids.ShardKey
    last: ids.ShardKey
    upstream: ids.UpstreamId
    life: ids.UpstreamIncarnation
    epoch: ids.Epoch
    former_upstream: ids.UpstreamId = ids.UpstreamId("")
    former_life: ids.UpstreamIncarnation = ids.UpstreamIncarnation("")
    is_settled: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShardPlan:
    """All assignments of one service, ordered by key."""

    service: ids.ServiceName
    assignments: tuple[Assignment, ...]

    def find(self, key: ids.ShardKey) -> Assignment | None:
        """Return the assignment of a key."""
        place = bisect.bisect_right(
            self.assignments, key, key=lambda one: one.first
        )
        if not place:
            return None
        return self.assignments[place - 1]
