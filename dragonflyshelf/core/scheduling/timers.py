"""Instants at which unfinished requests are due."""

from collections import abc
import heapq
from typing import Final

from dragonflyshelf.core import ids

NEVER: Final = ids.Instant(float("inf"))


class ExchangeTimers:
    """Timers of exchanges; several of one exchange are possible."""

    def __init__(self) -> None:
        """Create an empty set of timers."""
        self._heap: list[tuple[ids.Instant, ids.ExchangeId]] = []

    @property
    def due_at(self) -> ids.Instant:
        """Return when the next timer is due."""
        return self._heap[0][0] if self._heap else NEVER

    def add(self, exchange: ids.ExchangeId, due_at: ids.Instant) -> None:
        """Add a timer of an exchange."""
        heapq.heappush(self._heap, (due_at, exchange))

    def pop_due(self, now: ids.Instant) -> abc.Iterator[ids.ExchangeId]:
        """Remove and yield the exchanges whose timers are due."""
        while self.due_at <= now:
            _, exchange = heapq.heappop(self._heap)
            yield exchange

    def remove_all(self) -> list[ids.ExchangeId]:
        """Remove every timer and return their exchanges."""
        exchanges = [exchange for _, exchange in self._heap]
        self._heap.clear()
        return exchanges
