"""Printer of statements; parsing its output gives an equal statement."""

from collections import abc
import enum
import json
import re
from typing import Any, Final

from dragonflyshelf.core import ids
from dragonflyshelf.core.language import kinds
from dragonflyshelf.core.language import statements
from dragonflyshelf.core import registry

_NAME_PATTERN: Final = re.compile(r"[A-Za-z_][A-Za-z0-9_.\-]*")
_RESERVED_WORDS: Final = frozenset(
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
"""Keywords that have to be quoted when they are used as names."""

Printer = abc.Callable[[Any], abc.Iterable[str]]
PRINTERS: Final[registry.Registry[type, Printer]] = registry.Registry(
    "statement printers"
)


def print_statement(statement: statements.Statement) -> str:
    """Return a statement as text of the operator language."""
    return " ".join(PRINTERS.get(type(statement))(statement))


def format_value(value: Any) -> str:
    """Return a value as text, quoted where the grammar needs it."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, enum.Enum):
        return str(value.value)
    if not isinstance(value, str):
        return repr(value)
    if _NAME_PATTERN.fullmatch(value) and value not in _RESERVED_WORDS:
        return value
    return json.dumps(value)


@PRINTERS.register(statements.Show)
def _print_show(statement: statements.Show) -> abc.Iterator[str]:
    yield f"show {format_value(statement.table)}"
    if statement.everywhere:
        yield "everywhere"
    if statement.where:
        yield "where " + " and ".join(
            f"{condition.name} {condition.comparison.value}"
            f" {format_value(condition.value)}"
            for condition in statement.where
        )
    if statement.columns:
        yield "columns " + ", ".join(
            column.name for column in statement.columns
        )
    if statement.order:
        yield "order by " + ", ".join(
            f"{term.name} desc" if term.descending else term.name
            for term in statement.order
        )
    if statement.limit is not None:
        yield f"limit {statement.limit}"


@PRINTERS.register(statements.ExplainKey)
def _print_explain_key(statement: statements.ExplainKey) -> abc.Iterator[str]:
    yield (
        f"explain key {format_value(statement.service)}"
        f" {format_value(statement.key)}"
    )


@PRINTERS.register(statements.ExplainRequest)
def _print_explain_request(
    statement: statements.ExplainRequest,
) -> abc.Iterator[str]:
    yield (
        f"explain request {format_value(statement.method)}"
        f" {format_value(statement.target)}"
    )
    if statement.workspace:
        yield f"workspace {format_value(statement.workspace)}"


@PRINTERS.register(statements.Wait)
def _print_wait(statement: statements.Wait) -> abc.Iterator[str]:
    yield (
        f"wait for {kinds.KEYWORDS_BY_KIND[statement.kind]}"
        f" {format_value(statement.name)}"
    )
    if statement.version:
        yield f"version {statement.version}"
    if statement.timeout:
        yield f"timeout {statement.timeout!r}"


@PRINTERS.register(statements.Audit)
def _print_audit(statement: statements.Audit) -> abc.Iterator[str]:
    yield "audit"


@PRINTERS.register(statements.DryRun)
def _print_dry_run(statement: statements.DryRun) -> abc.Iterator[str]:
    yield f"dry run {print_statement(statement.command)}"


@PRINTERS.register(statements.Create)
def _print_create(statement: statements.Create) -> abc.Iterator[str]:
    yield (
        f"create {kinds.KEYWORDS_BY_KIND[statement.kind]}"
        f" {format_value(statement.name)}"
    )
    yield from _format_options(statement.option_values)
    yield from _format_suffix(None, statement.forced)


@PRINTERS.register(statements.Alter)
def _print_alter(statement: statements.Alter) -> abc.Iterator[str]:
    yield (
        f"alter {kinds.KEYWORDS_BY_KIND[statement.kind]}"
        f" {format_value(statement.name)}"
    )
    yield from _format_options(statement.option_values)
    yield from _format_suffix(statement.expected_version, statement.forced)


@PRINTERS.register(statements.Drop)
def _print_drop(statement: statements.Drop) -> abc.Iterator[str]:
    yield (
        f"drop {kinds.KEYWORDS_BY_KIND[statement.kind]}"
        f" {format_value(statement.name)}"
    )
    yield from _format_suffix(statement.expected_version, statement.forced)


@PRINTERS.register(statements.GrantKey)
def _print_grant(statement: statements.GrantKey) -> abc.Iterator[str]:
    yield (
        f"grant key {format_value(statement.key_id)}"
        f" to {format_value(statement.workspace)}"
    )


@PRINTERS.register(statements.WithdrawKey)
def _print_withdraw(statement: statements.WithdrawKey) -> abc.Iterator[str]:
    yield f"withdraw key {format_value(statement.key_id)}"
    yield from _format_suffix(statement.expected_version, False)


def _format_options(
    option_values: tuple[statements.OptionValue, ...],
) -> abc.Iterator[str]:
    for option in option_values:
        yield f"{option.name} {format_value(option.value)}"


def _format_suffix(
    expected_version: ids.Version | None, forced: bool
) -> abc.Iterator[str]:
    if expected_version is not None:
        yield f"if version {expected_version}"
    if forced:
        yield "force"
