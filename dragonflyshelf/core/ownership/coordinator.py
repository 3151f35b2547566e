"""Leads upstreams, moves shards and plans, for one instance.

The conditional update of a segment decides between two instances that
change it at once.
"""

import dataclasses

from dragonflyshelf.core.configuration import objects as configuration
from dragonflyshelf.core.configuration import view
from dragonflyshelf.core.dispatch import fences
from dragonflyshelf.core.dispatch import messages as dispatch
from dragonflyshelf.core import ids
from dragonflyshelf.core import invariants
from dragonflyshelf.core.membership import objects as membership
from dragonflyshelf.core.ownership import grants
from dragonflyshelf.core.ownership import leading
from dragonflyshelf.core.ownership import messages
from dragonflyshelf.core.ownership import narration
from dragonflyshelf.core.ownership import objects
from dragonflyshelf.core.ownership import placement
from dragonflyshelf.core.ownership import planner
from dragonflyshelf.core.ownership import planners
from dragonflyshelf.core.ownership import releases
from dragonflyshelf.core.ownership import topology
from dragonflyshelf.core.platform import messages as platform
from dragonflyshelf.core import settings
from dragonflyshelf.core import states
from dragonflyshelf.core.timeline import events

Effects = list[
    dispatch.LeadershipsHeld
    | dispatch.SealShard
    | dispatch.UnsealShard
    | events.RecordEvent
    | messages.SendGrant
    | messages.SendRelease
    | messages.UpstreamStarted
    | platform.WriteObject
]
OWNED = states.ShardState.OWNED
UP = states.UpstreamState.UP
LOST = states.UpstreamState.LOST


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PendingWrite:
    """An update of a segment whose result is not known yet."""

    write_id: ids.WriteId
    before: objects.Segment
    after: objects.Segment


class OwnershipCoordinator:
    """Ownership as seen and changed by one instance."""

    def __init__(
        self,
        config: settings.Settings,
        own: membership.Member,
        shared_view: view.ObjectView,
    ) -> None:
        """Create the coordinator; it leads nothing yet."""
        self._config = config.ownership
        self._own = own
        self._view = shared_view
        self._led = leading.LedUpstreams(config)
        self._releases = releases.ShardReleases(
            self._led, self._config.grant_interval
        )
        self.grants = grants.GrantCoordinator(
            config, self._led, self._releases, shared_view
        )
        self._planner = planner.Planner(self._config)
        self._stand_ins = planners.StandIns(self._config.planner_patience)
        self._writes = 0
        self._pending_by_service: dict[ids.ServiceName, PendingWrite] = {}
        self._await_by_service: dict[ids.ServiceName, ids.Version] = {}
        self._epoch_by_shard: dict[
            tuple[ids.ServiceName, ids.ShardId], ids.Epoch
        ] = {}
        self._checked_by_service: dict[ids.ServiceName, ids.Version] = {}
        self._held: dispatch.LeadershipsHeld | None = None
        self._topology = topology.read(shared_view)
        self._topology_read = False
        self._ranked_by_service: dict[
            ids.ServiceName, tuple[ids.InstanceId, ...]
        ] = {}

    @property
    def leads_anything(self) -> bool:
        """Tell whether this instance leads an upstream."""
        return bool(self._led.led_by_upstream)

    def handle_view(self, own: membership.Member, now: ids.Instant) -> Effects:
        """Take in changed objects."""
        self._own = own
        self._topology_read = False
        self._check_epochs()
        members = frozenset(
            (one.instance, one.incarnation)
            for roster in self._view.values(states.ObjectKind.ROSTER)
            for one in roster.members
        )
        self._led.follow(self._own_leaderships(), members, now)
        self._led.hurry()
        return [*self._follow_releases(now), *self._publish_held()]

    def _publish_held(self) -> Effects:
        held = self.held()
        if held == self._held:
            return []
        self._held = held
        return [held]

    def handle_tick(
        self, lease_until: ids.Instant, now: ids.Instant
    ) -> Effects:
        """Do what is due; nothing without a running lease."""
        if now >= lease_until:
            return []
        return [
            *self._follow_releases(now),
            *self.grants.handle_tick(lease_until, now),
            *self._send_releases(now),
            *self._change_segments(now),
        ]

    def handle_granted(
        self, event: messages.GrantAnswered, now: ids.Instant
    ) -> Effects:
        """Take in the answer to a grant."""
        if not self._led.on_answer(event, now):
            return self._publish_held()
        return [
            *self._publish_held(),
            messages.UpstreamStarted(
                upstream=event.upstream, start_id=event.start_id
            ),
            events.RecordEvent(
                event=events.TimelineEvent(
                    kind=events.EventKind.GRANTED,
                    upstream=event.upstream,
                    term=event.given_term,
                )
            ),
        ]

    def handle_released(
        self, event: messages.ReleaseAnswered, now: ids.Instant
    ) -> Effects:
        """Take in the answer to a release."""
        self._releases.on_acknowledged(event)
        return []

    def handle_quiet(
        self, event: dispatch.ShardQuiet, now: ids.Instant
    ) -> Effects:
        """Take in that a sealed shard has nothing under way."""
        self._releases.on_quiet(event.key)
        return []

    def handle_write(
        self, event: platform.WriteFinished, now: ids.Instant
    ) -> Effects:
        """Take in the result of an update of a segment."""
        service = ids.ServiceName(event.key.name)
        pending = self._pending_by_service.get(service)
        if pending is None or pending.write_id != event.write_id:
            return []
        del self._pending_by_service[service]
        if event.result is not states.WriteResult.DONE:
            self._await_by_service[service] = event.version
            return []
        return list(narration.changes(pending.before, pending.after))

    def held(self) -> dispatch.LeadershipsHeld:
        """Return the leaderships that this instance may use."""
        return dispatch.LeadershipsHeld(
            held=tuple(
                dispatch.HeldLeadership(
                    upstream=leader.upstream,
                    term=leader.term,
                    not_before=ids.Instant(0.0),
                )
                for leader in self._own_leaderships()
                if not leader.next_instance
                and leader.upstream in self._led.led_by_upstream
                and not self._led.unproven(leader.upstream)
            )
        )

    def _segments(self) -> list[objects.Segment]:
        return self._view.values(states.ObjectKind.SEGMENT)

    def _is_own(self, leader: objects.Leadership) -> bool:
        return (
            leader.instance == self._own.instance
            and leader.incarnation == self._own.incarnation
        )

    def _own_leaderships(self) -> list[objects.Leadership]:
        return [
            leader
            for segment in self._segments()
            for leader in segment.leaders
            if self._is_own(leader)
        ]

    def _check_epochs(self) -> None:
        for segment in self._segments():
            version = self._view.version_of(
                states.ObjectKind.SEGMENT, segment.service
            )
            if self._checked_by_service.get(segment.service) == version:
                continue
            self._checked_by_service[segment.service] = version
            shards = [one.shard for one in segment.assignments]
            invariants.check(
                len(set(shards)) == len(shards),
                "a shard of %s has two owners",
                segment.service,
            )
            for one in segment.assignments:
                key = (segment.service, one.shard)
                known = self._epoch_by_shard.get(key, ids.Epoch(0))
                invariants.check(
                    one.epoch >= known, "epoch of shard %s fell", one.shard
                )
                self._epoch_by_shard[key] = one.epoch

    def _fenced(self, upstream: ids.UpstreamId) -> bool:
        known = self._view.get(states.ObjectKind.UPSTREAM, upstream)
        return known is not None and known.value.fenced

    def _follow_releases(self, now: ids.Instant) -> Effects:
        led = self._led.led_by_upstream
        lost = {one for one in led if self._led.is_lost(one, now)}
        wanted = {
            fences.ShardKey(
                service=segment.service, shard=one.shard, epoch=one.epoch
            ): (one.upstream, self._fenced(one.upstream))
            for segment in self._segments()
            for one in segment.assignments
            if one.upstream in led
            and (one.state is not OWNED or one.upstream in lost)
        }
        return list(self._releases.follow(wanted, now))

    def _send_releases(self, now: ids.Instant) -> Effects:
        effects: Effects = []
        for (upstream, service), shards in self._releases.due(now).items():
            known = self._view.get(states.ObjectKind.UPSTREAM, upstream)
            if known is None:
                continue
            effects.append(
                messages.SendRelease(
                    upstream=upstream,
                    service=service,
                    host=known.value.host,
                    port=known.value.port,
                    term=self._led.led_by_upstream[upstream].term,
                    shards=shards,
                )
            )
        return effects

    def _change_segments(self, now: ids.Instant) -> Effects:
        if not self._topology_read:
            self._topology = topology.read(self._view)
            self._topology_read = True
            self._ranked_by_service.clear()
        return [
            effect
            for service in self._view.values(states.ObjectKind.SERVICE)
            if self._may_write(service.name)
            for effect in self._change(service, now)
        ]

    def _may_write(self, service: ids.ServiceName) -> bool:
        if service in self._pending_by_service:
            return False
        version = self._view.version_of(states.ObjectKind.SEGMENT, service)
        return version >= self._await_by_service.get(service, version)

    def _change(
        self, service: configuration.Service, now: ids.Instant
    ) -> Effects:
        name = service.name
        known = self._view.get(states.ObjectKind.SEGMENT, name)
        present = objects.Segment(service=name)
        if known is not None:
            present = known.value
        changed = self._advance(present, now)
        if self._plans(service, changed, now):
            changed = self._planner.plan(changed, service, self._topology, now)
        if changed == present:
            return []
        return [self._write(present, changed)]

    def _plans(
        self,
        service: configuration.Service,
        present: objects.Segment,
        now: ids.Instant,
    ) -> bool:
        ranked = self._ranked(service.name)
        if self._own.instance not in ranked:
            return False
        rank = ranked.index(self._own.instance)
        due = rank > 0 and self._planner.is_due(
            present, service, self._topology
        )
        return self._stand_ins.may_plan(service.name, rank, due, now)

    def _ranked(self, service: ids.ServiceName) -> tuple[ids.InstanceId, ...]:
        """Return the planners, worked out once for each topology."""
        if service not in self._ranked_by_service:
            found = planners.ranked(service, self._topology)
            self._ranked_by_service[service] = found
        return self._ranked_by_service[service]

    def _advance(
        self, present: objects.Segment, now: ids.Instant
    ) -> objects.Segment:
        """Return the segment with what this leader may change."""
        leaders = tuple(self._lead(one, now) for one in present.leaders)
        assignments = tuple(
            self._finish(present.service, one, now)
            for one in present.assignments
        )
        assignments = self._rescue(present.service, leaders, assignments, now)
        return dataclasses.replace(
            present, leaders=leaders, assignments=assignments
        )

    def _lead(
        self, leader: objects.Leadership, now: ids.Instant
    ) -> objects.Leadership:
        led = self._led.led_by_upstream.get(leader.upstream)
        if led is None or led.term != leader.term or not self._is_own(leader):
            return leader
        if leader.next_instance and self._topology.serves(
            leader.next_instance
        ):
            return planner.hand_over(
                leader, leader.next_instance, self._topology
            )
        state = leader.upstream_state
        if self._led.is_lost(leader.upstream, now):
            state = LOST
        elif led.reached:
            state = UP
        return dataclasses.replace(leader, upstream_state=state)

    def _finish(
        self,
        service: ids.ServiceName,
        one: objects.Assignment,
        now: ids.Instant,
    ) -> objects.Assignment:
        """Give a released shard to its next owner."""
        if one.state is OWNED or one.upstream not in self._led.led_by_upstream:
            return one
        key = fences.ShardKey(
            service=service, shard=one.shard, epoch=one.epoch
        )
        if not self._releases.is_over(key, now):
            return one
        return _moved(one, one.next_upstream)

    def _rescue(
        self,
        service: ids.ServiceName,
        leaders: tuple[objects.Leadership, ...],
        assignments: tuple[objects.Assignment, ...],
        now: ids.Instant,
    ) -> tuple[objects.Assignment, ...]:
        """Spread the shards of lost upstreams over the others."""
        lost = {
            one
            for one in self._led.led_by_upstream
            if self._led.is_lost(one, now)
        }
        if not lost:
            return assignments
        usable = planner.usable_upstreams(
            leaders,
            self._topology.upstreams_by_service.get(service, ()),
            self._topology,
        )
        if not usable - lost:
            return assignments
        placed = placement.BoundedPlacement(
            service, usable - lost, len(assignments), self._config.load_bound
        )
        placed.count(one for one in assignments if one.upstream not in lost)
        return tuple(
            (
                self._rescued(service, one, placed, now)
                if one.upstream in lost
                else one
            )
            for one in assignments
        )

    def _rescued(
        self,
        service: ids.ServiceName,
        one: objects.Assignment,
        placed: placement.BoundedPlacement,
        now: ids.Instant,
    ) -> objects.Assignment:
        key = fences.ShardKey(
            service=service, shard=one.shard, epoch=one.epoch
        )
        if not self._releases.is_over(key, now):
            return one
        return _moved(one, placed.choose(one.shard))

    def _write(
        self, present: objects.Segment, segment: objects.Segment
    ) -> platform.WriteObject:
        self._writes += 1
        kind = states.ObjectKind.SEGMENT
        name = ids.ObjectName(segment.service)
        write = platform.WriteObject(
            key=platform.ObjectKey(kind=kind, name=name),
            expected=self._view.version_of(kind, name),
            write_id=ids.WriteId(
                f"{self._own.instance}-{self._own.incarnation}"
                f"-s{self._writes}"
            ),
            value=segment,
            attempts=1,
        )
        self._pending_by_service[segment.service] = PendingWrite(
            write_id=write.write_id, before=present, after=segment
        )
        return write


def _moved(
    one: objects.Assignment, target: ids.UpstreamId
) -> objects.Assignment:
    return dataclasses.replace(
        one,
        upstream=target,
        epoch=ids.Epoch(one.epoch + 1),
        state=OWNED,
        next_upstream=ids.UpstreamId(""),
    )
