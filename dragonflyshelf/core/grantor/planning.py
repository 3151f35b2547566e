"""Assignment of a service's shard ranges to upstreams."""

import collections
from collections import abc
import dataclasses

from dragonflyshelf.core.grantor import const
from dragonflyshelf.core.grantor import objects
from dragonflyshelf.core import ids
from dragonflyshelf.core.upstreams import objects as upstreams

Registrations = abc.Sequence[upstreams.Registration]


def initial_assignments(
    candidates: Registrations,
) -> tuple[objects.Assignment, ...]:
    """Divide all keys among upstreams, adjacent ranges to different ones.

    Busy keys are often adjacent, so each upstream gets several ranges
    that are not. Ranges begin at the start of a bucket.
    """
    ordered_candidates = sorted(
        candidates,
        key=lambda candidate: (candidate.id, candidate.started_at_ms),
    )
    range_count = min(
        len(ordered_candidates) * const.INITIAL_RANGES_PER_UPSTREAM,
        const.MAX_INITIAL_RANGE_COUNT,
    )
    range_count = max(range_count, len(ordered_candidates))
    assignments = []
    for number in range(range_count):
        first = objects.bucket_of(
            ids.ShardKey(objects.SHARD_KEY_COUNT * number // range_count)
        )
        end = objects.bucket_of(
            ids.ShardKey(objects.SHARD_KEY_COUNT * (number + 1) // range_count)
        )
        holder = ordered_candidates[number % len(ordered_candidates)]
        assignments.append(
            objects.Assignment(
                first=ids.ShardKey(first),
                last=ids.ShardKey(end - 1),
                upstream=holder.id,
                life=holder.incarnation,
                epoch=ids.Epoch(const.INITIAL_EPOCH),
            )
        )
    return tuple(assignments)


def moved(
    assignment: objects.Assignment, holder: upstreams.Registration
) -> objects.Assignment:
    """Return the assignment with another holder and a higher epoch."""
    return dataclasses.replace(
        assignment,
        upstream=holder.id,
        life=holder.incarnation,
        epoch=ids.Epoch(assignment.epoch + const.EPOCH_INCREMENT),
        former_upstream=assignment.upstream,
        former_life=assignment.life,
        is_settled=False,
    )


def settled(assignment: objects.Assignment) -> objects.Assignment:
    """Return the assignment after its move has ended."""
    return dataclasses.replace(
        assignment,
        former_upstream=ids.UpstreamId(""),
        former_life=ids.UpstreamIncarnation(""),
        is_settled=True,
    )


class RangeCounts:
    """Counts ranges by holder, to find the one with the fewest."""

    def __init__(
        self,
        candidates: Registrations,
        assignments: abc.Iterable[objects.Assignment],
    ) -> None:
        """Count the ranges of the candidates."""
        self._candidates_by_incarnation = {
            candidate.incarnation: candidate for candidate in candidates
        }
        self.range_counts_by_incarnation: collections.Counter[
            ids.UpstreamIncarnation
        ] = collections.Counter(
            {incarnation: 0 for incarnation in self._candidates_by_incarnation}
        )
        for assignment in assignments:
            if assignment.life in self._candidates_by_incarnation:
                self.range_counts_by_incarnation[assignment.life] += 1

    def pick_least_loaded(self) -> upstreams.Registration:
        """Return the upstream with the fewest ranges and count one more."""
        incarnation = min(
            self.range_counts_by_incarnation,
            key=lambda holder: (
                self.range_counts_by_incarnation[holder],
                holder,
            ),
        )
        self.range_counts_by_incarnation[incarnation] += 1
        return self._candidates_by_incarnation[incarnation]


def split(
    assignment: objects.Assignment, first: ids.ShardKey, last: ids.ShardKey
) -> tuple[objects.Assignment, ...]:
    """Split a range so that ``first`` to ``last`` is a range of its own."""
    parts = []
    if assignment.first < first:
        parts.append(
            dataclasses.replace(assignment, last=ids.ShardKey(first - 1))
        )
    parts.append(dataclasses.replace(assignment, first=first, last=last))
    if last < assignment.last:
        parts.append(
            dataclasses.replace(assignment, first=ids.ShardKey(last + 1))
        )
    return tuple(parts)


def merged(
    assignments: list[objects.Assignment],
) -> tuple[objects.Assignment, ...]:
    """Merge adjacent settled ranges of the same holder."""
    merged_assignments: list[objects.Assignment] = []
    for assignment in assignments:
        previous = merged_assignments[-1] if merged_assignments else None
        if (
            previous is not None
            and previous.life == assignment.life
            and previous.is_settled
            and assignment.is_settled
        ):
            merged_assignments[-1] = dataclasses.replace(
                previous,
                last=assignment.last,
                epoch=max(previous.epoch, assignment.epoch),
            )
            continue
        merged_assignments.append(assignment)
    return tuple(merged_assignments)
