"""What a caller's connection waits for, with one timer for all."""

import asyncio
import enum

from dragonflyshelf.core import ids
from dragonflyshelf.runtime.callers import messages
from dragonflyshelf.runtime import inbox


class Wait(enum.Enum):
    """What a connection waits for."""

    ANSWER = "answer"
    BODY = "body"
    HEAD = "head"
    IDLE = "idle"
    LINGER = "linger"


class WaitTimer:
    """Posts ``WaitOver`` not before the end of the present wait.

    The timer is set again only when a wait ends sooner than it would
    fire, so that a busy connection starts no timer for each request.
    """

    def __init__(self, owner: inbox.Inbox) -> None:
        """Create a timer that does not run."""
        self._owner = owner
        self._timer: asyncio.TimerHandle | None = None
        self._until = ids.Instant(0.0)
        self.wait = Wait.IDLE

    def begin(self, wait: Wait, now: ids.Instant, seconds: float) -> None:
        """Wait for something until so many seconds from now."""
        self.wait = wait
        self._until = ids.Instant(now + seconds)
        if self._timer is not None and self._timer.when() > self._until:
            self.cancel()
        if self._timer is None:
            self._start()

    def is_over(self, now: ids.Instant) -> bool:
        """Tell whether the wait is over; start the timer again if not."""
        self.cancel()
        if now >= self._until:
            return True
        self._start()
        return False

    def cancel(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _start(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(
            self._until, self._owner.post, messages.WaitOver()
        )
