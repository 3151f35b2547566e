"""Event loop whose clock advances while the machine is suspended."""

import asyncio
import time


class BoottimeEventLoop(asyncio.SelectorEventLoop):
    """Event loop that uses the boot-time clock.

    Leases and confirmations must age while a machine is suspended; the
    monotonic clock does not count that time.
    """

    def time(self) -> float:
        """Return the boot-time clock in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
