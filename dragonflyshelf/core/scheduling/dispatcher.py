"""Queueing of requests and dispatch to upstreams with capacity.

Requests are queued here and not at the upstreams, because here they can
still be reordered, sent to another upstream or refused. At a broker the
requests of its members wait in the queues of holders, too.
"""

from collections import abc

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.scheduling import const
from dragonflyshelf.core.scheduling import exchanges
from dragonflyshelf.core.scheduling import fleet as fleets
from dragonflyshelf.core.scheduling import queue
from dragonflyshelf.core.scheduling import retries
from dragonflyshelf.core.scheduling import service as services
from dragonflyshelf.core.slots import messages as slots
from dragonflyshelf.core.slots import tickets
from dragonflyshelf.core.upstreams import state

Waiting = exchanges.Exchange | tickets.SlotTicket


class RequestDispatcher:
    """Queues requests and assigns them to upstreams with capacity."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        """Create empty queues for the upstreams of a fleet."""
        self._fleet = fleet
        self._exchanges_by_id: dict[ids.ExchangeId, exchanges.Exchange] = {}
        self._tickets_by_key: dict[slots.SlotKey, tickets.SlotTicket] = {}

    @property
    def has_waiting(self) -> bool:
        """Return whether any request is queued."""
        return bool(self._exchanges_by_id or self._tickets_by_key)

    @property
    def ticket_count(self) -> int:
        """Return the number of members' requests that are queued."""
        return len(self._tickets_by_key)

    def push(self, exchange: exchanges.Exchange, now: ids.Instant) -> None:
        """Queue a request.

        Raises ``NoShardOwner`` or ``NoUpstreamAvailable`` if no upstream
        can serve it, ``Overloaded`` if it would wait too long and
        ``BadRequest`` if its shard key is missing.
        """
        service = self._fleet.service_state(exchange.service)
        holder: state.UpstreamState | None = None
        if self._fleet.is_sharded(exchange.service):
            holder = self._find_holder(service, exchange.head.shard_key)
            candidates = [holder]
        else:
            candidates = self._find_usable_upstreams(exchange.service)
        latest_start = self.latest_start(exchange, now)
        self._check_backoff(candidates, latest_start, now)
        objective_start = queue.NEVER
        is_broker = self._fleet.broker_role is fleets.BrokerRole.BROKER
        if holder is not None and is_broker:
            objective = exchange.match.route.latency_objective
            objective_start = ids.Instant(
                exchange.arrived_at + objective - service.mean_service_time
            )
        entry = queue.Entry(
            key=exchange.id,
            priority=exchange.match.priority,
            workspace=exchange.workspace,
            queued_at=now,
            latest_start=latest_start,
            objective_start=objective_start,
        )
        target_queue = self._push_entry(service, holder, entry, now)
        exchange.phase = exchanges.Phase.QUEUED
        exchange.current_queue = target_queue
        self._exchanges_by_id[exchange.id] = exchange

    def push_ticket(
        self, ticket: tickets.SlotTicket, now: ids.Instant
    ) -> None:
        """Queue a member's request for the holder of its key.

        Raises ``NoShardOwner`` or ``NoUpstreamAvailable`` if the member has
        to decide itself, and ``Overloaded`` if it would wait too long.
        """
        request = ticket.request
        if not self._fleet.is_sharded(request.service):
            raise errors.NoUpstreamAvailable(
                f"service {request.service} is not known as divided"
            )
        self._fleet.broker_role = fleets.BrokerRole.BROKER
        service = self._fleet.service_state(request.service)
        holder = self._find_holder(service, request.shard_key)
        is_brokered = self._fleet.is_brokered(request.service)
        if holder.is_warming_up(now) and not is_brokered:
            raise errors.NoUpstreamAvailable(
                "the senders to a holder that warms up are fixed"
            )
        self._check_backoff([holder], ticket.latest_start, now)
        entry = queue.Entry(
            key=ticket.key,
            priority=request.priority,
            workspace=request.workspace or None,
            queued_at=now,
            latest_start=ticket.latest_start,
            objective_start=ids.Instant(
                ticket.objective_at - service.mean_service_time
            ),
        )
        self._push_entry(service, holder, entry, now)
        self._tickets_by_key[ticket.key] = ticket

    def _push_entry(
        self,
        service: services.ServiceState,
        holder: state.UpstreamState | None,
        entry: queue.Entry,
        now: ids.Instant,
    ) -> queue.FairQueue:
        """Add an entry to the queue of a holder, or of the service."""
        target_queue = service.queue
        if holder is not None:
            target_queue = service.holder_queue(
                holder.registration.incarnation
            )
        if len(target_queue):
            self._check_wait(service, holder, target_queue, entry, now)
        target_queue.push(entry)
        return target_queue

    def _find_usable_upstreams(
        self, service: ids.ServiceName
    ) -> list[state.UpstreamState]:
        upstreams = self._fleet.usable_upstreams(service)
        if not upstreams:
            raise errors.NoUpstreamAvailable(
                f"service {service} has no available upstream",
                retry_after=const.MAX_RETRY_AFTER_SECONDS / 2,
            )
        return upstreams

    def _check_backoff(
        self,
        candidates: abc.Sequence[state.UpstreamState],
        latest_start: ids.Instant,
        now: ids.Instant,
    ) -> None:
        """Raise ``Overloaded`` if all want nothing until it is too late."""
        backoff_until = min(map(self._fleet.backoff_until, candidates))
        if backoff_until <= latest_start:
            return
        wait = backoff_until - now
        raise errors.Overloaded(
            f"no upstream wants requests for {wait:.2f} s",
            retry_after=retries.bounded_retry_after(wait),
        )

    def _find_holder(
        self, service: services.ServiceState, key: ids.ShardKey | None
    ) -> state.UpstreamState:
        if key is None:
            raise errors.BadRequest("request has no shard key")
        holder = service.holder(key)
        if holder is None or not self._fleet.is_usable(holder):
            raise errors.NoShardOwner(
                f"shard key {key} has no available holder",
                retry_after=const.MAX_RETRY_AFTER_SECONDS / 4,
            )
        return holder

    def latest_start(
        self, exchange: exchanges.Exchange, now: ids.Instant
    ) -> ids.Instant:
        """Return until when a request may wait for an upstream."""
        service = self._fleet.service_state(exchange.service)
        allowed_time = exchange.deadline - exchange.arrived_at
        latest_start = (
            exchange.arrived_at + allowed_time * const.MAX_QUEUE_TIME_RATIO
        )
        latest_useful_start = exchange.deadline - service.mean_service_time
        return ids.Instant(max(min(latest_start, latest_useful_start), now))

    def _check_wait(
        self,
        service: services.ServiceState,
        holder: state.UpstreamState | None,
        target_queue: queue.FairQueue,
        entry: queue.Entry,
        now: ids.Instant,
    ) -> None:
        """Raise ``Overloaded`` for a full queue or too long a wait.

        A holder that warms up sends so little that all may wait for it.
        """
        ahead_count = target_queue.count_ahead(entry, now)
        throughput = self._throughput(service, holder, now)
        estimated_wait = ahead_count / throughput
        is_short = len(target_queue) < const.MAX_QUEUED_REQUEST_COUNT
        max_wait = _max_wait(entry, now)
        if holder is not None and holder.is_warming_up(now):
            max_wait = entry.latest_start - now
        if is_short and estimated_wait <= max_wait:
            return
        retry_after = estimated_wait
        if entry.objective_start != queue.NEVER:
            retry_after = target_queue.return_places.next_delay(
                estimated_wait, throughput, now
            )
        raise errors.Overloaded(
            f"{ahead_count} requests are queued ahead,"
            f" estimated wait {estimated_wait:.2f} s",
            retry_after=retries.bounded_retry_after(retry_after),
        )

    def _throughput(
        self,
        service: services.ServiceState,
        holder: state.UpstreamState | None,
        now: ids.Instant,
    ) -> float:
        """Return the requests per second that a queue is expected to send.

        For a holder that was idle until now that is, by Little's law, what
        is under way divided by the time that it takes there; for one that
        warms up, what it may get.
        """
        if holder is None:
            return service.throughput(None, now)
        limit = self._fleet.warmup_limit(holder, now)
        if limit < float("inf"):
            return limit
        measured = service.throughput(holder.registration.incarnation, now)
        service_time = holder.service_time or service.mean_service_time
        return max(measured, holder.in_flight / service_time)

    def remove(self, exchange: exchanges.Exchange) -> None:
        """Remove a cancelled request from its queue."""
        if exchange.current_queue is not None:
            exchange.current_queue.remove(exchange.id)
        self._exchanges_by_id.pop(exchange.id, None)

    def has_ticket(self, key: slots.SlotKey) -> bool:
        """Return whether a member's request is queued."""
        return key in self._tickets_by_key

    def remove_ticket(self, key: slots.SlotKey) -> bool:
        """Remove a member's request; return whether it was queued."""
        ticket = self._tickets_by_key.pop(key, None)
        if ticket is None:
            return False
        service = self._fleet.service_state(ticket.request.service)
        return any(
            target_queue.remove(key) for target_queue in service.all_queues()
        )

    def remove_link(self, link: slots.Link) -> None:
        """Remove the requests of a member that has disconnected."""
        for key in list(self._tickets_by_key):
            if key.link == link:
                self.remove_ticket(key)

    def assign(
        self, service_name: ids.ServiceName, now: ids.Instant
    ) -> abc.Iterator[tuple[Waiting, state.UpstreamState]]:
        """Yield requests of a service to send, each with its upstream.

        The caller must count each attempt before it requests the next
        pair, because the capacity is checked again each time.
        """
        service = self._fleet.service_state(service_name)
        if not self._fleet.is_sharded(service_name):
            yield from self._assign_unsharded(service, now)
            return
        for incarnation, target_queue in service.queues_by_incarnation.items():
            holder = service.upstreams_by_incarnation.get(incarnation)
            while holder is not None and len(target_queue):
                if not self._fleet.can_accept(holder, now):
                    break
                yield self._take(target_queue.pop(now).key), holder

    def _assign_unsharded(
        self, service: services.ServiceState, now: ids.Instant
    ) -> abc.Iterator[tuple[exchanges.Exchange, state.UpstreamState]]:
        while len(service.queue):
            available = [
                upstream
                for upstream in self._fleet.usable_upstreams(service.name)
                if self._fleet.can_accept(upstream, now)
            ]
            if not available:
                return
            exchange = self._take(service.queue.pop(now).key)
            assert isinstance(exchange, exchanges.Exchange)
            candidates = self._take_canaries(exchange, now)
            if not candidates:
                candidates = self._select_candidates(exchange, available)
            objective = exchange.match.route.latency_objective
            yield exchange, self._fleet.choose(
                service, candidates, objective, now
            )

    def _take(self, key: queue.EntryKey) -> Waiting:
        """Return a request that has left its queue."""
        if isinstance(key, slots.SlotKey):
            return self._tickets_by_key.pop(key)
        return self._exchanges_by_id.pop(key)

    def _take_canaries(
        self, exchange: exchanges.Exchange, now: ids.Instant
    ) -> list[state.UpstreamState]:
        """Return the canaries if a request is to go to one, and count it."""
        if exchange.attempt_count:
            return []
        canaries = self._fleet.due_canaries(exchange.service, now)
        if canaries:
            self._fleet.versions.take(exchange.service)
        return canaries

    def _select_candidates(
        self,
        exchange: exchanges.Exchange,
        available: list[state.UpstreamState],
    ) -> list[state.UpstreamState]:
        """Return the available upstreams that suit a request best."""
        untried = [
            upstream
            for upstream in available
            if upstream.registration.id not in exchange.tried_upstreams
        ]
        candidates = untried or available
        if exchange.is_local_full:
            candidates = self._fleet.remote(candidates) or candidates
        return candidates

    def remove_expired(self, now: ids.Instant) -> list[Waiting]:
        """Remove and return the requests past their latest start."""
        return [
            self._take(entry.key)
            for service_name in self._fleet.service_names()
            for target_queue in self._fleet.service_state(
                service_name
            ).all_queues()
            for entry in target_queue.remove_expired(now)
        ]

    def remove_all(self) -> list[Waiting]:
        """Remove and return every request, in order of arrival.

        Those of this instance come first.
        """
        waiting: list[Waiting] = [
            self._exchanges_by_id[exchange]
            for exchange in sorted(self._exchanges_by_id)
        ]
        waiting.extend(self._tickets_by_key.values())
        self._exchanges_by_id.clear()
        self._tickets_by_key.clear()
        for service_name in self._fleet.service_names():
            for target_queue in self._fleet.service_state(
                service_name
            ).all_queues():
                target_queue.remove_all()
        return waiting


def _max_wait(entry: queue.Entry, now: ids.Instant) -> float:
    """Return for how many seconds a request may be expected to wait.

    One that would miss its objective in the queue has no place there, as
    those that come later and still meet theirs would go first.
    """
    max_wait = entry.latest_start - now
    objective_wait = entry.objective_start - now
    if objective_wait < 0:
        return max_wait
    return min(max_wait, objective_wait * const.MAX_OBJECTIVE_WAIT_RATIO)
