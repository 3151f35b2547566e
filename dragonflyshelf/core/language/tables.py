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

INSTANCE_COLUMN: Final = "asked_instance"
"""Column of a merged table with the instance that returned the row."""

Cell = str | float | int | bool | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ResultTable:
    """Result of a query: column names and rows of scalar cells."""

    columns: tuple[str, ...]
    rows: tuple[tuple[Any, ...], ...]


def list_columns(name: str) -> tuple[str, ...]:
    """Return the columns of a table.

    They are the fields of the dataclass in the return annotation of the
    table's function, so that a table without rows has columns too.
    """
    row_factory = diagnostics.TABLES.get(name).make_rows
    return_type = typing.get_type_hints(row_factory).get("return")
    for candidate in typing.get_args(return_type):
        if dataclasses.is_dataclass(candidate):
            return tuple(field.name for field in dataclasses.fields(candidate))
    return ()


def from_rows(name: str, rows: diagnostics.Rows) -> ResultTable:
    """Convert the typed rows of a table to a result table."""
    columns = list_columns(name)
    if rows:
        columns = tuple(field.name for field in dataclasses.fields(rows[0]))
    return ResultTable(
        columns=columns,
        rows=tuple(
            tuple(_to_cell(getattr(row, column)) for column in columns)
            for row in rows
        ),
    )


def _to_cell(value: Any) -> Cell:
    if isinstance(value, enum.Enum):
        return _to_cell(value.value)
    if value is None or isinstance(value, (bool, float, int, str)):
        return value
    if isinstance(value, (tuple, list, set, frozenset)):
        return ", ".join(str(_to_cell(item)) for item in value)
    return str(value)


def merge(tables_by_instance: dict[str, ResultTable]) -> ResultTable:
    """Merge the tables of instances, with a column for the instance."""
    columns: tuple[str, ...] = ()
    for table in tables_by_instance.values():
        columns = columns or table.columns
    rows = []
    for instance, table in sorted(tables_by_instance.items()):
        indexes_by_column = {
            name: index for index, name in enumerate(table.columns)
        }
        for row in table.rows:
            cells = (
                (
                    row[indexes_by_column[name]]
                    if name in indexes_by_column
                    else None
                )
                for name in columns
            )
            rows.append((instance, *cells))
    return ResultTable(columns=(INSTANCE_COLUMN, *columns), rows=tuple(rows))


def evaluate(show: statements.Show, table: ResultTable) -> ResultTable:
    """Filter, sort and project a table as a statement requests.

    Raises ``InvalidStatement`` for a column that the table does not have.
    """
    indexes_by_column = {
        name: index for index, name in enumerate(table.columns)
    }
    for reference in (*show.where, *show.columns, *show.order):
        if reference.name not in indexes_by_column:
            raise errors.InvalidStatement(
                f"table {show.table} has no column {reference.name!r}",
                column=reference.column,
                expected=table.columns,
            )
    rows = [
        row
        for row in table.rows
        if all(
            _matches(condition, row[indexes_by_column[condition.name]])
            for condition in show.where
        )
    ]
    for term in reversed(show.order):
        index = indexes_by_column[term.name]
        rows.sort(
            key=lambda row, index=index: _sort_key(row[index]),
            reverse=term.descending,
        )
    if show.limit is not None:
        rows = rows[: show.limit]
    shown_columns = (
        tuple(column.name for column in show.columns) or table.columns
    )
    return ResultTable(
        columns=shown_columns,
        rows=tuple(
            tuple(row[indexes_by_column[name]] for name in shown_columns)
            for row in rows
        ),
    )


def _sort_key(cell: Cell) -> tuple[int, Any]:
    if cell is None:
        return 0, 0
    if isinstance(cell, (bool, float, int)):
        return 1, cell
    return 2, cell


CellTest = typing.Callable[[Any, Any], bool]
COMPARISONS: Final[registry.Registry[statements.Comparison, CellTest]] = (
    registry.Registry("comparisons")
)
for _comparison, _cell_test in (
    (statements.Comparison.EQUAL, operator.eq),
    (statements.Comparison.GREATER, operator.gt),
    (statements.Comparison.GREATER_OR_EQUAL, operator.ge),
    (statements.Comparison.LESS, operator.lt),
    (statements.Comparison.LESS_OR_EQUAL, operator.le),
    (statements.Comparison.NOT_EQUAL, operator.ne),
):
    COMPARISONS.register(_comparison)(_cell_test)


@COMPARISONS.register(statements.Comparison.CONTAINS)
def _contains(cell: Any, value: Any) -> bool:
    return str(value).lower() in str(cell).lower()


def _matches(condition: statements.Condition, cell: Cell) -> bool:
    """Return whether a cell satisfies a condition.

    A string and a number are compared as strings, so that a name made
    of digits matches with and without quotes.
    """
    cell_test = COMPARISONS.get(condition.comparison)
    value = condition.value
    if condition.comparison is statements.Comparison.CONTAINS:
        return cell_test(cell, value)
    if cell is None:
        return condition.comparison is statements.Comparison.NOT_EQUAL
    if isinstance(cell, bool):
        return cell_test(_boolean_keyword(cell), str(value).lower())
    if isinstance(cell, str) != isinstance(value, str):
        return cell_test(str(cell), str(value))
    return cell_test(cell, value)


@functools.cache
def _boolean_keyword(cell: bool) -> str:
    return "yes" if cell else "no"
