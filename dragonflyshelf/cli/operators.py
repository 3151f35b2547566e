"""Sub-commands for operators: query, command, timeline, audit, prompt."""

import asyncio
from collections import abc
import importlib
import os
import pathlib
import sys

import h11
import prompt_toolkit
from prompt_toolkit import history

from dragonflyshelf.codec import operators as codec
from dragonflyshelf.core import errors
from dragonflyshelf.core.language import printer
from dragonflyshelf.core.language import statements
from dragonflyshelf.runtime.operators import client

DEFAULT_HOST = "127.0.0.1"
DEFAULT_PORT = 8082
ENVIRONMENT_TOKEN = "DRAGONFLYSHELF_TOKEN"
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 4
EXIT_UNREACHABLE = 5
HISTORY = ".dragonflyshelf_history"
PROMPT = "dragonflyshelf> "
TIMELINE_COLUMNS = (
    "time",
    "instance",
    "kind",
    "service",
    "workspace",
    "upstream",
    "request_id",
    "shard",
    "epoch",
    "version",
    "code",
    "detail",
)


def query(
    text: str,
    *,
    host: str = DEFAULT_HOST,
    port: int = DEFAULT_PORT,
    json: bool = False,
) -> None:
    """Ask an instance; the token comes from DRAGONFLYSHELF_TOKEN.

    :param text: a query, such as "show services"
    :param host: address of the operators' listener
    :param port: port of the operators' listener
    :param json: print JSON for programs and not a table
    """
    _run_once(text, host, port, json)


def command(
    text: str,
    *,
    host: str = DEFAULT_HOST,
    port: int = DEFAULT_PORT,
    json: bool = False,
) -> None:
    """Change something; exit status 4 means that the result is unknown.

    :param text: a command, such as "withdraw key k1"
    :param host: address of the operators' listener
    :param port: port of the operators' listener
    :param json: print JSON for programs and not text
    """
    _run_once(text, host, port, json)


def timeline(
    *,
    host: str = DEFAULT_HOST,
    port: int = DEFAULT_PORT,
    service: str = "",
    key: str = "",
    workspace: str = "",
    upstream: str = "",
    request: str = "",
    shard: int = -1,
    kind: str = "",
    limit: int = 1000,
    json: bool = False,
    picture: pathlib.Path | None = None,
) -> None:
    """Show the events of all instances in one causal order.

    :param host: address of the operators' listener
    :param port: port of the operators' listener
    :param service: only events of this service
    :param key: only events of this key's shard; needs the service
    :param workspace: only events of this workspace
    :param upstream: only events of this upstream
    :param request: only events of this request id
    :param shard: only events of this shard; see "explain key"
    :param kind: only events of this kind
    :param limit: at most so many events
    :param json: print JSON for programs and not a table
    :param picture: write lanes to this file (.png or .svg) and no text
    """
    wanted = {
        "service": service,
        "key": key,
        "workspace": workspace,
        "upstream": upstream,
        "request_id": request,
        "kind": kind,
    }
    conditions = [
        statements.Condition(
            name=name, comparison=statements.Comparison.EQUAL, value=value
        )
        for name, value in wanted.items()
        if value
    ]
    if shard >= 0:
        conditions.append(
            statements.Condition(
                name="shard",
                comparison=statements.Comparison.EQUAL,
                value=shard,
            )
        )
    show = statements.Show(
        table="timeline",
        everywhere=True,
        where=tuple(conditions),
        columns=tuple(
            statements.ColumnName(name=one) for one in TIMELINE_COLUMNS
        ),
        order=(
            statements.OrderTerm(name="stamp"),
            statements.OrderTerm(name="instance"),
        ),
        limit=limit,
    )
    text = printer.print_statement(show)
    if picture is None:
        _run_once(text, host, port, json)
        return
    status = run(text, host, port, json, lambda one: _draw(one, picture))
    if status:
        raise SystemExit(status)


def prompt(*, host: str = DEFAULT_HOST, port: int = DEFAULT_PORT) -> None:
    """Read statements from a prompt with history, until the input ends.

    :param host: address of the operators' listener
    :param port: port of the operators' listener
    """
    path = pathlib.Path.home() / HISTORY
    typed: prompt_toolkit.PromptSession[str] = prompt_toolkit.PromptSession(
        history=history.FileHistory(str(path))
    )
    for text in _lines(typed):
        run(text, host, port, False)


def _lines(
    typed: "prompt_toolkit.PromptSession[str]",
) -> abc.Iterator[str]:
    while True:
        try:
            text = typed.prompt(PROMPT).strip()
        except (EOFError, KeyboardInterrupt):
            return
        if text:
            yield text


def _run_once(text: str, host: str, port: int, json: bool) -> None:
    status = run(text, host, port, json)
    if status:
        raise SystemExit(status)


def run(
    text: str,
    host: str,
    port: int,
    json: bool,
    use: abc.Callable[[codec.Answer], None] | None = None,
) -> int:
    """Run one statement, use or print its answer, return the exit status."""
    try:
        answer = asyncio.run(_async_run(text, host, port))
    except errors.BadStatement as error:
        _print_mistake(text, error)
        return EXIT_USAGE
    except client.StatementFailed as error:
        print(error, file=sys.stderr)
        if error.answer.code == errors.ResultUnknown.code:
            return EXIT_UNKNOWN
        return EXIT_REFUSED
    except (OSError, h11.RemoteProtocolError) as error:
        code = errors.PeerUnreachable.code
        print(f"{code} {error} (peer={host}:{port})", file=sys.stderr)
        return EXIT_UNREACHABLE
    if use is not None:
        use(answer)
        return 0
    if json:
        print(codec.encode(answer).decode())
        return 0
    print(codec.text(answer), end="")
    return 0


def _draw(answer: codec.QueryAnswer, path: pathlib.Path) -> None:
    # The library is large and optional, so that no instance loads it.
    lanes = importlib.import_module("dragonflyshelf.codec.lanes")
    lanes.save(answer.columns, answer.rows, path)


async def _async_run(text: str, host: str, port: int) -> codec.Answer:
    token = os.environ.get(ENVIRONMENT_TOKEN, "")
    async with client.async_open(host, port, token) as operator:
        return await operator.async_run(text)


def _print_mistake(text: str, error: errors.BadStatement) -> None:
    if error.column:
        print(text, file=sys.stderr)
        print(" " * (error.column - 1) + "^", file=sys.stderr)
    print(error, file=sys.stderr)


COMMANDS = (query, command, timeline, prompt)
