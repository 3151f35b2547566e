"""Hybrid clock of this process, on its wall clock."""

import time

from dragonflyshelf.core import ids
from dragonflyshelf.core.timeline import clock

NANOSECONDS_PER_MICROSECOND = 1000


class ProcessClock:
    """Gives out stamps to all tasks of one process.

    Like the loop's clock it is read by every task; stamps are given
    when an event or a frame is posted, not when it is handled, because
    a frame could overtake the record of its cause.
    """

    def __init__(self) -> None:
        """Create the clock."""
        self._clock = clock.HybridClock()

    def tick(self) -> ids.Stamp:
        """Return a stamp above all earlier ones."""
        wall_us = time.time_ns() // NANOSECONDS_PER_MICROSECOND
        return self._clock.tick(wall_us)

    def observe(self, stamp: ids.Stamp) -> None:
        """Take in the stamp of a message from another process."""
        self._clock.observe(stamp)
