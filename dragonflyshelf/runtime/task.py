"""Base class of the tasks that own sockets, timers and core objects."""

import asyncio
from collections import abc
import contextlib
from typing import Any, ClassVar

from absl import logging

from dragonflyshelf.core import ids
from dragonflyshelf.runtime import inbox

_LOGGER = logging.get_absl_logger()

ATTR_MESSAGE_TYPE = "_handles_type"
"""Attribute in which ``handles`` stores the message type of a method."""


def handles(
    message_type: type,
) -> abc.Callable[[abc.Callable[..., None]], abc.Callable[..., None]]:
    """Return a decorator that registers a method for a message type."""

    def decorate(method: abc.Callable[..., None]) -> abc.Callable[..., None]:
        setattr(method, ATTR_MESSAGE_TYPE, message_type)
        return method

    return decorate


class Task:
    """Asyncio task with an inbox and a handler for each message type."""

    handler_names_by_type: ClassVar[dict[type, str]] = {}

    def __init_subclass__(cls, **kwargs: Any) -> None:
        """Collect the methods that are decorated with ``handles``."""
        super().__init_subclass__(**kwargs)
        cls.handler_names_by_type = dict(cls.handler_names_by_type)
        for name, method in vars(cls).items():
            message_type = getattr(method, ATTR_MESSAGE_TYPE, None)
            if message_type is not None:
                cls.handler_names_by_type[message_type] = name

    def __init__(
        self, name: str, limit: int = inbox.DEFAULT_MAX_MESSAGE_COUNT
    ) -> None:
        """Create a task that is not running yet."""
        self.inbox = inbox.Inbox(name, limit)
        self.is_stopping = False
        self._stop_future: asyncio.Future[None] | None = None
        self._runner: asyncio.Task[None] | None = None
        self._handlers_by_type = {
            message_type: getattr(self, method)
            for message_type, method in self.handler_names_by_type.items()
        }

    @property
    def now(self) -> ids.Instant:
        """Return the monotonic time of the event loop in seconds."""
        return ids.Instant(asyncio.get_running_loop().time())

    def post_later(
        self, delay_seconds: float, message: Any
    ) -> asyncio.TimerHandle:
        """Post a message to this task after a delay in seconds."""
        loop = asyncio.get_running_loop()
        return loop.call_later(delay_seconds, self.inbox.post, message)

    def start(self) -> "Task":
        """Start handling messages; return the task itself."""
        self._runner = asyncio.create_task(
            self._async_run(), name=self.inbox.name
        )
        return self

    def stop(self) -> None:
        """End the task after the current message."""
        self.is_stopping = True

    async def async_join(self) -> None:
        """Cancel the task and wait until it has ended."""
        if self._runner is None:
            return
        self._runner.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._runner

    @contextlib.asynccontextmanager
    async def async_running(self) -> "abc.AsyncIterator[Task]":
        """Run the task until the end of a ``with`` block."""
        self.start()
        try:
            yield self
        finally:
            await self.async_join()

    async def _async_run(self) -> None:
        self._stop_future = asyncio.get_running_loop().create_future()
        self.inbox.attach(self._handle_messages)
        try:
            await self._stop_future
        finally:
            self.inbox.detach()
            self.on_end()

    def _handle_messages(self) -> None:
        while self.inbox and not self.is_stopping:
            self._handle_message(self.inbox.pop())
        if not self.is_stopping:
            self.on_messages_handled()
        if self.is_stopping and self._stop_future is not None:
            if not self._stop_future.done():
                self._stop_future.set_result(None)

    def _handle_message(self, message: Any) -> None:
        handler = self._handlers_by_type.get(type(message))
        if handler is None:
            _LOGGER.error(
                "task %s has no handler for message %s",
                self.inbox.name,
                type(message).__name__,
            )
            return
        try:
            handler(message)
        except Exception:
            _LOGGER.exception(
                "task %s failed to handle message %s",
                self.inbox.name,
                type(message).__name__,
            )
            self.on_failure()

    def on_messages_handled(self) -> None:
        """React to the end of the queued messages; does nothing by default."""

    def on_failure(self) -> None:
        """React to an exception in a handler; does nothing by default."""

    def on_end(self) -> None:
        """Release the resources of the task; called once, when it ends."""
