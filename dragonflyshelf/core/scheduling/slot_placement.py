"""Placement of requests in slots that a broker assigns."""

from dragonflyshelf.core import ids
from dragonflyshelf.core.scheduling import exchanges
from dragonflyshelf.core.scheduling import fleet as fleets
from dragonflyshelf.core.slots import client
from dragonflyshelf.core.slots import messages
from dragonflyshelf.core.upstreams import objects
from dragonflyshelf.core.upstreams import state


class SlotPlacement:
    """Slot requests of this instance's exchanges, and their reports."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        """Create a placement without a broker."""
        self._fleet = fleet
        self.client = client.SlotClient()

    def may_request(
        self, exchange: exchanges.Exchange, now: ids.Instant
    ) -> bool:
        """Return whether the upstream of a request is to be assigned.

        Those of a divided service follow from its key, and a canary is
        chosen here.
        """
        if self._fleet.is_sharded(exchange.service):
            return False
        if self._fleet.due_canaries(exchange.service, now):
            return False
        return self.client.may_request(now)

    def request(
        self, exchange: exchanges.Exchange, now: ids.Instant
    ) -> messages.SlotRequest:
        """Return the request for a slot, for which the exchange waits."""
        exchange.phase = exchanges.Phase.AWAITING_SLOT
        self.client.record_request(exchange.id, now)
        return messages.SlotRequest(
            number=exchange.id,
            service=exchange.service,
            objective=exchange.match.route.latency_objective,
            remaining=max(exchange.deadline - now, 0.0),
        )

    def find_assigned(
        self,
        exchange: exchanges.Exchange,
        event: messages.SlotAssignment,
        now: ids.Instant,
    ) -> state.UpstreamState | None:
        """Return the upstream that was assigned, None if it is not usable."""
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
        return [
            messages.SlotReport(
                number=event.number,
                result=state.AttemptResult.CANCELLED,
                seconds=0.0,
            )
        ]

    def report(
        self,
        exchange: exchanges.Exchange,
        result: state.AttemptResult,
        load_report: objects.LoadReport | None,
        now: ids.Instant,
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
            )
        ]
