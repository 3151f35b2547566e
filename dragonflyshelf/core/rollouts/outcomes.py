"""Outcomes of attempts by service, route and upstream, summed up.

Service times are counted by ranges that grow by a constant factor, so that
responses of which only a part is slow can be told from others.
"""

from collections import abc
import dataclasses
import math
from typing import Final

from dragonflyshelf.core import ids
from dragonflyshelf.core.upstreams import state

SHORTEST_SECONDS: Final = 0.005
"""Upper limit of the first range of service times."""

RANGES_PER_DOUBLING: Final = 2
"""Ranges of service times between a time and its double."""

RANGE_COUNT: Final = 24
"""Number of ranges of service times; the last one has no upper limit."""

NO_TIMES: Final = (0,) * RANGE_COUNT

COUNTED_RESULTS: Final = frozenset(
    {state.AttemptResult.CANCELLED, state.AttemptResult.RESPONDED}
)
"""Results whose times are counted; a cancelled attempt took longer still."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeSum:
    """Attempts at one upstream for one route.

    ``life`` is the incarnation of the upstream, ``sent`` the number of
    attempts that began and ``times`` the number of responses by range of
    service time.
    """

    service: ids.ServiceName
    route: ids.RouteName
    life: ids.UpstreamIncarnation
    sent: int = 0
    answers: int = 0
    failures: int = 0
    times: tuple[int, ...] = NO_TIMES


OutcomeSums = tuple[OutcomeSum, ...]
Key = tuple[ids.ServiceName, ids.RouteName, ids.UpstreamIncarnation]


def range_of(seconds: float) -> int:
    """Return the number of the range that a service time is in."""
    if seconds <= SHORTEST_SECONDS:
        return 0
    doublings = math.log2(seconds / SHORTEST_SECONDS)
    return min(1 + int(doublings * RANGES_PER_DOUBLING), RANGE_COUNT - 1)


def add_times(
    left: abc.Sequence[int], right: abc.Sequence[int]
) -> tuple[int, ...]:
    """Return the sums by range; an empty sequence counts as none."""
    if len(left) != RANGE_COUNT or len(right) != RANGE_COUNT:
        return tuple(left if len(left) == RANGE_COUNT else right)
    return tuple(map(sum, zip(left, right)))


def merged(left: OutcomeSum, right: OutcomeSum) -> OutcomeSum:
    """Return the total of two sums of the same upstream and route."""
    return dataclasses.replace(
        left,
        sent=left.sent + right.sent,
        answers=left.answers + right.answers,
        failures=left.failures + right.failures,
        times=add_times(left.times, right.times),
    )


class OutcomeTally:
    """Outcomes that are still to be reported."""

    def __init__(self) -> None:
        """Create a tally without attempts."""
        self._sums_by_key: dict[Key, OutcomeSum] = {}

    def record_sent(
        self,
        service: ids.ServiceName,
        route: ids.RouteName,
        life: ids.UpstreamIncarnation,
    ) -> None:
        """Count an attempt that begins."""
        self.add(
            (OutcomeSum(service=service, route=route, life=life, sent=1),)
        )

    def record_result(
        self,
        service: ids.ServiceName,
        route: ids.RouteName,
        life: ids.UpstreamIncarnation,
        result: state.AttemptResult,
        seconds: float,
    ) -> None:
        """Count the end of an attempt, if it tells of the upstream."""
        is_failure = result is state.AttemptResult.FAILED
        if not is_failure and result not in COUNTED_RESULTS:
            return
        times = [0] * RANGE_COUNT
        if not is_failure:
            times[range_of(seconds)] = 1
        is_answer = result is not state.AttemptResult.CANCELLED
        self.add(
            (
                OutcomeSum(
                    service=service,
                    route=route,
                    life=life,
                    answers=int(is_answer),
                    failures=int(is_failure),
                    times=tuple(times),
                ),
            )
        )

    def add(self, sums: abc.Iterable[OutcomeSum]) -> None:
        """Add sums, of another instance or one attempt."""
        for outcome in sums:
            key = (outcome.service, outcome.route, outcome.life)
            current = self._sums_by_key.get(key)
            if current is not None:
                outcome = merged(current, outcome)
            self._sums_by_key[key] = outcome

    def take_report(self) -> OutcomeSums:
        """Return the sums and reset them."""
        report = tuple(self._sums_by_key.values())
        self._sums_by_key = {}
        return report
