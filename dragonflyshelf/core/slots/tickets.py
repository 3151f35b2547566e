"""Slot requests of a divided service that wait at the broker."""

import dataclasses
from typing import Final

from dragonflyshelf.core import ids
from dragonflyshelf.core.slots import const
from dragonflyshelf.core.slots import messages

MAX_PRIORITY: Final = 255
"""Lowest rank that a slot request states; 0 is the highest."""


def bounded_seconds(seconds: float) -> float:
    """Return a duration of a request within what a broker believes."""
    return min(const.MAX_TERM_SECONDS, max(0.0, seconds))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SlotTicket:
    """A slot request and the instant at which it was received."""

    key: messages.SlotKey
    request: messages.SlotRequest
    received_at: ids.Instant

    @property
    def latest_start(self) -> ids.Instant:
        """Return until when the request may wait."""
        patience = bounded_seconds(self.request.patience)
        return ids.Instant(self.received_at + patience)

    @property
    def objective_at(self) -> ids.Instant:
        """Return when the objective of the request ends."""
        seconds = bounded_seconds(self.request.objective_left)
        return ids.Instant(self.received_at + seconds)
