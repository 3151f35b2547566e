"""Control objects: what instances store for their own coordination."""

import bisect
import dataclasses

from dragonflyshelf.core import addresses
from dragonflyshelf.core import ids

BUCKET_KEY_COUNT = 64
"""Number of adjacent keys whose load is counted together."""

SHARD_KEY_COUNT = 65536
"""Number of shard keys of a service."""

TOTAL_LOAD_KEY = ids.ShardKey(SHARD_KEY_COUNT)
"""Pseudo-key under which the total load of a service is reported."""


def bucket_of(key: ids.ShardKey) -> ids.ShardKey:
    """Return the first key of a key's bucket, which identifies the bucket."""
    return ids.ShardKey(key - key % BUCKET_KEY_COUNT)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Lease:
    """The leader and the address at which other instances reach it.

    ``count`` increases with each renewal. ``former_for`` is the number of
    seconds after the renewal during which a previous leader may still
    renew grants.
    """

    holder: ids.InstanceId
    incarnation: ids.Incarnation
    host: str
    port: int
    count: int
    former_for: float = 0.0

    @property
    def address(self) -> addresses.Address:
        """Return the address at which other instances reach the holder."""
        return addresses.Address(host=self.host, port=self.port)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Assignment:
    """A range of shard keys, both ends inclusive, and its holder.

    ``epoch`` is the fencing token of the grant. While ``is_settled`` is
    false, the range is being moved and the former holder may hold it.
    """

    first: ids.ShardKey
    last: ids.ShardKey
    upstream: ids.UpstreamId
    life: ids.UpstreamLife
    epoch: ids.Epoch
    former_upstream: ids.UpstreamId = ids.UpstreamId("")
    former_life: ids.UpstreamLife = ids.UpstreamLife("")
    is_settled: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShardPlan:
    """All assignments of one service, ordered by key."""

    service: ids.ServiceName
    assignments: tuple[Assignment, ...]

    def find(self, key: ids.ShardKey) -> Assignment | None:
        """Return the assignment of the range that contains a key."""
        index = bisect.bisect_right(
            self.assignments, key, key=lambda assignment: assignment.first
        )
        if not index:
            return None
        return self.assignments[index - 1]
