"""Hybrid logical clock, which orders events of all processes causally.

A timestamp is an integer: the wall clock in microseconds in the high
bits and a counter in the low bits. It is strictly increasing, also over
all observed timestamps; so an effect has a higher timestamp than its
cause even if the wall clocks of the processes differ.
"""

from typing import Final

from dragonflyshelf.core import ids

COUNT_BITS: Final = 12
MICROSECONDS: Final = 1_000_000
NO_STAMP: Final = ids.Stamp(0)


class HybridClock:
    """Clock of one process; the caller passes the wall-clock time."""

    __slots__ = ("latest",)

    def __init__(self) -> None:
        """Create a clock that has issued no timestamp."""
        self.latest = NO_STAMP

    def tick(self, wall_us: int) -> ids.Stamp:
        """Return a timestamp above all issued and observed ones."""
        wall = wall_us << COUNT_BITS
        latest = self.latest + 1
        self.latest = ids.Stamp(wall if wall > latest else latest)
        return self.latest

    def observe(self, stamp: ids.Stamp) -> None:
        """Advance the clock to the timestamp of a received message."""
        if stamp > self.latest:
            self.latest = stamp


def seconds_of(stamp: ids.Stamp) -> float:
    """Return the wall-clock part of a timestamp, in Unix seconds."""
    return (stamp >> COUNT_BITS) / MICROSECONDS
