"""Account of the bytes that an instance holds for its connections."""

from collections import abc
import dataclasses
from typing import Final

from dragonflyshelf.core import ids
from dragonflyshelf.core.memory import messages
from dragonflyshelf.core import registry

CONNECTION_BYTES: Final = 32 * 1024
"""Memory of a connection that holds nothing, or too little to report."""

REPORT_STEP_BYTES: Final = 16 * 1024
"""Change of a holding from which the account has to know it."""

RELEASED_RATIO: Final = 7 / 8
"""Part of the limit to which the sum is brought back."""

MOVED_HALF_LIFE_SECONDS: Final = 1.0
"""Time in which moved bytes lose half of their weight."""

MIN_MOVED_BYTES: Final = 4096
"""Moved bytes that each holder is taken to have, to compare those at 0."""

Handler = abc.Callable[
    ["ByteAccount", messages.MemoryEvent, ids.Instant], None
]
HANDLERS: Final[registry.Registry[type, Handler]] = registry.Registry(
    "memory handlers"
)


@dataclasses.dataclass(kw_only=True, slots=True)
class Holding:
    """What one connection holds, and how much of it moved of late.

    ``is_released`` is set while the connection is being closed.
    """

    holder: ids.HolderId
    held_bytes: int
    moved_bytes: float
    updated_at: ids.Instant
    is_released: bool = False

    def update(self, event: messages.HoldingChanged, now: ids.Instant) -> None:
        """Apply a report."""
        self.moved_bytes = self.weigh_moved(now) + event.moved_bytes
        self.updated_at = now
        self.held_bytes = event.held_bytes
        self.is_released = False

    def weigh_moved(self, now: ids.Instant) -> float:
        """Return the moved bytes, old ones with less weight."""
        half_lives = (now - self.updated_at) / MOVED_HALF_LIFE_SECONDS
        return float(self.moved_bytes * 0.5**half_lives)

    def find_drain_time(self, now: ids.Instant) -> float:
        """Return how long it takes to move all, in an arbitrary unit."""
        return (self.held_bytes + CONNECTION_BYTES) / (
            self.weigh_moved(now) + MIN_MOVED_BYTES
        )


class ByteAccount:
    """Sums what all connections hold and selects those to be closed.

    While the sum is over its limit, the connections that hold most and
    move least are released.
    """

    def __init__(self, sum_bytes: int) -> None:
        """Create an account without holders."""
        self.sum_bytes = sum_bytes
        self.held_bytes = 0
        self._holdings_by_id: dict[ids.HolderId, Holding] = {}

    @property
    def holder_count(self) -> int:
        """Return the number of open connections."""
        return len(self._holdings_by_id)

    def handle(
        self, event: messages.MemoryEvent, now: ids.Instant
    ) -> list[messages.Release]:
        """Apply an event and return the connections to be closed."""
        HANDLERS.get(type(event))(self, event, now)
        if self.held_bytes <= self.sum_bytes:
            return []
        return self._release(now)

    @HANDLERS.register(messages.HoldingChanged)
    def _on_holding_changed(
        self, event: messages.HoldingChanged, now: ids.Instant
    ) -> None:
        holding = self._holdings_by_id.get(event.holder)
        if holding is None:
            holding = Holding(
                holder=event.holder,
                held_bytes=0,
                moved_bytes=0.0,
                updated_at=now,
            )
            self._holdings_by_id[event.holder] = holding
            self.held_bytes += CONNECTION_BYTES
        self.held_bytes += event.held_bytes - holding.held_bytes
        holding.update(event, now)

    @HANDLERS.register(messages.HoldingEnded)
    def _on_holding_ended(
        self, event: messages.HoldingEnded, now: ids.Instant
    ) -> None:
        holding = self._holdings_by_id.pop(event.holder, None)
        if holding is not None:
            self.held_bytes -= holding.held_bytes + CONNECTION_BYTES

    def _release(self, now: ids.Instant) -> list[messages.Release]:
        excess_bytes = self.held_bytes - self.sum_bytes * RELEASED_RATIO
        candidates = []
        for holding in self._holdings_by_id.values():
            if holding.is_released:
                excess_bytes -= holding.held_bytes + CONNECTION_BYTES
            else:
                candidates.append(holding)
        if excess_bytes <= self.sum_bytes * (1 - RELEASED_RATIO):
            return []
        candidates.sort(
            key=lambda holding: holding.find_drain_time(now), reverse=True
        )
        effects = []
        for holding in candidates:
            if excess_bytes <= 0:
                break
            holding.is_released = True
            excess_bytes -= holding.held_bytes + CONNECTION_BYTES
            effects.append(
                messages.Release(
                    holder=holding.holder, held_bytes=holding.held_bytes
                )
            )
        return effects
