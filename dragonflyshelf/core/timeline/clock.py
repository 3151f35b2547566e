"""Hybrid logical clock, which orders events over all processes.

A stamp is one number: the wall clock in microseconds, shifted, with a
counter in the low bits. It only grows, and grows past every stamp that
was observed; so an effect has a higher stamp than its cause whatever
the wall clocks say.
"""

from typing import Final

from dragonflyshelf.core import ids

COUNT_BITS: Final = 12
MICROSECONDS: Final = 1_000_000
NO_STAMP: Final = ids.HybridTimestamp(0)


class HybridClock:
    """Clock of one process; the wall clock is an argument."""

    __slots__ = ("latest",)

    def __init__(self) -> None:
        """Create a clock that has seen nothing."""
        self.latest = NO_STAMP

    def tick(self, wall_us: int) -> ids.HybridTimestamp:
        """Return a stamp above all that were returned or observed."""
        wall = wall_us << COUNT_BITS
        latest = self.latest + 1
        self.latest = ids.HybridTimestamp(wall if wall > latest else latest)
        return self.latest

    def observe(self, stamp: ids.HybridTimestamp) -> None:
        """Take in the stamp of a message from another process."""
        if stamp > self.latest:
            self.latest = stamp


def seconds_of(stamp: ids.HybridTimestamp) -> float:
    """Return the wall-clock part of a stamp, in seconds."""
    return (stamp >> COUNT_BITS) / MICROSECONDS
