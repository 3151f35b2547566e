"""Counts of requests by shard key, for the placement of ranges."""

import collections

from dragonflyshelf.core.grantor import messages as grantor
from dragonflyshelf.core.grantor import objects
from dragonflyshelf.core import ids

MOST_REPORTED = 64
"""Busiest buckets of keys that one report names, with the totals."""


class ShardLoads:
    """Requests for each bucket of neighbouring keys since a report."""

    def __init__(self) -> None:
        """Create a count without requests."""
        self._counts: collections.Counter[
            tuple[ids.ServiceName, ids.ShardKey]
        ] = collections.Counter()
        self._counted_from = ids.Instant(0.0)

    def count(self, service: ids.ServiceName, key: ids.ShardKey) -> None:
        """Count a request for a key."""
        self._counts[(service, objects.bucket_of(key))] += 1
        self._counts[(service, objects.TOTAL_LOAD_KEY)] += 1

    def take(self, now: ids.Instant) -> tuple[grantor.RangeLoad, ...]:
        """Return the busiest buckets since the last call."""
        seconds = max(now - self._counted_from, 0.001)
        found = tuple(
            grantor.RangeLoad(
                service=service, first=first, rate=count / seconds
            )
            for (service, first), count in self._counts.most_common(
                MOST_REPORTED
            )
        )
        self._counts.clear()
        self._counted_from = now
        return found
