"""Token bucket whose rate and burst can change."""

from dragonflyshelf.core import ids
from dragonflyshelf.core.quota import const


def find_capacity(rate: float, burst: float) -> float:
    """Return the tokens that accrue at most, at least one.

    A rate with little or no burst is still admitted.
    """
    return max(
        burst,
        rate * const.MIN_BURST_SECONDS,
        min(rate, const.MIN_BURST_TOKEN_COUNT),
        1.0,
    )


class TokenBucket:
    """Accrues tokens at a rate per second, up to the burst."""

    def __init__(
        self,
        *,
        rate: float,
        burst: float,
        now: ids.Instant,
        tokens: float | None = None,
    ) -> None:
        """Create a bucket, full unless ``tokens`` is given."""
        self._rate = rate
        self._burst = burst
        self._tokens = burst if tokens is None else tokens
        self._accrued_at = now

    def set_rate(self, rate: float, burst: float, now: ids.Instant) -> None:
        """Change rate and burst; tokens above the new burst are dropped."""
        self._accrue(now)
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def has_token(self, now: ids.Instant) -> bool:
        """Return whether a token is available."""
        self._accrue(now)
        return self._tokens >= 1.0

    def take(self, now: ids.Instant) -> bool:
        """Take a token if one is available; return whether it was."""
        if not self.has_token(now):
            return False
        self._tokens -= 1.0
        return True

    def seconds_to_token(self, now: ids.Instant) -> float:
        """Return the seconds until a token is available."""
        self._accrue(now)
        if self._tokens >= 1.0:
            return 0.0
        if self._rate <= 0:
            return float("inf")
        return (1.0 - self._tokens) / self._rate

    def _accrue(self, now: ids.Instant) -> None:
        accrued = self._tokens + (now - self._accrued_at) * self._rate
        self._tokens = min(accrued, self._burst)
        self._accrued_at = now
