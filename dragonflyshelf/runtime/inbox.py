"""Inboxes, the only way in which tasks talk to each other."""

import asyncio
import collections
import dataclasses
from typing import Any

from dragonflyshelf.core import errors

DEFAULT_INBOX_MESSAGES = 100000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Envelope:
    """A message together with the inbox that takes the reply."""

    message: Any
    reply_to: "Inbox"


class Inbox:
    """Bounded queue of messages with one reader.

    ``post`` never waits, so a sender cannot be blocked by a slow reader;
    a full inbox raises ``InboxFull`` and the sender decides what to shed.
    """

    __slots__ = ("_limit", "_messages", "_waiter", "name")

    def __init__(self, name: str, limit: int = DEFAULT_INBOX_MESSAGES) -> None:
        """Create an empty inbox; the limit is in messages."""
        self.name = name
        self._limit = limit
        self._messages: collections.deque[Any] = collections.deque()
        self._waiter: asyncio.Future[None] | None = None

    def __len__(self) -> int:
        """Return the number of waiting messages."""
        return len(self._messages)

    def post(self, message: Any) -> None:
        """Append a message and wake the reader."""
        if len(self._messages) >= self._limit:
            raise errors.InboxFull("inbox is full", peer=self.name)
        self._messages.append(message)
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def pop(self) -> Any:
        """Remove and return the oldest message."""
        return self._messages.popleft()

    async def async_wait(self) -> None:
        """Wait until there is a message."""
        while not self._messages:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
