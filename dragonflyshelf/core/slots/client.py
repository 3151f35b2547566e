"""Requests of this instance that wait for a slot."""

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
        self.serves_holders = False
        """Whether the broker assigns slots of divided services."""
        self._avoid_until = DISTANT_PAST
        self._due_at_by_exchange: dict[ids.ExchangeId, ids.Instant] = {}
        self._queued: set[ids.ExchangeId] = set()

    @property
    def due_at(self) -> ids.Instant:
        """Return when the first request will have waited too long."""
        return min(self._due_at_by_exchange.values(), default=NEVER)

    def set_available(self, is_available: bool, now: ids.Instant) -> None:
        """Set whether there is a broker, as it has changed.

        Requests that the former one had queued wait for a short time only.
        """
        self._is_available = is_available
        self.serves_holders = False
        self._avoid_until = DISTANT_PAST
        latest = ids.Instant(now + const.SUCCESSOR_WAIT_SECONDS)
        for exchange, due_at in self._due_at_by_exchange.items():
            self._due_at_by_exchange[exchange] = min(due_at, latest)

    @property
    def waiting(self) -> tuple[ids.ExchangeId, ...]:
        """Return the requests that wait for a slot."""
        return tuple(self._due_at_by_exchange)

    def may_request(self, now: ids.Instant) -> bool:
        """Return whether the broker should be asked."""
        return self._is_available and now >= self._avoid_until

    def record_request(
        self, exchange: ids.ExchangeId, now: ids.Instant
    ) -> None:
        """Record that a slot was requested for a request."""
        self._queued.discard(exchange)
        self._due_at_by_exchange[exchange] = ids.Instant(
            now + const.REQUEST_TIMEOUT_SECONDS
        )

    def acknowledge(
        self, exchange: ids.ExchangeId, latest_start: ids.Instant
    ) -> None:
        """Record that a request is queued at the broker."""
        self._due_at_by_exchange[exchange] = ids.Instant(
            latest_start + const.EXPIRY_MARGIN_SECONDS
        )
        self._queued.add(exchange)

    def is_waiting(self, exchange: ids.ExchangeId) -> bool:
        """Return whether a request waits for a slot."""
        return exchange in self._due_at_by_exchange

    def remove(self, exchange: ids.ExchangeId) -> bool:
        """Remove a request; return whether it was waiting."""
        self._queued.discard(exchange)
        return self._due_at_by_exchange.pop(exchange, None) is not None

    def remove_overdue(self, now: ids.Instant) -> list[ids.ExchangeId]:
        """Remove and return the requests that got no slot in time.

        A broker that has not even queued one of them is avoided for a while.
        """
        overdue = [
            exchange
            for exchange, due_at in self._due_at_by_exchange.items()
            if due_at <= now
        ]
        if not self._queued.issuperset(overdue):
            self._avoid_until = ids.Instant(now + const.AVOIDANCE_SECONDS)
        for exchange in overdue:
            self.remove(exchange)
        return overdue
