"""Access log and metrics of caller requests."""

from typing import Final

from absl import logging
import prometheus_client

from dragonflyshelf.core import ids
from dragonflyshelf.core import settings
from dragonflyshelf.runtime.callers import exchange
from dragonflyshelf.runtime import logs

_LOGGER = logging.get_absl_logger()

NO_ERROR_LABEL: Final = "none"
"""Value of the label ``code`` of a request without an error."""

LATENCY_BUCKETS_SECONDS: Final = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)
REQUESTS: Final = prometheus_client.Counter(
    "dragonflyshelf_requests",
    "Caller requests by status and error code",
    ("status", "code"),
)
LATENCY: Final = prometheus_client.Histogram(
    "dragonflyshelf_request_seconds",
    "Time from the head of a request to the end of its response",
    buckets=LATENCY_BUCKETS_SECONDS,
)


class AccessLog:
    """Logs and counts the finished requests of one connection."""

    def __init__(self, config: settings.LogSettings) -> None:
        """Create the log; the settings give its level."""
        self._level = logs.STANDARD_LEVEL_BY_LOG_LEVEL[config.access_level]

    def record(
        self, caller_exchange: exchange.CallerExchange, now: ids.Instant
    ) -> None:
        """Log and count a request whose exchange ended at ``now``."""
        status = (
            str(caller_exchange.status)
            if caller_exchange.response_complete
            else "cut"
        )
        error_code = caller_exchange.error_code or NO_ERROR_LABEL
        seconds = now - caller_exchange.started_at
        REQUESTS.labels(status, error_code).inc()
        LATENCY.observe(seconds)
        if not _LOGGER.isEnabledFor(self._level):
            return
        _LOGGER.log(
            self._level,
            "request ended",
            extra={
                "code": caller_exchange.error_code,
                "request_id": caller_exchange.request_id,
                "seconds": round(seconds, 6),
                "status": status,
            },
        )
