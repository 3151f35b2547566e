"""What this instance knows of the platform's objects.

A value of an older version never replaces a newer one, so that a stale
list or watch cannot revert what was in force.
"""

import dataclasses
from typing import Any

from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core import ids
from dragonflyshelf.core.membership import objects as membership
from dragonflyshelf.core.ownership import objects as ownership
from dragonflyshelf.core.platform import messages
from dragonflyshelf.core import states


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Known:
    """Version and value of an object; the value None is a deletion."""

    version: ids.Version
    value: Any


class ObjectView:
    """Latest known value of every object."""

    def __init__(self) -> None:
        """Create an empty view."""
        self.version = ids.Version(0)
        self._known_by_key: dict[messages.ObjectKey, Known] = {}

    def apply(
        self, event: messages.ObjectChanged | messages.ObjectDeleted
    ) -> bool:
        """Take in an event; return whether it changed the view."""
        known = self._known_by_key.get(event.key)
        if known is not None and known.version >= event.version:
            return False
        value = getattr(event, "value", None)
        self._known_by_key[event.key] = Known(
            version=event.version, value=value
        )
        self.version = max(self.version, event.version)
        return True

    def missing_from(
        self, listed: messages.ObjectsListed
    ) -> tuple[messages.ObjectDeleted, ...]:
        """Return deletions of known objects that a list no longer has."""
        present = {one.key for one in listed.objects}
        return tuple(
            messages.ObjectDeleted(key=key, version=listed.version)
            for key, known in self._known_by_key.items()
            if known.value is not None
            and key.kind in listed.kinds
            and key not in present
            and known.version < listed.version
        )

    def get(self, kind: states.ObjectKind, name: str) -> Known | None:
        """Return an object that exists."""
        key = messages.ObjectKey(kind=kind, name=ids.ObjectName(name))
        known = self._known_by_key.get(key)
        if known is None or known.value is None:
            return None
        return known

    def known(self) -> list[tuple[messages.ObjectKey, Known]]:
        """Return every object, deleted ones with the value None."""
        return list(self._known_by_key.items())

    def version_of(self, kind: states.ObjectKind, name: str) -> ids.Version:
        """Return the version to expect in an update; 0 for none."""
        known = self.get(kind, name)
        return known.version if known else ids.Version(0)

    def applied_version(self, key: messages.ObjectKey) -> ids.Version:
        """Return the version at which an object is known here.

        An object that was never seen is known not to exist as of the
        version of the view.
        """
        known = self._known_by_key.get(key)
        return known.version if known else self.version

    def values(self, kind: states.ObjectKind) -> list[Any]:
        """Return all values of a kind in the order of their names."""
        found = [
            (key.name, known.value)
            for key, known in self._known_by_key.items()
            if key.kind is kind and known.value is not None
        ]
        return [value for _, value in sorted(found, key=lambda one: one[0])]


@dataclasses.dataclass(kw_only=True, slots=True)
class ServiceRoutes:
    """Where requests to one service may go."""

    service: objects.Service
    owners_by_shard: dict[ids.ShardId, ownership.Assignment]
    upstreams: list[objects.Upstream]


class RoutingView:
    """The view in the form that a request needs."""

    def __init__(self) -> None:
        """Create an empty view."""
        self.version = ids.Version(0)
        self.keys_by_digest: dict[ids.KeyDigest, objects.CallerKey] = {}
        self.leaders_by_upstream: dict[
            ids.UpstreamId, ownership.Leadership
        ] = {}
        self.members: tuple[membership.Member, ...] = ()
        self.routes_by_service: dict[ids.ServiceName, ServiceRoutes] = {}
        self.upstreams_by_id: dict[ids.UpstreamId, objects.Upstream] = {}
        self.workspaces_by_id: dict[ids.WorkspaceId, objects.Workspace] = {}
        self._closed_data_centres: frozenset[ids.DataCentreId] = frozenset()
        self._usable_by_service: dict[
            ids.ServiceName, list[objects.Upstream]
        ] = {}

    def usable_upstreams(
        self, service: ids.ServiceName
    ) -> list[objects.Upstream]:
        """Return the upstreams that may be given new work without key."""
        return self._usable_by_service.get(service, [])

    def _is_usable(self, upstream: objects.Upstream) -> bool:
        leader = self.leaders_by_upstream.get(upstream.name)
        return (
            leader is not None
            and leader.upstream_state is states.UpstreamState.UP
            and upstream.state is states.AdminState.IN_SERVICE
            and upstream.data_centre not in self._closed_data_centres
        )

    def rebuild(self, view: ObjectView) -> None:
        """Take over everything from the object view."""
        kinds = states.ObjectKind
        self.version = view.version
        self.keys_by_digest = {
            one.digest: one for one in view.values(kinds.CALLER_KEY)
        }
        self.members = tuple(
            member
            for roster in view.values(kinds.ROSTER)
            for member in roster.members
        )
        self.upstreams_by_id = {
            one.name: one for one in view.values(kinds.UPSTREAM)
        }
        self.workspaces_by_id = {
            one.name: one for one in view.values(kinds.WORKSPACE)
        }
        segments = view.values(kinds.SEGMENT)
        self.leaders_by_upstream = {
            leader.upstream: leader
            for segment in segments
            for leader in segment.leaders
        }
        self.routes_by_service = {
            service.name: self._routes(service, segments)
            for service in view.values(kinds.SERVICE)
        }
        self._closed_data_centres = frozenset(
            one.name
            for one in view.values(kinds.DATA_CENTRE)
            if one.state is not states.AdminState.IN_SERVICE
        )
        self._usable_by_service = {
            name: [one for one in found.upstreams if self._is_usable(one)]
            for name, found in self.routes_by_service.items()
        }

    def _routes(
        self, service: objects.Service, segments: list[ownership.Segment]
    ) -> ServiceRoutes:
        owners = {
            one.shard: one
            for segment in segments
            if segment.service == service.name
            for one in segment.assignments
        }
        upstreams = [
            one
            for one in self.upstreams_by_id.values()
            if one.service == service.name
        ]
        return ServiceRoutes(
            service=service, owners_by_shard=owners, upstreams=upstreams
        )
