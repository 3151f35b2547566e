"""Explanation of one request from the log lines of many instances.

The lines that carry the request's id show its path. The latest state
changes that its instances logged before its end show on which state
they decided: configuration, shard plan, leadership, store, settings.
"""

from collections import abc
import dataclasses
from typing import Final

BELIEFS: Final = (
    "configuration ",
    "evacuated data centres",
    "leadership ",
    "plan of ",
    "relay at ",
    "settings reloaded",
    "store lost",
    "store regained",
    "watched in the store",
)
"""Beginnings of the log messages that report a state change."""

BEFORE: Final = 10.0
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
class Explained:
    """A log line and how long before the end of the request it was logged.

    A line that is not ``about_request`` reports a state change.
    """

    line: LogLine
    before_end: float
    about_request: bool


def explain(
    lines: abc.Iterable[LogLine], request_id: str
) -> tuple[Explained, ...]:
    """Return the lines that explain a request, ordered by time.

    The result is empty if no line carries the request id.
    """
    ordered = sorted(lines, key=lambda one: one.time)
    own = [one for one in ordered if one.request_id == request_id]
    if not own:
        return ()
    end = own[-1].time
    instances = {one.instance for one in own}
    beliefs = _latest(
        one
        for one in ordered
        if one.instance in instances and end - BEFORE <= one.time <= end
    )
    chosen = sorted([*own, *beliefs], key=lambda one: one.time)
    return tuple(
        Explained(
            line=one,
            before_end=end - one.time,
            about_request=one.request_id == request_id,
        )
        for one in chosen
    )


def _latest(lines: abc.Iterable[LogLine]) -> list[LogLine]:
    """Return the latest line of each instance and kind of state change."""
    found: dict[tuple[str, str], LogLine] = {}
    for one in lines:
        kind = next((it for it in BELIEFS if one.event.startswith(it)), "")
        if kind:
            found[(one.instance, kind)] = one
    return list(found.values())


def deciding(explained: abc.Sequence[Explained]) -> LogLine | None:
    """Return the line with the cause of the request's outcome, if any.

    It is the last line with both step and code. The line about the end
    of the request repeats the code without a step.
    """
    reasons = [
        one.line
        for one in explained
        if one.about_request and one.line.step and one.line.code
    ]
    return reasons[-1] if reasons else None
