"""Registry of the tables that operators can ask for.

A table is made by a function from the parts of the task that owns them
to typed rows: ``rows(sources, now)`` returns frozen dataclasses of one
type. A concern registers its tables in its own ``diagnostics.py``::

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
RowMaker = abc.Callable[[Any, ids.Instant], abc.Iterable[Any]]


class Owner(enum.Enum):
    """Task whose state a table shows."""

    CONTROL = "control"
    ROUTER = "router"
    TIMELINE = "timeline"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlSources:
    """What tables of the control task are made from.

    The fields are the object view and the coordinators of membership,
    ownership and grants.
    """

    view: Any
    membership: Any
    ownership: Any
    grants: Any


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouterSources:
    """What tables of the router task are made from."""

    dispatch: Any
    exchanges: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Table:
    """One table and the task that can make its rows."""

    name: str
    owner: Owner
    make: RowMaker


TABLES: Final[registry.Registry[str, Table]] = registry.Registry("tables")


def table(name: str, owner: Owner) -> abc.Callable[[RowMaker], RowMaker]:
    """Return a decorator that registers a table's function of rows."""

    def decorate(make: RowMaker) -> RowMaker:
        TABLES.register(name)(Table(name=name, owner=owner, make=make))
        return make

    return decorate


def rows(name: str, sources: Any, now: ids.Instant) -> Rows:
    """Return the rows of a table."""
    return tuple(TABLES.get(name).make(sources, now))
