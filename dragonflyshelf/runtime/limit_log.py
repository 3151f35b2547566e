"""Log lines and a metric about limits that bind."""

from typing import Final

from absl import logging
import prometheus_client

from dragonflyshelf.core import ids

_LOGGER = logging.get_absl_logger()

LOG_INTERVAL_SECONDS: Final = 5.0
"""Minimum time between two lines about the same limit."""

LIMITED_CONNECTIONS: Final = prometheus_client.Counter(
    "dragonflyshelf_limited_connections",
    "Connections that were refused or closed because of a limit",
    ("limit",),
)


class LimitLog:
    """Counts how often a limit binds and logs it now and then."""

    def __init__(self, limit: str) -> None:
        """Create the log of the limit, named as in the settings."""
        self._limit = limit
        self._unlogged_count = 0
        self._logged_at = ids.Instant(float("-inf"))

    def record(self, now: ids.Instant) -> None:
        """Count that the limit was reached; log it if it is time."""
        LIMITED_CONNECTIONS.labels(self._limit).inc()
        self._unlogged_count += 1
        if now - self._logged_at < LOG_INTERVAL_SECONDS:
            return
        _LOGGER.warning(
            "limit %s reached, connections refused or closed: %d",
            self._limit,
            self._unlogged_count,
        )
        self._unlogged_count = 0
        self._logged_at = now
