"""Moves of busy shard keys to holders with room.

Answers the load of hot keys that lie close to one another, and that
change within minutes: a busy bucket is split from its range and moved
alone, so that few keys change hands.
"""

import bisect
from collections import abc
import dataclasses

from dragonflyshelf.core.grantor import const
from dragonflyshelf.core.grantor import messages
from dragonflyshelf.core.grantor import objects
from dragonflyshelf.core.grantor import planning
from dragonflyshelf.core import ids
from dragonflyshelf.core.upstreams import objects as upstreams
from dragonflyshelf.core.upstreams import service_times

Rows = tuple[objects.Assignment, ...]


LEAST_RELIEF = 0.2
"""Requests a second of a range below which it may stay by a hot one."""

LEAST_SECONDS = 0.001
"""Seconds that a request is taken to last at least."""

LEAST_RATE = 0.05
"""Requests a second below which a bucket is forgotten."""


@dataclasses.dataclass(kw_only=True, slots=True)
class Report:
    """Mean load of an instance by bucket, and when it was reported."""

    rates_by_bucket: dict[ids.ShardKey, float]
    reported_at: ids.Instant


class LoadMap:
    """Load of one service by bucket of keys, over all instances."""

    def __init__(self) -> None:
        """Create a map without reports."""
        self._reports_by_instance: dict[ids.InstanceId, Report] = {}

    def report(
        self,
        instance: ids.InstanceId,
        loads: abc.Iterable[messages.RangeLoad],
        now: ids.Instant,
    ) -> None:
        """Take in an instance's report."""
        newest = {one.first: one.rate for one in loads}
        known = self._reports_by_instance.get(instance)
        if known is None:
            self._reports_by_instance[instance] = Report(
                rates_by_bucket=newest, reported_at=now
            )
            return
        kept = {
            first: rate * (1.0 - const.LOAD_WEIGHT)
            for first, rate in known.rates_by_bucket.items()
            if rate > LEAST_RATE
        }
        for first, rate in newest.items():
            kept[first] = kept.get(first, 0.0) + rate * const.LOAD_WEIGHT
        known.rates_by_bucket = kept
        known.reported_at = now

    def by_bucket(self, now: ids.Instant) -> dict[ids.ShardKey, float]:
        """Return the requests a second of each bucket."""
        found: dict[ids.ShardKey, float] = {}
        for report in self._reports_by_instance.values():
            if now - report.reported_at > const.LOAD_LIFE:
                continue
            for first, rate in report.rates_by_bucket.items():
                found[first] = found.get(first, 0.0) + rate
        return found


def capacities(
    candidates: abc.Collection[upstreams.Registration],
    paces_by_life: dict[ids.UpstreamLife, service_times.ServiceTimeSum],
) -> dict[ids.UpstreamLife, float]:
    """Return what each upstream can serve, relative to the others."""
    measured = [
        paces_by_life[one.incarnation]
        for one in candidates
        if one.incarnation in paces_by_life
    ]
    mean = service_times.mean_service_time(measured, default=1.0)
    found = {one.incarnation: float(one.slots) for one in candidates}
    for one in measured:
        pace = mean / max(one.service_time(mean), LEAST_SECONDS)
        pace = min(max(pace, 1 / const.PACE_SPREAD), const.PACE_SPREAD)
        found[one.life] *= pace
    return found


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Piece:
    """Part of a range that could move, with its requests a second."""

    row: objects.Assignment
    first: ids.ShardKey
    last: ids.ShardKey
    rate: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Move:
    """A piece, where it could go, and the higher use of both then."""

    piece: Piece
    target: ids.UpstreamLife
    use_after: float


class Leveller:
    """Plans the next few moves for one service.

    The use of a holder is its load for its capacity. What the reports
    do not name is taken to be spread evenly over all keys.
    """

    def __init__(
        self,
        rows: Rows,
        candidates: abc.Iterable[upstreams.Registration],
        load_by_bucket: dict[ids.ShardKey, float],
        capacity_by_life: dict[ids.UpstreamLife, float],
    ) -> None:
        """Add up the load of every candidate."""
        self._rows_by_first = {one.first: one for one in rows}
        self._candidates_by_life = {one.incarnation: one for one in candidates}
        self._capacity_by_life = capacity_by_life
        named = dict(load_by_bucket)
        total = named.pop(objects.ALL_KEYS, 0.0)
        unnamed = max(total - sum(named.values()), 0.0)
        self._rate_per_key = unnamed / objects.SHARD_KEYS
        self._rates = sorted(named.items())
        self._buckets = [first for first, _ in self._rates]
        self._load_by_life = dict.fromkeys(self._candidates_by_life, 0.0)
        for row in rows:
            if row.life in self._load_by_life:
                rate = self._rate(row.first, row.last)
                self._load_by_life[row.life] += rate

    def level(self, most_moves: int) -> Rows:
        """Return the rows with a few pieces moved, or as they are."""
        for _ in range(most_moves):
            if not self._move_one():
                break
        firsts = sorted(self._rows_by_first)
        return merged([self._rows_by_first[one] for one in firsts])

    def _named(
        self, first: ids.ShardKey, last: ids.ShardKey
    ) -> list[tuple[ids.ShardKey, float]]:
        begin = bisect.bisect_left(self._buckets, first)
        end = bisect.bisect_right(self._buckets, last)
        return self._rates[begin:end]

    def _rate(self, first: ids.ShardKey, last: ids.ShardKey) -> float:
        named = sum(rate for _, rate in self._named(first, last))
        return named + self._rate_per_key * (last - first + 1)

    def _use(self, life: ids.UpstreamLife, more: float = 0.0) -> float:
        load = self._load_by_life[life] + more
        return load / self._capacity_by_life[life]

    def _move_one(self) -> bool:
        if len(self._load_by_life) < 2:
            return False
        if len(self._rows_by_first) > const.MOST_ROWS:
            return False
        total = sum(self._load_by_life.values())
        mean = total / sum(self._capacity_by_life.values())
        bound = const.OVERLOAD * mean
        for life in sorted(self._load_by_life, key=self._use, reverse=True):
            if self._use(life) < bound:
                return False
            hot = self._hot_bucket(life, bound)
            move = self._relief(life, hot) if hot is not None else None
            move = move or self._best_move(life, hot)
            if move is not None:
                self._make(move, life)
                return True
        return False

    def _hot_bucket(
        self, life: ids.UpstreamLife, bound: float
    ) -> ids.ShardKey | None:
        """Return the bucket that overloads its holder by itself."""
        rate, bucket = max(
            (
                (rate, bucket)
                for row in self._rows_of(life)
                for bucket, rate in self._named(row.first, row.last)
            ),
            default=(0.0, None),
        )
        if rate / self._capacity_by_life[life] < bound:
            return None
        return bucket

    def _relief(
        self, source: ids.UpstreamLife, hot: ids.ShardKey
    ) -> Move | None:
        """Return the move of what suffers most beside a hot bucket.

        The hot bucket stays: it would overload any other holder too,
        and nobody serves its keys while they move.
        """
        pieces = [
            one
            for one in self._pieces(source)
            if not one.first <= hot <= one.last
        ]
        if not pieces:
            return None
        piece = max(pieces, key=lambda one: one.rate)
        target = min(
            (one for one in self._load_by_life if one != source),
            key=lambda one: self._use(one, piece.rate),
        )
        after = self._use(target, piece.rate)
        if after >= self._use(source) * const.WORTHWHILE:
            return None
        if piece.rate < LEAST_RELIEF:
            return None
        return Move(piece=piece, target=target, use_after=after)

    def _best_move(
        self, worst: ids.UpstreamLife, hot: ids.ShardKey | None
    ) -> Move | None:
        """Return the move that lowers the higher use of both most."""
        found: Move | None = None
        before = self._use(worst)
        lowest = before * const.WORTHWHILE
        for piece in self._pieces(worst):
            is_hot = hot is not None and piece.first <= hot <= piece.last
            bound = before * const.HOT_WORTHWHILE if is_hot else before
            bound = min(bound, lowest)
            source_after = self._use(worst, -piece.rate)
            if source_after >= bound:
                continue
            for target in self._load_by_life:
                if target == worst:
                    continue
                after = max(source_after, self._use(target, piece.rate))
                if after < bound:
                    found = Move(piece=piece, target=target, use_after=after)
                    lowest = bound = after
        return found

    def _rows_of(self, life: ids.UpstreamLife) -> list[objects.Assignment]:
        """Return the ranges of a holder that are not moving."""
        return [
            one
            for one in self._rows_by_first.values()
            if one.life == life and one.is_settled
        ]

    def _pieces(self, life: ids.UpstreamLife) -> abc.Iterator[Piece]:
        """Yield busy buckets, whole ranges and halves of ranges."""
        for row in self._rows_of(life):
            for bucket, _ in self._named(row.first, row.last):
                end = min(row.last, bucket + objects.BUCKET_KEYS - 1)
                yield self._piece(row, max(bucket, row.first), end)
                if row.first < bucket:
                    yield self._piece(row, row.first, bucket - 1)
                if end < row.last:
                    yield self._piece(row, end + 1, row.last)
            yield self._piece(row, row.first, row.last)
            middle = objects.bucket_of(
                ids.ShardKey((row.first + row.last) // 2)
            )
            if row.first < middle:
                yield self._piece(row, row.first, middle - 1)
                yield self._piece(row, middle, row.last)

    def _piece(self, row: objects.Assignment, first: int, last: int) -> Piece:
        return Piece(
            row=row,
            first=ids.ShardKey(first),
            last=ids.ShardKey(last),
            rate=self._rate(ids.ShardKey(first), ids.ShardKey(last)),
        )

    def _make(self, move: Move, source: ids.UpstreamLife) -> None:
        piece = move.piece
        self._load_by_life[source] -= piece.rate
        self._load_by_life[move.target] += piece.rate
        for part in split(piece.row, piece.first, piece.last):
            if part.first == piece.first:
                target = self._candidates_by_life[move.target]
                part = planning.moved(part, target)
            self._rows_by_first[part.first] = part


def split(
    row: objects.Assignment, first: ids.ShardKey, last: ids.ShardKey
) -> Rows:
    """Return a range as up to three, with the keys named by themselves."""
    parts = []
    if row.first < first:
        parts.append(dataclasses.replace(row, last=ids.ShardKey(first - 1)))
    parts.append(dataclasses.replace(row, first=first, last=last))
    if last < row.last:
        parts.append(dataclasses.replace(row, first=ids.ShardKey(last + 1)))
    return tuple(parts)


def merged(rows: list[objects.Assignment]) -> Rows:
    """Join neighbouring settled ranges of one holder."""
    found: list[objects.Assignment] = []
    for row in rows:
        before = found[-1] if found else None
        if (
            before is not None
            and before.life == row.life
            and before.is_settled
            and row.is_settled
        ):
            found[-1] = dataclasses.replace(
                before,
                last=row.last,
                epoch=max(before.epoch, row.epoch),
            )
            continue
        found.append(row)
    return tuple(found)
