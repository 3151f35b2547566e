"""Base of the tasks that own sockets, timers and core parts."""

import asyncio
from collections import abc
import contextlib
from typing import Any, ClassVar

from absl import logging

from dragonflyshelf.core import ids
from dragonflyshelf.runtime import inbox

_LOGGER = logging.get_absl_logger()

ATTR_HANDLES = "_handles_type"


def handles(
    kind: type,
) -> abc.Callable[[abc.Callable[..., None]], abc.Callable[..., None]]:
    """Return a decorator that makes a method the handler of a type."""

    def decorate(method: abc.Callable[..., None]) -> abc.Callable[..., None]:
        setattr(method, ATTR_HANDLES, kind)
        return method

    return decorate


class Task:
    """An asyncio task with an inbox and handlers by message type."""

    handlers_by_type: ClassVar[dict[type, str]] = {}

    def __init_subclass__(cls, **kwargs: Any) -> None:
        """Collect the methods that ``handles`` has marked."""
        super().__init_subclass__(**kwargs)
        cls.handlers_by_type = dict(cls.handlers_by_type)
        for name, method in vars(cls).items():
            kind = getattr(method, ATTR_HANDLES, None)
            if kind is not None:
                cls.handlers_by_type[kind] = name

    def __init__(
        self, name: str, limit: int = inbox.DEFAULT_INBOX_MESSAGES
    ) -> None:
        """Create a task that does not run yet."""
        self.inbox = inbox.Inbox(name, limit)
        self.stopped = False
        self._runner_end: asyncio.Future[None] | None = None
        self._runner: asyncio.Task[None] | None = None
        self._bound_by_type = {
            kind: getattr(self, method)
            for kind, method in self.handlers_by_type.items()
        }

    @property
    def now(self) -> ids.Instant:
        """Return the monotonic time of this process in seconds."""
        return ids.Instant(asyncio.get_running_loop().time())

    def post_later(self, delay: float, message: Any) -> asyncio.TimerHandle:
        """Post a message to the own inbox after a delay in seconds."""
        loop = asyncio.get_running_loop()
        return loop.call_later(delay, self.inbox.post, message)

    def start(self) -> "Task":
        """Start to read the inbox; return the task itself."""
        self._runner = asyncio.create_task(
            self._async_run(), name=self.inbox.name
        )
        return self

    def stop(self) -> None:
        """Let the task end once the present message is handled."""
        self.stopped = True

    async def async_join(self) -> None:
        """Cancel the task if needed and wait until it has ended."""
        if self._runner is None:
            return
        self._runner.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._runner

    @contextlib.asynccontextmanager
    async def async_running(self) -> "abc.AsyncIterator[Task]":
        """Run the task for the length of a ``with`` block."""
        self.start()
        try:
            yield self
        finally:
            await self.async_join()

    async def _async_run(self) -> None:
        self._runner_end = asyncio.get_running_loop().create_future()
        self.inbox.attach(self._read)
        try:
            await self._runner_end
        finally:
            self.inbox.detach()
            self.on_end()

    def _read(self) -> None:
        while self.inbox and not self.stopped:
            self._handle(self.inbox.pop())
        if self.stopped and self._runner_end is not None:
            if not self._runner_end.done():
                self._runner_end.set_result(None)

    def _handle(self, message: Any) -> None:
        handler = self._bound_by_type.get(type(message))
        if handler is None:
            _LOGGER.error(
                "task %s has no handler for %s",
                self.inbox.name,
                type(message).__name__,
            )
            return
        try:
            handler(message)
        except Exception:
            _LOGGER.exception(
                "task %s failed on %s",
                self.inbox.name,
                type(message).__name__,
            )
            self.on_failure()

    def on_failure(self) -> None:
        """React to a handler that raised; the default goes on."""

    def on_end(self) -> None:
        """Release what the task owns; called once, at its end."""
