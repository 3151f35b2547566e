"""What a version of the configuration changes, in an operator's words.

Each comparer looks at one subject. What lets someone in who was not, or may
make a request run twice, is a warning; the rest are notes.
"""

from collections import abc
import dataclasses
from typing import Final

from dragonflyshelf.core.configuration import findings
from dragonflyshelf.core import ids
from dragonflyshelf.core import registry
from dragonflyshelf.core.routing import objects
from dragonflyshelf.core.routing import table
from dragonflyshelf.core import states

Severity = findings.Severity
RouteKey = tuple[str, str]
"""Host and path prefix, by which requests find a route."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Versions:
    """The version in force, and a newer one that is to replace it."""

    current: objects.Configuration
    newer: objects.Configuration


Comparer = abc.Callable[[Versions], abc.Iterator[findings.Finding]]

COMPARERS: Final[registry.Registry[str, Comparer]] = registry.Registry(
    "comparers of configurations"
)


def find_differences(versions: Versions) -> abc.Iterator[findings.Finding]:
    """Yield what the newer version changes."""
    for name in COMPARERS:
        yield from COMPARERS.get(name)(versions)


def _note(text: str) -> findings.Finding:
    return findings.Finding(severity=Severity.NOTE, text=text)


def _warn(text: str) -> findings.Finding:
    return findings.Finding(severity=Severity.WARNING, text=text)


@COMPARERS.register("access")
def _compare_access(versions: Versions) -> abc.Iterator[findings.Finding]:
    current, newer = versions.current.access, versions.newer.access
    if current is newer:
        return
    if newer is states.Access.OPEN:
        yield _warn("everyone is let in on every route, without a caller key")
    else:
        yield _note("a caller key is needed on all routes but public ones")


def _routes_by_key(
    configuration: objects.Configuration,
) -> dict[RouteKey, objects.Route]:
    return {
        (route.host, route.path_prefix): route
        for route in configuration.routes
    }


def _label(route: objects.Route) -> str:
    return f"route {route.name} ({route.host}{route.path_prefix})"


def _describe_split(route: objects.Route) -> str:
    """Return the services of a route, with their shares if it has several."""
    if len(route.traffic_split) == 1:
        return route.traffic_split[0].service
    total = sum(target.weight for target in route.traffic_split)
    return ", ".join(
        f"{target.service} {100 * target.weight / total:.3g}%"
        for target in route.traffic_split
    )


@COMPARERS.register("opened routes")
def _compare_opened(versions: Versions) -> abc.Iterator[findings.Finding]:
    current_routes = _routes_by_key(versions.current)
    current_table = table.RouteTable(versions.current)
    is_private = versions.newer.access is states.Access.PRIVATE
    for key, route in _routes_by_key(versions.newer).items():
        if key in current_routes:
            continue
        former = current_table.find_route(*key)
        origin = f", was part of {_label(former)}" if former else ""
        text = f"opened: {_label(route)} to {_describe_split(route)}{origin}"
        if is_private and route.is_public:
            yield _warn(f"{text}; needs no caller key")
        else:
            yield _note(text)


@COMPARERS.register("closed routes")
def _compare_closed(versions: Versions) -> abc.Iterator[findings.Finding]:
    newer_routes = _routes_by_key(versions.newer)
    newer_table = table.RouteTable(versions.newer)
    for key, route in _routes_by_key(versions.current).items():
        if key in newer_routes:
            continue
        successor = newer_table.find_route(*key)
        if successor is None:
            yield _note(f"closed: {_label(route)}, now 404")
        else:
            yield _note(
                f"closed: {_label(route)}, now part of {_label(successor)}"
            )


def _kept_routes(
    versions: Versions,
) -> abc.Iterator[tuple[objects.Route, objects.Route]]:
    """Yield the current and the newer form of each route that stays."""
    newer_routes = _routes_by_key(versions.newer)
    for key, route in _routes_by_key(versions.current).items():
        if key in newer_routes:
            yield route, newer_routes[key]


@COMPARERS.register("redirected routes")
def _compare_splits(versions: Versions) -> abc.Iterator[findings.Finding]:
    for current, newer in _kept_routes(versions):
        if current.traffic_split != newer.traffic_split:
            yield _note(
                f"redirected: {_label(newer)} to {_describe_split(newer)},"
                f" was {_describe_split(current)}"
            )


@COMPARERS.register("who may call a route")
def _compare_public(versions: Versions) -> abc.Iterator[findings.Finding]:
    for current, newer in _kept_routes(versions):
        if newer.is_public and not current.is_public:
            yield _warn(f"{_label(newer)} needs no caller key any more")
        elif current.is_public and not newer.is_public:
            yield _note(f"{_label(newer)} needs a caller key now")


@COMPARERS.register("kinds of routes")
def _compare_kinds(versions: Versions) -> abc.Iterator[findings.Finding]:
    for current, newer in _kept_routes(versions):
        if current.kind is newer.kind:
            continue
        text = (
            f"{_label(newer)} is of kind {newer.kind.value},"
            f" was {current.kind.value}"
        )
        if newer.kind.is_idempotent and not current.kind.is_idempotent:
            yield _warn(f"{text}: its requests may run more than once")
        else:
            yield _note(text)


ROUTE_NUMBERS: Final = {
    "timeout": "timeout in seconds",
    "latency_objective": "objective in seconds",
    "priority": "priority",
    "max_attempts": "attempts at most",
}
SERVICE_NUMBERS: Final = {
    "max_connections": "connections at most",
    "warmup_seconds": "warm-up in seconds",
    "warmup_rate": "requests a second in warm-up",
    "is_sharded": "sharded",
}
LIMIT_NUMBERS: Final = {
    "head_bytes": "bytes of a head",
    "body_bytes": "bytes of a body",
    "head_timeout": "seconds for a head",
    "idle_timeout": "seconds idle",
}


def _compare_numbers(
    label: str,
    words_by_field: dict[str, str],
    current: object,
    newer: object,
) -> abc.Iterator[findings.Finding]:
    """Yield a note for each field that has another value."""
    for field, words in words_by_field.items():
        former, value = getattr(current, field), getattr(newer, field)
        if former != value:
            yield _note(f"{label}: {words} {value}, was {former}")


@COMPARERS.register("numbers of routes")
def _compare_routes(versions: Versions) -> abc.Iterator[findings.Finding]:
    for current, newer in _kept_routes(versions):
        if current.name != newer.name:
            yield _note(f"{_label(newer)} was named {current.name}")
        yield from _compare_numbers(
            _label(newer), ROUTE_NUMBERS, current, newer
        )


@COMPARERS.register("services")
def _compare_services(versions: Versions) -> abc.Iterator[findings.Finding]:
    newer_by_name = {entry.name: entry for entry in versions.newer.services}
    current_by_name = {
        entry.name: entry for entry in versions.current.services
    }
    for name, newer in newer_by_name.items():
        current = current_by_name.get(name)
        if current is None:
            yield _note(f"service {name} is added")
        else:
            yield from _compare_numbers(
                f"service {name}", SERVICE_NUMBERS, current, newer
            )
    for name in current_by_name:
        if name not in newer_by_name:
            yield _note(f"service {name} is removed")


def _holders(
    configuration: objects.Configuration,
) -> dict[ids.KeyDigest, ids.WorkspaceId]:
    """Return the workspace of each caller key."""
    return {
        digest: workspace.name
        for workspace in configuration.workspaces
        for digest in workspace.key_digests
    }


def _count_keys(count: int) -> str:
    return "1 caller key" if count == 1 else f"{count} caller keys"


@COMPARERS.register("caller keys")
def _compare_keys(versions: Versions) -> abc.Iterator[findings.Finding]:
    """Yield how many keys of which workspace changed, without any key."""
    current, newer = _holders(versions.current), _holders(versions.newer)
    counts: dict[tuple[ids.WorkspaceId | None, ids.WorkspaceId | None], int]
    counts = {}
    for digest in {**current, **newer}:
        change = (current.get(digest), newer.get(digest))
        if change[0] != change[1]:
            counts[change] = counts.get(change, 0) + 1
    for (former, holder), count in counts.items():
        keys = _count_keys(count)
        if holder is None:
            yield _note(f"withdrawn: {keys} of workspace {former}")
        elif former is None:
            yield _note(f"let in: {keys} of workspace {holder}")
        else:
            yield _warn(f"now of {holder}: {keys} of workspace {former}")
    if current and not newer:
        yield _warn("withdrawn: all caller keys; nobody has one any more")


def _describe_limit(workspace: objects.Workspace) -> str:
    if not workspace.rate:
        return "no limit"
    return f"{workspace.rate:g}/s with a burst of {workspace.burst:g}"


@COMPARERS.register("workspaces")
def _compare_workspaces(versions: Versions) -> abc.Iterator[findings.Finding]:
    newer_by_name = {entry.name: entry for entry in versions.newer.workspaces}
    current_by_name = {
        entry.name: entry for entry in versions.current.workspaces
    }
    for name, newer in newer_by_name.items():
        current = current_by_name.get(name)
        if current is None:
            yield _note(f"workspace {name} is added, {_describe_limit(newer)}")
            continue
        if _describe_limit(current) != _describe_limit(newer):
            finding = _warn if not newer.rate else _note
            yield finding(
                f"workspace {name}: {_describe_limit(newer)},"
                f" was {_describe_limit(current)}"
            )
        if current.priority != newer.priority:
            yield _note(
                f"workspace {name}: {_describe_priority(newer)},"
                f" was {_describe_priority(current)}"
            )
    for name in current_by_name:
        if name not in newer_by_name:
            yield _note(f"workspace {name} is removed")


def _describe_priority(workspace: objects.Workspace) -> str:
    if workspace.priority is None:
        return "priority of the route"
    return f"priority {workspace.priority}"


@COMPARERS.register("limits")
def _compare_limits(versions: Versions) -> abc.Iterator[findings.Finding]:
    yield from _compare_numbers(
        "limits", LIMIT_NUMBERS, versions.current.limits, versions.newer.limits
    )
