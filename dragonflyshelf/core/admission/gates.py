"""Slots, ramp and measured speed of one upstream, at its leader."""

import collections
import dataclasses
from typing import Final

from dragonflyshelf.core import ids
from dragonflyshelf.core import invariants
from dragonflyshelf.core import settings

FALL_WEIGHT: Final = 0.1
RISE_WEIGHT: Final = 0.5
NEVER: Final = ids.Instant(float("inf"))


@dataclasses.dataclass(kw_only=True, slots=True)
class Ramp:
    """How fast an upstream may be given work after a cold start."""

    started_at: ids.Instant
    filled_at: ids.Instant
    tokens: float = 1.0


class Gate:
    """Counts what runs at an upstream and lets no more through."""

    def __init__(
        self,
        upstream: ids.UpstreamId,
        slots: int,
        config: settings.AdmissionSettings,
    ) -> None:
        """Create an open gate."""
        self.upstream = upstream
        self.slots = slots
        self.latency = 0.0
        self.failures = 0
        self.ejected_until = ids.Instant(0.0)
        self.entered_at = ids.Instant(0.0)
        self.ramp: Ramp | None = None
        self._config = config
        self._measured_at = ids.Instant(0.0)
        self._started_by_exchange: collections.OrderedDict[
            ids.ExchangeId, ids.Instant
        ] = collections.OrderedDict()

    @property
    def in_flight(self) -> int:
        """Return the number of requests that run."""
        return len(self._started_by_exchange)

    def start_ramp(self, now: ids.Instant) -> None:
        """Begin the ramp of a cold start."""
        self.ramp = Ramp(started_at=now, filled_at=now)
        self.latency = 0.0
        self.failures = 0

    def opens_at(self, now: ids.Instant) -> ids.Instant:
        """Return when the next request may pass; ``NEVER`` if full."""
        self._fill(now)
        if self.in_flight >= self._allowed(now):
            return NEVER
        if self.ramp is None or self.ramp.tokens >= 1.0:
            return now
        missing = 1.0 - self.ramp.tokens
        return ids.Instant(now + missing / self._ramp_rate(now))

    def enter(self, exchange: ids.ExchangeId, now: ids.Instant) -> None:
        """Count a request that starts."""
        self._started_by_exchange[exchange] = now
        self.entered_at = now
        if self.ramp is not None:
            self.ramp.tokens -= 1.0
        invariants.check(
            self.in_flight <= self.slots,
            "upstream %s has %s in flight and %s slots",
            self.upstream,
            self.in_flight,
            self.slots,
        )

    def leave(
        self, exchange: ids.ExchangeId, answered: bool, now: ids.Instant
    ) -> None:
        """Count a request that has ended."""
        started = self._started_by_exchange.pop(exchange)
        if not answered:
            return
        measured = now - started
        self.failures = 0
        self._measured_at = now
        if self.latency == 0.0:
            self.latency = measured
        weight = RISE_WEIGHT if measured > self.latency else FALL_WEIGHT
        self.latency += weight * (measured - self.latency)

    def expected(self, usual: float, now: ids.Instant) -> float:
        """Return the time in seconds that the next request may take.

        It is the larger of the measured latency and the age of the
        oldest request; a measurement loses its weight with age, so that
        an upstream that was slow is tried again.
        """
        age = (now - self._measured_at) / self._config.latency_memory
        share = min(max(age, 0.0), 1.0)
        latency = share * usual + (1 - share) * (self.latency or usual)
        for started in self._started_by_exchange.values():
            return max(latency, now - started)
        return latency

    def finish_rate(self) -> float:
        """Return the requests a second that the slots finish, or 0."""
        return self.slots / self.latency if self.latency > 0 else 0.0

    def _allowed(self, now: ids.Instant) -> int:
        if self.ramp is None:
            return self.slots
        share = self._ramp_share(now)
        return max(1, int(self.slots * share))

    def _ramp_share(self, now: ids.Instant) -> float:
        assert self.ramp is not None
        age = now - self.ramp.started_at
        return min(age / self._config.ramp, 1.0)

    def _ramp_rate(self, now: ids.Instant) -> float:
        """Return the requests a second that the ramp allows now."""
        first = self._config.ramp_first_rate
        last = self._config.ramp_last_rate
        return first + self._ramp_share(now) * (last - first)

    def _fill(self, now: ids.Instant) -> None:
        if self.ramp is None:
            return
        if now - self.ramp.started_at >= self._config.ramp:
            self.ramp = None
            return
        earned = (now - self.ramp.filled_at) * self._ramp_rate(now)
        self.ramp.tokens = min(self.ramp.tokens + earned, 1.0)
        self.ramp.filled_at = now
