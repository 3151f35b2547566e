"""Placement of requests in slots that a broker assigns."""

import dataclasses

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.scheduling import dispatcher as dispatchers
from dragonflyshelf.core.scheduling import exchanges
from dragonflyshelf.core.scheduling import fleet as fleets
from dragonflyshelf.core.scheduling import retries
from dragonflyshelf.core import settings
from dragonflyshelf.core.slots import client
from dragonflyshelf.core.slots import messages
from dragonflyshelf.core.slots import tickets
from dragonflyshelf.core.upstreams import objects
from dragonflyshelf.core.upstreams import state


class SlotPlacement:
    """Slot requests of this instance's exchanges, and their reports."""

    def __init__(
        self,
        config: settings.SlotSettings,
        fleet: fleets.Fleet,
        dispatcher: dispatchers.RequestDispatcher,
    ) -> None:
        """Create a placement without a broker."""
        self.asks_for_holders = config.holders is settings.HolderQueue.BROKER
        self._fleet = fleet
        self._dispatcher = dispatcher
        self.client = client.SlotClient()

    def may_request(
        self, exchange: exchanges.Exchange, now: ids.Instant
    ) -> bool:
        """Return whether the upstream of a request is to be assigned.

        For a divided service that is the holder of the key, if the broker
        assigns its slots. Where it does not serve cold holders, the senders
        to these are fixed. A canary is chosen here.
        """
        if not self.client.may_request(now):
            return False
        if not self._fleet.is_sharded(exchange.service):
            is_for_canary = bool(
                self._fleet.due_canaries(exchange.service, now)
            )
            return exchange.attempt_count == 0 and not is_for_canary
        key = exchange.head.shard_key
        if key is None or not self.client.serves_holders:
            return False
        holder = self._fleet.service_state(exchange.service).holder(key)
        if holder is None or not self._fleet.is_usable(holder):
            return False
        is_brokered = self._fleet.is_brokered(exchange.service)
        return is_brokered or not holder.is_warming_up(now)

    def request(
        self, exchange: exchanges.Exchange, now: ids.Instant
    ) -> messages.SlotRequest:
        """Return the request for a slot, for which the exchange waits."""
        exchange.phase = exchanges.Phase.AWAITING_SLOT
        self.client.record_request(exchange.id, now)
        objective = exchange.match.route.latency_objective
        request = messages.SlotRequest(
            number=exchange.id,
            service=exchange.service,
            objective=objective,
            remaining=max(exchange.deadline - now, 0.0),
        )
        if not self._fleet.is_sharded(exchange.service):
            return request
        key = exchange.head.shard_key
        assert key is not None
        latest_start = self._dispatcher.latest_start(exchange, now)
        return dataclasses.replace(
            request,
            shard_key=key,
            priority=min(
                max(exchange.match.priority, 0), tickets.MAX_PRIORITY
            ),
            workspace=exchange.workspace or ids.WorkspaceId(""),
            patience=latest_start - now,
            objective_left=max(exchange.arrived_at + objective - now, 0.0),
        )

    def acknowledge(
        self,
        event: messages.SlotAssignment,
        exchange: exchanges.Exchange | None,
        now: ids.Instant,
    ) -> list[messages.SlotReport]:
        """Record that a request is queued at the broker.

        Return the report that withdraws one that does not wait any more.
        """
        if exchange is not None and self.client.is_waiting(exchange.id):
            latest_start = self._dispatcher.latest_start(exchange, now)
            self.client.acknowledge(exchange.id, latest_start)
            return []
        return [_cancelled(event.number)]

    def find_assigned(
        self,
        exchange: exchanges.Exchange,
        event: messages.SlotAssignment,
        now: ids.Instant,
    ) -> state.UpstreamState | None:
        """Return the upstream that was assigned, None if it is not usable.

        The broker knows the room of a holder better than this instance.
        """
        if self._fleet.is_sharded(exchange.service):
            upstream = self._fleet.find_willing(
                exchange.service, event.incarnation, now
            )
            is_brokered = self._fleet.is_brokered(exchange.service)
            if upstream and upstream.is_warming_up(now) and not is_brokered:
                upstream = None
        else:
            upstream = self._fleet.find_acceptable(
                exchange.service, event.incarnation, now
            )
        exchange.has_slot = upstream is not None
        exchange.is_local_full = upstream is None
        return upstream

    def give_back(
        self, event: messages.SlotAssignment
    ) -> list[messages.SlotReport]:
        """Return the report of a slot that is not used, if there is one."""
        if event.incarnation == messages.NO_UPSTREAM:
            return []
        return [_cancelled(event.number)]

    def withdraw(
        self, exchange: exchanges.Exchange
    ) -> list[messages.SlotReport]:
        """Withdraw a request that has ended; return the report of it.

        Those for undivided services are answered already.
        """
        if not self.client.remove(exchange.id):
            return []
        if not self._fleet.is_sharded(exchange.service):
            return []
        return [_cancelled(exchange.id)]

    def learn_capability(
        self,
        event: messages.SlotAssignment,
        exchanges_by_id: dict[ids.ExchangeId, exchanges.Exchange],
        now: ids.Instant,
    ) -> list[messages.SlotInUse | messages.SlotRequest]:
        """Return what to tell a broker that turns out to serve holders.

        It is told what is under way, so that it counts that, and asked for
        what waits since the former broker.
        """
        if not self.asks_for_holders or not event.serves_holders:
            return []
        if self.client.serves_holders:
            return []
        self.client.serves_holders = True
        self._fleet.broker_role = fleets.BrokerRole.MEMBER
        effects: list[messages.SlotInUse | messages.SlotRequest] = []
        for exchange in exchanges_by_id.values():
            effects.extend(self._report_in_use(exchange, now))
        for exchange_id in self.client.waiting:
            exchange = exchanges_by_id[exchange_id]
            if self._fleet.is_sharded(exchange.service):
                effects.append(self.request(exchange, now))
        return effects

    def _report_in_use(
        self, exchange: exchanges.Exchange, now: ids.Instant
    ) -> list[messages.SlotInUse]:
        upstream = exchange.upstream
        if exchange.phase is not exchanges.Phase.IN_FLIGHT or upstream is None:
            return []
        if not self._fleet.is_sharded(exchange.service):
            return []
        exchange.has_slot = True
        return [
            messages.SlotInUse(
                number=exchange.id,
                service=exchange.service,
                incarnation=upstream.registration.incarnation,
                remaining=max(exchange.deadline - now, 0.0),
            )
        ]

    def report(
        self,
        exchange: exchanges.Exchange,
        result: state.AttemptResult,
        load_report: objects.LoadReport | None,
        now: ids.Instant,
        is_turned_away: bool = False,
    ) -> list[messages.SlotReport]:
        """Return the report of an attempt's end, if it was in a slot."""
        if not exchange.has_slot:
            return []
        exchange.has_slot = False
        return [
            messages.SlotReport(
                number=exchange.id,
                result=result,
                seconds=now - exchange.attempt_started_at,
                report=load_report or messages.NO_REPORT,
                is_turned_away=is_turned_away,
            )
        ]


def _cancelled(number: int) -> messages.SlotReport:
    """Return the report of a slot, or of a wait for one, that is not used."""
    return messages.SlotReport(
        number=number, result=state.AttemptResult.CANCELLED, seconds=0.0
    )


def make_refusal(event: messages.SlotAssignment) -> errors.Overloaded:
    """Return the error of a request that got no place at the broker."""
    return errors.Overloaded(
        "the broker has no place in the holder's queue,"
        f" room expected in {event.retry_after:.2f} s",
        retry_after=retries.bounded_retry_after(event.retry_after),
    )
