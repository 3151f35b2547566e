"""Registry of the diagnostic tables that operators can query.

The rows of a table come from a function of the state of one task:
``rows(sources, now)`` returns frozen dataclasses of one type. Each
package registers its tables in its own ``diagnostics.py``::

    @diagnostics.table("limits", diagnostics.Owner.ROUTER)
    def limit_rows(sources, now): ...
"""

from collections import abc
import dataclasses
import enum
from typing import Any, Final

from dragonflyshelf.core import ids
from dragonflyshelf.core import registry

Rows = tuple[Any, ...]
RowFactory = abc.Callable[[Any, ids.Instant], abc.Iterable[Any]]


class Owner(enum.Enum):
    """Task whose state a table shows."""

    CONTROL = "control"
    ROUTER = "router"
    TIMELINE = "timeline"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlSources:
    """State from which the tables of the control task are built.

    The fields are the object view and the coordinators of membership,
    ownership and grants.
    """

    view: Any
    membership: Any
    ownership: Any
    grants: Any


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouterSources:
    """State from which the tables of the router task are built."""

    dispatch: Any
    exchanges: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Table:
    """A table and the task whose state it shows."""

    name: str
    owner: Owner
    make_rows: RowFactory


TABLES: Final[registry.Registry[str, Table]] = registry.Registry("tables")


def table(name: str, owner: Owner) -> abc.Callable[[RowFactory], RowFactory]:
    """Return a decorator that registers the row function of a table."""

    def decorate(make_rows: RowFactory) -> RowFactory:
        TABLES.register(name)(
            Table(name=name, owner=owner, make_rows=make_rows)
        )
        return make_rows

    return decorate


def rows(name: str, sources: Any, now: ids.Instant) -> Rows:
    """Compute the rows of a table."""
    return tuple(TABLES.get(name).make_rows(sources, now))
