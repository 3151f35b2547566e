"""Inboxes, through which tasks exchange all their messages."""

import asyncio
import collections
from collections import abc
from typing import Any

from dragonflyshelf.core import errors

DEFAULT_MAX_MESSAGE_COUNT = 100000
"""Capacity of an inbox unless another limit is given."""


class Inbox:
    """Bounded message queue with one reader.

    ``post`` never blocks, so a slow reader cannot hold up a sender. If the
    inbox is full it raises ``InboxFull``, and the sender decides what to
    shed. The first message schedules the reader for the next iteration of
    the event loop, where it handles all queued messages.
    """

    __slots__ = (
        "_is_scheduled",
        "_limit",
        "_loop",
        "_messages",
        "_reader",
        "name",
    )

    def __init__(
        self, name: str, limit: int = DEFAULT_MAX_MESSAGE_COUNT
    ) -> None:
        """Create an empty inbox for at most ``limit`` messages."""
        self.name = name
        self._limit = limit
        self._messages: collections.deque[Any] = collections.deque()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._reader: abc.Callable[[], None] | None = None
        self._is_scheduled = False

    def __len__(self) -> int:
        """Return the number of queued messages."""
        return len(self._messages)

    def post(self, message: Any) -> None:
        """Append a message and schedule the reader."""
        if len(self._messages) >= self._limit:
            raise errors.InboxFull("inbox is full", peer=self.name)
        self._messages.append(message)
        if not self._is_scheduled and self._loop is not None:
            self._is_scheduled = True
            self._loop.call_soon(self._run_reader)

    def pop(self) -> Any:
        """Remove and return the oldest message."""
        return self._messages.popleft()

    def attach(self, reader: abc.Callable[[], None]) -> None:
        """Call the reader in the running loop when messages are queued."""
        self._loop = asyncio.get_running_loop()
        self._reader = reader
        if self._messages:
            self._is_scheduled = True
            self._loop.call_soon(self._run_reader)

    def detach(self) -> None:
        """Detach the reader; queued messages are kept."""
        self._loop = None
        self._reader = None

    async def async_wait(self) -> None:
        """Wait until a message is queued; for use without a reader."""
        while not self._messages:
            message_posted = asyncio.Event()
            self.attach(message_posted.set)
            try:
                await message_posted.wait()
            finally:
                self.detach()

    def _run_reader(self) -> None:
        try:
            if self._reader is not None:
                self._reader()
        finally:
            self._is_scheduled = False
