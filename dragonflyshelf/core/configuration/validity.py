"""What makes a version of the configuration invalid.

Each rule looks at one subject of a decoded configuration. A version that
violates any of them is not used; docs/OPERATORS.md has the table.
"""

from collections import abc
import dataclasses
import enum
import math
import operator
from typing import Any, Final

from dragonflyshelf.core import ids
from dragonflyshelf.core import registry
from dragonflyshelf.core.routing import objects

MIN_ATTEMPT_COUNT: Final = 1
MIN_CONNECTION_COUNT: Final = 1
MIN_HEAD_BYTES: Final = 1

PREFIX_BOUNDARY: Final = "/"
"""First and last character of a path prefix."""


class Table(enum.Enum):
    """Part of a configuration that has fields."""

    LIMITS = "limits"
    ROUTES = "routes"
    SERVICES = "services"
    WORKSPACES = "workspaces"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Field:
    """Field of the objects in a table, by the name that it has in them."""

    table: Table
    name: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Violation:
    """A field that makes a version invalid.

    ``row`` counts from 0 and is 0 for the limits. ``value`` is what the
    field holds, None if that is not to be shown.
    """

    field: Field
    row: int
    value: Any
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Bound:
    """Least value of a number; ``is_exclusive`` if it must be above."""

    minimum: float
    is_exclusive: bool = False

    def find_reason(self, value: float) -> str:
        """Return why a value is invalid, an empty text if it is valid."""
        if self.minimum < value < math.inf:
            return ""
        if not math.isfinite(value):
            return "is not a finite number"
        if self.is_exclusive and value <= self.minimum:
            return f"must be above {self.minimum:g}"
        if value < self.minimum:
            return f"must be at least {self.minimum:g}"
        return ""


ABOVE_ZERO: Final = Bound(minimum=0, is_exclusive=True)
NOT_NEGATIVE: Final = Bound(minimum=0)

BOUNDS_BY_FIELD: Final = {
    Field(table=Table.LIMITS, name="head_bytes"): Bound(
        minimum=MIN_HEAD_BYTES
    ),
    Field(table=Table.LIMITS, name="body_bytes"): NOT_NEGATIVE,
    Field(table=Table.LIMITS, name="head_timeout"): ABOVE_ZERO,
    Field(table=Table.LIMITS, name="idle_timeout"): ABOVE_ZERO,
    Field(table=Table.ROUTES, name="timeout"): ABOVE_ZERO,
    Field(table=Table.ROUTES, name="latency_objective"): ABOVE_ZERO,
    Field(table=Table.ROUTES, name="priority"): NOT_NEGATIVE,
    Field(table=Table.ROUTES, name="max_attempts"): Bound(
        minimum=MIN_ATTEMPT_COUNT
    ),
    Field(table=Table.SERVICES, name="max_connections"): Bound(
        minimum=MIN_CONNECTION_COUNT
    ),
    Field(table=Table.SERVICES, name="warmup_seconds"): NOT_NEGATIVE,
    Field(table=Table.SERVICES, name="warmup_rate"): NOT_NEGATIVE,
    Field(table=Table.WORKSPACES, name="priority"): NOT_NEGATIVE,
    Field(table=Table.WORKSPACES, name="rate"): NOT_NEGATIVE,
    Field(table=Table.WORKSPACES, name="burst"): NOT_NEGATIVE,
}

Rule = abc.Callable[[objects.Configuration], abc.Iterator[Violation]]

RULES: Final[registry.Registry[str, Rule]] = registry.Registry(
    "rules of a valid configuration"
)


def find_violations(
    configuration: objects.Configuration,
) -> abc.Iterator[Violation]:
    """Yield what makes a configuration invalid."""
    for name in RULES:
        yield from RULES.get(name)(configuration)


def _rows(
    configuration: objects.Configuration, table: Table
) -> tuple[Any, ...]:
    """Return the objects of a table."""
    if table is Table.LIMITS:
        return (configuration.limits,)
    return getattr(configuration, table.value)


@RULES.register("numbers are within their bounds")
def _check_numbers(
    configuration: objects.Configuration,
) -> abc.Iterator[Violation]:
    for field, bound in BOUNDS_BY_FIELD.items():
        get_value = operator.attrgetter(field.name)
        rows = _rows(configuration, field.table)
        for row, value in enumerate(map(get_value, rows)):
            reason = "" if value is None else bound.find_reason(value)
            if reason:
                yield Violation(
                    field=field, row=row, value=value, reason=reason
                )


@RULES.register("names are given and unique")
def _check_names(
    configuration: objects.Configuration,
) -> abc.Iterator[Violation]:
    for table in (Table.ROUTES, Table.SERVICES, Table.WORKSPACES):
        seen: set[str] = set()
        for row, entry in enumerate(_rows(configuration, table)):
            if entry.name and entry.name not in seen:
                seen.add(entry.name)
                continue
            yield Violation(
                field=Field(table=table, name="name"),
                row=row,
                value=entry.name,
                reason="is used twice" if entry.name else "is empty",
            )


@RULES.register("routes can match")
def _check_matching(
    configuration: objects.Configuration,
) -> abc.Iterator[Violation]:
    seen: dict[tuple[str, str], ids.RouteName] = {}
    for row, route in enumerate(configuration.routes):
        if not route.host:
            yield _route_violation(row, "host", "", "is empty")
        prefix = route.path_prefix
        is_bounded = prefix.startswith(PREFIX_BOUNDARY) and prefix.endswith(
            PREFIX_BOUNDARY
        )
        if not is_bounded:
            reason = "must begin and end with a slash"
            yield _route_violation(row, "path_prefix", prefix, reason)
        former = seen.setdefault((route.host, prefix), route.name)
        if former != route.name:
            reason = f"route {former} has the same host and prefix"
            yield _route_violation(row, "path_prefix", prefix, reason)


@RULES.register("routes lead to services")
def _check_services(
    configuration: objects.Configuration,
) -> abc.Iterator[Violation]:
    names = {service.name for service in configuration.services}
    for row, route in enumerate(configuration.routes):
        if not route.traffic_split:
            reason = "names no service"
            yield _route_violation(row, "traffic_split", None, reason)
            continue
        for target in route.traffic_split:
            if target.service not in names:
                reason = "is not one of the services"
                yield _route_violation(
                    row, "traffic_split", target.service, reason
                )
        yield from _check_weights(row, route)


def _check_weights(row: int, route: objects.Route) -> abc.Iterator[Violation]:
    weights = [target.weight for target in route.traffic_split]
    for weight in weights:
        reason = NOT_NEGATIVE.find_reason(weight)
        if reason:
            yield _route_violation(
                row, "traffic_split", weight, f"a weight {reason}"
            )
    if not any(weights):
        reason = "the weights sum to nothing"
        yield _route_violation(row, "traffic_split", None, reason)


@RULES.register("a caller key is of one workspace")
def _check_keys(
    configuration: objects.Configuration,
) -> abc.Iterator[Violation]:
    holder_by_digest: dict[ids.KeyDigest, ids.WorkspaceId] = {}
    for row, workspace in enumerate(configuration.workspaces):
        for digest in workspace.key_digests:
            holder = holder_by_digest.setdefault(digest, workspace.name)
            if holder != workspace.name:
                yield Violation(
                    field=Field(table=Table.WORKSPACES, name="key_digests"),
                    row=row,
                    value=None,
                    reason=f"one is also a key of {holder}",
                )


def _route_violation(
    row: int, name: str, value: Any, reason: str
) -> Violation:
    return Violation(
        field=Field(table=Table.ROUTES, name=name),
        row=row,
        value=value,
        reason=reason,
    )
