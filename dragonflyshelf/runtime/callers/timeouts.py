"""Timeouts of a caller connection, which share one timer."""

import asyncio
import enum

from dragonflyshelf.core import ids
from dragonflyshelf.runtime.callers import messages
from dragonflyshelf.runtime import inbox


class TimeoutKind(enum.Enum):
    """Phase of a connection that a timeout limits."""

    RESPONSE = "answer"
    BODY = "body"
    HEAD = "head"
    IDLE = "idle"
    LINGER = "linger"
    WRITE = "write"


class TimeoutTimer:
    """Posts ``TimerFired`` when the current timeout may have expired.

    The timer is rescheduled only if it would fire after the timeout
    expires, so that a busy connection does not schedule a timer for each
    request. The owner calls ``check_expired`` when the message arrives.
    """

    def __init__(self, owner: inbox.Inbox) -> None:
        """Create a timer that is not running."""
        self._owner = owner
        self._timer: asyncio.TimerHandle | None = None
        self._expires_at = ids.Instant(0.0)
        self.kind = TimeoutKind.IDLE

    def set_timeout(
        self, kind: TimeoutKind, now: ids.Instant, seconds: float
    ) -> None:
        """Replace the current timeout by one of so many seconds."""
        self.kind = kind
        self._expires_at = ids.Instant(now + seconds)
        if self._timer is not None and self._timer.when() > self._expires_at:
            self.cancel()
        if self._timer is None:
            self._schedule()

    def check_expired(self, now: ids.Instant) -> bool:
        """Return whether the timeout has expired; reschedule it if not."""
        self.cancel()
        if now >= self._expires_at:
            return True
        self._schedule()
        return False

    def cancel(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(
            self._expires_at, self._owner.post, messages.TimerFired()
        )
