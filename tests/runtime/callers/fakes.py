"""Caller listener with inboxes in place of router and upstreams."""

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
from dragonflyshelf.runtime import memory
from dragonflyshelf.runtime import messages as runtime_messages

TIMEOUT_SECONDS = 20.0
HOST = "127.0.0.1"
READ_CHUNK_BYTES = 65536


def make_settings(**options: Any) -> settings.Settings:
    """Return settings with the given options of ``requests``."""
    return settings.Settings(
        instance=settings.InstanceSettings(
            name=ids.InstanceId("one"), data_centre=ids.DataCentreId("a")
        ),
        requests=settings.RequestSettings(**options),
    )


async def async_receive(source: inbox.Inbox) -> Any:
    """Wait for the next message of an inbox and return it."""
    async with asyncio.timeout(TIMEOUT_SECONDS):
        await source.async_wait()
    return source.pop()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Client:
    """Client that sends and receives raw bytes."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(self, data: bytes) -> None:
        """Write bytes."""
        self.writer.write(data)

    async def async_read_to_end(self) -> bytes:
        """Return all bytes received until the connection is closed."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return await self.reader.read()

    async def async_read_until(self, separator: bytes) -> bytes:
        """Return the received bytes up to and including a separator."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return await self.reader.readuntil(separator)


class ListenerHarness:
    """Caller listener with the inboxes of its router and target."""

    def __init__(
        self,
        config: settings.Settings,
        make_reporter: memory.ReporterFactory,
    ) -> None:
        """Create the listener; it is not running yet."""
        exchange_numbers = itertools.count(1)
        self.router = inbox.Inbox("router")
        self.target = inbox.Inbox("target")
        self.drained = inbox.Inbox("drained")
        self.listener = listener.CallerListenerTask(
            config,
            self.router,
            lambda: ids.ExchangeId(next(exchange_numbers)),
            make_reporter=make_reporter,
        )

    @contextlib.asynccontextmanager
    async def async_connect(self) -> abc.AsyncIterator[Client]:
        """Open a connection for the duration of a ``with`` block."""
        reader, writer = await asyncio.open_connection(
            HOST, self.listener.port
        )
        try:
            yield Client(reader=reader, writer=writer)
        finally:
            writer.close()

    async def async_receive_request(self) -> runtime_messages.RequestReceived:
        """Wait for the next request at the router and return it."""
        message = await async_receive(self.router)
        assert isinstance(message, runtime_messages.RequestReceived), message
        return message

    async def async_receive_exchange_end(
        self,
    ) -> runtime_messages.ExchangeEnded:
        """Wait for the next end of an exchange and return it."""
        message = await async_receive(self.router)
        assert isinstance(message, runtime_messages.ExchangeEnded), message
        return message

    async def async_drain(self) -> None:
        """Drain the listener and wait until connections are notified."""
        self.listener.inbox.post(callers.DrainCallers(reply_to=self.drained))
        while self.listener.inbox:
            await asyncio.sleep(0)

    def attach(self, arrival: runtime_messages.RequestReceived) -> None:
        """Attach the target to an exchange."""
        arrival.origin.post(
            runtime_messages.TargetAttached(
                exchange=arrival.exchange, target=self.target
            )
        )

    async def async_receive_body(self) -> bytes:
        """Receive the whole request body at the target."""
        chunks = []
        while True:
            message = await async_receive(self.target)
            if isinstance(message, messages.BodyEnd):
                return b"".join(chunks)
            assert isinstance(message, messages.BodyChunk), message
            chunks.append(message.data)


def make_response_head(
    arrival: runtime_messages.RequestReceived, length: int, status: int = 200
) -> messages.ResponseHead:
    """Return a response head."""
    return messages.ResponseHead(
        exchange=arrival.exchange,
        status=status,
        reason=b"OK",
        headers=(
            messages.Header(name=b"content-length", value=b"%d" % length),
        ),
    )


def send_response(
    arrival: runtime_messages.RequestReceived, body: bytes
) -> None:
    """Send a complete response, as an upstream does."""
    exchange_id = arrival.exchange
    arrival.origin.post(make_response_head(arrival, len(body)))
    if body and arrival.head.method != b"HEAD":
        arrival.origin.post(
            messages.ResponseChunk(exchange=exchange_id, data=body)
        )
    arrival.origin.post(messages.ResponseEnd(exchange=exchange_id))


@contextlib.asynccontextmanager
async def async_run_listener(
    make_reporter: memory.ReporterFactory = memory.make_silent_reporter,
    **options: Any,
) -> abc.AsyncIterator[ListenerHarness]:
    """Run a listener for the duration of a ``with`` block."""
    harness = ListenerHarness(make_settings(**options), make_reporter)
    await harness.listener.async_listen(HOST, 0)
    async with harness.listener.async_running():
        yield harness
