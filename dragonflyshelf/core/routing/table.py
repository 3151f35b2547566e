"""Lookup of a request's route, service and workspace."""

import dataclasses

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.routing import objects


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Match:
    """What the configuration says of one request."""

    route: objects.Route
    workspace: objects.Workspace | None
    version: ids.ConfigurationVersion

    @property
    def priority(self) -> int:
        """Return the rank of the request; 0 is the most urgent."""
        if self.workspace is None or self.workspace.priority is None:
            return self.route.priority
        return self.workspace.priority


class RouteTable:
    """Index of one configuration; a lookup does not grow with routes."""

    def __init__(self, configuration: objects.Configuration) -> None:
        """Build the index."""
        self.configuration = configuration
        self.services_by_name = {
            one.name: one for one in configuration.services
        }
        self.workspaces_by_name = {
            one.name: one for one in configuration.workspaces
        }
        self._workspaces_by_digest = {
            digest: one
            for one in configuration.workspaces
            for digest in one.keys
        }
        self._routes_by_prefix: dict[str, dict[str, objects.Route]] = {}
        for route in configuration.routes:
            by_prefix = self._routes_by_prefix.setdefault(route.host, {})
            by_prefix[route.prefix] = route

    def match(self, host: str, path: str, digest: ids.KeyDigest) -> Match:
        """Return route and workspace of a request.

        Raises ``ServiceNotFound`` without a route and ``CallerKeyRefused``
        when the caller key is unknown.
        """
        route = self._find(host, path)
        if route is None:
            raise errors.ServiceNotFound("no route has this host and path")
        workspace = None
        if self.configuration.workspaces and not route.is_public:
            workspace = self._workspaces_by_digest.get(digest)
            if workspace is None:
                raise errors.CallerKeyRefused("caller key is not known")
        return Match(
            route=route,
            workspace=workspace,
            version=self.configuration.version,
        )

    def _find(self, host: str, path: str) -> objects.Route | None:
        """Return the route with the longest prefix of the path."""
        by_prefix = self._routes_by_prefix.get(host)
        if by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
