"""Queues of the services and what leaves them.

Requests wait here and not at the upstreams, because only here can they
still be put in another order, be sent elsewhere or be refused.
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


class Placement:
    """Queues requests and matches them with upstreams with room."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        """Create empty queues over the upstreams of a fleet."""
        self._fleet = fleet
        self._exchanges_by_id: dict[ids.ExchangeId, exchanges.Exchange] = {}

    @property
    def has_waiting(self) -> bool:
        """Tell whether any request waits."""
        return bool(self._exchanges_by_id)

    def push(self, exchange: exchanges.Exchange, now: ids.Instant) -> None:
        """Queue a request.

        Raises ``NoOwner``, ``NoUpstream`` or ``Overloaded`` if waiting
        would not help.
        """
        service = self._fleet.service(exchange.service)
        life: ids.UpstreamLife | None = None
        waiting = service.queue
        if self._fleet.is_sharded(exchange.service):
            life = self._holder(service, exchange).registration.incarnation
            waiting = service.queue_of(life)
        elif not self._fleet.usable(exchange.service):
            raise errors.NoUpstream(
                f"no upstream of {exchange.service} is in service",
                retry_after=const.LONGEST_RETRY_AFTER / 2,
            )
        latest = self._latest_start(service, exchange, now)
        if len(waiting):
            self._check_wait(service, life, waiting, exchange, latest, now)
        waiting.push(
            queue.Entry(
                exchange=exchange.id,
                priority=exchange.match.priority,
                workspace=exchange.workspace,
                queued_at=now,
                latest_start=latest,
            )
        )
        exchange.phase = exchanges.Phase.QUEUED
        exchange.waiting_in = waiting
        self._exchanges_by_id[exchange.id] = exchange

    def _holder(
        self, service: services.ServiceState, exchange: exchanges.Exchange
    ) -> state.UpstreamState:
        key = exchange.head.shard_key
        if key is None:
            raise errors.BadRequest("the request has no shard key")
        holder = service.holder(key)
        if holder is None or not self._fleet.is_usable(holder):
            raise errors.NoOwner(
                f"shard key {key} has no holder in service",
                retry_after=const.LONGEST_RETRY_AFTER / 4,
            )
        return holder

    def _latest_start(
        self,
        service: services.ServiceState,
        exchange: exchanges.Exchange,
        now: ids.Instant,
    ) -> ids.Instant:
        remaining = exchange.deadline - exchange.arrived_at
        latest = exchange.arrived_at + remaining * const.LATEST_START
        still_useful = exchange.deadline - service.mean_time
        return ids.Instant(max(min(latest, still_useful), now))

    def _check_wait(
        self,
        service: services.ServiceState,
        life: ids.UpstreamLife | None,
        waiting: queue.FairQueue,
        exchange: exchanges.Exchange,
        latest: ids.Instant,
        now: ids.Instant,
    ) -> None:
        """Refuse a request whose turn would come too late."""
        ahead = waiting.ahead_of(exchange.match.priority)
        wait = ahead / service.pace(life, now)
        if now + wait <= latest and len(waiting) < const.QUEUE_ENTRIES:
            return
        raise errors.Overloaded(
            f"{ahead} requests go first, about {wait:.2f} s",
            retry_after=retries.retry_after(wait),
        )

    def remove(self, exchange: exchanges.Exchange) -> None:
        """Remove a request that is no longer wanted."""
        if exchange.waiting_in is not None:
            exchange.waiting_in.remove(exchange.id)
        self._exchanges_by_id.pop(exchange.id, None)

    def take(
        self, name: ids.ServiceName, now: ids.Instant
    ) -> abc.Iterator[tuple[ids.ExchangeId, state.UpstreamState]]:
        """Yield requests of a service that can be sent, with upstreams.

        The consumer counts each send before it asks for the next.
        """
        service = self._fleet.service(name)
        if not self._fleet.is_sharded(name):
            yield from self._take_shared(service, now)
            return
        for life, waiting in service.queues_by_life.items():
            holder = service.upstreams_by_life.get(life)
            while holder is not None and len(waiting):
                if not self._fleet.bears_one_more(holder, now):
                    break
                yield self._pop(waiting), holder

    def _take_shared(
        self, service: services.ServiceState, now: ids.Instant
    ) -> abc.Iterator[tuple[ids.ExchangeId, state.UpstreamState]]:
        while len(service.queue):
            open_now = [
                one
                for one in self._fleet.usable(service.name)
                if self._fleet.bears_one_more(one, now)
            ]
            if not open_now:
                return
            exchange_id = service.queue.pop().exchange
            exchange = self._exchanges_by_id.pop(exchange_id)
            untried = [
                one
                for one in open_now
                if one.registration.id not in exchange.tried
            ]
            objective = exchange.match.route.objective
            yield exchange_id, self._fleet.choose(
                service, untried or open_now, objective, now
            )

    def _pop(self, waiting: queue.FairQueue) -> ids.ExchangeId:
        entry = waiting.pop()
        del self._exchanges_by_id[entry.exchange]
        return entry.exchange

    def take_expired(self, now: ids.Instant) -> list[ids.ExchangeId]:
        """Remove and return the requests that waited too long."""
        expired = [
            entry.exchange
            for name in self._fleet.service_names()
            for waiting in self._fleet.service(name).queues()
            for entry in waiting.take_expired(now)
        ]
        for one in expired:
            del self._exchanges_by_id[one]
        return expired

    def take_all(self) -> list[ids.ExchangeId]:
        """Remove and return every request, in the order of arrival."""
        names = sorted(self._exchanges_by_id)
        self._exchanges_by_id.clear()
        for service in self._fleet.service_names():
            for waiting in self._fleet.service(service).queues():
                waiting.take_all()
        return names
