"""Typed statements of the operator language.

The field ``column`` is a position in the parsed text, counted from 1.
It is used in error messages only and is ignored by comparisons.
"""

import dataclasses
import enum
from typing import Any

from dragonflyshelf.core import ids
from dragonflyshelf.core import states

Scalar = str | float | int | bool


class Comparison(enum.Enum):
    """Operator between the column and the value of a condition."""

    CONTAINS = "~"
    EQUAL = "="
    GREATER = ">"
    GREATER_OR_EQUAL = ">="
    LESS = "<"
    LESS_OR_EQUAL = "<="
    NOT_EQUAL = "!="


def _position_field() -> Any:
    return dataclasses.field(default=0, compare=False)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Condition:
    """Condition of a ``where`` clause."""

    name: str
    comparison: Comparison
    value: Scalar
    column: int = _position_field()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ColumnName:
    """Reference to a column of the result."""

    name: str
    column: int = _position_field()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OrderTerm:
    """Column of an ``order by`` clause."""

    name: str
    descending: bool = False
    column: int = _position_field()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Show:
    """Show rows of a table, from one instance or from all."""

    table: str
    everywhere: bool = False
    where: tuple[Condition, ...] = ()
    columns: tuple[ColumnName, ...] = ()
    order: tuple[OrderTerm, ...] = ()
    limit: int | None = None
    column: int = _position_field()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExplainKey:
    """Explain which upstream holds a shard key at present."""

    service: ids.ServiceName
    key: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExplainRequest:
    """Explain how a request would be routed at present."""

    method: str
    target: str
    workspace: ids.WorkspaceId = ids.WorkspaceId("")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Wait:
    """Wait until an object's version is in force everywhere.

    Version 0 means the current version; the timeout is in seconds.
    """

    kind: states.ConfigurationKind
    name: ids.ObjectName
    version: ids.Version = ids.Version(0)
    timeout: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Audit:
    """Check every guarantee against the timeline and the tables."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OptionValue:
    """An option of a command with its typed value."""

    name: str
    value: Any


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Create:
    """Create an object."""

    kind: states.ConfigurationKind
    name: ids.ObjectName
    option_values: tuple[OptionValue, ...] = ()
    forced: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Alter:
    """Change options of an object."""

    kind: states.ConfigurationKind
    name: ids.ObjectName
    option_values: tuple[OptionValue, ...]
    expected_version: ids.Version | None = None
    forced: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Drop:
    """Delete an object."""

    kind: states.ConfigurationKind
    name: ids.ObjectName
    expected_version: ids.Version | None = None
    forced: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantKey:
    """Create a caller key for a workspace."""

    key_id: ids.CallerKeyId
    workspace: ids.WorkspaceId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WithdrawKey:
    """Revoke a caller key."""

    key_id: ids.CallerKeyId
    expected_version: ids.Version | None = None


Command = Alter | Create | Drop | GrantKey | WithdrawKey


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DryRun:
    """Report the effect of a command without running it."""

    command: Command


Query = Audit | DryRun | ExplainKey | ExplainRequest | Show | Wait
Statement = Command | Query
COMMAND_TYPES = (Alter, Create, Drop, GrantKey, WithdrawKey)
