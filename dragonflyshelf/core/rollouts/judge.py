"""Comparison of a new version of a service with the present ones.

Both are compared over the same time, route by route and in sum. A test is
the probability that as many failures, or slow responses, of the new version
occur by chance at the ratio of the present ones.
"""

import collections
from collections import abc
import dataclasses
import enum
import math
from typing import Final

from dragonflyshelf.core import ids
from dragonflyshelf.core.rollouts import outcomes
from dragonflyshelf.core import settings

SLICE_SECONDS: Final = 1.0
"""Time over which outcomes are summed before they are kept."""

RECENT_SLICE_COUNT: Final = 3
"""Number of latest slices that are judged by themselves too."""

PRIOR_RESPONSE_COUNT: Final = 20.0
"""Weight of a service's ratio in that of a route or data centre."""

TOLERANCE_RATIO: Final = 1.5
"""Ratio of the present versions' failures up to which more are normal."""

ROUTE_SHARE_RATIO: Final = 0.1
"""Share of the requests from which on a route is judged by itself."""

MIN_ROUTE_RESPONSES: Final = 8
"""Responses of the new version that such a route needs."""

MIN_PRESENT_RESPONSES: Final = 100
"""Responses of the present versions that the latest slices need.

With fewer, as all requests go to the new version, the latest slices are
compared with all responses of the present ones.
"""

MIN_UPSTREAM_RESPONSES: Final = 5
"""Responses from which on an upstream's median service time is used."""

MIN_SLOW_SECONDS: Final = 0.03
"""Service time up to which no response counts as slow.

A busy instance and the network take part of it.
"""

SLOW_UPSTREAM_RATIO: Final = 0.8
"""Part of the present upstreams that are faster than the one compared with.

The canaries may be the slowest of their version. The medians of fast ones
are known first, so that of this one must be known.
"""


class Verdict(enum.Enum):
    """What is known of the new version."""

    BAD = "bad"
    GOOD = "good"
    UNSURE = "unsure"


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
class Group:
    """What is compared: a route, data centre and whether it is new."""

    route: ids.RouteName
    data_centre: ids.DataCentreId
    is_new: bool


CountsByGroup = dict[Group, Counts]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Figures:
    """Figures of the judge; ``chance`` is the least of its probabilities."""

    responses: int = 0
    failures: int = 0
    slow: int = 0
    present_responses: int = 0
    present_failures: int = 0
    chance: float = 1.0

    def __str__(self) -> str:
        """Return the figures as text for a log line."""
        return (
            f"new {self.failures} failed and {self.slow} slow of"
            f" {self.responses}, present {self.present_failures} failed of"
            f" {self.present_responses}, chance {self.chance:.2g}"
        )


class Judge:
    """Outcomes of both versions since the canary step began."""

    def __init__(self, config: settings.Settings) -> None:
        """Create a judge that has seen nothing."""
        self._config = config.rollouts
        self._slices: collections.deque[tuple[ids.Instant, CountsByGroup]] = (
            collections.deque()
        )
        self._present_times: dict[
            ids.RouteName, dict[ids.UpstreamIncarnation, tuple[int, ...]]
        ] = {}
        self.figures = Figures()

    def add(
        self,
        outcome: outcomes.OutcomeSum,
        data_centre: ids.DataCentreId,
        is_new: bool,
        now: ids.Instant,
    ) -> None:
        """Add the outcomes of an upstream."""
        if not self._slices or now >= self._slices[-1][0] + SLICE_SECONDS:
            self._slices.append((now, {}))
        group = Group(
            route=outcome.route, data_centre=data_centre, is_new=is_new
        )
        self._slices[-1][1].setdefault(group, Counts()).add(outcome)
        if not is_new:
            times_by_life = self._present_times.setdefault(outcome.route, {})
            times_by_life[outcome.life] = outcomes.add_times(
                times_by_life.get(outcome.life, outcomes.NO_TIMES),
                outcome.times,
            )

    def find_verdict(self) -> Verdict:
        """Return what is known of the new version now."""
        totals = _sum_slices(counts for _, counts in self._slices)
        recent = _sum_slices(
            counts for _, counts in list(self._slices)[-RECENT_SLICE_COUNT:]
        )
        present = _select(recent, is_new=False)
        if _sum_counts(present).answers < MIN_PRESENT_RESPONSES:
            present = _select(totals, is_new=False)
        recent = _select(recent, is_new=True) | present
        chance = min(self._find_chance(totals), self._find_chance(recent))
        self.figures = self._make_figures(totals, chance)
        if chance < self._config.certainty:
            return Verdict.BAD
        if chance < self._config.doubt or not self._has_enough(totals):
            return Verdict.UNSURE
        return Verdict.GOOD

    def _has_enough(self, totals: CountsByGroup) -> bool:
        """Return whether each route with many requests has been seen."""
        all_answers = _sum_counts(totals).answers
        new_answers = _sum_counts(_select(totals, is_new=True)).answers
        if new_answers < self._config.min_responses:
            return False
        for route in _routes(totals):
            of_route = _select(totals, route=route)
            seen = _sum_counts(_select(of_route, is_new=True)).answers
            share = _sum_counts(of_route).answers / max(all_answers, 1)
            if share >= ROUTE_SHARE_RATIO and seen < MIN_ROUTE_RESPONSES:
                return False
        return True

    def _find_chance(self, counts: CountsByGroup) -> float:
        """Return the least probability over all tests."""
        if not any(group.is_new for group in counts):
            return 1.0
        parts = [counts]
        parts += [_select(counts, route=route) for route in _routes(counts)]
        return min(
            min(
                self._find_failure_chance(part, counts),
                self._find_slow_chance(part, counts),
            )
            for part in parts
        )

    def _find_failure_chance(
        self, part: CountsByGroup, counts: CountsByGroup
    ) -> float:
        """Return the probability of the new version's failures.

        The ratio that is expected is that of each data centre, so that the
        loss of one does not count for the version.
        """
        prior = _failure_ratio(_sum_counts(_select(counts, is_new=False)))
        attempts = failures = 0
        expected = 0.0
        for group, new in _select(part, is_new=True).items():
            present = _sum_counts(
                _select(counts, is_new=False, data_centre=group.data_centre)
            )
            ratio = (
                _shrunk(present.failures, present.answers, prior)
                * TOLERANCE_RATIO
            )
            attempts += new.answers
            failures += new.failures
            expected += new.answers * max(ratio, self._config.normal_failures)
        return _find_tail(failures, attempts, expected)

    def _find_slow_chance(
        self, part: CountsByGroup, counts: CountsByGroup
    ) -> float:
        """Return the probability of the new version's slow responses."""
        attempts = slow = 0
        expected = 0.0
        for route in _routes(part):
            first_slow = self._first_slow_range(route)
            if first_slow is None:
                continue
            new = _sum_counts(_select(part, is_new=True, route=route)).times
            present = _sum_counts(
                _select(counts, is_new=False, route=route)
            ).times
            ratio = TOLERANCE_RATIO * _shrunk(
                sum(present[first_slow:]),
                sum(present),
                self._config.normal_slow / TOLERANCE_RATIO,
            )
            attempts += sum(new)
            slow += sum(new[first_slow:])
            expected += sum(new) * max(ratio, self._config.normal_slow)
        return _find_tail(slow, attempts, expected)

    def _first_slow_range(self, route: ids.RouteName) -> int | None:
        """Return the first range of times that counts as slow, if known.

        It begins ``slow_factor`` above the median of one of the slowest
        present upstreams, as upstreams of one version differ in speed.
        """
        times_by_life = self._present_times.get(route, {})
        medians = sorted(
            _find_median(times)
            for times in times_by_life.values()
            if sum(times) >= MIN_UPSTREAM_RESPONSES
        )
        slow_index = int((len(times_by_life) - 1) * SLOW_UPSTREAM_RATIO)
        if slow_index >= len(medians):
            return None
        distance = math.log2(self._config.slow_factor)
        distance *= outcomes.RANGES_PER_DOUBLING
        return max(
            medians[slow_index] + math.ceil(distance),
            outcomes.range_of(MIN_SLOW_SECONDS) + 1,
        )

    def _make_figures(self, totals: CountsByGroup, chance: float) -> Figures:
        new = _sum_counts(_select(totals, is_new=True))
        present = _sum_counts(_select(totals, is_new=False))
        slow = 0
        for route in _routes(totals):
            first_slow = self._first_slow_range(route)
            of_route = _select(totals, is_new=True, route=route)
            if first_slow is not None:
                slow += sum(_sum_counts(of_route).times[first_slow:])
        return Figures(
            responses=new.answers,
            failures=new.failures,
            slow=slow,
            present_responses=present.answers,
            present_failures=present.failures,
            chance=chance,
        )


def _routes(counts: CountsByGroup) -> list[ids.RouteName]:
    return sorted({group.route for group in counts})


def _select(
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


def _sum_counts(counts: CountsByGroup) -> Counts:
    total = Counts()
    for group_counts in counts.values():
        total.add(group_counts)
    return total


def _sum_slices(slices: abc.Iterable[CountsByGroup]) -> CountsByGroup:
    totals: CountsByGroup = {}
    for counts in slices:
        for group, group_counts in counts.items():
            totals.setdefault(group, Counts()).add(group_counts)
    return totals


def _find_median(times: abc.Sequence[int]) -> int:
    """Return the range that holds the median of non-empty counts."""
    half = sum(times) / 2
    seen = 0
    for number, count in enumerate(times):
        seen += count
        if seen >= half:
            return number
    return len(times) - 1


def _failure_ratio(counts: Counts) -> float:
    return counts.failures / counts.answers if counts.answers else 0.0


def _shrunk(count: int, total: int, prior: float) -> float:
    """Return a ratio that is close to ``prior`` if the total is small."""
    return (count + PRIOR_RESPONSE_COUNT * prior) / (
        total + PRIOR_RESPONSE_COUNT
    )


def _find_tail(count: int, total: int, expected: float) -> float:
    """Return the probability of ``count`` or more of ``total`` by chance."""
    if count <= expected or not total:
        return 1.0
    ratio = min(expected / total, 1.0 - 1e-9)
    log_ratio = math.log(ratio)
    log_rest = math.log1p(-ratio)
    return min(
        1.0,
        sum(
            math.exp(
                math.lgamma(total + 1)
                - math.lgamma(number + 1)
                - math.lgamma(total - number + 1)
                + number * log_ratio
                + (total - number) * log_rest
            )
            for number in range(count, total + 1)
        ),
    )
