"""Requests of this instance that wait for a slot."""

from collections import abc

from dragonflyshelf.core import ids
from dragonflyshelf.core.slots import const

DISTANT_PAST = ids.Instant(float("-inf"))
NEVER = ids.Instant(float("inf"))


class SlotClient:
    """Slot requests under way, and whether there is a broker to ask.

    Requests are identified by their exchange.
    """

    def __init__(self) -> None:
        """Create a client without a broker."""
        self._is_available = False
        self._avoid_until = DISTANT_PAST
        self._requested_at_by_exchange: dict[ids.ExchangeId, ids.Instant] = {}

    @property
    def due_at(self) -> ids.Instant:
        """Return when the oldest request has waited too long."""
        for requested_at in self._requested_at_by_exchange.values():
            return ids.Instant(requested_at + const.REQUEST_TIMEOUT_SECONDS)
        return NEVER

    def set_available(self, is_available: bool) -> None:
        """Set whether there is a broker."""
        self._is_available = is_available
        self._avoid_until = DISTANT_PAST

    def may_request(self, now: ids.Instant) -> bool:
        """Return whether the broker should be asked."""
        return self._is_available and now >= self._avoid_until

    def record_request(
        self, exchange: ids.ExchangeId, now: ids.Instant
    ) -> None:
        """Record that a slot was requested for a request."""
        self._requested_at_by_exchange[exchange] = now

    def remove(self, exchange: ids.ExchangeId) -> bool:
        """Remove a request; return whether it was waiting."""
        requested_at = self._requested_at_by_exchange.pop(exchange, None)
        return requested_at is not None

    def remove_overdue(self, now: ids.Instant) -> abc.Iterator[ids.ExchangeId]:
        """Remove and yield the requests that got no slot in time."""
        while self.due_at <= now:
            exchange = next(iter(self._requested_at_by_exchange))
            del self._requested_at_by_exchange[exchange]
            self._avoid_until = ids.Instant(now + const.AVOIDANCE_SECONDS)
            yield exchange
