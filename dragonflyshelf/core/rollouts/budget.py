"""Number of requests that a version that may be bad may still get."""

import collections
from typing import Final

from dragonflyshelf.core import ids
from dragonflyshelf.core import settings

RATE_WINDOW_SECONDS: Final = 2.0
"""Time over which the rate of requests is measured."""

MIN_RATE_WINDOW_SECONDS: Final = 0.5
"""The same just after the first report, which one instance may have sent."""

SURE_RATE_SECONDS: Final = 1.2
"""Time from the first report on after which the rate is relied on."""

REPORT_DELAY_SECONDS: Final = 1.2
"""Age of the newest requests that reports may lack."""

SLACK_RATIO: Final = 0.6
"""Part of the slack that is spent; the rest is for what is not known.

That is requests before the order was known, retries, and lost reports.
"""

MIN_HORIZON_SECONDS: Final = 2.0
"""Shortest time over which what is left is spread."""


class ExposureBudget:
    """Requests since the order, and those that the new version got."""

    def __init__(
        self, config: settings.Settings, requests: float, spent: float
    ) -> None:
        """Create a budget of which something may have been spent."""
        self._promises = config.promises
        self._max_share = config.rollouts.max_share
        self._counted_from = ids.Instant(float("inf"))
        self.requests = requests
        self.spent = spent
        self._reports: collections.deque[tuple[ids.Instant, int]] = (
            collections.deque()
        )

    def add(self, sent: int, is_new: bool, now: ids.Instant) -> None:
        """Add attempts that an instance has reported."""
        self._counted_from = min(self._counted_from, now)
        self.requests += sent
        if is_new:
            self.spent += sent
        self._reports.append((now, sent))

    def rate(self, now: ids.Instant) -> float:
        """Return the attempts per second."""
        while (
            self._reports and self._reports[0][0] < now - RATE_WINDOW_SECONDS
        ):
            self._reports.popleft()
        window = min(now - self._counted_from, RATE_WINDOW_SECONDS)
        sent_count = sum(sent for _, sent in self._reports)
        return sent_count / max(window, MIN_RATE_WINDOW_SECONDS)

    @property
    def allowance(self) -> float:
        """Return how many requests the new version may have had by now."""
        promises = self._promises
        return (
            promises.exposure_share * self.requests
            + SLACK_RATIO * promises.exposure_slack
        )

    def find_share(
        self, present_share: float, seconds_left: float, now: ids.Instant
    ) -> float:
        """Return the share for the rest of the canary step."""
        rate = self.rate(now)
        if not rate:
            return 0.0
        unreported = present_share * rate * REPORT_DELAY_SECONDS
        left = self.allowance - self.spent - unreported
        horizon = max(seconds_left, MIN_HORIZON_SECONDS)
        share = self._promises.exposure_share + left / (rate * horizon)
        max_share = self._max_share
        if now - self._counted_from < SURE_RATE_SECONDS:
            max_share = min(max_share, self._promises.exposure_share)
        return min(max(share, 0.0), max_share)
