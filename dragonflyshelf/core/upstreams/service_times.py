"""Service times of upstreams, measured by all instances together.

With many instances each of them rarely sees a response of a given
upstream. So every instance reports the number of responses and their
total seconds; the leader adds them up with exponential decay and uses
the sums to place shard ranges. They are not used for load balancing
among unsharded upstreams: instances that decide by the same figures
would all pick the same upstreams.
"""

from collections import abc
import dataclasses
import math
from typing import Final

from dragonflyshelf.core import ids

MIN_RESPONSE_COUNT: Final = 0.05
"""Decayed number of responses below which an upstream is dropped."""

DECAY_SECONDS: Final = 6.0
"""Time constant of the exponential decay."""

PRIOR_RESPONSE_COUNT: Final = 2.0
"""Weight of the prior, the mean of the service, in responses."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceTimeSum:
    """Number of responses of one upstream and their total service time.

    The seconds exclude queueing and are normalized to a slowdown of 1.
    ``life`` is the incarnation of the upstream, and ``answers`` the
    number of responses; the message on the wire has these names.
    """

    life: ids.UpstreamIncarnation
    seconds: float
    answers: float

    def service_time(self, prior_mean: float) -> float:
        """Return the estimated seconds for one request.

        With few responses the estimate is close to ``prior_mean``,
        the mean of the service.
        """
        seconds = self.seconds + PRIOR_RESPONSE_COUNT * prior_mean
        return seconds / (self.answers + PRIOR_RESPONSE_COUNT)


ServiceTimeSums = tuple[ServiceTimeSum, ...]


def mean_service_time(
    sums: abc.Iterable[ServiceTimeSum], default: float
) -> float:
    """Return the mean over all responses, or the default for none."""
    all_sums = tuple(sums)
    answers = sum(upstream_sum.answers for upstream_sum in all_sums)
    if not answers:
        return default
    return sum(upstream_sum.seconds for upstream_sum in all_sums) / answers


class ServiceTimeTally:
    """Service times that are still to be reported."""

    def __init__(self) -> None:
        """Create a tally without responses."""
        self._sums_by_incarnation: dict[
            ids.UpstreamIncarnation, ServiceTimeSum
        ] = {}

    def record_response(
        self, incarnation: ids.UpstreamIncarnation, seconds: float
    ) -> None:
        """Add one response."""
        self.add(
            (ServiceTimeSum(life=incarnation, seconds=seconds, answers=1.0),)
        )

    def add(self, sums: abc.Iterable[ServiceTimeSum]) -> None:
        """Add the sums of another instance."""
        for upstream_sum in sums:
            self._sums_by_incarnation[upstream_sum.life] = merged(
                self._sums_by_incarnation.get(upstream_sum.life), upstream_sum
            )

    def take_report(self) -> ServiceTimeSums:
        """Return the sums and reset them."""
        report = tuple(self._sums_by_incarnation.values())
        self._sums_by_incarnation = {}
        return report


class DecayingServiceTimes:
    """Sums with exponential decay, kept by the leader."""

    def __init__(self) -> None:
        """Create sums without responses."""
        self._sums_by_incarnation: dict[
            ids.UpstreamIncarnation, ServiceTimeSum
        ] = {}
        self._decayed_at = ids.Instant(0.0)

    def add(
        self, sums: abc.Iterable[ServiceTimeSum], now: ids.Instant
    ) -> None:
        """Add the sums that an instance has reported."""
        self._decay(now)
        for upstream_sum in sums:
            self._sums_by_incarnation[upstream_sum.life] = merged(
                self._sums_by_incarnation.get(upstream_sum.life), upstream_sum
            )

    def snapshot(self, now: ids.Instant) -> ServiceTimeSums:
        """Return the decayed sum of each upstream."""
        self._decay(now)
        return tuple(self._sums_by_incarnation.values())

    def _decay(self, now: ids.Instant) -> None:
        decay_factor = math.exp(
            -max(now - self._decayed_at, 0.0) / DECAY_SECONDS
        )
        self._decayed_at = now
        self._sums_by_incarnation = {
            incarnation: ServiceTimeSum(
                life=incarnation,
                seconds=upstream_sum.seconds * decay_factor,
                answers=upstream_sum.answers * decay_factor,
            )
            for incarnation, upstream_sum in self._sums_by_incarnation.items()
            if upstream_sum.answers * decay_factor >= MIN_RESPONSE_COUNT
        }


def merged(
    total: ServiceTimeSum | None, increment: ServiceTimeSum
) -> ServiceTimeSum:
    """Return the total of two sums of the same upstream."""
    if total is None:
        return increment
    return ServiceTimeSum(
        life=increment.life,
        seconds=total.seconds + increment.seconds,
        answers=total.answers + increment.answers,
    )
