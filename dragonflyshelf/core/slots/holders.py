"""Assignment of the slots of holders, with a queue for each of them.

Load pattern: a divided service whose requests reach many instances, and
holders that are full or have a key that takes much of the traffic. Each
instance sees a holder too seldom to know its room, so all send and the
holder resets. Here the requests of a data centre meet, in the order in
which they are to be served, and what has no place is refused at once.
"""

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.scheduling import dispatcher as dispatchers
from dragonflyshelf.core.scheduling import fleet as fleets
from dragonflyshelf.core.scheduling import retries
from dragonflyshelf.core.slots import broker
from dragonflyshelf.core.slots import messages
from dragonflyshelf.core.slots import tickets
from dragonflyshelf.core.upstreams import state


class HolderBroker:
    """Queues the requests of members, and responds to them."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        dispatcher: dispatchers.RequestDispatcher,
        slot_broker: broker.SlotBroker,
    ) -> None:
        """Create a broker; the requests wait in the dispatcher."""
        self._fleet = fleet
        self._dispatcher = dispatcher
        self._slot_broker = slot_broker

    def request(
        self, event: messages.SlotRequested, now: ids.Instant
    ) -> list[messages.AssignSlot]:
        """Queue a request; return the response if it gets no place."""
        self._slot_broker.release_overdue(now)
        return self.push(
            tickets.SlotTicket(
                key=_key_of(event), request=event.request, received_at=now
            ),
            now,
        )

    def push(
        self, ticket: tickets.SlotTicket, now: ids.Instant
    ) -> list[messages.AssignSlot]:
        """Queue a request; return the response if it gets no place.

        A request that no holder can take is left to its instance.
        """
        try:
            self._dispatcher.push_ticket(ticket, now)
        except errors.Overloaded as error:
            return [_respond(ticket.key, retry_after=error.retry_after)]
        except errors.RouterError:
            return [_respond(ticket.key)]
        return []

    def assign(
        self,
        ticket: tickets.SlotTicket,
        holder: state.UpstreamState,
        now: ids.Instant,
    ) -> messages.AssignSlot:
        """Return the response to a request whose turn has come."""
        request = ticket.request
        is_brokered = self._fleet.is_brokered(request.service)
        if holder.is_warming_up(now) and not is_brokered:
            return _respond(ticket.key)
        self._slot_broker.hold(
            ticket.key, request.service, holder, request.remaining, now
        )
        return _respond(ticket.key, holder.registration.incarnation)

    def acknowledge(
        self, event: messages.SlotRequested
    ) -> list[messages.AssignSlot]:
        """Return the response to a request if it waits."""
        key = _key_of(event)
        if not self._dispatcher.has_ticket(key):
            return []
        return [_respond(key, is_queued=True)]

    def expire(
        self, ticket: tickets.SlotTicket, service_time: float
    ) -> messages.AssignSlot:
        """Return the response to a request that has waited too long."""
        retry_after = retries.bounded_retry_after(service_time)
        return _respond(ticket.key, retry_after=retry_after)

    def withdraw(self, event: messages.SlotReported) -> None:
        """Remove a request that its instance has ended."""
        self._dispatcher.remove_ticket(
            messages.SlotKey(link=event.link, number=event.report.number)
        )


def _key_of(event: messages.SlotRequested) -> messages.SlotKey:
    return messages.SlotKey(link=event.link, number=event.request.number)


def _respond(
    key: messages.SlotKey,
    incarnation: ids.UpstreamIncarnation = messages.NO_UPSTREAM,
    is_queued: bool = False,
    retry_after: float = 0.0,
) -> messages.AssignSlot:
    return messages.AssignSlot(
        link=key.link,
        assignment=messages.SlotAssignment(
            number=key.number,
            incarnation=incarnation,
            serves_holders=True,
            is_queued=is_queued,
            retry_after=retry_after,
        ),
    )
