"""State of one upstream, as observed by this instance."""

import enum

from dragonflyshelf.core import ids
from dragonflyshelf.core.upstreams import const
from dragonflyshelf.core.upstreams import objects


class AttemptResult(enum.Enum):
    """Outcome of an attempt, for the health of the upstream."""

    ANSWERED = "answered"
    CANCELLED = "cancelled"
    FAILED = "failed"
    NOT_HOLDER = "not_holder"
    REFUSED = "refused"


class UpstreamState:
    """Load, service time and failures of one start of an upstream."""

    def __init__(
        self, registration: objects.Registration, now: ids.Instant
    ) -> None:
        """Create the state of an upstream without requests."""
        self.registration = registration
        self.in_flight = 0
        self.cold_until = ids.Instant(now + registration.warmup_left)
        self.service_time = 0.0
        self._failures_in_row = 0
        self.failure_share = 0.0
        self.ejected_until = ids.Instant(0.0)
        self._paused_until = ids.Instant(0.0)
        self._report: objects.LoadReport | None = None
        self._report_at = ids.Instant(0.0)
        self._in_flight_at_report = 0

    def start(self) -> None:
        """Record an attempt that is sent."""
        self.in_flight += 1

    def finish(
        self,
        result: AttemptResult,
        seconds: float,
        report: objects.LoadReport | None,
        now: ids.Instant,
    ) -> None:
        """Record the end of an attempt and its duration."""
        self.in_flight -= 1
        if report is not None:
            self._report = report
            self._report_at = now
            self._in_flight_at_report = self.in_flight
        if result is AttemptResult.ANSWERED:
            self._learn_service_time(seconds)
            self._count_outcome(0.0, now)
        elif result is AttemptResult.FAILED:
            self._count_outcome(1.0, now)
        elif result is AttemptResult.REFUSED:
            self._paused_until = ids.Instant(now + const.REFUSAL_PAUSE)

    def load(self, now: ids.Instant) -> float:
        """Return the estimated requests of all instances at the upstream."""
        others = 0.0
        if self._report is not None:
            reported = self._report.running + self._report.waiting
            fading = 1.0 - (now - self._report_at) / const.REPORT_LIFE
            others = max(reported - self._in_flight_at_report, 0)
            others *= max(fading, 0.0)
        return self.in_flight + others

    def has_room(self, now: ids.Instant) -> bool:
        """Return whether the upstream can take one more request."""
        if now < self._paused_until:
            return False
        bound = self.registration.slots + const.QUEUED_AHEAD
        return self.load(now) < bound

    def is_ejected(self, now: ids.Instant) -> bool:
        """Return whether the upstream is ejected after failures."""
        return now < self.ejected_until

    def is_cold(self, now: ids.Instant) -> bool:
        """Return whether the upstream is in its warm-up period."""
        return now < self.cold_until

    def expected_time(self, now: ids.Instant, mean: float) -> float:
        """Return the expected response time of one more request.

        ``mean`` is used while no service time has been measured.
        """
        lasting = self.service_time or mean
        lasting *= self._slowness(now)
        ahead = (self.load(now) + 1) / max(self.registration.slots, 1)
        return lasting * max(ahead, 1.0) * (1.0 + 4.0 * self.failure_share)

    def _slowness(self, now: ids.Instant) -> float:
        if self._report is None:
            return 1.0
        if now - self._report_at > const.SLOWNESS_LIFE:
            return 1.0
        return self._report.slowness

    def usual_time(self, seconds: float, now: ids.Instant) -> float:
        """Return a response time without queueing and slowdown."""
        ahead = (self.load(now) + 1) / max(self.registration.slots, 1)
        return seconds / (self._slowness(now) * max(ahead, 1.0))

    def _learn_service_time(self, seconds: float) -> None:
        if not self.service_time:
            self.service_time = seconds
            return
        step = const.LATENCY_WEIGHT * (seconds - self.service_time)
        self.service_time += step

    def _count_outcome(self, failed: float, now: ids.Instant) -> None:
        step = const.FAILURE_WEIGHT * (failed - self.failure_share)
        self.failure_share += step
        if not failed:
            self._failures_in_row = 0
            return
        self._failures_in_row += 1
        if self._failures_in_row >= const.EJECT_AFTER:
            self.ejected_until = ids.Instant(now + const.EJECTION)
            self._failures_in_row = const.EJECT_AFTER - 1
