"""State of one upstream, as observed by this instance."""

import enum

from dragonflyshelf.core import ids
from dragonflyshelf.core.upstreams import concurrency
from dragonflyshelf.core.upstreams import const
from dragonflyshelf.core.upstreams import objects


class AttemptResult(enum.Enum):
    """Outcome of an attempt, for the health of the upstream.

    An attempt is ``UNSENT`` if the upstream began to leave before the
    request was sent, and ``UNREACHABLE`` if no connection was opened.
    """

    RESPONDED = "answered"
    CANCELLED = "cancelled"
    FAILED = "failed"
    NOT_HOLDER = "not_holder"
    DECLINED = "refused"
    UNREACHABLE = "unreachable"
    UNSENT = "unsent"


class UpstreamState:
    """Load, service time and failures of one start of an upstream."""

    def __init__(
        self, registration: objects.Registration, now: ids.Instant
    ) -> None:
        """Create the state of an upstream without requests."""
        self.registration = registration
        self.in_flight = 0
        self.warmup_until = ids.Instant(now + registration.warmup_left_seconds)
        self.service_time = 0.0
        self._consecutive_failures = 0
        self.failure_ratio = 0.0
        self.ejected_until = ids.Instant(0.0)
        self._backoff_until = ids.Instant(0.0)
        self._report: objects.LoadReport | None = None
        self._reported_at = ids.Instant(0.0)
        self._in_flight_at_report = 0
        self._turned_away_count = 0
        self._concurrency_limit = concurrency.ConcurrencyLimit(
            registration.slots + const.MAX_EXCESS_REQUEST_COUNT
        )

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
            self._reported_at = now
            self._in_flight_at_report = self.in_flight
        if result is AttemptResult.RESPONDED:
            self._update_service_time(seconds)
            self._record_outcome(0.0, now)
            self._concurrency_limit.record_response()
            self._turned_away_count = 0
        elif result is AttemptResult.FAILED:
            self._record_outcome(1.0, now)
        elif result is AttemptResult.UNREACHABLE:
            self._record_outcome(1.0, now)
            self.ejected_until = ids.Instant(now + const.EJECTION_SECONDS)
        elif result is AttemptResult.DECLINED:
            self._backoff_until = ids.Instant(
                now + const.DECLINE_BACKOFF_SECONDS
            )

    def record_turned_away(
        self, default_service_time: float, now: ids.Instant
    ) -> None:
        """Record that the upstream took no request, or reset one.

        If it has lately reported a free slot, a response was lost, unless
        another request is turned away before the next response.
        """
        self._turned_away_count += 1
        if self._turned_away_count == 1 and self._has_reported_room(now):
            return
        service_time = self.service_time or default_service_time
        self._concurrency_limit.record_full(self.in_flight, service_time, now)

    def _has_reported_room(self, now: ids.Instant) -> bool:
        age = now - self._reported_at
        is_recent = age < const.LOAD_REPORT_TTL_SECONDS
        return (
            self._report is not None and is_recent and self.has_free_slot(now)
        )

    def load(self, now: ids.Instant) -> float:
        """Return the estimated requests of all instances at the upstream."""
        other_load = 0.0
        if self._report is not None:
            reported = self._report.running + self._report.waiting
            remaining_ratio = (
                1.0 - (now - self._reported_at) / const.LOAD_REPORT_TTL_SECONDS
            )
            other_load = max(reported - self._in_flight_at_report, 0)
            other_load *= max(remaining_ratio, 0.0)
        return self.in_flight + other_load

    def has_capacity(self, now: ids.Instant) -> bool:
        """Return whether the upstream can take one more request."""
        if now < self._backoff_until:
            return False
        capacity = self.registration.slots + const.MAX_EXCESS_REQUEST_COUNT
        if not self._concurrency_limit.has_room(self.in_flight, now):
            return False
        return self.load(now) < capacity

    def has_free_slot(self, now: ids.Instant) -> bool:
        """Return whether one more request would run at once."""
        if now < self._backoff_until:
            return False
        return self.load(now) + 1 <= self.registration.slots

    def is_ejected(self, now: ids.Instant) -> bool:
        """Return whether the upstream is ejected after failures."""
        return now < self.ejected_until

    def is_warming_up(self, now: ids.Instant) -> bool:
        """Return whether the upstream is in its warm-up period."""
        return now < self.warmup_until

    def expected_time(
        self, now: ids.Instant, default_service_time: float
    ) -> float:
        """Return the expected response time of one more request.

        It grows with queueing, a reported slowdown and recent failures.
        ``default_service_time`` is used until one has been measured.
        """
        seconds = self.service_time or default_service_time
        seconds *= self._slowdown(now)
        queue_factor = (self.load(now) + 1) / max(self.registration.slots, 1)
        return (
            seconds * max(queue_factor, 1.0) * (1.0 + 4.0 * self.failure_ratio)
        )

    def _slowdown(self, now: ids.Instant) -> float:
        if self._report is None:
            return 1.0
        if now - self._reported_at > const.SLOWDOWN_TTL_SECONDS:
            return 1.0
        return self._report.slowdown

    def normalized_service_time(
        self, seconds: float, now: ids.Instant
    ) -> float:
        """Return a response time without queueing and slowdown."""
        queue_factor = (self.load(now) + 1) / max(self.registration.slots, 1)
        return seconds / (self._slowdown(now) * max(queue_factor, 1.0))

    def _update_service_time(self, seconds: float) -> None:
        if not self.service_time:
            self.service_time = seconds
            return
        step = const.SERVICE_TIME_SMOOTHING_RATIO * (
            seconds - self.service_time
        )
        self.service_time += step

    def _record_outcome(self, failure: float, now: ids.Instant) -> None:
        step = const.FAILURE_SMOOTHING_RATIO * (failure - self.failure_ratio)
        self.failure_ratio += step
        if not failure:
            self._consecutive_failures = 0
            return
        self._consecutive_failures += 1
        if self._consecutive_failures >= const.EJECTION_FAILURE_COUNT:
            self.ejected_until = ids.Instant(now + const.EJECTION_SECONDS)
            self._consecutive_failures = const.EJECTION_FAILURE_COUNT - 1
