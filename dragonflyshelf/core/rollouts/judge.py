"""Comparison of a new version of a service with the present ones.

Both are compared over the same time, route by route and in sum. A test is
the probability that as many failures, or slow responses, of the new version
occur by chance.
"""

import collections
import dataclasses
import enum
from typing import Final

from dragonflyshelf.core import ids
from dragonflyshelf.core.rollouts import chances
from dragonflyshelf.core.rollouts import outcomes
from dragonflyshelf.core.rollouts import tables
from dragonflyshelf.core import settings

SLICE_SECONDS: Final = 1.0
"""Time over which outcomes are summed before they are kept."""

RECENT_SLICE_COUNT: Final = 3
"""Number of latest slices that are judged by themselves too."""

FAILURE_TOLERANCE_RATIO: Final = 1.5
"""Ratio of the present version's failures up to which more are normal."""

SLOW_TOLERANCE_RATIO: Final = 2.5
"""The same for slow responses: upstreams of one version differ in speed."""

ROUTE_SHARE_RATIO: Final = 0.1
"""Share of the requests from which on a route is judged by itself."""

MIN_ROUTE_RESPONSES: Final = 8
"""Responses of the new version that such a route needs."""

MIN_PRESENT_RESPONSES: Final = 300
"""Responses of the present versions that the latest slices need.

With fewer, as all requests go to the new version, older slices of the
present ones are taken.
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
        self._slices: collections.deque[
            tuple[ids.Instant, tables.CountsByGroup]
        ] = collections.deque()
        self._present_times: tables.TimesByRoute = {}
        self._new_times: tables.TimesByRoute = {}
        self._verdict: Verdict | None = None
        self.figures = Figures()

    def add(
        self,
        outcome: outcomes.OutcomeSum,
        data_centre: ids.DataCentreId,
        is_new: bool,
        now: ids.Instant,
    ) -> None:
        """Add the outcomes of an upstream."""
        self._verdict = None
        if not self._slices or now >= self._slices[-1][0] + SLICE_SECONDS:
            self._slices.append((now, {}))
        group = tables.Group(
            route=outcome.route, data_centre=data_centre, is_new=is_new
        )
        self._slices[-1][1].setdefault(group, tables.Counts()).add(outcome)
        times_by_route = self._new_times if is_new else self._present_times
        times_by_life = times_by_route.setdefault(outcome.route, {})
        times_by_life[outcome.life] = outcomes.add_times(
            times_by_life.get(outcome.life, outcomes.NO_TIMES), outcome.times
        )

    def find_verdict(self) -> Verdict:
        """Return what is known of the new version now."""
        if self._verdict is None:
            self._verdict = self._judge()
        return self._verdict

    def _judge(self) -> Verdict:
        totals = tables.sum_slices(counts for _, counts in self._slices)
        recent = tables.sum_slices(
            counts for _, counts in list(self._slices)[-RECENT_SLICE_COUNT:]
        )
        recent = (
            tables.select(recent, is_new=True) | self._find_recent_present()
        )
        chance = min(
            self._find_chance(totals),
            self._find_chance(recent),
            self._find_spread_chance(),
        )
        self.figures = self._make_figures(totals, chance)
        if chance < self._config.certainty:
            return Verdict.BAD
        if chance < self._config.doubt or not self._has_enough(totals):
            return Verdict.UNSURE
        return Verdict.GOOD

    def _find_recent_present(self) -> tables.CountsByGroup:
        """Return the latest counts of the present versions.

        They go back over as many slices as it takes to have enough.
        """
        present: tables.CountsByGroup = {}
        for number, (_, counts) in enumerate(reversed(self._slices), 1):
            present = tables.sum_slices(
                (present, tables.select(counts, is_new=False))
            )
            is_enough = (
                tables.sum_counts(present).answers >= MIN_PRESENT_RESPONSES
            )
            if number >= RECENT_SLICE_COUNT and is_enough:
                break
        return present

    def _has_enough(self, totals: tables.CountsByGroup) -> bool:
        """Return whether each route with many requests has been seen."""
        all_answers = tables.sum_counts(totals).answers
        new_answers = tables.sum_counts(
            tables.select(totals, is_new=True)
        ).answers
        if new_answers < self._config.min_responses:
            return False
        for route in tables.routes(totals):
            of_route = tables.select(totals, route=route)
            seen = tables.sum_counts(
                tables.select(of_route, is_new=True)
            ).answers
            share = tables.sum_counts(of_route).answers / max(all_answers, 1)
            if share >= ROUTE_SHARE_RATIO and seen < MIN_ROUTE_RESPONSES:
                return False
        return True

    def _find_chance(self, counts: tables.CountsByGroup) -> float:
        """Return the least probability over all tests."""
        parts = [counts]
        parts += [
            tables.select(counts, route=route)
            for route in tables.routes(counts)
        ]
        return min(
            min(
                self._find_failure_chance(part),
                self._find_slow_chance(part),
            )
            for part in parts
        )

    def _find_failure_chance(self, counts: tables.CountsByGroup) -> float:
        """Return the probability of the new version's failures.

        Data centres in which the present version fails too are left out.
        """
        lost = {
            group.data_centre
            for group in counts
            if tables.is_lost(
                tables.select(counts, data_centre=group.data_centre)
            )
        }
        kept = {
            group: group_counts
            for group, group_counts in counts.items()
            if group.data_centre not in lost
        }
        new = tables.sum_counts(tables.select(kept, is_new=True))
        present = tables.sum_counts(tables.select(kept, is_new=False))
        return chances.find_excess_chance(
            tables.Ratio(count=new.failures, total=new.answers),
            tables.Ratio(count=present.failures, total=present.answers),
            self._config.normal_failures,
            FAILURE_TOLERANCE_RATIO,
        )

    def _find_slow_chance(self, counts: tables.CountsByGroup) -> float:
        """Return the probability of the new version's slow responses."""
        new = present = tables.Ratio()
        for route in tables.routes(counts):
            first_slow = self._first_slow_range(route)
            if first_slow is None:
                continue
            of_route = tables.select(counts, route=route)
            new += tables.find_slow_ratio(
                tables.select(of_route, is_new=True), first_slow
            )
            present += tables.find_slow_ratio(
                tables.select(of_route, is_new=False), first_slow
            )
        if present.total < chances.MIN_COMPARED_RESPONSES:
            return 1.0
        return chances.find_excess_chance(
            new, present, self._config.normal_slow, SLOW_TOLERANCE_RATIO
        )

    def _find_spread_chance(self) -> float:
        """Return the probability of the new version's spread of times.

        It is wide if a part of the responses is slow, whatever the speed of
        the upstreams.
        """
        spreads = [
            (
                tables.find_spread(self._new_times.get(route, {})),
                tables.find_spread(self._present_times.get(route, {})),
            )
            for route in self._new_times
        ]
        all_new = sum((new for new, _ in spreads), tables.Spread())
        all_present = sum((each for _, each in spreads), tables.Spread())
        return min(
            chances.find_spread_chance(new, present)
            for new, present in [*spreads, (all_new, all_present)]
        )

    def _first_slow_range(self, route: ids.RouteName) -> int | None:
        """Return the first range of times that counts as slow, if known.

        It begins ``slow_factor`` above the median of one of the slowest
        present upstreams, as upstreams of one version differ in speed.
        """
        times_by_life = self._present_times.get(route, {})
        medians = sorted(
            tables.find_median(times)
            for times in times_by_life.values()
            if sum(times) >= tables.MIN_UPSTREAM_RESPONSES
        )
        slow_index = int((len(times_by_life) - 1) * SLOW_UPSTREAM_RATIO)
        if slow_index >= len(medians):
            return None
        return max(
            medians[slow_index]
            + tables.count_ranges(self._config.slow_factor),
            outcomes.range_of(tables.MIN_SLOW_SECONDS) + 1,
        )

    def _make_figures(
        self, totals: tables.CountsByGroup, chance: float
    ) -> Figures:
        new = tables.sum_counts(tables.select(totals, is_new=True))
        present = tables.sum_counts(tables.select(totals, is_new=False))
        slow = 0
        for route in tables.routes(totals):
            first_slow = self._first_slow_range(route)
            of_route = tables.select(totals, is_new=True, route=route)
            if first_slow is not None:
                slow += sum(tables.sum_counts(of_route).times[first_slow:])
        return Figures(
            responses=new.answers,
            failures=new.failures,
            slow=slow,
            present_responses=present.answers,
            present_failures=present.failures,
            chance=chance,
        )
