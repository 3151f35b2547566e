"""Bound on the calls that this instance makes to the platform."""

from dragonflyshelf.core import ids
from dragonflyshelf.core import invariants


class CallBudget:
    """Token bucket of calls; it holds at most one second's worth."""

    def __init__(self, calls_per_second: float) -> None:
        """Create a full bucket."""
        self._rate = calls_per_second
        self._most = max(calls_per_second, 1.0)
        self._tokens = self._most
        self._at: ids.Instant | None = None
        self.spent = 0

    def wait_for(self, now: ids.Instant) -> float:
        """Return how long until a call is allowed, in seconds."""
        self._accrue(now)
        return max(0.0, (1.0 - self._tokens) / self._rate)

    def spend(self, now: ids.Instant) -> bool:
        """Count a call, or return False when the budget is used up."""
        self._accrue(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        self.spent += 1
        invariants.check(self._tokens >= 0, "more calls than allowed")
        return True

    def _accrue(self, now: ids.Instant) -> None:
        if self._at is not None:
            gained = (now - self._at) * self._rate
            self._tokens = min(self._most, self._tokens + gained)
        self._at = now
