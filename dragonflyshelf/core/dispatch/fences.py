"""Which shards this instance still sends to, and what is under way.

A shard that is being moved is sealed: nothing more is sent to it, and
once the last attempt has ended the release may be acknowledged.
"""

import dataclasses

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import invariants


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShardKey:
    """A shard of a service under one epoch."""

    service: ids.ServiceName
    shard: ids.ShardId
    epoch: ids.Epoch


class ShardFences:
    """Attempts under way by shard, and the shards that are sealed."""

    def __init__(self) -> None:
        """Create fences without attempts."""
        self._in_flight_by_shard: dict[ShardKey, int] = {}
        self._sealed: set[ShardKey] = set()

    def start(self, key: ShardKey) -> None:
        """Count an attempt, or raise when the shard is sealed."""
        if key in self._sealed:
            raise errors.NoOwner(f"shard {key.shard} is being moved")
        present = self._in_flight_by_shard.get(key, 0)
        self._in_flight_by_shard[key] = present + 1

    def finish(self, key: ShardKey) -> bool:
        """Count an end; return whether a sealed shard is now quiet."""
        present = self._in_flight_by_shard.get(key, 0)
        invariants.check(present > 0, "shard %s has no attempt", key.shard)
        if present > 1:
            self._in_flight_by_shard[key] = present - 1
            return False
        del self._in_flight_by_shard[key]
        return key in self._sealed

    def seal(self, key: ShardKey) -> bool:
        """Send no more to a shard; return whether it is quiet already."""
        self._sealed.add(key)
        return key not in self._in_flight_by_shard

    def forget(self, key: ShardKey) -> None:
        """Drop the seal of an epoch that is over."""
        self._sealed.discard(key)
