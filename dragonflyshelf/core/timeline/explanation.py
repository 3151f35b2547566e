"""What the log lines of many instances say of one request.

The lines about the request tell its way; the last lines before its end
that tell a change of an instance's beliefs tell with what it decided.
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
"""Begins of the events that tell what an instance has come to believe."""

BEFORE: Final = 10.0
"""Seconds before a request's end in which changes of belief are shown."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """One line of an instance's log; empty fields were not written.

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
    """One line with its distance from the end of the request in seconds.

    A line that is not ``about_request`` tells what its instance believed.
    """

    line: LogLine
    before_end: float
    about_request: bool


def explain(
    lines: abc.Iterable[LogLine], request_id: str
) -> tuple[Explained, ...]:
    """Return the lines that explain a request, in the order of time.

    Empty if no line names the request.
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
    """Return the last line of each kind of belief and instance."""
    found: dict[tuple[str, str], LogLine] = {}
    for one in lines:
        kind = next((it for it in BELIEFS if one.event.startswith(it)), "")
        if kind:
            found[(one.instance, kind)] = one
    return list(found.values())


def deciding(explained: abc.Sequence[Explained]) -> LogLine | None:
    """Return the line about the request that decided its outcome.

    It is the last one that gives a reason; the end of the request only
    repeats its code.
    """
    reasons = [
        one.line
        for one in explained
        if one.about_request and one.line.step and one.line.code
    ]
    return reasons[-1] if reasons else None
