"""Which upstream is to hold which range of a service."""

import collections
from collections import abc
import dataclasses

from dragonflyshelf.core.grantor import const
from dragonflyshelf.core.grantor import objects
from dragonflyshelf.core import ids
from dragonflyshelf.core.upstreams import objects as upstreams

Registrations = abc.Sequence[upstreams.Registration]


def first_assignments(
    candidates: Registrations,
) -> tuple[objects.Assignment, ...]:
    """Divide all keys among upstreams, neighbours to different ones.

    Busy keys are close to one another, so each upstream gets several
    ranges that lie apart. Ranges begin with whole buckets.
    """
    ranked = sorted(candidates, key=lambda one: (one.id, one.started_at_ms))
    count = min(len(ranked) * const.RANGES_PER_UPSTREAM, const.MOST_RANGES)
    count = max(count, len(ranked))
    found = []
    for number in range(count):
        first = objects.bucket_of(
            ids.ShardKey(objects.SHARD_KEYS * number // count)
        )
        end = objects.bucket_of(
            ids.ShardKey(objects.SHARD_KEYS * (number + 1) // count)
        )
        holder = ranked[number % len(ranked)]
        found.append(
            objects.Assignment(
                first=ids.ShardKey(first),
                last=ids.ShardKey(end - 1),
                upstream=holder.id,
                life=holder.incarnation,
                epoch=ids.Epoch(const.FIRST_EPOCH),
            )
        )
    return tuple(found)


def moved(
    assignment: objects.Assignment, holder: upstreams.Registration
) -> objects.Assignment:
    """Return the assignment of a range to another holder."""
    return dataclasses.replace(
        assignment,
        upstream=holder.id,
        life=holder.incarnation,
        epoch=ids.Epoch(assignment.epoch + const.EPOCH_STEP),
        former_upstream=assignment.upstream,
        former_life=assignment.life,
        is_settled=False,
    )


def settled(assignment: objects.Assignment) -> objects.Assignment:
    """Return the assignment of a range that its new holder has."""
    return dataclasses.replace(
        assignment,
        former_upstream=ids.UpstreamId(""),
        former_life=ids.UpstreamLife(""),
        is_settled=True,
    )


class Balance:
    """Counts ranges by holder and names the one with the fewest."""

    def __init__(
        self,
        candidates: Registrations,
        assignments: abc.Iterable[objects.Assignment],
    ) -> None:
        """Count the ranges of the upstreams that may hold some."""
        self._by_life = {one.incarnation: one for one in candidates}
        self.ranges_by_life: collections.Counter[ids.UpstreamLife] = (
            collections.Counter({life: 0 for life in self._by_life})
        )
        for one in assignments:
            if one.life in self._by_life:
                self.ranges_by_life[one.life] += 1

    def least(self) -> upstreams.Registration:
        """Return the upstream with the fewest ranges and count one."""
        life = min(
            self.ranges_by_life,
            key=lambda one: (self.ranges_by_life[one], one),
        )
        self.ranges_by_life[life] += 1
        return self._by_life[life]
