"""Lookup of the route and workspace of a request."""

import dataclasses

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.routing import objects
from dragonflyshelf.core import states


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RouteMatch:
    """Route and workspace of one request."""

    route: objects.Route
    workspace: objects.Workspace | None
    version: ids.ConfigurationVersion

    @property
    def priority(self) -> int:
        """Return the priority of the request; 0 is the highest."""
        if self.workspace is None or self.workspace.priority is None:
            return self.route.priority
        return self.workspace.priority


class RouteTable:
    """Index of one configuration by host and path prefix.

    The cost of a lookup does not depend on the number of routes.
    """

    def __init__(self, configuration: objects.Configuration) -> None:
        """Build the index."""
        self.configuration = configuration
        self.services_by_name = {
            service.name: service for service in configuration.services
        }
        self.workspaces_by_name = {
            workspace.name: workspace for workspace in configuration.workspaces
        }
        self._workspaces_by_digest = {
            digest: workspace
            for workspace in configuration.workspaces
            for digest in workspace.key_digests
        }
        self._routes_by_prefix: dict[str, dict[str, objects.Route]] = {}
        for route in configuration.routes:
            routes_by_prefix = self._routes_by_prefix.setdefault(
                route.host, {}
            )
            routes_by_prefix[route.path_prefix] = route

    def match(self, host: str, path: str, digest: ids.KeyDigest) -> RouteMatch:
        """Return the route and workspace of a request.

        Raises ``ServiceNotFound`` if no route matches and
        ``CallerKeyRefused`` if the caller key is unknown.
        """
        route = self.find_route(host, path)
        if route is None:
            raise errors.ServiceNotFound("no route matches the host and path")
        workspace = None
        if self._needs_key(route):
            workspace = self._workspaces_by_digest.get(digest)
            if workspace is None:
                raise errors.CallerKeyRefused("unknown caller key")
        return RouteMatch(
            route=route,
            workspace=workspace,
            version=self.configuration.version,
        )

    def _needs_key(self, route: objects.Route) -> bool:
        is_private = self.configuration.access is states.Access.PRIVATE
        return is_private and not route.is_public

    def find_route(self, host: str, path: str) -> objects.Route | None:
        """Return the route with the longest matching path prefix."""
        routes_by_prefix = self._routes_by_prefix.get(host)
        if routes_by_prefix is None:
            return None
        slash = path.rfind("/")
        while slash >= 0:
            route = routes_by_prefix.get(path[: slash + 1])
            if route is not None:
                return route
            slash = path.rfind("/", 0, slash)
        return None
