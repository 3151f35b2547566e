"""What the leader of upstreams does: queue, choose a slot and send.

Requests for one upstream wait in its queue. Requests without key that
left the choice to the leader wait in the queue of their service, and
take the best slot among the upstreams which this instance leads.
"""

import dataclasses

from dragonflyshelf.core.admission import gates
from dragonflyshelf.core.admission import queue as queues
from dragonflyshelf.core.configuration import view
from dragonflyshelf.core.dispatch import exchanges
from dragonflyshelf.core.dispatch import fences
from dragonflyshelf.core.dispatch import messages as dispatch
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core.ownership import objects as ownership
from dragonflyshelf.core import settings
from dragonflyshelf.core.timeline import events

EXPIRY_INTERVAL = 0.05
SERVICE = "service "
SHORTEST_LATENCY = 0.0005

Effects = list[dispatch.Effect]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Failure:
    """An exchange that left a queue without being sent."""

    exchange: ids.ExchangeId
    error: errors.RouterError


class LeaderDispatch:
    """Queues and gates of the upstreams that this instance leads."""

    def __init__(
        self, config: settings.Settings, routing: view.RoutingView
    ) -> None:
        """Create the part without leaderships."""
        self._config = config.admission
        self._instance = config.instance.name
        self._view = routing
        self.lease_until = ids.Instant(0.0)
        self.wake_at = gates.NEVER
        self.fences = fences.ShardFences()
        self.held_by_upstream: dict[
            ids.UpstreamId, dispatch.HeldLeadership
        ] = {}
        self.gates_by_upstream: dict[ids.UpstreamId, gates.Gate] = {}
        self.queues_by_name: dict[str, queues.WorkQueue] = {}
        self.failures: list[Failure] = []
        self._queued_by_id: dict[ids.ExchangeId, exchanges.Exchange] = {}

    def offer(self, exchange: exchanges.Exchange, now: ids.Instant) -> Effects:
        """Queue a request, or raise if this instance may not send it."""
        admitted = exchange.admitted
        if admitted.upstream:
            self._check_leadership(admitted.upstream, now)
            self._epoch(admitted)
            exchange.queue = f"{admitted.upstream}"
        else:
            if not self._usable(admitted.service, now):
                raise errors.WrongLeader("no upstream of the service is led")
            exchange.queue = f"{SERVICE}{admitted.service}"
        if exchange.head.deadline <= now:
            raise errors.DeadlineExceeded("deadline passed before the queue")
        queue = self.queues_by_name.get(exchange.queue)
        if queue is None:
            queue = queues.WorkQueue(self._config)
            self.queues_by_name[exchange.queue] = queue
        entry = self._entry(exchange, now)
        shed = queue.push(entry, self._finish_rate(admitted, now))
        exchange.state = exchanges.ExchangeState.QUEUED
        self._queued_by_id[exchange.id] = exchange
        for one in shed:
            self._fail(one, errors.Overloaded("the queue is full"))
        return self.pump(exchange.queue, now)

    def withdraw(self, exchange: exchanges.Exchange) -> None:
        """Take a request out of its queue."""
        self._queued_by_id.pop(exchange.id, None)
        self.queues_by_name[exchange.queue].remove(exchange.id)

    def finish(
        self,
        exchange: exchanges.Exchange,
        error: errors.RouterError | None,
        now: ids.Instant,
    ) -> Effects:
        """Free the slot of a request whose attempt has ended."""
        effects: Effects = []
        key, exchange.fence = exchange.fence, None
        if key is not None and self.fences.finish(key):
            effects.append(dispatch.ShardQuiet(key=key))
        gate = self.gates_by_upstream[exchange.upstream]
        gate.leave(exchange.id, error is None, now)
        if isinstance(error, errors.RouterError):
            effects.extend(self._count_failure(gate, exchange, error, now))
        effects.extend(self.pump(f"{exchange.upstream}", now))
        service = f"{SERVICE}{exchange.admitted.service}"
        return [*effects, *self.pump(service, now)]

    def tick(self, now: ids.Instant) -> Effects:
        """Send what may be sent now, and drop what is too late."""
        self.wake_at = gates.NEVER
        return [
            effect
            for name in list(self.queues_by_name)
            for effect in self.pump(name, now)
        ]

    def start_ramp(
        self, upstream: ids.UpstreamId, now: ids.Instant
    ) -> Effects:
        """Ramp up an upstream that has started cold."""
        self._gate(upstream).start_ramp(now)
        kind = events.EventKind.RAMP_STARTED
        event = events.TimelineEvent(kind=kind, upstream=upstream)
        return [events.RecordEvent(event=event)]

    def pump(self, name: str, now: ids.Instant) -> Effects:
        """Send the requests of one queue for which there are slots."""
        queue = self.queues_by_name.get(name)
        if queue is None or not len(queue):
            return []
        for entry in queue.take_expired(now):
            text = "deadline passed in the queue"
            self._fail(entry, errors.DeadlineExceeded(text))
        if name.startswith(SERVICE) and not self._usable(
            ids.ServiceName(name.removeprefix(SERVICE)), now
        ):
            for entry in queue.take_all():
                text = "no upstream of the service is led"
                self._fail(entry, errors.WrongLeader(text))
        effects: Effects = []
        while len(queue):
            gate, opens_at = self._open_gate(name, now)
            if gate is None:
                self._wake(min(opens_at, now + EXPIRY_INTERVAL))
                break
            entry = queue.pop()
            exchange = self._queued_by_id.pop(entry.exchange)
            try:
                effects.append(self._send(exchange, gate, now))
            except errors.RouterError as error:
                self.failures.append(
                    Failure(exchange=exchange.id, error=error)
                )
        return effects

    def _wake(self, at: float) -> None:
        self.wake_at = min(self.wake_at, ids.Instant(at))

    def _entry(
        self, exchange: exchanges.Exchange, now: ids.Instant
    ) -> queues.Entry:
        admitted = exchange.admitted
        workspace = self._view.workspaces_by_id.get(admitted.workspace)
        return queues.Entry(
            exchange=exchange.id,
            workspace=admitted.workspace,
            weight=workspace.weight if workspace else 1.0,
            priority=admitted.priority,
            deadline=exchange.head.deadline,
            queued_at=now,
        )

    def _fail(self, entry: queues.Entry, error: errors.RouterError) -> None:
        self._queued_by_id.pop(entry.exchange, None)
        self.failures.append(Failure(exchange=entry.exchange, error=error))

    def _gate(self, upstream: ids.UpstreamId) -> gates.Gate:
        known = self._view.upstreams_by_id.get(upstream)
        gate = self.gates_by_upstream.get(upstream)
        if gate is None:
            slots = known.slots if known else 1
            gate = gates.Gate(upstream, slots, self._config)
            self.gates_by_upstream[upstream] = gate
        elif known is not None:
            gate.slots = max(known.slots, gate.in_flight)
        return gate

    def _usable(
        self, service: ids.ServiceName, now: ids.Instant
    ) -> list[gates.Gate]:
        """Return the gates of a service that this instance may use."""
        if now >= self.lease_until:
            return []
        found = []
        for one in self._view.usable_upstreams(service):
            leader = self._view.leaders_by_upstream[one.name]
            if leader.instance == self._instance and self._holds(leader, now):
                found.append(self._gate(one.name))
        return found

    def _open_gate(
        self, name: str, now: ids.Instant
    ) -> tuple[gates.Gate | None, ids.Instant]:
        """Return the best gate that is open, or when one opens."""
        if not name.startswith(SERVICE):
            usable = [self._gate(ids.UpstreamId(name))]
        else:
            service = ids.ServiceName(name.removeprefix(SERVICE))
            usable = self._not_ejected(self._usable(service, now), now)
        opens = [(one.opens_at(now), one) for one in usable]
        open_now = [one for at, one in opens if at <= now]
        if not open_now:
            earliest = min((at for at, _ in opens), default=gates.NEVER)
            return None, earliest
        if len(open_now) == 1:
            return open_now[0], now
        usual = self._usual_latency(usable)
        best = min(
            open_now,
            key=lambda one: (
                (one.in_flight + 1) * one.expected(usual, now),
                one.entered_at,
            ),
        )
        return best, now

    def _usual_latency(self, usable: list[gates.Gate]) -> float:
        measured = sorted(one.latency for one in usable if one.latency > 0)
        if not measured:
            return SHORTEST_LATENCY
        return max(measured[(len(measured) - 1) // 2], SHORTEST_LATENCY)

    def _not_ejected(
        self, usable: list[gates.Gate], now: ids.Instant
    ) -> list[gates.Gate]:
        """Leave out ejected upstreams, up to a share of all."""
        ejected = [one for one in usable if one.ejected_until > now]
        most = int(len(usable) * self._config.ejected_share)
        latest = sorted(ejected, key=lambda one: -one.ejected_until)[:most]
        return [one for one in usable if one not in latest]

    def _count_failure(
        self,
        gate: gates.Gate,
        exchange: exchanges.Exchange,
        error: errors.RouterError,
        now: ids.Instant,
    ) -> Effects:
        gate.failures += 1
        if gate.failures < self._config.eject_after:
            return []
        if gate.ejected_until > now:
            return []
        gate.ejected_until = ids.Instant(now + self._config.ejection)
        event = events.TimelineEvent(
            kind=events.EventKind.EJECTED,
            service=exchange.admitted.service,
            upstream=gate.upstream,
            code=error.code,
        )
        return [events.RecordEvent(event=event)]

    def _finish_rate(
        self, admitted: messages.Admitted, now: ids.Instant
    ) -> float:
        if admitted.upstream:
            return self._gate(admitted.upstream).finish_rate()
        rates = [
            one.finish_rate() for one in self._usable(admitted.service, now)
        ]
        return sum(rates) if all(rates) else 0.0

    def _send(
        self,
        exchange: exchanges.Exchange,
        gate: gates.Gate,
        now: ids.Instant,
    ) -> dispatch.SendUpstream:
        leader = self._check_leadership(gate.upstream, now)
        admitted = dataclasses.replace(
            exchange.admitted, upstream=gate.upstream
        )
        epoch = self._epoch(admitted)
        if admitted.shard >= 0:
            key = fences.ShardKey(
                service=admitted.service, shard=admitted.shard, epoch=epoch
            )
            self.fences.start(key)
            exchange.fence = key
        gate.enter(exchange.id, now)
        exchange.state = exchanges.ExchangeState.SENT
        exchange.upstream = gate.upstream
        return dispatch.SendUpstream(
            exchange=exchange.id,
            admitted=admitted,
            term=leader.term,
            epoch=epoch,
        )

    def _check_leadership(
        self, upstream: ids.UpstreamId, now: ids.Instant
    ) -> ownership.Leadership:
        leader = self._view.leaders_by_upstream.get(upstream)
        if leader is None or leader.instance != self._instance:
            peer = leader.instance if leader else ""
            raise errors.WrongLeader("another instance leads", peer=peer)
        if now >= self.lease_until:
            raise errors.WrongLeader("the lease of this instance is over")
        if not self._holds(leader, now):
            raise errors.WrongLeader("the leadership is not usable yet")
        return leader

    def _holds(self, leader: ownership.Leadership, now: ids.Instant) -> bool:
        held = self.held_by_upstream.get(leader.upstream)
        if held is None or held.term != leader.term:
            return False
        return now >= held.not_before

    def _epoch(self, admitted: messages.Admitted) -> ids.Epoch:
        if admitted.shard < 0:
            return ids.Epoch(0)
        found = self._view.routes_by_service.get(admitted.service)
        owner = None
        if found is not None:
            owner = found.owners_by_shard.get(admitted.shard)
        if owner is None or owner.upstream != admitted.upstream:
            raise errors.WrongLeader("the shard has another owner")
        return owner.epoch
