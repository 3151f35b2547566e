"""Tests of callers that take or send more slowly than they ask."""

import asyncio
from collections import abc
import contextlib
import socket

import pytest

from dragonflyshelf.core import ids
from dragonflyshelf.core.memory import account
from dragonflyshelf.core.memory import messages as memory_messages
from dragonflyshelf.core import messages
from dragonflyshelf.runtime.callers import connection
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import memory
from tests.runtime.callers import fakes
from tests.runtime.callers import raw_http

RECEIVE_BUFFER_BYTES = 4096
RESPONSE_BYTES = 100_000
KERNEL_BUFFER_BYTES = 8 * 1024 * 1024
"""More than the kernel takes in place of a caller that reads nothing."""

MIN_UNROUTED_SECONDS = 0.2
"""Time in which a request that is not held back would be routed."""


@contextlib.asynccontextmanager
async def async_connect_unread(
    harness: fakes.ListenerHarness,
) -> abc.AsyncIterator[socket.socket]:
    """Connect a caller that reads nothing by itself."""
    loop = asyncio.get_running_loop()
    with socket.socket() as caller_socket:
        caller_socket.setblocking(False)
        caller_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        await loop.sock_connect(
            caller_socket, (fakes.HOST, harness.listener.port)
        )
        yield caller_socket


async def async_fill_write_buffer(
    harness: fakes.ListenerHarness, caller_socket: socket.socket
) -> None:
    """Answer a request with more than the kernel buffers."""
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(caller_socket, raw_http.GET)
    arrival = await harness.async_receive_request()
    fakes.send_response(arrival, bytes(KERNEL_BUFFER_BYTES))
    await harness.async_receive_exchange_end()


async def async_wait_connection_count(
    harness: fakes.ListenerHarness, count: int
) -> None:
    """Wait until the listener has so many connections."""
    async with asyncio.timeout(fakes.TIMEOUT_SECONDS):
        while harness.listener.connection_count != count:
            await asyncio.sleep(0.01)


class TestUnreadResponses:
    """No request is parsed while responses wait for their caller."""

    def test_pipelined_requests(self) -> None:
        """Requests that were sent ahead wait until the caller reads."""

        async def async_check() -> None:
            async with fakes.async_run_listener() as harness:
                async with async_connect_unread(harness) as caller_socket:
                    loop = asyncio.get_running_loop()
                    await loop.sock_sendall(caller_socket, raw_http.GET * 200)
                    arrivals = [
                        await harness.async_receive_request()
                        for _ in range(connection.MAX_PIPELINED_REQUEST_COUNT)
                    ]
                    for arrival in arrivals:
                        fakes.send_response(
                            arrival, bytes(KERNEL_BUFFER_BYTES)
                        )
                    for _ in arrivals:
                        await harness.async_receive_exchange_end()
                    await asyncio.sleep(MIN_UNROUTED_SECONDS)
                    assert not harness.router

        asyncio.run(async_check())

    def test_caller_reads_again(self) -> None:
        """The next request is served once the caller has read."""

        async def async_check() -> None:
            async with fakes.async_run_listener() as harness:
                async with async_connect_unread(harness) as caller_socket:
                    await async_fill_write_buffer(harness, caller_socket)
                    loop = asyncio.get_running_loop()
                    await loop.sock_sendall(caller_socket, raw_http.GET)
                    await asyncio.sleep(MIN_UNROUTED_SECONDS)
                    assert not harness.router
                    received_bytes = 0
                    while received_bytes < KERNEL_BUFFER_BYTES:
                        received_bytes += len(
                            await loop.sock_recv(caller_socket, 65536)
                        )
                    await harness.async_receive_request()

        asyncio.run(async_check())

    def test_write_timeout(self) -> None:
        """A caller that takes nothing any more is disconnected."""

        async def async_check() -> None:
            async with fakes.async_run_listener(write_timeout=0.1) as harness:
                async with async_connect_unread(harness) as caller_socket:
                    await async_fill_write_buffer(harness, caller_socket)
                    await async_wait_connection_count(harness, 0)

        asyncio.run(async_check())


class TestShare:
    """A connection that holds its share gets no further."""

    def test_pipelined_requests(self) -> None:
        """The next request is parsed once there is room for it."""

        async def async_check() -> None:
            async with fakes.async_run_listener(
                held_bytes=1,
                head_bytes=1024,
                replay_bytes=1024,
                window_bytes=1024,
            ) as harness:
                async with harness.async_connect() as client:
                    client.send(raw_http.GET * 2)
                    first = await harness.async_receive_request()
                    await asyncio.sleep(MIN_UNROUTED_SECONDS)
                    assert not harness.router
                    fakes.send_response(first, b"one")
                    await harness.async_receive_exchange_end()
                    fakes.send_response(
                        await harness.async_receive_request(), b"two"
                    )
                    await client.async_read_until(b"two")

        asyncio.run(async_check())


class TestTinyChunks:
    """A chunk costs as much time however short it is."""

    def test_other_caller(self) -> None:
        """Another caller has its turn before all chunks are parsed."""

        async def async_check() -> None:
            async with fakes.async_run_listener() as harness:
                async with (
                    harness.async_connect() as first,
                    harness.async_connect() as second,
                ):
                    first.send(
                        raw_http.POST + b"Transfer-Encoding: chunked\r\n\r\n"
                    )
                    harness.attach(await harness.async_receive_request())
                    first.send(b"2\r\nab\r\n" * 2000)
                    second.send(raw_http.GET)
                    await harness.async_receive_request()
                    assert len(harness.target) < 2000
                    first.send(b"0\r\n\r\n")
                    assert await harness.async_receive_body() == b"ab" * 2000

        asyncio.run(async_check())


class TestHolding:
    """A connection reports what it holds, and is closed on demand."""

    @pytest.fixture(autouse=True)
    def make_account_inbox(self) -> None:
        """Use an inbox in place of the task that owns the account."""
        self.account = inbox.Inbox("account")

    def make_reporter(self, owner: inbox.Inbox) -> memory.HoldingReporter:
        """Return the reporter of a connection."""
        self.owner = owner
        return memory.HoldingReporter(self.account, owner, ids.HolderId(1))

    @contextlib.asynccontextmanager
    async def async_hold(
        self,
    ) -> abc.AsyncIterator[
        tuple[fakes.Client, memory_messages.HoldingChanged]
    ]:
        """Let a connection hold a deferred response."""
        async with fakes.async_run_listener(
            make_reporter=self.make_reporter
        ) as harness:
            async with harness.async_connect() as client:
                client.send(raw_http.GET * 2)
                self.first = await harness.async_receive_request()
                second = await harness.async_receive_request()
                second.origin.post(
                    fakes.make_response_head(second, RESPONSE_BYTES)
                )
                second.origin.post(
                    messages.ResponseChunk(
                        exchange=second.exchange, data=bytes(RESPONSE_BYTES)
                    )
                )
                opened = await fakes.async_receive(self.account)
                assert isinstance(opened, memory.HolderOpened)
                yield client, await fakes.async_receive(self.account)

    def test_deferred_response(self) -> None:
        """A response that waits for an earlier one is reported."""

        async def async_check() -> None:
            async with self.async_hold() as (_, report):
                assert report.held_bytes >= RESPONSE_BYTES
                assert report.held_bytes <= RESPONSE_BYTES + 65536

        asyncio.run(async_check())

    def test_release(self) -> None:
        """The connection is reset and reports its end."""

        async def async_check() -> None:
            async with self.async_hold() as (client, report):
                self.owner.post(
                    memory_messages.Release(
                        holder=report.holder, held_bytes=report.held_bytes
                    )
                )
                with pytest.raises(ConnectionResetError):
                    await client.async_read_to_end()
                ended = await fakes.async_receive(self.account)
                assert isinstance(ended, memory_messages.HoldingEnded)

        asyncio.run(async_check())

    def test_freed_meanwhile(self) -> None:
        """A connection that holds less by now reports it and stays."""

        async def async_check() -> None:
            async with self.async_hold() as (client, report):
                self.owner.post(
                    memory_messages.Release(
                        holder=report.holder,
                        held_bytes=report.held_bytes * 10,
                    )
                )
                again = await fakes.async_receive(self.account)
                assert again.held_bytes == report.held_bytes
                fakes.send_response(self.first, b"one")
                await client.async_read_until(b"one")

        asyncio.run(async_check())

    def test_moved(self) -> None:
        """What the caller has taken is reported as moved."""

        async def async_check() -> None:
            async with self.async_hold() as (client, report):
                fakes.send_response(self.first, b"one")
                await client.async_read_until(b"one")
                freed = await fakes.async_receive(self.account)
                assert freed.held_bytes < account.REPORT_STEP_BYTES * 2
                assert freed.moved_bytes >= RESPONSE_BYTES

        asyncio.run(async_check())


class TestCrowdedListener:
    """Idle connections make room for new ones."""

    def test_idle(self) -> None:
        """The oldest idle connection is closed, and a new one is served."""

        async def async_check() -> None:
            async with fakes.async_run_listener(connections=2) as harness:
                async with contextlib.AsyncExitStack() as stack:
                    clients = [
                        await stack.enter_async_context(
                            harness.async_connect()
                        )
                        for _ in range(2)
                    ]
                    await async_wait_connection_count(harness, 2)
                    async with harness.async_connect():
                        assert await clients[0].async_read_to_end() == b""
                    await async_wait_connection_count(harness, 1)
                    async with harness.async_connect() as late:
                        late.send(raw_http.GET)
                        await harness.async_receive_request()

        asyncio.run(async_check())

    def test_busy(self) -> None:
        """A connection with a request under way is kept."""

        async def async_check() -> None:
            async with fakes.async_run_listener(connections=1) as harness:
                async with harness.async_connect() as busy:
                    busy.send(raw_http.GET)
                    arrival = await harness.async_receive_request()
                    async with harness.async_connect() as late:
                        late.send(raw_http.GET)
                        await late.async_read_to_end()
                    fakes.send_response(arrival, b"one")
                    await busy.async_read_until(b"one")

        asyncio.run(async_check())
