"""Answers to operators, as JSON for programs and as text for people."""

import dataclasses
from typing import Any

import msgspec
import tabulate

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.language import tables

CONTENT_JSON = "application/json"
CONTENT_TEXT = "text/plain; charset=utf-8"
FLOAT_FORMAT = ".15g"
FORMAT_JSON = "json"
FORMAT_TABLE = "table"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Missing:
    """An instance that did not answer or did not apply a change yet."""

    instance: ids.InstanceId
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QueryAnswer:
    """Rows, and the instances whose rows are missing."""

    columns: tuple[str, ...]
    rows: tuple[tuple[Any, ...], ...]
    missing: tuple[Missing, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CommandAnswer:
    """A durable change, or what a dry run would change.

    ``caller_key`` is shown in this answer only.
    """

    command: str
    version: ids.Version
    write_id: ids.WriteId
    dry_run: bool = False
    caller_key: str = ""
    forced: tuple[str, ...] = ()
    before: str = ""
    after: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ErrorAnswer:
    """Why a statement has no answer; the column is 0 for none."""

    code: str
    message: str
    step: str
    peer: str
    outcome: str
    column: int = 0
    expected: tuple[str, ...] = ()
    missing: tuple[Missing, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InForceCall:
    """Ask another instance whether it has applied a version."""

    kind: str
    name: str
    version: ids.Version
    timeout: float


Answer = CommandAnswer | ErrorAnswer | QueryAnswer

encode = msgspec.json.encode
decode_command = msgspec.json.Decoder(CommandAnswer).decode
decode_error = msgspec.json.Decoder(ErrorAnswer).decode
decode_in_force = msgspec.json.Decoder(InForceCall).decode
decode_query = msgspec.json.Decoder(QueryAnswer).decode
MalformedError = msgspec.MsgspecError


def of_table(table: tables.ResultTable) -> QueryAnswer:
    """Return a table as an answer."""
    return QueryAnswer(columns=table.columns, rows=table.rows)


def of_error(error: errors.RouterError) -> ErrorAnswer:
    """Return an error as an answer."""
    return ErrorAnswer(
        code=error.code,
        message=error.message,
        step=error.step.value,
        peer=error.peer,
        outcome=error.outcome.value,
        column=getattr(error, "column", 0),
        expected=getattr(error, "expected", ()),
        missing=getattr(error, "missing", ()),
    )


def text(answer: Answer) -> str:
    """Return an answer for people to read, with a line end."""
    if isinstance(answer, QueryAnswer):
        lines = [
            tabulate.tabulate(
                answer.rows, headers=answer.columns, floatfmt=FLOAT_FORMAT
            )
        ]
    elif isinstance(answer, CommandAnswer):
        lines = _command_lines(answer)
    else:
        peer = f" peer={answer.peer}" if answer.peer else ""
        lines = [f"{answer.code} {answer.message} (step={answer.step}{peer})"]
    for one in getattr(answer, "missing", ()):
        lines.append(f"missing: {one.instance}: {one.reason}")
    return "\n".join(lines) + "\n"


def _command_lines(answer: CommandAnswer) -> list[str]:
    word = "would accept" if answer.dry_run else "accepted"
    lines = [f"{word}: {answer.command}"]
    if answer.dry_run:
        lines.append(f"before: {answer.before}")
        lines.append(f"after: {answer.after}")
    else:
        lines.append(f"version: {answer.version}")
    if answer.caller_key:
        lines.append(f"caller key, shown once: {answer.caller_key}")
    lines += [f"forced: {one}" for one in answer.forced]
    return lines
