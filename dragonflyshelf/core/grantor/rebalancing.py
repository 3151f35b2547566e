"""Rebalancing of shard ranges by load.

Hot keys are often adjacent and change within minutes. A busy bucket is
therefore split from its range and moved on its own, so that few keys
change their holder.
"""

import bisect
from collections import abc
import dataclasses

from dragonflyshelf.core.grantor import const
from dragonflyshelf.core.grantor import objects
from dragonflyshelf.core.grantor import planning
from dragonflyshelf.core import ids
from dragonflyshelf.core.upstreams import objects as upstreams
from dragonflyshelf.core.upstreams import service_times

Assignments = tuple[objects.Assignment, ...]


MIN_MOVED_REQUESTS_PER_SECOND = 0.2
"""Load below which a subrange is not moved away from a hot bucket."""

MIN_SERVICE_TIME_SECONDS = 0.001
"""Lower limit on the service time; it avoids a division by zero."""


def capacities(
    candidates: abc.Collection[upstreams.Registration],
    service_times_by_incarnation: dict[
        ids.UpstreamIncarnation, service_times.ServiceTimeSum
    ],
) -> dict[ids.UpstreamIncarnation, float]:
    """Return the slots of each upstream, scaled by its relative speed."""
    measurements = [
        service_times_by_incarnation[candidate.incarnation]
        for candidate in candidates
        if candidate.incarnation in service_times_by_incarnation
    ]
    mean = service_times.mean_service_time(measurements, default=1.0)
    capacity_by_incarnation = {
        candidate.incarnation: float(candidate.slots)
        for candidate in candidates
    }
    for measurement in measurements:
        speed = mean / max(
            measurement.service_time(mean), MIN_SERVICE_TIME_SECONDS
        )
        speed = min(
            max(speed, 1 / const.MAX_RELATIVE_SPEED_RATIO),
            const.MAX_RELATIVE_SPEED_RATIO,
        )
        capacity_by_incarnation[measurement.life] *= speed
    return capacity_by_incarnation


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Subrange:
    """Part of a range that may be moved, with its requests per second."""

    assignment: objects.Assignment
    first: ids.ShardKey
    last: ids.ShardKey
    rate: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Move:
    """A possible move of a subrange.

    ``utilization_after`` is the higher one of source and target; that of
    a source which keeps a hot bucket is ignored.
    """

    subrange: Subrange
    target: ids.UpstreamIncarnation
    utilization_after: float


class Rebalancer:
    """Plans the next moves for one service.

    The utilization of a holder is its load divided by its capacity. The
    load that is not reported by bucket is assumed to be spread evenly
    over all keys.
    """

    def __init__(
        self,
        assignments: Assignments,
        candidates: abc.Iterable[upstreams.Registration],
        load_by_bucket: dict[ids.ShardKey, float],
        capacity_by_incarnation: dict[ids.UpstreamIncarnation, float],
    ) -> None:
        """Compute the load of every candidate."""
        self._assignments_by_first_key = {
            assignment.first: assignment for assignment in assignments
        }
        self._candidates_by_incarnation = {
            candidate.incarnation: candidate for candidate in candidates
        }
        self._capacity_by_incarnation = capacity_by_incarnation
        reported = dict(load_by_bucket)
        total = reported.pop(objects.TOTAL_LOAD_KEY, 0.0)
        unreported = max(total - sum(reported.values()), 0.0)
        self._unreported_rate_per_key = unreported / objects.SHARD_KEY_COUNT
        self._bucket_rates = sorted(reported.items())
        self._buckets = [first for first, _ in self._bucket_rates]
        self._load_by_incarnation = dict.fromkeys(
            self._candidates_by_incarnation, 0.0
        )
        for assignment in assignments:
            if assignment.life in self._load_by_incarnation:
                rate = self._total_rate(assignment.first, assignment.last)
                self._load_by_incarnation[assignment.life] += rate

    def rebalance(self, max_moves: int) -> Assignments:
        """Return the assignments after at most ``max_moves`` moves."""
        for _ in range(max_moves):
            if not self._make_next_move():
                break
        first_keys = sorted(self._assignments_by_first_key)
        return planning.merged(
            [self._assignments_by_first_key[first] for first in first_keys]
        )

    def _reported_rates(
        self, first: ids.ShardKey, last: ids.ShardKey
    ) -> list[tuple[ids.ShardKey, float]]:
        start = bisect.bisect_left(self._buckets, first)
        end = bisect.bisect_right(self._buckets, last)
        return self._bucket_rates[start:end]

    def _total_rate(self, first: ids.ShardKey, last: ids.ShardKey) -> float:
        reported = sum(rate for _, rate in self._reported_rates(first, last))
        return reported + self._unreported_rate_per_key * (last - first + 1)

    def _utilization(
        self, incarnation: ids.UpstreamIncarnation, added_load: float = 0.0
    ) -> float:
        load = self._load_by_incarnation[incarnation] + added_load
        return load / self._capacity_by_incarnation[incarnation]

    def _make_next_move(self) -> bool:
        if len(self._load_by_incarnation) < 2:
            return False
        if (
            len(self._assignments_by_first_key)
            > const.MAX_REBALANCED_RANGE_COUNT
        ):
            return False
        total = sum(self._load_by_incarnation.values())
        mean_utilization = total / sum(self._capacity_by_incarnation.values())
        limit = const.OVERLOAD_RATIO * mean_utilization
        for incarnation in sorted(
            self._load_by_incarnation, key=self._utilization, reverse=True
        ):
            if self._utilization(incarnation) < limit:
                return False
            hot_bucket = self._hot_bucket(incarnation, limit)
            move = (
                self._move_off_hot_holder(incarnation, hot_bucket)
                if hot_bucket is not None
                else None
            )
            move = move or self._best_move(incarnation, hot_bucket)
            if move is not None:
                self._apply_move(move, incarnation)
                return True
        return False

    def _hot_bucket(
        self, incarnation: ids.UpstreamIncarnation, limit: float
    ) -> ids.ShardKey | None:
        """Return the bucket that overloads its holder on its own."""
        rate, bucket = max(
            (
                (rate, bucket)
                for assignment in self._settled_assignments_of(incarnation)
                for bucket, rate in self._reported_rates(
                    assignment.first, assignment.last
                )
            ),
            default=(0.0, None),
        )
        if rate / self._capacity_by_incarnation[incarnation] < limit:
            return None
        return bucket

    def _move_off_hot_holder(
        self, source: ids.UpstreamIncarnation, hot_bucket: ids.ShardKey
    ) -> Move | None:
        """Return the move of the busiest subrange without the hot bucket.

        The hot bucket stays, as it would overload any other holder too
        and its keys are not served during a move.
        """
        subranges = [
            subrange
            for subrange in self._subranges(source)
            if not subrange.first <= hot_bucket <= subrange.last
        ]
        if not subranges:
            return None
        busiest = max(subranges, key=lambda subrange: subrange.rate)
        target = min(
            (
                incarnation
                for incarnation in self._load_by_incarnation
                if incarnation != source
            ),
            key=lambda incarnation: self._utilization(
                incarnation, busiest.rate
            ),
        )
        utilization_after = self._utilization(target, busiest.rate)
        if (
            utilization_after
            >= self._utilization(source) * const.MAX_MOVE_UTILIZATION_RATIO
        ):
            return None
        if busiest.rate < MIN_MOVED_REQUESTS_PER_SECOND:
            return None
        return Move(
            subrange=busiest,
            target=target,
            utilization_after=utilization_after,
        )

    def _best_move(
        self, source: ids.UpstreamIncarnation, hot_bucket: ids.ShardKey | None
    ) -> Move | None:
        """Return the move with the lowest utilization of source and target."""
        best: Move | None = None
        utilization_before = self._utilization(source)
        lowest_limit = utilization_before * const.MAX_MOVE_UTILIZATION_RATIO
        for subrange in self._subranges(source):
            is_hot = (
                hot_bucket is not None
                and subrange.first <= hot_bucket <= subrange.last
            )
            limit = (
                utilization_before * const.MAX_HOT_MOVE_UTILIZATION_RATIO
                if is_hot
                else utilization_before
            )
            limit = min(limit, lowest_limit)
            source_after = self._utilization(source, -subrange.rate)
            if source_after >= limit:
                continue
            for target in self._load_by_incarnation:
                if target == source:
                    continue
                utilization_after = max(
                    source_after, self._utilization(target, subrange.rate)
                )
                if utilization_after < limit:
                    best = Move(
                        subrange=subrange,
                        target=target,
                        utilization_after=utilization_after,
                    )
                    lowest_limit = limit = utilization_after
        return best

    def _settled_assignments_of(
        self, incarnation: ids.UpstreamIncarnation
    ) -> list[objects.Assignment]:
        """Return the ranges of a holder that are not being moved."""
        return [
            assignment
            for assignment in self._assignments_by_first_key.values()
            if assignment.life == incarnation and assignment.is_settled
        ]

    def _subranges(
        self, incarnation: ids.UpstreamIncarnation
    ) -> abc.Iterator[Subrange]:
        """Yield the subranges of a holder that may be moved.

        They are busy buckets, the keys before or after one, whole ranges
        and halves of ranges.
        """
        for assignment in self._settled_assignments_of(incarnation):
            for bucket, _ in self._reported_rates(
                assignment.first, assignment.last
            ):
                end = min(
                    assignment.last, bucket + objects.BUCKET_KEY_COUNT - 1
                )
                yield self._subrange(
                    assignment, max(bucket, assignment.first), end
                )
                if assignment.first < bucket:
                    yield self._subrange(
                        assignment, assignment.first, bucket - 1
                    )
                if end < assignment.last:
                    yield self._subrange(assignment, end + 1, assignment.last)
            yield self._subrange(assignment, assignment.first, assignment.last)
            middle = objects.bucket_of(
                ids.ShardKey((assignment.first + assignment.last) // 2)
            )
            if assignment.first < middle:
                yield self._subrange(assignment, assignment.first, middle - 1)
                yield self._subrange(assignment, middle, assignment.last)

    def _subrange(
        self, assignment: objects.Assignment, first: int, last: int
    ) -> Subrange:
        return Subrange(
            assignment=assignment,
            first=ids.ShardKey(first),
            last=ids.ShardKey(last),
            rate=self._total_rate(ids.ShardKey(first), ids.ShardKey(last)),
        )

    def _apply_move(self, move: Move, source: ids.UpstreamIncarnation) -> None:
        subrange = move.subrange
        self._load_by_incarnation[source] -= subrange.rate
        self._load_by_incarnation[move.target] += subrange.rate
        for part in planning.split(
            subrange.assignment, subrange.first, subrange.last
        ):
            if part.first == subrange.first:
                target = self._candidates_by_incarnation[move.target]
                part = planning.moved(part, target)
            self._assignments_by_first_key[part.first] = part
