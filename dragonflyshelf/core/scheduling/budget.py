"""Retry budget for each service.

All instances together may retry a share of the requests plus a fixed
reserve. Each instance applies the share to its own requests and uses an
equal part of the reserve, both counted over a sliding window.
"""

import collections

from dragonflyshelf.core import ids
from dragonflyshelf.core.scheduling import const
from dragonflyshelf.core import settings

Times = collections.deque[ids.Instant]


class RetryBudget:
    """Counts requests and retries of each service."""

    def __init__(self, config: settings.RetrySettings) -> None:
        """Create a budget; the instance count is not known yet."""
        self._config = config
        self._instances = const.INSTANCES_UNKNOWN
        self._requests_by_service: collections.defaultdict[
            ids.ServiceName, Times
        ] = collections.defaultdict(collections.deque)
        self._repeats_by_service: collections.defaultdict[
            ids.ServiceName, Times
        ] = collections.defaultdict(collections.deque)

    def set_settings(self, config: settings.RetrySettings) -> None:
        """Replace the settings; requests and retries stay counted."""
        self._config = config

    def set_instances(self, count: int) -> None:
        """Set the number of instances that share the reserve."""
        self._instances = max(count, 1)

    def count_request(
        self, service: ids.ServiceName, now: ids.Instant
    ) -> None:
        """Count a request; it adds its share to the budget."""
        self._requests_by_service[service].append(now)

    def has_repeat(self, service: ids.ServiceName, now: ids.Instant) -> bool:
        """Return whether the budget allows another retry."""
        requests = self._requests_by_service[service]
        repeats = self._repeats_by_service[service]
        self._forget(requests, now)
        self._forget(repeats, now)
        fixed = self._config.reserve / self._instances
        allowed = fixed + self._config.share * len(requests)
        return len(repeats) + 1 <= allowed * const.BUDGET_MARGIN

    def count_repeat(self, service: ids.ServiceName, now: ids.Instant) -> None:
        """Count a retry against the budget."""
        self._repeats_by_service[service].append(now)

    def _forget(self, times: Times, now: ids.Instant) -> None:
        oldest = now - self._config.window
        while times and times[0] < oldest:
            times.popleft()
