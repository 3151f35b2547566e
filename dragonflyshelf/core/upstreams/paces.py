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

FORGOTTEN: Final = 0.05
"""Decayed number of responses below which an upstream is dropped."""

MEMORY: Final = 6.0
"""Time constant of the exponential decay."""

PRIOR_ANSWERS: Final = 2.0
"""Weight of the prior, the mean of the service, in responses."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamPace:
    """Number of responses of one upstream and their total service time.

    The seconds exclude queueing and are normalized to a slowdown of 1.
    """

    life: ids.UpstreamLife
    seconds: float
    answers: float

    def service_time(self, mean: float) -> float:
        """Return the estimated seconds for one request.

        With few responses the estimate is close to ``mean``, the mean
        of the service.
        """
        seconds = self.seconds + PRIOR_ANSWERS * mean
        return seconds / (self.answers + PRIOR_ANSWERS)


Paces = tuple[UpstreamPace, ...]


def mean_of(paces: abc.Iterable[UpstreamPace], default: float) -> float:
    """Return the mean over all responses, or the default for none."""
    known = tuple(paces)
    answers = sum(one.answers for one in known)
    if not answers:
        return default
    return sum(one.seconds for one in known) / answers


class PaceTally:
    """Service times that are still to be reported."""

    def __init__(self) -> None:
        """Create a tally without responses."""
        self._paces_by_life: dict[ids.UpstreamLife, UpstreamPace] = {}

    def count(self, life: ids.UpstreamLife, seconds: float) -> None:
        """Add one response."""
        self.add((UpstreamPace(life=life, seconds=seconds, answers=1.0),))

    def add(self, paces: abc.Iterable[UpstreamPace]) -> None:
        """Add the sums of another instance."""
        for one in paces:
            self._paces_by_life[one.life] = added(
                self._paces_by_life.get(one.life), one
            )

    def take(self) -> Paces:
        """Return the sums and reset them."""
        found = tuple(self._paces_by_life.values())
        self._paces_by_life = {}
        return found


class PaceMap:
    """Sums with exponential decay, kept by the leader."""

    def __init__(self) -> None:
        """Create sums without responses."""
        self._paces_by_life: dict[ids.UpstreamLife, UpstreamPace] = {}
        self._faded_at = ids.Instant(0.0)

    def add(self, paces: abc.Iterable[UpstreamPace], now: ids.Instant) -> None:
        """Add the sums that an instance has reported."""
        self._fade(now)
        for one in paces:
            self._paces_by_life[one.life] = added(
                self._paces_by_life.get(one.life), one
            )

    def known(self, now: ids.Instant) -> Paces:
        """Return the decayed sum of each upstream."""
        self._fade(now)
        return tuple(self._paces_by_life.values())

    def _fade(self, now: ids.Instant) -> None:
        kept = math.exp(-max(now - self._faded_at, 0.0) / MEMORY)
        self._faded_at = now
        self._paces_by_life = {
            life: UpstreamPace(
                life=life,
                seconds=one.seconds * kept,
                answers=one.answers * kept,
            )
            for life, one in self._paces_by_life.items()
            if one.answers * kept >= FORGOTTEN
        }


def added(known: UpstreamPace | None, more: UpstreamPace) -> UpstreamPace:
    """Return the total of two sums of the same upstream."""
    if known is None:
        return more
    return UpstreamPace(
        life=more.life,
        seconds=known.seconds + more.seconds,
        answers=known.answers + more.answers,
    )
