"""Set-up of ``absl.logging`` to write JSON lines."""

import atexit
import datetime
import json
import logging as standard_logging
import sys
from typing import Final

from absl import flags
from absl import logging

import dragonflyshelf

from dragonflyshelf.core import errors
from dragonflyshelf.core import settings
from dragonflyshelf.runtime import log_stream

EXTRA_FIELD_NAMES: Final = (
    "age",
    "bytes",
    "code",
    "cut_connections",
    "cut_requests",
    "outcome",
    "peer",
    "request_id",
    "seconds",
    "service",
    "source",
    "status",
    "step",
)
"""Attributes of log records that are written as fields of the line."""

ABSL_LEVEL_BY_LOG_LEVEL = {
    settings.LogLevel.DEBUG: logging.DEBUG,
    settings.LogLevel.ERROR: logging.ERROR,
    settings.LogLevel.INFO: logging.INFO,
    settings.LogLevel.WARNING: logging.WARNING,
}
STANDARD_LEVEL_BY_LOG_LEVEL = {
    settings.LogLevel.DEBUG: standard_logging.DEBUG,
    settings.LogLevel.ERROR: standard_logging.ERROR,
    settings.LogLevel.INFO: standard_logging.INFO,
    settings.LogLevel.WARNING: standard_logging.WARNING,
}


class JsonFormatter(standard_logging.Formatter):
    """Formats a log record as a JSON object."""

    def __init__(self, config: settings.Settings) -> None:
        """Create the formatter of an instance."""
        super().__init__()
        self._instance = config.instance.name
        self._data_centre = config.instance.data_centre

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the JSON text without a line break."""
        time = datetime.datetime.fromtimestamp(
            record.created, datetime.timezone.utc
        )
        line = {
            "time": time.isoformat(timespec="milliseconds"),
            "level": record.levelname.lower(),
            "instance": self._instance,
            "data_centre": self._data_centre,
            "event": record.getMessage(),
        }
        for name in EXTRA_FIELD_NAMES:
            value = getattr(record, name, None)
            if value is not None and value != "":
                line[name] = value
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return json.dumps(line)


def error_fields(
    error: errors.RouterError, request_id: str = ""
) -> dict[str, str]:
    """Return the fields of an error for ``extra`` of a log call."""
    return {
        "code": error.code,
        "outcome": error.outcome.value,
        "peer": error.peer,
        "request_id": request_id,
        "step": error.step.value,
    }


def set_level(level: settings.LogLevel) -> None:
    """Set the lowest level that is logged."""
    logging.set_verbosity(ABSL_LEVEL_BY_LOG_LEVEL[level])


def configure(config: settings.Settings) -> None:
    """Send all logs to standard output as JSON lines."""
    flags.FLAGS([dragonflyshelf.__name__])
    logging.use_absl_handler()
    set_level(config.log.level)
    logging.set_stderrthreshold(logging.FATAL)
    handler = logging.get_absl_handler()
    stream = log_stream.LogStream(sys.stdout.fileno())
    handler.python_handler.stream = stream
    handler.addFilter(log_stream.VolumeFilter())
    handler.setFormatter(JsonFormatter(config))
    atexit.register(stream.drain)
