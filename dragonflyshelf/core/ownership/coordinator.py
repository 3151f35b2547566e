"""Proposes leaders of upstreams and owners of shards.

One instance plans at a time; the conditional update decides between two
that both believe they do.
"""

import dataclasses

import xxhash

from dragonflyshelf.core.configuration import objects as configuration
from dragonflyshelf.core.configuration import view
from dragonflyshelf.core.dispatch import messages as dispatch
from dragonflyshelf.core import ids
from dragonflyshelf.core.membership import objects as membership
from dragonflyshelf.core.ownership import objects
from dragonflyshelf.core.platform import messages as platform
from dragonflyshelf.core import states

Effects = list[platform.WriteObject]


def weight(candidate: str, subject: str) -> int:
    """Return the rendezvous weight of a candidate for a subject."""
    return xxhash.xxh3_64_intdigest(f"{candidate}/{subject}".encode())


class OwnershipCoordinator:
    """Ownership as planned by one instance."""

    def __init__(
        self, own: membership.Member, shared_view: view.ObjectView
    ) -> None:
        """Create the coordinator."""
        self._own = own
        self._view = shared_view
        self._writes = 0
        self._pending_by_service: dict[ids.ServiceName, ids.WriteId] = {}

    def handle_tick(
        self, members: tuple[membership.Member, ...], now: ids.Instant
    ) -> Effects:
        """Propose changed segments if this instance plans."""
        names = sorted(one.instance for one in members)
        if not names or names[0] != self._own.instance:
            return []
        return [
            effect
            for service in self._view.values(states.ObjectKind.SERVICE)
            if service.name not in self._pending_by_service
            for effect in self._plan(service, members)
        ]

    def handle_write(
        self, event: platform.WriteFinished, now: ids.Instant
    ) -> Effects:
        """Take in the result of an update of a segment."""
        service = ids.ServiceName(event.key.name)
        if self._pending_by_service.get(service) == event.write_id:
            del self._pending_by_service[service]
        return []

    def held(self) -> dispatch.LeadershipsHeld:
        """Return the leaderships that this instance may use."""
        own = (self._own.instance, self._own.incarnation)
        held = tuple(
            dispatch.HeldLeadership(
                upstream=leader.upstream,
                term=leader.term,
                not_before=ids.Instant(0.0),
            )
            for segment in self._view.values(states.ObjectKind.SEGMENT)
            for leader in segment.leaders
            if (leader.instance, leader.incarnation) == own
        )
        return dispatch.LeadershipsHeld(held=held)

    def _plan(
        self,
        service: configuration.Service,
        members: tuple[membership.Member, ...],
    ) -> Effects:
        known = self._view.get(states.ObjectKind.SEGMENT, service.name)
        present = objects.Segment(service=service.name)
        if known is not None:
            present = known.value
        upstreams = [
            one
            for one in self._view.values(states.ObjectKind.UPSTREAM)
            if one.service == service.name
            and one.state is states.AdminState.IN_SERVICE
        ]
        planned = dataclasses.replace(
            present,
            leaders=plan_leaders(present, upstreams, members),
            assignments=plan_owners(present, service, upstreams),
        )
        if planned == present:
            return []
        return [self._write(planned)]

    def _write(self, segment: objects.Segment) -> platform.WriteObject:
        self._writes += 1
        kind = states.ObjectKind.SEGMENT
        name = ids.ObjectName(segment.service)
        write_id = ids.WriteId(
            f"{self._own.instance}-{self._own.incarnation}-s{self._writes}"
        )
        self._pending_by_service[segment.service] = write_id
        return platform.WriteObject(
            key=platform.ObjectKey(kind=kind, name=name),
            expected=self._view.version_of(kind, name),
            write_id=write_id,
            value=segment,
        )


def plan_leaders(
    present: objects.Segment,
    upstreams: list[configuration.Upstream],
    members: tuple[membership.Member, ...],
) -> tuple[objects.Leadership, ...]:
    """Return the leaders, changed only where the leader is gone."""
    alive = {(one.instance, one.incarnation) for one in members}
    present_by_upstream = {one.upstream: one for one in present.leaders}
    planned = []
    for upstream in upstreams:
        leader = present_by_upstream.get(upstream.name)
        if leader and (leader.instance, leader.incarnation) in alive:
            planned.append(leader)
            continue
        chosen = max(
            members, key=lambda one: weight(one.instance, upstream.name)
        )
        term = ids.Term(leader.term + 1 if leader else 1)
        planned.append(
            objects.Leadership(
                upstream=upstream.name,
                instance=chosen.instance,
                incarnation=chosen.incarnation,
                term=term,
            )
        )
    return tuple(planned)


def plan_owners(
    present: objects.Segment,
    service: configuration.Service,
    upstreams: list[configuration.Upstream],
) -> tuple[objects.Assignment, ...]:
    """Return the owners, changed only where the owner is gone."""
    if service.key_source is states.KeySource.NONE or not upstreams:
        return present.assignments
    usable = {one.name for one in upstreams}
    present_by_shard = {one.shard: one for one in present.assignments}
    planned = []
    for number in range(service.shards):
        shard = ids.ShardId(number)
        owner = present_by_shard.get(shard)
        if owner is not None and owner.upstream in usable:
            planned.append(owner)
            continue
        chosen = max(
            usable, key=lambda one: weight(one, f"{service.name}/{shard}")
        )
        epoch = ids.Epoch(owner.epoch + 1 if owner else 1)
        planned.append(
            objects.Assignment(shard=shard, upstream=chosen, epoch=epoch)
        )
    return tuple(planned)
