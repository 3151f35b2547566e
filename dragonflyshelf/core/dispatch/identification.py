"""From a request to its workspace, service and shard."""

from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core.configuration import view
from dragonflyshelf.core.dispatch import exchanges
from dragonflyshelf.core.dispatch import messages as dispatch
from dragonflyshelf.core.dispatch import routes
from dragonflyshelf.core import errors
from dragonflyshelf.core import messages

IDEMPOTENT_METHODS = frozenset(
    {b"DELETE", b"GET", b"HEAD", b"OPTIONS", b"PUT"}
)


def identify(
    routing: view.RoutingView, event: dispatch.RequestArrived
) -> tuple[exchanges.Pending, objects.Workspace]:
    """Return what a request is for and whose it is, or raise."""
    if not routing.version:
        raise errors.StaleInstance("the configuration is not read yet")
    head = event.head
    name, key = routes.split_target(head.target)
    found = routing.routes_by_service.get(name)
    if found is None:
        raise errors.NoSuchService(f"no service {name!r}")
    workspace = _authenticate(routing, head, found.service)
    pending = exchanges.Pending(
        event=event,
        service=name,
        shard=routes.shard_of(found.service, key, head.headers),
        workspace=workspace.name,
    )
    return pending, workspace


def admitted(
    routing: view.RoutingView, pending: exchanges.Pending
) -> messages.Admitted:
    """Return what travels with a request that has its token."""
    service = routing.routes_by_service[pending.service].service
    return messages.Admitted(
        service=pending.service,
        workspace=pending.workspace,
        priority=service.priority,
        idempotent=pending.event.head.method in IDEMPOTENT_METHODS,
        shard=pending.shard,
    )


def _authenticate(
    routing: view.RoutingView,
    head: messages.RequestHead,
    service: objects.Service,
) -> objects.Workspace:
    name = routes.private_workspace(head, service)
    if name is None:
        key = routing.keys_by_digest.get(head.key_digest)
        if key is None or key.withdrawn:
            raise errors.CallerKeyRefused("caller key is not valid")
        name = key.workspace
    workspace = routing.workspaces_by_id.get(name)
    if workspace is None:
        raise errors.CallerKeyRefused("workspace does not exist")
    return workspace
