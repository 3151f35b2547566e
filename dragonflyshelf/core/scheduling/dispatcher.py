"""Queueing of requests and dispatch to upstreams with capacity.

Requests are queued here and not at the upstreams, because here they can
still be reordered, sent to another upstream or refused.
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
from dragonflyshelf.core.upstreams import state


class RequestDispatcher:
    """Queues requests and assigns them to upstreams with capacity."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        """Create empty queues for the upstreams of a fleet."""
        self._fleet = fleet
        self._exchanges_by_id: dict[ids.ExchangeId, exchanges.Exchange] = {}

    @property
    def has_waiting(self) -> bool:
        """Return whether any request is queued."""
        return bool(self._exchanges_by_id)

    def push(self, exchange: exchanges.Exchange, now: ids.Instant) -> None:
        """Queue a request.

        Raises ``NoShardOwner`` or ``NoUpstreamAvailable`` if no upstream
        can serve it, ``Overloaded`` if it would wait too long and
        ``BadRequest`` if its shard key is missing.
        """
        service = self._fleet.service_state(exchange.service)
        incarnation: ids.UpstreamIncarnation | None = None
        target_queue = service.queue
        if self._fleet.is_sharded(exchange.service):
            holder = self._find_holder(service, exchange)
            candidates = [holder]
            incarnation = holder.registration.incarnation
            target_queue = service.holder_queue(incarnation)
        else:
            candidates = self._find_usable_upstreams(exchange.service)
        latest_start = self._latest_start(service, exchange, now)
        self._check_backoff(candidates, latest_start, now)
        if len(target_queue):
            self._check_wait(
                service, incarnation, target_queue, exchange, latest_start, now
            )
        target_queue.push(
            queue.Entry(
                exchange=exchange.id,
                priority=exchange.match.priority,
                workspace=exchange.workspace,
                queued_at=now,
                latest_start=latest_start,
            )
        )
        exchange.phase = exchanges.Phase.QUEUED
        exchange.current_queue = target_queue
        self._exchanges_by_id[exchange.id] = exchange

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
        self, service: services.ServiceState, exchange: exchanges.Exchange
    ) -> state.UpstreamState:
        key = exchange.head.shard_key
        if key is None:
            raise errors.BadRequest("request has no shard key")
        holder = service.holder(key)
        if holder is None or not self._fleet.is_usable(holder):
            raise errors.NoShardOwner(
                f"shard key {key} has no available holder",
                retry_after=const.MAX_RETRY_AFTER_SECONDS / 4,
            )
        return holder

    def _latest_start(
        self,
        service: services.ServiceState,
        exchange: exchanges.Exchange,
        now: ids.Instant,
    ) -> ids.Instant:
        allowed_time = exchange.deadline - exchange.arrived_at
        latest_start = (
            exchange.arrived_at + allowed_time * const.MAX_QUEUE_TIME_RATIO
        )
        latest_useful_start = exchange.deadline - service.mean_service_time
        return ids.Instant(max(min(latest_start, latest_useful_start), now))

    def _check_wait(
        self,
        service: services.ServiceState,
        incarnation: ids.UpstreamIncarnation | None,
        target_queue: queue.FairQueue,
        exchange: exchanges.Exchange,
        latest_start: ids.Instant,
        now: ids.Instant,
    ) -> None:
        """Raise ``Overloaded`` for a full queue or too long a wait."""
        ahead_count = target_queue.count_ahead(exchange.match.priority)
        estimated_wait = ahead_count / service.throughput(incarnation, now)
        if (
            now + estimated_wait <= latest_start
            and len(target_queue) < const.MAX_QUEUED_REQUEST_COUNT
        ):
            return
        raise errors.Overloaded(
            f"{ahead_count} requests are queued ahead,"
            f" estimated wait {estimated_wait:.2f} s",
            retry_after=retries.bounded_retry_after(estimated_wait),
        )

    def remove(self, exchange: exchanges.Exchange) -> None:
        """Remove a cancelled request from its queue."""
        if exchange.current_queue is not None:
            exchange.current_queue.remove(exchange.id)
        self._exchanges_by_id.pop(exchange.id, None)

    def assign(
        self, service_name: ids.ServiceName, now: ids.Instant
    ) -> abc.Iterator[tuple[ids.ExchangeId, state.UpstreamState]]:
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
                yield self._pop(target_queue), holder

    def _assign_unsharded(
        self, service: services.ServiceState, now: ids.Instant
    ) -> abc.Iterator[tuple[ids.ExchangeId, state.UpstreamState]]:
        while len(service.queue):
            available = [
                upstream
                for upstream in self._fleet.usable_upstreams(service.name)
                if self._fleet.can_accept(upstream, now)
            ]
            if not available:
                return
            exchange_id = service.queue.pop().exchange
            exchange = self._exchanges_by_id.pop(exchange_id)
            candidates = self._take_canaries(exchange, now)
            if not candidates:
                candidates = self._select_candidates(exchange, available)
            objective = exchange.match.route.latency_objective
            yield exchange_id, self._fleet.choose(
                service, candidates, objective, now
            )

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

    def _pop(self, target_queue: queue.FairQueue) -> ids.ExchangeId:
        entry = target_queue.pop()
        del self._exchanges_by_id[entry.exchange]
        return entry.exchange

    def remove_expired(self, now: ids.Instant) -> list[ids.ExchangeId]:
        """Remove and return the requests past their latest start."""
        expired = [
            entry.exchange
            for service_name in self._fleet.service_names()
            for target_queue in self._fleet.service_state(
                service_name
            ).all_queues()
            for entry in target_queue.remove_expired(now)
        ]
        for exchange_id in expired:
            del self._exchanges_by_id[exchange_id]
        return expired

    def remove_all(self) -> list[ids.ExchangeId]:
        """Remove and return every request, in order of arrival."""
        exchange_ids = sorted(self._exchanges_by_id)
        self._exchanges_by_id.clear()
        for service_name in self._fleet.service_names():
            for target_queue in self._fleet.service_state(
                service_name
            ).all_queues():
                target_queue.remove_all()
        return exchange_ids
