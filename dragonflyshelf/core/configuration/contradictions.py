"""What is valid in a configuration but contradicts itself.

Each check looks at one subject. The findings are warnings: a version with
them is used.
"""

from collections import abc
from typing import Final

from dragonflyshelf.core.configuration import findings
from dragonflyshelf.core.configuration import validity
from dragonflyshelf.core.quota import bucket
from dragonflyshelf.core import registry
from dragonflyshelf.core.routing import objects
from dragonflyshelf.core import states

UNMATCHED_CHARACTERS: Final = frozenset("?#")
"""Characters that no path of a request contains."""

PORT_SEPARATOR: Final = ":"

Check = abc.Callable[[objects.Configuration], abc.Iterator[findings.Finding]]

CHECKS: Final[registry.Registry[str, Check]] = registry.Registry(
    "checks for contradictions"
)


def find_contradictions(
    configuration: objects.Configuration,
) -> abc.Iterator[findings.Finding]:
    """Yield what contradicts itself in a valid configuration."""
    for name in CHECKS:
        yield from CHECKS.get(name)(configuration)


def _warn(
    table: validity.Table, name: str, row: int, text: str
) -> findings.Finding:
    return findings.Finding(
        severity=findings.Severity.WARNING,
        text=text,
        field=validity.Field(table=table, name=name),
        row=row,
    )


@CHECKS.register("times of routes")
def _check_times(
    configuration: objects.Configuration,
) -> abc.Iterator[findings.Finding]:
    for row, route in enumerate(configuration.routes):
        if route.timeout < route.latency_objective:
            yield _warn(
                validity.Table.ROUTES,
                "timeout",
                row,
                f"route {route.name} is timed out after {route.timeout:g} s,"
                f" before its objective of {route.latency_objective:g} s",
            )


@CHECKS.register("routes that never match")
def _check_matching(
    configuration: objects.Configuration,
) -> abc.Iterator[findings.Finding]:
    for row, route in enumerate(configuration.routes):
        if UNMATCHED_CHARACTERS & set(route.path_prefix):
            yield _warn(
                validity.Table.ROUTES,
                "path_prefix",
                row,
                f"route {route.name} can never match: no path of a request"
                " contains ? or #",
            )
        if PORT_SEPARATOR in route.host:
            yield _warn(
                validity.Table.ROUTES,
                "host",
                row,
                f"route {route.name} can never match: hosts are compared"
                " without their port",
            )


@CHECKS.register("parts of splits")
def _check_splits(
    configuration: objects.Configuration,
) -> abc.Iterator[findings.Finding]:
    for row, route in enumerate(configuration.routes):
        for target in route.traffic_split:
            if not target.weight:
                yield _warn(
                    validity.Table.ROUTES,
                    "traffic_split",
                    row,
                    f"route {route.name} sends nothing to {target.service}:"
                    " its weight is 0",
                )


@CHECKS.register("services without a route")
def _check_services(
    configuration: objects.Configuration,
) -> abc.Iterator[findings.Finding]:
    used = {
        target.service
        for route in configuration.routes
        for target in route.traffic_split
    }
    for row, service in enumerate(configuration.services):
        if service.name not in used:
            yield _warn(
                validity.Table.SERVICES,
                "name",
                row,
                f"no route leads to service {service.name}",
            )
        if service.warmup_seconds and not service.warmup_rate:
            yield _warn(
                validity.Table.SERVICES,
                "warmup_rate",
                row,
                f"nothing is sent to an upstream of {service.name} for"
                f" {service.warmup_seconds:g} s after its start",
            )


@CHECKS.register("limits of workspaces")
def _check_rates(
    configuration: objects.Configuration,
) -> abc.Iterator[findings.Finding]:
    for row, workspace in enumerate(configuration.workspaces):
        if workspace.rate and not workspace.burst:
            capacity = bucket.find_capacity(workspace.rate, workspace.burst)
            yield _warn(
                validity.Table.WORKSPACES,
                "burst",
                row,
                f"workspace {workspace.name} has a rate of"
                f" {workspace.rate:g}/s and no burst:"
                f" {capacity:g} requests at once are admitted",
            )
        if workspace.burst and not workspace.rate:
            yield _warn(
                validity.Table.WORKSPACES,
                "rate",
                row,
                f"workspace {workspace.name} has a burst of"
                f" {workspace.burst:g} and no rate: it has no limit",
            )


@CHECKS.register("who is let in")
def _check_access(
    configuration: objects.Configuration,
) -> abc.Iterator[findings.Finding]:
    if configuration.access is states.Access.OPEN:
        return
    for row, workspace in enumerate(configuration.workspaces):
        if not workspace.key_digests:
            yield _warn(
                validity.Table.WORKSPACES,
                "key_digests",
                row,
                f"workspace {workspace.name} has no caller key",
            )
    if not any(
        workspace.key_digests for workspace in configuration.workspaces
    ):
        yield findings.Finding(
            severity=findings.Severity.WARNING,
            text="there is no caller key: nobody is let in on routes that"
            " are not public",
        )


@CHECKS.register("nothing is served")
def _check_routes(
    configuration: objects.Configuration,
) -> abc.Iterator[findings.Finding]:
    if not configuration.routes:
        yield findings.Finding(
            severity=findings.Severity.WARNING,
            text="there is no route: every request gets 404",
        )
