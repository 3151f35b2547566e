"""What one instance plans for a service: leaders, owners and moves."""

import dataclasses

from dragonflyshelf.core.configuration import objects as configuration
from dragonflyshelf.core import ids
from dragonflyshelf.core import invariants
from dragonflyshelf.core.ownership import objects
from dragonflyshelf.core.ownership import placement
from dragonflyshelf.core.ownership import topology
from dragonflyshelf.core import settings
from dragonflyshelf.core import states

MINUTE = 60.0
OWNED = states.ShardState.OWNED
RELEASING = states.ShardState.RELEASING


class ChurnBudget:
    """Shards that may be moved for balance, by the minute."""

    def __init__(self, config: settings.OwnershipSettings) -> None:
        """Create a budget that starts empty."""
        self._per_minute = config.churn_per_minute
        self._allowed = 0.0
        self._at: ids.Instant | None = None

    def accrue(self, shards: int, now: ids.Instant) -> None:
        """Let time pass; at most one minute's part is kept."""
        most = self._per_minute * shards
        if self._at is not None:
            gained = (now - self._at) / MINUTE * most
            self._allowed = min(most, self._allowed + gained)
        self._at = now

    def take(self) -> bool:
        """Count one move, or return False when none is allowed."""
        if self._allowed < 1.0:
            return False
        self._allowed -= 1.0
        invariants.check(self._allowed >= 0, "churn is over its budget")
        return True


class Planner:
    """Plans for services; the conditional update decides."""

    def __init__(self, config: settings.OwnershipSettings) -> None:
        """Create a planner."""
        self._config = config
        self._budget_by_service: dict[ids.ServiceName, ChurnBudget] = {}
        self._usable_by_service: dict[
            ids.ServiceName, tuple[frozenset[ids.UpstreamId], ids.Instant]
        ] = {}

    def plan(
        self,
        present: objects.Segment,
        service: configuration.Service,
        known: topology.Topology,
        now: ids.Instant,
    ) -> objects.Segment:
        """Return the segment as it should become next."""
        upstreams = known.upstreams_by_service.get(service.name, ())
        keyed = service.key_source is not states.KeySource.NONE
        group = "" if keyed else service.name
        leaders = plan_leaders(present, upstreams, known, group)
        if not keyed:
            return dataclasses.replace(present, leaders=leaders)
        budget = self._budget_by_service.setdefault(
            service.name, ChurnBudget(self._config)
        )
        budget.accrue(service.shards, now)
        usable = usable_upstreams(leaders, upstreams, known)
        if not usable:
            return dataclasses.replace(present, leaders=leaders)
        placed = placement.BoundedPlacement(
            service.name, usable, service.shards, self._config.load_bound
        )
        if not present.assignments and not self._settled(
            service.name, usable, now
        ):
            return dataclasses.replace(present, leaders=leaders)
        assignments = plan_owners(present, service, usable, placed)
        assignments = self._balance(assignments, placed, budget)
        return dataclasses.replace(
            present, leaders=leaders, assignments=assignments
        )

    def is_due(
        self,
        present: objects.Segment,
        service: configuration.Service,
        known: topology.Topology,
    ) -> bool:
        """Tell whether a leader or an owner has to change, balance aside."""
        upstreams = known.upstreams_by_service.get(service.name, ())
        keyed = service.key_source is not states.KeySource.NONE
        group = "" if keyed else service.name
        leaders = plan_leaders(present, upstreams, known, group)
        if leaders != present.leaders:
            return True
        usable = usable_upstreams(leaders, upstreams, known)
        if not keyed or not usable:
            return False
        placed = placement.BoundedPlacement(
            service.name, usable, service.shards, self._config.load_bound
        )
        owners = plan_owners(present, service, usable, placed)
        return owners != present.assignments

    def _settled(
        self,
        service: ids.ServiceName,
        usable: frozenset[ids.UpstreamId],
        now: ids.Instant,
    ) -> bool:
        """Tell whether a new service has all its upstreams already.

        Operators create them one by one, and what is placed on the
        first ones would have to move.
        """
        known, since = self._usable_by_service.get(service, (None, now))
        if known != usable:
            since = now
        self._usable_by_service[service] = (usable, since)
        return now - since >= self._config.placement_delay

    def _balance(
        self,
        assignments: tuple[objects.Assignment, ...],
        placed: placement.BoundedPlacement,
        budget: ChurnBudget,
    ) -> tuple[objects.Assignment, ...]:
        """Move shards from the fullest to the emptiest upstream.

        Nothing moves for a difference that is small against the mean.
        """
        hysteresis = max(1.0, self._config.load_bound * placed.mean)
        moving = sum(1 for one in assignments if one.state is RELEASING)
        planned = list(assignments)
        while moving < self._config.moves_at_once:
            source, target, difference = placed.imbalance()
            if difference <= hysteresis or not budget.take():
                break
            index = next(
                (
                    number
                    for number, one in enumerate(planned)
                    if one.upstream == source and one.state is OWNED
                ),
                None,
            )
            if index is None:
                break
            planned[index] = dataclasses.replace(
                planned[index], state=RELEASING, next_upstream=target
            )
            placed.move(source, target)
            moving += 1
        return tuple(planned)


def usable_upstreams(
    leaders: tuple[objects.Leadership, ...],
    upstreams: tuple[configuration.Upstream, ...],
    known: topology.Topology,
) -> frozenset[ids.UpstreamId]:
    """Return the upstreams that may take shards."""
    up = {
        one.upstream
        for one in leaders
        if one.upstream_state is states.UpstreamState.UP
    }
    return frozenset(
        one.name for one in upstreams if known.may_own(one) and one.name in up
    )


def plan_leaders(
    present: objects.Segment,
    upstreams: tuple[configuration.Upstream, ...],
    known: topology.Topology,
    group: str = "",
) -> tuple[objects.Leadership, ...]:
    """Return the leaders, changed only where they must be.

    A ``group`` has one leader for all of its upstreams, so that the
    counts by which a request without key is given a slot are exact.
    """
    owning = {one.upstream for one in present.assignments}
    names = {one.name for one in upstreams}
    by_upstream = {one.upstream: one for one in present.leaders}
    wanted = sorted(names | (owning & by_upstream.keys()))
    configured = {one.name: one for one in upstreams}
    planned = [
        _plan_leader(
            ids.UpstreamId(name),
            configured.get(name),
            by_upstream.get(name),
            known,
            group or name,
        )
        for name in wanted
    ]
    return tuple(one for one in planned if one is not None)


def _plan_leader(
    upstream: ids.UpstreamId,
    configured: configuration.Upstream | None,
    present: objects.Leadership | None,
    known: topology.Topology,
    subject: str,
) -> objects.Leadership | None:
    home = None
    if configured is not None and subject == upstream:
        home = configured.data_centre
    chosen = _choose_leader(subject, home, known)
    if chosen is None:
        return present
    if present is not None and known.is_member(
        present.instance, present.incarnation
    ):
        if known.is_silent(present.instance, present.incarnation):
            if configured is None or not configured.fenced:
                return present
            if known.is_member(present.former, present.former_incarnation):
                return present
            return hand_over(present, chosen, known)
        if known.serves(present.instance):
            return dataclasses.replace(
                present, next_instance=ids.InstanceId("")
            )
        if known.serves(present.next_instance):
            return present
        return dataclasses.replace(present, next_instance=chosen)
    return succeed(present, upstream, chosen, known)


def _choose_leader(
    subject: str,
    home: ids.DataCentreId | None,
    known: topology.Topology,
) -> ids.InstanceId | None:
    names = [one.instance for one in known.serving]
    near = [one for one in names if known.homes_by_instance[one] == home]
    if not names:
        return None
    return ids.InstanceId(placement.heaviest(near or names, subject))


def hand_over(
    present: objects.Leadership,
    instance: ids.InstanceId,
    known: topology.Topology,
) -> objects.Leadership:
    """Return the leadership after one whose leader may still run."""
    return dataclasses.replace(
        succeed(present, present.upstream, instance, known),
        former=present.instance,
        former_incarnation=present.incarnation,
    )


def succeed(
    present: objects.Leadership | None,
    upstream: ids.UpstreamId,
    instance: ids.InstanceId,
    known: topology.Topology,
) -> objects.Leadership:
    """Return the leadership of a successor, with the next term."""
    incarnation = next(
        one.incarnation for one in known.members if one.instance == instance
    )
    state = states.UpstreamState.UP
    if present is not None:
        state = present.upstream_state
    return objects.Leadership(
        upstream=upstream,
        instance=instance,
        incarnation=incarnation,
        term=ids.Term(present.term + 1 if present else 1),
        upstream_state=state,
    )


def plan_owners(
    present: objects.Segment,
    service: configuration.Service,
    usable: frozenset[ids.UpstreamId],
    placed: placement.BoundedPlacement,
) -> tuple[objects.Assignment, ...]:
    """Return the owners; shards on others than the usable are moved."""
    by_shard = {one.shard: one for one in present.assignments}
    staying = {
        shard: one
        for shard, one in by_shard.items()
        if (one.next_upstream or one.upstream) in usable
    }
    placed.count(staying.values())
    planned = []
    for number in range(service.shards):
        shard = ids.ShardId(number)
        if shard in staying:
            planned.append(staying[shard])
            continue
        owner = by_shard.get(shard)
        chosen = placed.choose(shard)
        if owner is None:
            planned.append(
                objects.Assignment(
                    shard=shard, upstream=chosen, epoch=ids.Epoch(1)
                )
            )
            continue
        planned.append(_redirect(owner, chosen))
    return tuple(planned)


def _redirect(
    owner: objects.Assignment, chosen: ids.UpstreamId
) -> objects.Assignment:
    """Begin or redirect the move of a shard; its owner stays."""
    return dataclasses.replace(owner, state=RELEASING, next_upstream=chosen)
