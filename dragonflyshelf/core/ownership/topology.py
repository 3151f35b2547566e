"""Which instances and upstreams may take new work."""

import dataclasses

from dragonflyshelf.core.configuration import objects as configuration
from dragonflyshelf.core.configuration import view
from dragonflyshelf.core import ids
from dragonflyshelf.core.membership import objects as membership
from dragonflyshelf.core import states

IN_SERVICE = states.AdminState.IN_SERVICE


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Topology:
    """Members and upstreams, and which of them are in service.

    ``members`` are all instances with a lease that may run; ``serving``
    are those that may be given more to lead.
    """

    members: tuple[membership.Member, ...]
    serving: tuple[membership.Member, ...]
    homes_by_instance: dict[ids.InstanceId, ids.DataCentreId]
    upstreams_by_service: dict[
        ids.ServiceName, tuple[configuration.Upstream, ...]
    ]
    closed_data_centres: frozenset[ids.DataCentreId]

    def is_member(
        self, instance: ids.InstanceId, incarnation: ids.Incarnation
    ) -> bool:
        """Tell whether an instance is in a roster under this start."""
        return any(
            one.instance == instance and one.incarnation == incarnation
            for one in self.members
        )

    def may_own(self, upstream: configuration.Upstream) -> bool:
        """Tell whether operators let an upstream take shards."""
        return (
            upstream.state is IN_SERVICE
            and upstream.data_centre not in self.closed_data_centres
        )

    def is_silent(
        self, instance: ids.InstanceId, incarnation: ids.Incarnation
    ) -> bool:
        """Tell whether a member has not renewed for too long."""
        return any(
            one.silent
            for one in self.members
            if one.instance == instance and one.incarnation == incarnation
        )

    def serves(self, instance: ids.InstanceId) -> bool:
        """Tell whether an instance may lead."""
        return any(one.instance == instance for one in self.serving)


def read(objects: view.ObjectView) -> Topology:
    """Return the topology that the view has now."""
    kinds = states.ObjectKind
    closed = frozenset(
        one.name
        for one in objects.values(kinds.DATA_CENTRE)
        if one.state is not IN_SERVICE
    )
    closed_instances = {
        one.name
        for one in objects.values(kinds.INSTANCE)
        if one.state is not IN_SERVICE
    }
    rosters = objects.values(kinds.ROSTER)
    members = tuple(member for roster in rosters for member in roster.members)
    homes = {
        member.instance: roster.data_centre
        for roster in rosters
        for member in roster.members
    }
    upstreams: dict[ids.ServiceName, list[configuration.Upstream]] = {}
    for one in objects.values(kinds.UPSTREAM):
        upstreams.setdefault(one.service, []).append(one)
    return Topology(
        members=members,
        serving=tuple(
            one
            for one in members
            if one.instance not in closed_instances
            and homes[one.instance] not in closed
            and not one.leaving
            and not one.silent
        ),
        homes_by_instance=homes,
        upstreams_by_service={
            name: tuple(found) for name, found in upstreams.items()
        },
        closed_data_centres=closed,
    )
