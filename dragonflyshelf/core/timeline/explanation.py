"""Explanation of one request from the log lines of many instances.

The lines that carry the request's id show its path. The latest state
changes that its instances logged before its end show on which state
they decided: configuration, shard plan, leadership, store, settings. A
version of the configuration that is not used is shown however old it is.
"""

from collections import abc
import dataclasses
from typing import Final

CONFIGURATION_PREFIX: Final = "configuration "
INVALID_CONFIGURATION_PREFIX: Final = "configuration object is invalid"
"""Beginning of the line about a version that is not used.

It lasts until a later line with ``CONFIGURATION_PREFIX``.
"""

STATE_CHANGE_PREFIXES: Final = (
    INVALID_CONFIGURATION_PREFIX,
    CONFIGURATION_PREFIX,
    "control task was late",
    "evacuated data centres",
    "leader is ",
    "leadership ",
    "plan of ",
    "relay at ",
    "rollout of ",
    "settings reloaded",
    "store lost",
    "store regained",
    "upstreams leaving",
    "watched in the store",
)
"""Beginnings of the log messages that report a state change."""

STATE_CHANGE_WINDOW_SECONDS: Final = 10.0
"""Time before the end of a request in which state changes are shown."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """A log line of an instance; absent fields are empty.

    ``time`` is in Unix seconds, by the clock of the instance.
    """

    time: float
    instance: str
    event: str
    request_id: str = ""
    code: str = ""
    outcome: str = ""
    peer: str = ""
    step: str = ""
    status: str = ""
    seconds: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExplainedLine:
    """A log line and how long before the end of the request it was logged.

    A line that is not ``about_request`` reports a state change.
    """

    line: LogLine
    seconds_before_end: float
    about_request: bool


def explain(
    lines: abc.Iterable[LogLine], request_id: str
) -> tuple[ExplainedLine, ...]:
    """Return the lines that explain a request, ordered by time.

    The result is empty if no line carries the request id.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    request_lines = [line for line in ordered if line.request_id == request_id]
    if not request_lines:
        return ()
    end = request_lines[-1].time
    instances = {line.instance for line in request_lines}
    lines_before = [
        line
        for line in ordered
        if line.instance in instances and line.time <= end
    ]
    state_changes = _latest_state_changes(
        line
        for line in lines_before
        if line.time >= end - STATE_CHANGE_WINDOW_SECONDS
    )
    state_changes.extend(
        line
        for line in _lasting_faults(lines_before)
        if line not in state_changes
    )
    explaining = sorted(
        [*request_lines, *state_changes], key=lambda line: line.time
    )
    return tuple(
        ExplainedLine(
            line=line,
            seconds_before_end=end - line.time,
            about_request=line.request_id == request_id,
        )
        for line in explaining
    )


def _latest_state_changes(lines: abc.Iterable[LogLine]) -> list[LogLine]:
    """Return the latest line of each instance and kind of state change."""
    latest_by_kind: dict[tuple[str, str], LogLine] = {}
    for line in lines:
        prefix = next(
            (
                prefix
                for prefix in STATE_CHANGE_PREFIXES
                if line.event.startswith(prefix)
            ),
            "",
        )
        if prefix:
            latest_by_kind[(line.instance, prefix)] = line
    return list(latest_by_kind.values())


def _lasting_faults(lines: abc.Iterable[LogLine]) -> list[LogLine]:
    """Return the line of each instance's fault that has not ended."""
    fault_by_instance: dict[str, LogLine] = {}
    for line in lines:
        if line.event.startswith(INVALID_CONFIGURATION_PREFIX):
            fault_by_instance[line.instance] = line
        elif line.event.startswith(CONFIGURATION_PREFIX):
            fault_by_instance.pop(line.instance, None)
    return list(fault_by_instance.values())


def find_deciding_line(
    explained: abc.Sequence[ExplainedLine],
) -> LogLine | None:
    """Return the line with the cause of the request's outcome, if any.

    It is the last line with both step and code. The line about the end
    of the request repeats the code without a step.
    """
    candidates = [
        entry.line
        for entry in explained
        if entry.about_request and entry.line.step and entry.line.code
    ]
    return candidates[-1] if candidates else None
