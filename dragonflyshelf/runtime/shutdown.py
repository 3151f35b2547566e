"""Task that shuts the process down gracefully.

Readiness turns false and the lease is released at once. During the settle
time, callers are asked to send further requests elsewhere. Then the
listener closes, and every connection is closed after its current exchange.
A second signal or the deadline cuts the requests that are still open.
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

POLL_INTERVAL_SECONDS = 0.02
"""Interval between checks whether the last requests have finished."""


class Phase(enum.Enum):
    """Phase of the shutdown."""

    SERVING = "serving"
    SETTLING = "settling"
    DRAINING_CALLERS = "ending_callers"
    AWAITING_REQUESTS = "finishing"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StopRequested:
    """A signal has requested the shutdown."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PhaseElapsed:
    """The time of a phase has elapsed."""

    phase: Phase


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DeadlinePassed:
    """The deadline of the shutdown has passed."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PollRequests:
    """Timer: check whether the last requests have finished."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OpenCounts:
    """Numbers of open connections and requests."""

    connections: int
    requests: int


class ShutdownTask(task.Task):
    """Controls the shutdown of the instance from the first signal on."""

    def __init__(
        self,
        config: settings.ShutdownSettings,
        listener_inboxes: tuple[inbox.Inbox, ...],
        control_inbox: inbox.Inbox,
        count_open: abc.Callable[[], OpenCounts],
    ) -> None:
        """Create the task; ``count_open`` returns the current numbers."""
        super().__init__("shutdown")
        self._config = config
        self._listener_inboxes = listener_inboxes
        self._draining_count = len(listener_inboxes)
        self._control_inbox = control_inbox
        self._count_open = count_open
        self._end_event = asyncio.Event()
        self.phase = Phase.SERVING
        self.cut = OpenCounts(connections=0, requests=0)

    async def async_wait(self) -> OpenCounts:
        """Wait for the end of the shutdown and return what was cut."""
        await self._end_event.wait()
        return self.cut

    @task.handles(StopRequested)
    def _on_stop_requested(self, message: StopRequested) -> None:
        if self.phase is not Phase.SERVING:
            self._end("a second signal")
            return
        _LOGGER.info("shutdown began")
        self.phase = Phase.SETTLING
        self._control_inbox.post(grantor.Resign())
        for listener_inbox in self._listener_inboxes:
            listener_inbox.post(callers.DisableKeepAlive())
        self.post_later(
            self._config.settle, PhaseElapsed(phase=Phase.SETTLING)
        )
        self.post_later(self._config.deadline, DeadlinePassed())

    @task.handles(PhaseElapsed)
    def _on_phase_elapsed(self, message: PhaseElapsed) -> None:
        if message.phase is not self.phase:
            return
        self.phase = Phase.DRAINING_CALLERS
        for listener_inbox in self._listener_inboxes:
            listener_inbox.post(callers.DrainCallers(reply_to=self.inbox))

    @task.handles(callers.CallersDrained)
    def _on_callers_drained(self, message: callers.CallersDrained) -> None:
        self._draining_count -= 1
        if not self._draining_count and self.phase is Phase.DRAINING_CALLERS:
            self._start_polling_requests()

    @task.handles(PollRequests)
    def _on_poll_requests(self, message: PollRequests) -> None:
        if self.phase is not Phase.AWAITING_REQUESTS:
            return
        if self._count_open().requests:
            self.post_later(POLL_INTERVAL_SECONDS, message)
            return
        self._end("all requests have finished")

    @task.handles(DeadlinePassed)
    def _on_deadline_passed(self, message: DeadlinePassed) -> None:
        self._end("the deadline has passed")

    def _start_polling_requests(self) -> None:
        self.phase = Phase.AWAITING_REQUESTS
        self.inbox.post(PollRequests())

    def _log_level(self) -> int:
        level = settings.LogLevel.INFO
        if self.cut.requests:
            level = settings.LogLevel.WARNING
        return logs.STANDARD_LEVEL_BY_LOG_LEVEL[level]

    def _end(self, reason: str) -> None:
        if self.phase is Phase.ENDED:
            return
        self.phase = Phase.ENDED
        self.cut = self._count_open()
        _LOGGER.log(
            self._log_level(),
            "shutdown ended: %s",
            reason,
            extra={
                "cut_connections": self.cut.connections,
                "cut_requests": self.cut.requests,
            },
        )
        self._end_event.set()
