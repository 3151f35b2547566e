"""Result tables of queries, and the evaluation of ``show``."""

import dataclasses
import enum
import functools
import operator
import typing
from typing import Any, Final

from dragonflyshelf.core import diagnostics
from dragonflyshelf.core import errors
from dragonflyshelf.core.language import statements
from dragonflyshelf.core import registry

COLUMN_INSTANCE: Final = "asked_instance"
Cell = str | float | int | bool | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ResultTable:
    """Result of a query: column names and rows of scalar cells."""

    columns: tuple[str, ...]
    rows: tuple[tuple[Any, ...], ...]


def columns_of(name: str) -> tuple[str, ...]:
    """Return the columns of a table.

    They are the fields of the dataclass in the return annotation of the
    table's function, so that a table without rows has columns too.
    """
    make = diagnostics.TABLES.get(name).make
    returned = typing.get_type_hints(make).get("return")
    for candidate in typing.get_args(returned):
        if dataclasses.is_dataclass(candidate):
            return tuple(one.name for one in dataclasses.fields(candidate))
    return ()


def from_rows(name: str, rows: diagnostics.Rows) -> ResultTable:
    """Convert the typed rows of a table to a result table."""
    columns = columns_of(name)
    if rows:
        columns = tuple(one.name for one in dataclasses.fields(rows[0]))
    return ResultTable(
        columns=columns,
        rows=tuple(
            tuple(_cell(getattr(row, column)) for column in columns)
            for row in rows
        ),
    )


def _cell(value: Any) -> Cell:
    if isinstance(value, enum.Enum):
        return _cell(value.value)
    if value is None or isinstance(value, (bool, float, int, str)):
        return value
    if isinstance(value, (tuple, list, set, frozenset)):
        return ", ".join(str(_cell(one)) for one in value)
    return str(value)


def merge(tables_by_instance: dict[str, ResultTable]) -> ResultTable:
    """Merge the tables of instances, with a column for the instance."""
    columns: tuple[str, ...] = ()
    for one in tables_by_instance.values():
        columns = columns or one.columns
    rows = []
    for instance, one in sorted(tables_by_instance.items()):
        index = {name: place for place, name in enumerate(one.columns)}
        for row in one.rows:
            cells = (
                row[index[name]] if name in index else None for name in columns
            )
            rows.append((instance, *cells))
    return ResultTable(columns=(COLUMN_INSTANCE, *columns), rows=tuple(rows))


def evaluate(show: statements.Show, table: ResultTable) -> ResultTable:
    """Filter, sort and project a table as a statement requests.

    Raises ``BadStatement`` for a column that the table does not have.
    """
    places = {name: place for place, name in enumerate(table.columns)}
    for named in (*show.where, *show.columns, *show.order):
        if named.name not in places:
            raise errors.BadStatement(
                f"table {show.table} has no column {named.name!r}",
                column=named.column,
                expected=table.columns,
            )
    rows = [
        row
        for row in table.rows
        if all(_holds(one, row[places[one.name]]) for one in show.where)
    ]
    for term in reversed(show.order):
        place = places[term.name]
        rows.sort(
            key=lambda row, place=place: _sort_key(row[place]),
            reverse=term.descending,
        )
    if show.limit is not None:
        rows = rows[: show.limit]
    shown = tuple(one.name for one in show.columns) or table.columns
    return ResultTable(
        columns=shown,
        rows=tuple(tuple(row[places[name]] for name in shown) for row in rows),
    )


def _sort_key(cell: Cell) -> tuple[int, Any]:
    if cell is None:
        return 0, 0
    if isinstance(cell, (bool, float, int)):
        return 1, cell
    return 2, cell


Test = typing.Callable[[Any, Any], bool]
COMPARISONS: Final[registry.Registry[statements.Comparison, Test]] = (
    registry.Registry("comparisons")
)
for _comparison, _test in (
    (statements.Comparison.EQUAL, operator.eq),
    (statements.Comparison.GREATER, operator.gt),
    (statements.Comparison.GREATER_OR_EQUAL, operator.ge),
    (statements.Comparison.LESS, operator.lt),
    (statements.Comparison.LESS_OR_EQUAL, operator.le),
    (statements.Comparison.NOT_EQUAL, operator.ne),
):
    COMPARISONS.register(_comparison)(_test)


@COMPARISONS.register(statements.Comparison.CONTAINS)
def _contains(cell: Any, value: Any) -> bool:
    return str(value).lower() in str(cell).lower()


def _holds(condition: statements.Condition, cell: Cell) -> bool:
    """Tell whether a cell satisfies a condition.

    A string and a number are compared as strings, so that a name made
    of digits matches with and without quotes.
    """
    test = COMPARISONS.get(condition.comparison)
    value = condition.value
    if condition.comparison is statements.Comparison.CONTAINS:
        return test(cell, value)
    if cell is None:
        return condition.comparison is statements.Comparison.NOT_EQUAL
    if isinstance(cell, bool):
        return test(_yes(cell), str(value).lower())
    if isinstance(cell, str) != isinstance(value, str):
        return test(str(cell), str(value))
    return test(cell, value)


@functools.cache
def _yes(cell: bool) -> str:
    return "yes" if cell else "no"
