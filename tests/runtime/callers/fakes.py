"""A listener for callers with a router that the test plays."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import itertools
from typing import Any

from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core import settings
from dragonflyshelf.runtime.callers import listener
from dragonflyshelf.runtime.callers import messages as callers
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import messages as runtime_messages

HANG_SECONDS = 20.0
HOST = "127.0.0.1"
CHUNK = 65536


def requests_with(**values: Any) -> settings.Settings:
    """Return settings with these options of ``requests``."""
    return settings.Settings(
        instance=settings.InstanceSettings(
            name=ids.InstanceId("one"), data_centre=ids.DataCentreId("a")
        ),
        requests=settings.RequestSettings(**values),
    )


async def async_take(box: inbox.Inbox) -> Any:
    """Return the next message of an inbox."""
    async with asyncio.timeout(HANG_SECONDS):
        await box.async_wait()
    return box.pop()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Client:
    """Raw bytes from and to a caller's connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(self, data: bytes) -> None:
        """Write bytes."""
        self.writer.write(data)

    async def async_rest(self) -> bytes:
        """Return all bytes up to the end of the connection."""
        async with asyncio.timeout(HANG_SECONDS):
            return await self.reader.read()

    async def async_until(self, mark: bytes) -> bytes:
        """Return the bytes up to and with a mark."""
        async with asyncio.timeout(HANG_SECONDS):
            return await self.reader.readuntil(mark)


class Front:
    """A running listener, the test's router and the test's target."""

    def __init__(self, config: settings.Settings) -> None:
        """Create the listener; it does not run yet."""
        numbers = itertools.count(1)
        self.router = inbox.Inbox("router")
        self.target = inbox.Inbox("target")
        self.drained = inbox.Inbox("drained")
        self.listener = listener.CallerListenerTask(
            config,
            self.router,
            lambda: ids.ExchangeId(next(numbers)),
        )

    @contextlib.asynccontextmanager
    async def async_client(self) -> abc.AsyncIterator[Client]:
        """Open a connection for the length of a ``with`` block."""
        reader, writer = await asyncio.open_connection(
            HOST, self.listener.port
        )
        try:
            yield Client(reader=reader, writer=writer)
        finally:
            writer.close()

    async def async_arrival(self) -> runtime_messages.RequestReceived:
        """Return the next request that reaches the router."""
        message = await async_take(self.router)
        assert isinstance(message, runtime_messages.RequestReceived), message
        return message

    async def async_end(self) -> runtime_messages.ExchangeEnded:
        """Return the next end of an exchange."""
        message = await async_take(self.router)
        assert isinstance(message, runtime_messages.ExchangeEnded), message
        return message

    async def async_drain(self) -> None:
        """Tell the listener to end; its connections know it after."""
        self.listener.inbox.post(callers.DrainCallers(reply_to=self.drained))
        while self.listener.inbox:
            await asyncio.sleep(0)

    def attach(self, arrival: runtime_messages.RequestReceived) -> None:
        """Make the test's target the target of an exchange."""
        arrival.origin.post(
            runtime_messages.TargetAttached(
                exchange=arrival.exchange, target=self.target
            )
        )

    async def async_body(self) -> bytes:
        """Take the whole body at the target, and return credit for it."""
        parts = []
        while True:
            message = await async_take(self.target)
            if isinstance(message, messages.BodyEnd):
                return b"".join(parts)
            assert isinstance(message, messages.BodyChunk), message
            parts.append(message.data)


def answer_head(
    arrival: runtime_messages.RequestReceived, length: int, status: int = 200
) -> messages.ResponseHead:
    """Return the head of an answer."""
    return messages.ResponseHead(
        exchange=arrival.exchange,
        status=status,
        reason=b"OK",
        headers=(
            messages.Header(name=b"content-length", value=b"%d" % length),
        ),
    )


def answer(arrival: runtime_messages.RequestReceived, body: bytes) -> None:
    """Answer a request as an upstream would."""
    number = arrival.exchange
    arrival.origin.post(answer_head(arrival, len(body)))
    if body and arrival.head.method != b"HEAD":
        arrival.origin.post(messages.ResponseChunk(exchange=number, data=body))
    arrival.origin.post(messages.ResponseEnd(exchange=number))


@contextlib.asynccontextmanager
async def async_front(
    **values: Any,
) -> abc.AsyncIterator[Front]:
    """Run a listener for the length of a ``with`` block."""
    front = Front(requests_with(**values))
    await front.listener.async_listen(HOST, 0)
    async with front.listener.async_running():
        yield front
