"""Retry budget for each service.

All instances together may retry a share of the requests plus a fixed
reserve. Each instance applies the share to its own requests and uses an
equal part of the reserve, both counted over a sliding window.
"""

import collections

from dragonflyshelf.core import ids
from dragonflyshelf.core.scheduling import const
from dragonflyshelf.core import settings

Timestamps = collections.deque[ids.Instant]


class RetryBudget:
    """Counts requests and retries of each service."""

    def __init__(self, config: settings.RetrySettings) -> None:
        """Create a budget; the instance count is not known yet."""
        self._config = config
        self._instance_count = const.DEFAULT_INSTANCE_COUNT
        self._request_times_by_service: collections.defaultdict[
            ids.ServiceName, Timestamps
        ] = collections.defaultdict(collections.deque)
        self._retry_times_by_service: collections.defaultdict[
            ids.ServiceName, Timestamps
        ] = collections.defaultdict(collections.deque)

    def set_settings(self, config: settings.RetrySettings) -> None:
        """Replace the settings; requests and retries stay counted."""
        self._config = config

    def set_instance_count(self, count: int) -> None:
        """Set the number of instances that share the reserve."""
        self._instance_count = max(count, 1)

    def record_request(
        self, service: ids.ServiceName, now: ids.Instant
    ) -> None:
        """Count a request; it adds its share to the budget."""
        self._request_times_by_service[service].append(now)

    def allows_retry(self, service: ids.ServiceName, now: ids.Instant) -> bool:
        """Return whether the budget allows another retry."""
        requests = self._request_times_by_service[service]
        retries = self._retry_times_by_service[service]
        self._expire(requests, now)
        self._expire(retries, now)
        reserve = self._config.reserve / self._instance_count
        allowed_retries = reserve + self._config.share * len(requests)
        return len(retries) + 1 <= allowed_retries * const.RETRY_BUDGET_RATIO

    def record_retry(self, service: ids.ServiceName, now: ids.Instant) -> None:
        """Count a retry against the budget."""
        self._retry_times_by_service[service].append(now)

    def _expire(self, timestamps: Timestamps, now: ids.Instant) -> None:
        cutoff = now - self._config.window
        while timestamps and timestamps[0] < cutoff:
            timestamps.popleft()
