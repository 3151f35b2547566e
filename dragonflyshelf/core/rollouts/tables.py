"""Counts of what versions did, by route, data centre and upstream."""

from collections import abc
import dataclasses
import math
from typing import Final

from dragonflyshelf.core import ids
from dragonflyshelf.core.rollouts import outcomes

LOST_RATIO: Final = 0.2
"""Part of the present version's responses that fail in a lost data centre."""

MIN_LOST_FAILURES: Final = 5
"""Failures of the present version from which on that is looked at."""

MIN_UPSTREAM_RESPONSES: Final = 5
"""Responses from which on an upstream's median service time is used."""

MIN_VARIANCE: Final = 0.25
"""Variance of service times in ranges below which they count as equal."""

MIN_SLOW_SECONDS: Final = 0.03
"""Service time up to which no response counts as slow.

A busy instance and the network take part of it.
"""


@dataclasses.dataclass(kw_only=True, slots=True)
class Counts:
    """Responses, failures and service times of one version."""

    answers: int = 0
    failures: int = 0
    times: tuple[int, ...] = outcomes.NO_TIMES

    def add(self, other: "Counts | outcomes.OutcomeSum") -> None:
        """Add other counts."""
        self.answers += other.answers
        self.failures += other.failures
        self.times = outcomes.add_times(self.times, other.times)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ratio:
    """Number of cases among all responses."""

    count: int = 0
    total: int = 0

    def __add__(self, other: "Ratio") -> "Ratio":
        """Return the ratio over the responses of both."""
        return Ratio(
            count=self.count + other.count, total=self.total + other.total
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Spread:
    """Squared distances of service times from a mean, in ranges."""

    squares: float = 0.0
    total: int = 0

    def __add__(self, other: "Spread") -> "Spread":
        """Return the spread over the responses of both."""
        return Spread(
            squares=self.squares + other.squares,
            total=self.total + other.total,
        )

    @property
    def variance(self) -> float:
        """Return the variance, at least that of nearly equal times."""
        return max(self.squares / max(self.total, 1), MIN_VARIANCE)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Group:
    """What is compared: a route, data centre and whether it is new."""

    route: ids.RouteName
    data_centre: ids.DataCentreId
    is_new: bool


CountsByGroup = dict[Group, Counts]
TimesByLife = dict[ids.UpstreamIncarnation, tuple[int, ...]]
TimesByRoute = dict[ids.RouteName, TimesByLife]


def is_lost(counts: CountsByGroup) -> bool:
    """Return whether the present version fails in a data centre."""
    present = sum_counts(select(counts, is_new=False))
    if present.failures < MIN_LOST_FAILURES:
        return False
    return present.failures >= LOST_RATIO * present.answers


def find_slow_ratio(counts: CountsByGroup, first_slow: int) -> Ratio:
    """Return how many responses were slow, of those with a time."""
    times = sum_counts(counts).times
    return Ratio(count=sum(times[first_slow:]), total=sum(times))


def count_ranges(factor: float) -> int:
    """Return the number of ranges between a time and its multiple."""
    return math.ceil(math.log2(factor) * outcomes.RANGES_PER_DOUBLING)


def find_spread(times_by_life: TimesByLife) -> Spread:
    """Return the spread of service times around each upstream's mean.

    So the speed of upstreams does not matter. Times too short to count as
    slow are taken as equal.
    """
    shortest = outcomes.range_of(MIN_SLOW_SECONDS)
    spread = Spread()
    for times in times_by_life.values():
        total = sum(times)
        if total < MIN_UPSTREAM_RESPONSES:
            continue
        counts = [
            (max(number, shortest), count)
            for number, count in enumerate(times)
        ]
        mean = sum(number * count for number, count in counts) / total
        squares = sum(count * (number - mean) ** 2 for number, count in counts)
        spread += Spread(squares=squares, total=total - 1)
    return spread


def find_median(times: abc.Sequence[int]) -> int:
    """Return the range that holds the median of non-empty counts."""
    half = sum(times) / 2
    seen = 0
    for number, count in enumerate(times):
        seen += count
        if seen >= half:
            return number
    return len(times) - 1


def routes(counts: CountsByGroup) -> list[ids.RouteName]:
    return sorted({group.route for group in counts})


def select(
    counts: CountsByGroup,
    *,
    is_new: bool | None = None,
    route: ids.RouteName | None = None,
    data_centre: ids.DataCentreId | None = None,
) -> CountsByGroup:
    """Return the counts of the groups with the given properties."""
    return {
        group: group_counts
        for group, group_counts in counts.items()
        if is_new in (None, group.is_new)
        and route in (None, group.route)
        and data_centre in (None, group.data_centre)
    }


def sum_counts(counts: CountsByGroup) -> Counts:
    total = Counts()
    for group_counts in counts.values():
        total.add(group_counts)
    return total


def sum_slices(slices: abc.Iterable[CountsByGroup]) -> CountsByGroup:
    totals: CountsByGroup = {}
    for counts in slices:
        for group, group_counts in counts.items():
            totals.setdefault(group, Counts()).add(group_counts)
    return totals
