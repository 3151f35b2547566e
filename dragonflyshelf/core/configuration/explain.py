"""What would happen to a key or a request now, and why.

The answer follows the order of a request's decisions on what this
instance knows; admission by rate and queue is shown by other tables.
"""

from collections import abc
import dataclasses
from typing import Final

from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core.configuration import view
from dragonflyshelf.core.dispatch import routes
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.language import statements
from dragonflyshelf.core import messages
from dragonflyshelf.core import registry
from dragonflyshelf.core import states


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExplainRow:
    """One decision; ``passes`` is False where the request ends."""

    step: str
    passes: bool
    finding: str


Rows = abc.Iterator[ExplainRow]
Explainer = abc.Callable[[view.RoutingView, view.ObjectView], Rows]
EXPLAINERS: Final[registry.Registry[type, abc.Callable[..., Rows]]] = (
    registry.Registry("explanations")
)


def explain(
    statement: statements.ExplainKey | statements.ExplainRequest,
    known: view.ObjectView,
) -> tuple[ExplainRow, ...]:
    """Return the decisions up to the first that ends the request."""
    routing = view.RoutingView()
    routing.rebuild(known)
    found = []
    for row in EXPLAINERS.get(type(statement))(statement, routing, known):
        found.append(row)
        if not row.passes:
            break
    return tuple(found)


def _row(step: states.Step, passes: bool, finding: str) -> ExplainRow:
    return ExplainRow(step=step.value, passes=passes, finding=finding)


@EXPLAINERS.register(statements.ExplainKey)
def explain_key(
    statement: statements.ExplainKey,
    routing: view.RoutingView,
    known: view.ObjectView,
) -> Rows:
    """Yield who owns a key."""
    yield from _service(statement.service, routing)
    service = routing.routes_by_service[statement.service].service
    key = statement.key.encode()
    yield from _owner(service, key, (), routing, known)


@EXPLAINERS.register(statements.ExplainRequest)
def explain_request(
    statement: statements.ExplainRequest,
    routing: view.RoutingView,
    known: view.ObjectView,
) -> Rows:
    """Yield what would become of a request without special headers."""
    name, key = routes.split_target(statement.target.encode())
    yield from _service(name, routing)
    service = routing.routes_by_service[name].service
    if statement.workspace:
        yield from _workspace(statement.workspace, service, routing)
    yield from _owner(service, key, (), routing, known)


def _service(name: ids.ServiceName, routing: view.RoutingView) -> Rows:
    found = routing.routes_by_service.get(name)
    if found is None:
        yield _row(states.Step.ROUTE, False, f"no service {name}: 404 DS102")
        return
    service = found.service
    yield _row(
        states.Step.ROUTE,
        True,
        f"service {name} is {service.access.value},"
        f" {service.priority.value}, key from {service.key_source.value}",
    )


def _workspace(
    name: ids.WorkspaceId,
    service: objects.Service,
    routing: view.RoutingView,
) -> Rows:
    workspace = routing.workspaces_by_id.get(name)
    if workspace is None:
        yield _row(
            states.Step.AUTHENTICATION,
            False,
            f"no workspace {name}, so no caller key of it: 401 DS101",
        )
        return
    keys = [
        one
        for one in routing.keys_by_digest.values()
        if one.workspace == name and not one.withdrawn
    ]
    usable = bool(keys) or service.access is states.Access.PRIVATE
    yield _row(
        states.Step.AUTHENTICATION,
        usable,
        f"workspace {name} has {len(keys)} caller keys that work",
    )
    yield _row(
        states.Step.LIMIT,
        True,
        f"rate {workspace.rate:g}/s, burst {workspace.burst:g},"
        f" weight {workspace.weight:g}; see the limits for what is left",
    )


def _owner(
    service: objects.Service,
    key: bytes,
    headers: tuple[messages.Header, ...],
    routing: view.RoutingView,
    known: view.ObjectView,
) -> Rows:
    if service.key_source is states.KeySource.NONE:
        upstreams = routing.routes_by_service[service.name].upstreams
        names = ", ".join(one.name for one in upstreams)
        yield _row(
            states.Step.ROUTE,
            bool(upstreams),
            f"no key; any of: {names}" if names else "no upstream: DS105",
        )
        return
    if service.key_source is states.KeySource.HEADER:
        headers = (messages.Header(name=routes.HEADER_KEY, value=key),)
    try:
        shard = routes.shard_of(service, key, headers)
    except errors.BadRequest as error:
        yield _row(states.Step.PARSE, False, str(error))
        return
    assignment = routing.routes_by_service[service.name].owners_by_shard.get(
        shard
    )
    if assignment is None:
        yield _row(
            states.Step.ROUTE, False, f"shard {shard} has no owner: DS104"
        )
        return
    yield _row(
        states.Step.ROUTE,
        assignment.state is states.ShardState.OWNED,
        f"shard {shard} belongs to {assignment.upstream} with epoch"
        f" {assignment.epoch} and is {assignment.state.value}",
    )
    yield from _leader(assignment.upstream, routing, known)


def _leader(
    name: ids.UpstreamId, routing: view.RoutingView, known: view.ObjectView
) -> Rows:
    upstream = routing.upstreams_by_id.get(name)
    leader = routing.leaders_by_upstream.get(name)
    if upstream is None or leader is None:
        yield _row(
            states.Step.ROUTE, False, f"upstream {name} has no leader: DS104"
        )
        return
    members = {(one.instance, one.incarnation) for one in routing.members}
    alive = (leader.instance, leader.incarnation) in members
    yield _row(
        states.Step.FORWARD,
        alive,
        f"{leader.instance} leads {name} with term {leader.term} and is"
        f" {'in' if alive else 'no longer in'} the roster",
    )
    centre = known.get(states.ObjectKind.DATA_CENTRE, upstream.data_centre)
    state = centre.value.state if centre else states.AdminState.IN_SERVICE
    yield _row(
        states.Step.SEND,
        True,
        f"upstream {name} is {upstream.state.value}, its data centre"
        f" {upstream.data_centre} is {state.value}",
    )
