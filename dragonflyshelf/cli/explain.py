"""Explanation of a request from the logs of several instances."""

from collections import abc
import pathlib
import sys
from typing import Final

from dragonflyshelf.codec import log_lines
from dragonflyshelf.core.timeline import explanation

EXIT_REQUEST_NOT_FOUND: Final = 1


def explain(request_id: str, *logs: pathlib.Path) -> None:
    """Explain the outcome of a request from log files.

    :param request_id: the request id that the caller sent
    :param logs: log files of instances; standard input if none is given
    """
    explained_lines = explanation.explain(
        log_lines.decode(_read_lines(logs)), request_id
    )
    if not explained_lines:
        print(f"no log line contains request {request_id}", file=sys.stderr)
        raise SystemExit(EXIT_REQUEST_NOT_FOUND)
    for explained in explained_lines:
        print(format_line(explained))
    print(format_conclusion(explained_lines))


def _read_lines(logs: abc.Sequence[pathlib.Path]) -> abc.Iterator[str]:
    if not logs:
        yield from sys.stdin
        return
    for path in logs:
        with path.open(encoding="utf-8", errors="replace") as lines:
            yield from lines


def format_line(explained: explanation.ExplainedLine) -> str:
    """Return an explained log line as text."""
    line = explained.line
    details = " ".join(
        f"{name}={value}"
        for name, value in (
            ("code", line.code),
            ("outcome", line.outcome),
            ("step", line.step),
            ("peer", line.peer),
            ("status", line.status),
            ("seconds", line.seconds or ""),
        )
        if value
    )
    marker = "*" if explained.about_request else " "
    text = (
        f"{marker} -{explained.seconds_before_end:.3f} s"
        f" {line.instance}: {line.event}"
    )
    return f"{text} ({details})" if details else text


def format_conclusion(
    explained_lines: abc.Sequence[explanation.ExplainedLine],
) -> str:
    """Return the line that decided the outcome, and its age at the end."""
    line = explanation.find_deciding_line(explained_lines)
    if line is None:
        return "decided by: no failure was logged"
    age = next(
        explained.seconds_before_end
        for explained in explained_lines
        if explained.line is line
    )
    return (
        f"decided by: {line.event} ({line.code} at step {line.step}),"
        f" {age:.3f} s before the end at {line.instance}"
    )
