"""Tests of one connection to an upstream over a loopback socket."""

import asyncio
from collections import abc
import contextlib
import dataclasses
from typing import Any

import pytest

from dragonflyshelf.codec import http
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core import states
from dragonflyshelf.core.upstreams import objects as upstreams
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import messages as runtime_messages
from dragonflyshelf.runtime import sockets
from dragonflyshelf.runtime.upstreams import connection
from tests.runtime.callers import fakes

REGISTRATION = upstreams.Registration(
    id=ids.UpstreamId("u1"),
    service=ids.ServiceName("letters"),
    host="127.0.0.1",
    port=80,
    data_centre=ids.DataCentreId("a"),
    slots=6,
    is_draining=False,
    warmup_left_seconds=0.0,
    started_at_ms=1,
)
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"
BROKEN = {
    "bad chunk size": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
    b"\r\nzz\r\n",
    "cut chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
    b"\r\n3\r\nabc\r\n",
    "cut head": b"HTTP/1.1 200 OK\r\nContent-Le",
    "cut length": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc",
    "no answer": b"",
    "not http": b"+OK ready\r\n\r\n",
    "switch": b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
}
WHOLE = {
    "before continue": b"HTTP/1.1 100 Continue\r\n\r\n" + OK,
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
    b"\r\n3\r\nabc\r\n0\r\n\r\n",
    "early hints": b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + OK,
    "length": OK,
    "length and chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
    b"Content-Length: 9\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
}


@dataclasses.dataclass(kw_only=True)
class Bench:
    """A connection task between the test and a scripted upstream."""

    task: connection.UpstreamConnectionTask
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    origin: inbox.Inbox
    pool: inbox.Inbox
    router: inbox.Inbox

    def start(self, **values: Any) -> None:
        """Give the connection an exchange."""
        loop = asyncio.get_running_loop()
        head = messages.RequestHead(
            request_id=ids.RequestId("r1"),
            method=values.pop("method", b"GET"),
            target=b"/letters/1",
            headers=values.pop("headers", ()),
            key_digest=ids.KeyDigest(""),
            deadline=ids.Instant(loop.time() + values.pop("timeout", 60.0)),
            **values,
        )
        self.task.inbox.post(
            runtime_messages.StartExchange(
                exchange=ids.ExchangeId(1),
                head=head,
                origin=self.origin,
                registration=REGISTRATION,
                workspace=ids.WorkspaceId("one"),
                deadline=head.deadline,
            )
        )

    async def async_attached(self) -> None:
        """Wait until the request is on its way."""
        message = await fakes.async_receive(self.origin)
        assert isinstance(message, runtime_messages.Attached)

    def end_body(self) -> None:
        """Tell the connection that the body is complete."""
        self.task.inbox.post(messages.BodyEnd(exchange=ids.ExchangeId(1)))

    async def async_ended(self) -> runtime_messages.AttemptEnded:
        """Return the report about the attempt."""
        message = await fakes.async_receive(self.router)
        assert isinstance(message, runtime_messages.AttemptEnded)
        return message

    def answer_parts(self) -> list[Any]:
        """Return what has come to the origin so far."""
        found = []
        while self.origin:
            found.append(self.origin.pop())
        return found


@contextlib.asynccontextmanager
async def async_bench(**values: Any) -> abc.AsyncIterator[Bench]:
    """Run a connection for the length of a ``with`` block."""
    accepted: asyncio.Future[
        tuple[asyncio.StreamReader, asyncio.StreamWriter]
    ] = asyncio.get_running_loop().create_future()
    server = await asyncio.start_server(
        lambda reader, writer: accepted.set_result((reader, writer)),
        fakes.HOST,
        0,
    )
    boxes = {name: inbox.Inbox(name) for name in ("origin", "pool", "router")}
    created = connection.UpstreamConnectionTask(
        fakes.make_settings(**values),
        http.DEFAULT_HEADER_NAMES,
        ids.UpstreamId("u1"),
        boxes["pool"],
        boxes["router"],
    )
    port = server.sockets[0].getsockname()[1]
    async with server, created.async_running():
        await asyncio.get_running_loop().create_connection(
            lambda: sockets.SocketProtocol(created.inbox), fakes.HOST, port
        )
        reader, writer = await accepted
        try:
            yield Bench(task=created, reader=reader, writer=writer, **boxes)
        finally:
            writer.close()


class TestWholeAnswer:
    """Answers of every framing arrive whole."""

    @pytest.mark.parametrize("name", sorted(WHOLE))
    def test_answer(self, name: str) -> None:
        """The origin gets one head, the body and one end."""

        async def async_run() -> None:
            async with async_bench() as bench:
                bench.start()
                await bench.async_attached()
                await bench.reader.readuntil(b"\r\n\r\n")
                bench.writer.write(WHOLE[name])
                ended = await bench.async_ended()
                assert ended.error is None
                assert ended.status == 200
                head, *chunks, end = bench.answer_parts()
                assert isinstance(head, messages.ResponseHead)
                assert isinstance(end, messages.ResponseEnd)
                assert b"".join(one.data for one in chunks) == b"abc"
                names = [one.name for one in head.headers]
                assert b"transfer-encoding" not in names
                if "chunks" in name:
                    assert b"content-length" not in names
                idle = await fakes.async_receive(bench.pool)
                assert isinstance(idle, connection.ConnectionIdle)

        asyncio.run(async_run())

    @pytest.mark.parametrize("status", [204, 304])
    def test_without_body(self, status: int) -> None:
        """An answer that has no body needs no length."""

        async def async_run() -> None:
            async with async_bench() as bench:
                bench.start()
                await bench.async_attached()
                bench.writer.write(b"HTTP/1.1 %d x\r\n\r\n" % status)
                ended = await bench.async_ended()
                assert (ended.error, ended.status) == (None, status)

        asyncio.run(async_run())

    def test_before_body_ends(self) -> None:
        """An early answer counts, and the connection is not used again."""

        async def async_run() -> None:
            async with async_bench() as bench:
                bench.start(
                    method=b"POST",
                    has_body=True,
                    body_length=5,
                    headers=(
                        messages.Header(name=b"content-length", value=b"5"),
                    ),
                )
                bench.writer.write(OK)
                assert (await bench.async_ended()).error is None
                ended = await fakes.async_receive(bench.pool)
                assert isinstance(ended, connection.ConnectionEnded)

        asyncio.run(async_run())


class TestAnswerWithoutLength:
    """An answer that ends with its connection."""

    def test_closed_in_order(self) -> None:
        """An orderly end of the connection ends the answer."""

        async def async_run() -> None:
            async with async_bench() as bench:
                bench.start()
                await bench.async_attached()
                bench.writer.write(b"HTTP/1.1 200 OK\r\n\r\nabc")
                bench.writer.close()
                ended = await bench.async_ended()
                assert (ended.error, ended.status) == (None, 200)

        asyncio.run(async_run())

    def test_reset(self) -> None:
        """A reset connection leaves the answer incomplete."""

        async def async_run() -> None:
            async with async_bench() as bench:
                bench.start()
                await bench.async_attached()
                bench.writer.write(b"HTTP/1.1 200 OK\r\n\r\nabc")
                await bench.writer.drain()
                await asyncio.sleep(0.05)
                sockets.reset(bench.writer.transport)
                ended = await bench.async_ended()
                assert isinstance(ended.error, errors.UpstreamFailed)
                assert ended.error.outcome is states.Outcome.UNKNOWN

        asyncio.run(async_run())


class TestBrokenAnswer:
    """What is not a whole answer is never reported as one."""

    @pytest.mark.parametrize("name", sorted(BROKEN))
    def test_answer(self, name: str) -> None:
        """The attempt ends as unknown and the origin gets no end."""

        async def async_run() -> None:
            async with async_bench() as bench:
                bench.start()
                await bench.async_attached()
                await bench.reader.readuntil(b"\r\n\r\n")
                bench.writer.write(BROKEN[name])
                bench.writer.write_eof()
                ended = await bench.async_ended()
                assert isinstance(ended.error, errors.UpstreamFailed)
                assert ended.error.outcome is states.Outcome.UNKNOWN
                assert ended.error.peer == "u1"
                parts = bench.answer_parts()
                assert messages.ResponseEnd not in map(type, parts)
                failed = [type(one) for one in parts[-1:]]
                expected = (
                    [messages.ResponseFailed] if ended.response_started else []
                )
                assert failed == expected

        asyncio.run(async_run())

    def test_deadline(self) -> None:
        """A silent upstream ends as unknown at the deadline."""

        async def async_run() -> None:
            async with async_bench() as bench:
                bench.start(timeout=0.01)
                ended = await bench.async_ended()
                assert isinstance(ended.error, errors.DeadlineExceeded)
                assert ended.error.outcome is states.Outcome.UNKNOWN

        asyncio.run(async_run())

    def test_unasked(self) -> None:
        """Bytes that nobody asked for end an idle connection."""

        async def async_run() -> None:
            async with async_bench() as bench:
                bench.writer.write(OK)
                ended = await fakes.async_receive(bench.pool)
                assert isinstance(ended, connection.ConnectionEnded)
                assert not bench.origin

        asyncio.run(async_run())


class TestCancel:
    """A cancelled request ends its connection."""

    def test_cancel(self) -> None:
        """The upstream sees the end, and nothing is reported."""

        async def async_run() -> None:
            async with async_bench() as bench:
                bench.start()
                await bench.async_attached()
                await bench.reader.readuntil(b"\r\n\r\n")
                bench.task.inbox.post(
                    messages.Cancel(exchange=ids.ExchangeId(1))
                )
                with contextlib.suppress(ConnectionResetError):
                    assert await bench.reader.read() == b""
                assert not bench.router

        asyncio.run(async_run())


class TestRequest:
    """What an upstream gets."""

    def test_chunked_body(self) -> None:
        """A body without length goes on in chunks, with credit back."""

        async def async_run() -> None:
            async with async_bench() as bench:
                bench.start(method=b"POST", has_body=True)
                await fakes.async_receive(bench.origin)
                bench.task.inbox.post(
                    messages.BodyChunk(exchange=ids.ExchangeId(1), data=b"abc")
                )
                bench.end_body()
                sent = await bench.reader.readuntil(b"0\r\n\r\n")
                assert sent.endswith(b"3\r\nabc\r\n0\r\n\r\n")
                credit = await fakes.async_receive(bench.origin)
                assert credit == messages.Credit(
                    exchange=ids.ExchangeId(1), size=3
                )

        asyncio.run(async_run())

    def test_silent_body(self) -> None:
        """An upstream that reads no body gives no credit for it."""

        async def async_run() -> None:
            async with async_bench() as bench:
                bench.start(method=b"POST", has_body=True)
                await fakes.async_receive(bench.origin)
                bench.task.inbox.post(
                    messages.BodyChunk(
                        exchange=ids.ExchangeId(1),
                        data=bytes(16 * 1024 * 1024),
                    )
                )
                await bench.reader.readuntil(b"\r\n\r\n")
                assert not bench.origin

        asyncio.run(async_run())
