"""How much an upstream stand-in bears, and how long a request takes.

Nothing here reads a clock; times are seconds of one monotonic clock.
"""

import collections
import dataclasses
import enum
import math
import random

COLD_WINDOW = 0.2
LOGNORMAL_SIGMA = 0.5


class Distribution(enum.Enum):
    """Distribution of service times."""

    EXPONENTIAL = "exponential"
    FIXED = "fixed"
    LOGNORMAL = "lognormal"


class Verdict(enum.Enum):
    """What becomes of a request on its arrival."""

    DRAINING = "draining"
    FAILED = "failed"
    RUN = "run"
    SHED = "shed"


@dataclasses.dataclass(kw_only=True)
class Faults:
    """Switches of an upstream stand-in; times in seconds.

    ``delay`` is the mean service time. A cold upstream bears
    ``cold_rate`` requests a second, growing linearly to ``warm_rate``
    over ``cold_seconds``; above that it topples, fails everything for
    ``topple_seconds`` and is cold again. Every Nth answer is cut,
    doubled or never sent when ``cut_every``, ``double_every`` or
    ``mute_every`` is N. ``one_way_by_instance`` is the delay added in
    each direction for an instance, ``one_way`` that for all others.
    """

    delay: float = 0.0
    distribution: Distribution = Distribution.FIXED
    slots: int = 6
    straggler: bool = False
    straggler_factor: float = 10.0
    straggler_length: float = 0.2
    straggler_period: float = 0.5
    cold_seconds: float = 0.0
    cold_factor: float = 1.0
    cold_rate: float = 20.0
    warm_rate: float = 2000.0
    topple_seconds: float = 2.0
    draining: bool = False
    frozen: bool = False
    cut_every: int = 0
    double_every: int = 0
    mute_every: int = 0
    report_lag: float = 0.0
    report_misleads: bool = False
    one_way: float = 0.0
    one_way_by_instance: dict[str, float] = dataclasses.field(
        default_factory=dict
    )


class LoadModel:
    """Decides about arrivals and draws service times."""

    def __init__(self, faults: Faults, seed: int, now: float) -> None:
        """Create a model that starts, perhaps cold, at ``now``."""
        self.faults = faults
        self.in_flight = 0
        self._random = random.Random(seed)
        self._started = now
        self._failing_until = 0.0
        self._arrivals: collections.deque[float] = collections.deque()

    def start_cold(self, now: float) -> None:
        """Be as after a start."""
        self._started = now
        self._arrivals.clear()

    def arrive(self, now: float) -> Verdict:
        """Decide about one request."""
        if self.faults.draining:
            return Verdict.DRAINING
        if now < self._failing_until:
            return Verdict.FAILED
        if self._topples(now):
            self._failing_until = now + self.faults.topple_seconds
            self.start_cold(self._failing_until)
            return Verdict.FAILED
        if self.faults.slots and self.in_flight >= self.faults.slots:
            return Verdict.SHED
        return Verdict.RUN

    def bearable_rate(self, now: float) -> float:
        """Return the requests a second that it bears, or infinity."""
        faults = self.faults
        age = now - self._started
        if age >= faults.cold_seconds:
            return math.inf
        share = max(0.0, age / faults.cold_seconds)
        return faults.cold_rate + share * (faults.warm_rate - faults.cold_rate)

    def service_time(self, now: float) -> float:
        """Draw how long a request takes that starts now."""
        faults = self.faults
        drawn = self._draw(faults.delay)
        if faults.straggler:
            phase = now % faults.straggler_period
            if phase < faults.straggler_length:
                drawn *= faults.straggler_factor
        if now - self._started < faults.cold_seconds:
            drawn *= faults.cold_factor
        return drawn

    def _draw(self, mean: float) -> float:
        if not mean or self.faults.distribution is Distribution.FIXED:
            return mean
        if self.faults.distribution is Distribution.EXPONENTIAL:
            return self._random.expovariate(1 / mean)
        mu = math.log(mean) - LOGNORMAL_SIGMA**2 / 2
        return self._random.lognormvariate(mu, LOGNORMAL_SIGMA)

    def _topples(self, now: float) -> bool:
        bearable = self.bearable_rate(now)
        if bearable == math.inf:
            return False
        self._arrivals.append(now)
        while self._arrivals[0] <= now - COLD_WINDOW:
            self._arrivals.popleft()
        return len(self._arrivals) > max(1.0, bearable * COLD_WINDOW)
