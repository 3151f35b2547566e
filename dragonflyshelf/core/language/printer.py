"""Printer of statements; parsing its output gives an equal one."""

from collections import abc
import enum
import json
import re
from typing import Any, Final

from dragonflyshelf.core import ids
from dragonflyshelf.core.language import kinds
from dragonflyshelf.core.language import statements
from dragonflyshelf.core import registry

_NAME: Final = re.compile(r"[A-Za-z_][A-Za-z0-9_.\-]*")
_KEYWORDS: Final = frozenset(
    {
        "and",
        "asc",
        "columns",
        "desc",
        "everywhere",
        "force",
        "if",
        "key",
        "limit",
        "order",
        "timeout",
        "to",
        "version",
        "where",
        "workspace",
    }
)
Printer = abc.Callable[[Any], abc.Iterable[str]]
PRINTERS: Final[registry.Registry[type, Printer]] = registry.Registry(
    "statement printers"
)


def print_statement(statement: statements.Statement) -> str:
    """Return a statement as text of the operator language."""
    return " ".join(PRINTERS.get(type(statement))(statement))


def word(value: Any) -> str:
    """Return a value as text, quoted where the grammar needs it."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, enum.Enum):
        return str(value.value)
    if not isinstance(value, str):
        return repr(value)
    if _NAME.fullmatch(value) and value not in _KEYWORDS:
        return value
    return json.dumps(value)


@PRINTERS.register(statements.Show)
def _show(one: statements.Show) -> abc.Iterator[str]:
    yield f"show {word(one.table)}"
    if one.everywhere:
        yield "everywhere"
    if one.where:
        yield "where " + " and ".join(
            f"{item.name} {item.comparison.value} {word(item.value)}"
            for item in one.where
        )
    if one.columns:
        yield "columns " + ", ".join(item.name for item in one.columns)
    if one.order:
        yield "order by " + ", ".join(
            f"{item.name} desc" if item.descending else item.name
            for item in one.order
        )
    if one.limit is not None:
        yield f"limit {one.limit}"


@PRINTERS.register(statements.ExplainKey)
def _explain_key(one: statements.ExplainKey) -> abc.Iterator[str]:
    yield f"explain key {word(one.service)} {word(one.key)}"


@PRINTERS.register(statements.ExplainRequest)
def _explain_request(one: statements.ExplainRequest) -> abc.Iterator[str]:
    yield f"explain request {word(one.method)} {word(one.target)}"
    if one.workspace:
        yield f"workspace {word(one.workspace)}"


@PRINTERS.register(statements.Wait)
def _wait(one: statements.Wait) -> abc.Iterator[str]:
    yield f"wait for {kinds.WORDS_BY_KIND[one.kind]} {word(one.name)}"
    if one.version:
        yield f"version {one.version}"
    if one.timeout:
        yield f"timeout {one.timeout!r}"


@PRINTERS.register(statements.Audit)
def _audit(one: statements.Audit) -> abc.Iterator[str]:
    yield "audit"


@PRINTERS.register(statements.DryRun)
def _dry_run(one: statements.DryRun) -> abc.Iterator[str]:
    yield f"dry run {print_statement(one.command)}"


@PRINTERS.register(statements.Create)
def _create(one: statements.Create) -> abc.Iterator[str]:
    yield f"create {kinds.WORDS_BY_KIND[one.kind]} {word(one.name)}"
    yield from _settings(one.settings)
    yield from _ending(None, one.forced)


@PRINTERS.register(statements.Alter)
def _alter(one: statements.Alter) -> abc.Iterator[str]:
    yield f"alter {kinds.WORDS_BY_KIND[one.kind]} {word(one.name)}"
    yield from _settings(one.settings)
    yield from _ending(one.expected, one.forced)


@PRINTERS.register(statements.Drop)
def _drop(one: statements.Drop) -> abc.Iterator[str]:
    yield f"drop {kinds.WORDS_BY_KIND[one.kind]} {word(one.name)}"
    yield from _ending(one.expected, one.forced)


@PRINTERS.register(statements.GrantKey)
def _grant(one: statements.GrantKey) -> abc.Iterator[str]:
    yield f"grant key {word(one.key_id)} to {word(one.workspace)}"


@PRINTERS.register(statements.WithdrawKey)
def _withdraw(one: statements.WithdrawKey) -> abc.Iterator[str]:
    yield f"withdraw key {word(one.key_id)}"
    yield from _ending(one.expected, False)


def _settings(
    settings: tuple[statements.Setting, ...],
) -> abc.Iterator[str]:
    for one in settings:
        yield f"{one.name} {word(one.value)}"


def _ending(expected: ids.Version | None, forced: bool) -> abc.Iterator[str]:
    if expected is not None:
        yield f"if version {expected}"
    if forced:
        yield "force"
