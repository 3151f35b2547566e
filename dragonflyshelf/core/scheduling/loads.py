"""Request rates by shard key, used to place shard ranges."""

import collections

from dragonflyshelf.core.grantor import messages as grantor
from dragonflyshelf.core.grantor import objects
from dragonflyshelf.core import ids

MAX_REPORTED_BUCKET_COUNT = 64
"""Maximum buckets in a load report; the total of a service counts as one."""


class ShardLoads:
    """Request counts for each bucket of shard keys since the last report."""

    def __init__(self) -> None:
        """Create empty counters."""
        self._counts: collections.Counter[
            tuple[ids.ServiceName, ids.ShardKey]
        ] = collections.Counter()
        self._window_start = ids.Instant(0.0)

    def record_request(
        self, service: ids.ServiceName, key: ids.ShardKey
    ) -> None:
        """Count a request for a shard key."""
        self._counts[(service, objects.bucket_of(key))] += 1
        self._counts[(service, objects.TOTAL_LOAD_KEY)] += 1

    def take_report(self, now: ids.Instant) -> tuple[grantor.RangeLoad, ...]:
        """Return the rates of the busiest buckets since the last call."""
        seconds = max(now - self._window_start, 0.001)
        range_loads = tuple(
            grantor.RangeLoad(
                service=service, first=first, rate=count / seconds
            )
            for (service, first), count in self._counts.most_common(
                MAX_REPORTED_BUCKET_COUNT
            )
        )
        self._counts.clear()
        self._window_start = now
        return range_loads
