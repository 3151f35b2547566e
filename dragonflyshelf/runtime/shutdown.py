"""Task that ends the process in order.

Readiness turns false at once and the lease is given up. Callers are
told to go for the settle time, then the listener closes and every
connection ends after its exchange. A second signal or the deadline cuts
the rest.
"""

import asyncio
from collections import abc
import dataclasses
import enum

from absl import logging

from dragonflyshelf.core.grantor import messages as grantor
from dragonflyshelf.core import settings
from dragonflyshelf.runtime.callers import messages as callers
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import logs
from dragonflyshelf.runtime import task

_LOGGER = logging.get_absl_logger()

POLL_INTERVAL = 0.02


class Phase(enum.Enum):
    """How far the end of the process has come."""

    SERVING = "serving"
    SETTLING = "settling"
    ENDING_CALLERS = "ending_callers"
    FINISHING = "finishing"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StopWanted:
    """A signal asks for the end."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PhaseOver:
    """The time of a phase is over."""

    phase: Phase


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DeadlineOver:
    """The time for the whole shutdown is over."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Poll:
    """Time to look whether the last requests have finished."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Cut:
    """What was still open at the end."""

    connections: int
    requests: int


class ShutdownTask(task.Task):
    """Leads the instance from its first signal to its end."""

    def __init__(
        self,
        config: settings.ShutdownSettings,
        listeners: tuple[inbox.Inbox, ...],
        control_inbox: inbox.Inbox,
        count_open: abc.Callable[[], Cut],
    ) -> None:
        """Create the task; ``count_open`` tells what is open now."""
        super().__init__("shutdown")
        self._config = config
        self._listeners = listeners
        self._waiting = len(listeners)
        self._control = control_inbox
        self._count_open = count_open
        self._ended = asyncio.Event()
        self.phase = Phase.SERVING
        self.cut = Cut(connections=0, requests=0)

    async def async_wait(self) -> Cut:
        """Wait for the end and return what was cut."""
        await self._ended.wait()
        return self.cut

    @task.handles(StopWanted)
    def _on_stop(self, message: StopWanted) -> None:
        if self.phase is not Phase.SERVING:
            self._end("a second signal")
            return
        _LOGGER.info("shutdown began")
        self.phase = Phase.SETTLING
        self._control.post(grantor.Resign())
        for one in self._listeners:
            one.post(callers.DisableKeepAlive())
        self.post_later(self._config.settle, PhaseOver(phase=Phase.SETTLING))
        self.post_later(self._config.deadline, DeadlineOver())

    @task.handles(PhaseOver)
    def _on_phase_over(self, message: PhaseOver) -> None:
        if message.phase is not self.phase:
            return
        self.phase = Phase.ENDING_CALLERS
        for one in self._listeners:
            one.post(callers.DrainCallers(reply_to=self.inbox))

    @task.handles(callers.CallersDrained)
    def _on_callers_drained(self, message: callers.CallersDrained) -> None:
        self._waiting -= 1
        if not self._waiting and self.phase is Phase.ENDING_CALLERS:
            self._finish()

    @task.handles(Poll)
    def _on_poll(self, message: Poll) -> None:
        if self.phase is not Phase.FINISHING:
            return
        if self._count_open().requests:
            self.post_later(POLL_INTERVAL, message)
            return
        self._end("all work is done")

    @task.handles(DeadlineOver)
    def _on_deadline(self, message: DeadlineOver) -> None:
        self._end("the deadline has passed")

    def _finish(self) -> None:
        self.phase = Phase.FINISHING
        self.inbox.post(Poll())

    def _level(self) -> int:
        level = settings.LogLevel.INFO
        if self.cut.requests:
            level = settings.LogLevel.WARNING
        return logs.STANDARD_LEVELS[level]

    def _end(self, reason: str) -> None:
        if self.phase is Phase.ENDED:
            return
        self.phase = Phase.ENDED
        self.cut = self._count_open()
        _LOGGER.log(
            self._level(),
            "shutdown ended: %s",
            reason,
            extra={
                "cut_connections": self.cut.connections,
                "cut_requests": self.cut.requests,
            },
        )
        self._ended.set()
