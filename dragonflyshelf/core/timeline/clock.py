"""Hybrid logical clock, which orders events of all processes causally.

A timestamp is an integer: the wall clock in microseconds in the high
bits and a counter in the low bits. It is strictly increasing, also over
all observed timestamps; so an effect has a higher timestamp than its
cause even if the wall clocks of the processes differ.
"""

from typing import Final

from dragonflyshelf.core import ids

COUNTER_BIT_COUNT: Final = 12
"""Low bits of a timestamp that hold the counter."""

MICROSECONDS_PER_SECOND: Final = 1_000_000

NO_TIMESTAMP: Final = ids.HybridTimestamp(0)
"""Timestamp below all that a clock issues."""


class HybridLogicalClock:
    """Clock of one process; the caller passes the wall-clock time."""

    __slots__ = ("latest_timestamp",)

    def __init__(self) -> None:
        """Create a clock that has issued no timestamp."""
        self.latest_timestamp = NO_TIMESTAMP

    def tick(self, wall_us: int) -> ids.HybridTimestamp:
        """Return a timestamp above all issued and observed ones."""
        wall_timestamp = wall_us << COUNTER_BIT_COUNT
        next_timestamp = self.latest_timestamp + 1
        self.latest_timestamp = ids.HybridTimestamp(
            wall_timestamp
            if wall_timestamp > next_timestamp
            else next_timestamp
        )
        return self.latest_timestamp

    def observe(self, timestamp: ids.HybridTimestamp) -> None:
        """Advance the clock to the timestamp of a received message."""
        if timestamp > self.latest_timestamp:
            self.latest_timestamp = timestamp


def wall_clock_seconds(timestamp: ids.HybridTimestamp) -> float:
    """Return the wall-clock part of a timestamp, in Unix seconds."""
    return (timestamp >> COUNTER_BIT_COUNT) / MICROSECONDS_PER_SECOND
