"""How fast each upstream answers, measured by all instances together.

With many instances each sees an answer of one upstream only now and
then. So every instance reports the seconds and the number of answers;
the leading instance adds them up, lets them fade and goes by the sums
when it places shard ranges. They are no good for the choice among
undivided upstreams: instances that go by the same figures meet at the
same upstreams.
"""

from collections import abc
import dataclasses
import math
from typing import Final

from dragonflyshelf.core import ids

FORGOTTEN: Final = 0.05
"""Number of faded answers below which an upstream is left out."""

MEMORY: Final = 6.0
"""Seconds over which measured answers fade."""

PRIOR_ANSWERS: Final = 2.0
"""Answers for which the mean of the service counts beside the measured."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamPace:
    """Answers of one upstream and the seconds that they took in all.

    The seconds are those at the usual speed and without a queue.
    """

    life: ids.UpstreamIncarnation
    seconds: float
    answers: float

    def service_time(self, mean: float) -> float:
        """Return the seconds for one request.

        ``mean`` is the mean of the service, towards which few answers
        are drawn.
        """
        seconds = self.seconds + PRIOR_ANSWERS * mean
        return seconds / (self.answers + PRIOR_ANSWERS)


Paces = tuple[UpstreamPace, ...]


def mean_of(paces: abc.Iterable[UpstreamPace], default: float) -> float:
    """Return the mean seconds of all answers, or the default for none."""
    known = tuple(paces)
    answers = sum(one.answers for one in known)
    if not answers:
        return default
    return sum(one.seconds for one in known) / answers


class PaceTally:
    """Answers that are still to be reported."""

    def __init__(self) -> None:
        """Create a tally without answers."""
        self._paces_by_life: dict[ids.UpstreamIncarnation, UpstreamPace] = {}

    def count(self, life: ids.UpstreamIncarnation, seconds: float) -> None:
        """Count one answer."""
        self.add((UpstreamPace(life=life, seconds=seconds, answers=1.0),))

    def add(self, paces: abc.Iterable[UpstreamPace]) -> None:
        """Add the answers that another instance has counted."""
        for one in paces:
            self._paces_by_life[one.life] = added(
                self._paces_by_life.get(one.life), one
            )

    def take(self) -> Paces:
        """Return the answers and begin anew."""
        found = tuple(self._paces_by_life.values())
        self._paces_by_life = {}
        return found


class PaceMap:
    """Faded sums at the leading instance."""

    def __init__(self) -> None:
        """Create a map without answers."""
        self._paces_by_life: dict[ids.UpstreamIncarnation, UpstreamPace] = {}
        self._faded_at = ids.Instant(0.0)

    def add(self, paces: abc.Iterable[UpstreamPace], now: ids.Instant) -> None:
        """Add the answers that an instance has reported."""
        self._fade(now)
        for one in paces:
            self._paces_by_life[one.life] = added(
                self._paces_by_life.get(one.life), one
            )

    def known(self, now: ids.Instant) -> Paces:
        """Return what is known of each upstream."""
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
    """Return the sum of what is known of an upstream and more."""
    if known is None:
        return more
    return UpstreamPace(
        life=more.life,
        seconds=known.seconds + more.seconds,
        answers=known.answers + more.answers,
    )
