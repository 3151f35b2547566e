"""Typed statements of the operators' language.

A ``column`` counts from 1 in the text that was parsed; it is for
messages only and takes no part in comparison.
"""

import dataclasses
import enum
from typing import Any

from dragonflyshelf.core import ids
from dragonflyshelf.core import states

Scalar = str | float | int | bool


class Comparison(enum.Enum):
    """How a condition compares a column with a value."""

    CONTAINS = "~"
    EQUAL = "="
    GREATER = ">"
    GREATER_OR_EQUAL = ">="
    LESS = "<"
    LESS_OR_EQUAL = "<="
    NOT_EQUAL = "!="


def _column() -> Any:
    return dataclasses.field(default=0, compare=False)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Condition:
    """Rows are kept if the comparison holds."""

    name: str
    comparison: Comparison
    value: Scalar
    column: int = _column()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ColumnName:
    """A column to show."""

    name: str
    column: int = _column()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OrderTerm:
    """A column to sort by."""

    name: str
    descending: bool = False
    column: int = _column()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Show:
    """Rows of a table, of one instance or of all."""

    table: str
    everywhere: bool = False
    where: tuple[Condition, ...] = ()
    columns: tuple[ColumnName, ...] = ()
    order: tuple[OrderTerm, ...] = ()
    limit: int | None = None
    column: int = _column()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExplainKey:
    """Who owns a key now, and why."""

    service: ids.ServiceName
    key: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExplainRequest:
    """What would happen to a request now, and why."""

    method: str
    target: str
    workspace: ids.WorkspaceId = ids.WorkspaceId("")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Wait:
    """Wait until an object's version is in force everywhere.

    The version 0 stands for the present one; the timeout is in seconds.
    """

    kind: states.ConfigurationKind
    name: ids.ObjectName
    version: ids.Version = ids.Version(0)
    timeout: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Audit:
    """Check every promise against the time line and the tables."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Setting:
    """One option of a command with its typed value."""

    name: str
    value: Any


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Create:
    """Create an object."""

    kind: states.ConfigurationKind
    name: ids.ObjectName
    settings: tuple[Setting, ...] = ()
    forced: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Alter:
    """Change some settings of an object."""

    kind: states.ConfigurationKind
    name: ids.ObjectName
    settings: tuple[Setting, ...]
    expected: ids.Version | None = None
    forced: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Drop:
    """Delete an object."""

    kind: states.ConfigurationKind
    name: ids.ObjectName
    expected: ids.Version | None = None
    forced: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantKey:
    """Create a caller key for a workspace."""

    key_id: ids.CallerKeyId
    workspace: ids.WorkspaceId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WithdrawKey:
    """End the use of a caller key."""

    key_id: ids.CallerKeyId
    expected: ids.Version | None = None


Command = Alter | Create | Drop | GrantKey | WithdrawKey


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DryRun:
    """Say what a command would do, and do nothing."""

    command: Command


Query = Audit | DryRun | ExplainKey | ExplainRequest | Show | Wait
Statement = Command | Query
COMMAND_TYPES = (Alter, Create, Drop, GrantKey, WithdrawKey)
