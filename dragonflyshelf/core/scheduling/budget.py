"""Budget of repeated sends for each service.

All instances together may repeat a part of the requests, and a few
more. Each instance keeps to its own requests and an even part of the
fixed amount, counted over a sliding window.
"""

import collections

from dragonflyshelf.core import ids
from dragonflyshelf.core.scheduling import const
from dragonflyshelf.core import settings

Times = collections.deque[ids.Instant]


class RetryBudget:
    """Counts requests and repeats of each service."""

    def __init__(self, config: settings.RetrySettings) -> None:
        """Create a budget for an instance that knows no other yet."""
        self._config = config
        self._instances = const.INSTANCES_UNKNOWN
        self._requests_by_service: collections.defaultdict[
            ids.ServiceName, Times
        ] = collections.defaultdict(collections.deque)
        self._repeats_by_service: collections.defaultdict[
            ids.ServiceName, Times
        ] = collections.defaultdict(collections.deque)

    def set_settings(self, config: settings.RetrySettings) -> None:
        """Take over another budget; what was counted stays."""
        self._config = config

    def set_instances(self, count: int) -> None:
        """Take over among how many the fixed amount is divided."""
        self._instances = max(count, 1)

    def count_request(
        self, service: ids.ServiceName, now: ids.Instant
    ) -> None:
        """Earn a part of a repeat."""
        self._requests_by_service[service].append(now)

    def has_repeat(self, service: ids.ServiceName, now: ids.Instant) -> bool:
        """Tell whether a request may be sent once more."""
        requests = self._requests_by_service[service]
        repeats = self._repeats_by_service[service]
        self._forget(requests, now)
        self._forget(repeats, now)
        fixed = self._config.reserve / self._instances
        allowed = fixed + self._config.share * len(requests)
        return len(repeats) + 1 <= allowed * const.BUDGET_MARGIN

    def count_repeat(self, service: ids.ServiceName, now: ids.Instant) -> None:
        """Count a request that is sent once more."""
        self._repeats_by_service[service].append(now)

    def _forget(self, times: Times, now: ids.Instant) -> None:
        oldest = now - self._config.window
        while times and times[0] < oldest:
            times.popleft()
