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
from dragonflyshelf.core.upstreams import messages as upstream_events
from dragonflyshelf.core.upstreams import objects as upstreams
from dragonflyshelf.core.upstreams import state
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
OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"
INVALID_RESPONSES = {
    "bad chunk size": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
    b"\r\nzz\r\n",
    "cut chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
    b"\r\n3\r\nabc\r\n",
    "cut head": b"HTTP/1.1 200 OK\r\nContent-Le",
    "cut length": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc",
    "no response": b"",
    "not http": b"+OK ready\r\n\r\n",
    "switch": b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
}
COMPLETE_RESPONSES = {
    "before continue": b"HTTP/1.1 100 Continue\r\n\r\n" + OK_RESPONSE,
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
    b"\r\n3\r\nabc\r\n0\r\n\r\n",
    "early hints": b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    + OK_RESPONSE,
    "length": OK_RESPONSE,
    "length and chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
    b"Content-Length: 9\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
}

CHUNK = b"3\r\nabc\r\n"
REFUSAL_HEAD = (
    b"HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n"
    b"X-Not-Run: 1\r\n\r\n"
)
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS_RESPONSES = {
    "chunk size": (CHUNKED_HEAD, b"0"),
    "early hints": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
    "head lines": (b"HTTP/1.1 200 OK\r\n", b"Name: value\r\n"),
    "one head line": (b"HTTP/1.1 200 OK\r\nName: ", b"x"),
    "status line": (b"", b"x"),
    "trailers": (CHUNKED_HEAD + b"0\r\n", b"Name: value\r\n"),
    "zeros": (b"", b"\0"),
}
"""Start of a response, and bytes that follow without end."""

FLOOD_BLOCK_BYTES = 65536
MAX_FLOOD_BYTES = 256 * 1024 * 1024
"""Bytes after which an upstream gives up sending."""

MAX_BUFFERED_BYTES = 1024 * 1024
"""Bytes of a response that may be held for a caller."""


@dataclasses.dataclass(kw_only=True)
class ConnectionHarness:
    """A connection task with a scripted upstream and the test's inboxes."""

    task: connection.UpstreamConnectionTask
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    origin: inbox.Inbox
    pool: inbox.Inbox
    router: inbox.Inbox

    def start(self, is_idempotent: bool = True, **values: Any) -> None:
        """Start an exchange on the connection."""
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
            runtime_messages.StartAttempt(
                exchange=ids.ExchangeId(1),
                head=head,
                origin=self.origin,
                registration=REGISTRATION,
                workspace=ids.WorkspaceId("one"),
                deadline=head.deadline,
                is_idempotent=is_idempotent,
            )
        )

    async def async_wait_attached(self) -> None:
        """Wait until the connection has sent the request head."""
        message = await fakes.async_receive(self.origin)
        assert isinstance(message, runtime_messages.TargetAttached)

    def end_body(self) -> None:
        """Signal the end of the request body."""
        self.task.inbox.post(messages.BodyEnd(exchange=ids.ExchangeId(1)))

    async def async_attempt_ended(self) -> runtime_messages.AttemptEnded:
        """Return the report of the attempt to the router."""
        message = await fakes.async_receive(self.router)
        assert isinstance(message, runtime_messages.AttemptEnded)
        return message

    def origin_messages(self) -> list[Any]:
        """Return the messages that the origin has received so far."""
        received = []
        while self.origin:
            received.append(self.origin.pop())
        return received


@contextlib.asynccontextmanager
async def async_run_harness(
    **values: Any,
) -> abc.AsyncIterator[ConnectionHarness]:
    """Run a connection for the length of a ``with`` block."""
    accepted: asyncio.Future[
        tuple[asyncio.StreamReader, asyncio.StreamWriter]
    ] = asyncio.get_running_loop().create_future()
    server = await asyncio.start_server(
        lambda reader, writer: accepted.set_result((reader, writer)),
        fakes.HOST,
        0,
    )
    inboxes = {
        name: inbox.Inbox(name) for name in ("origin", "pool", "router")
    }
    connection_task = connection.UpstreamConnectionTask(
        fakes.make_settings(**values),
        http.DEFAULT_HEADER_NAMES,
        ids.UpstreamId("u1"),
        inboxes["pool"],
        inboxes["router"],
    )
    port = server.sockets[0].getsockname()[1]
    async with server, connection_task.async_running():
        await asyncio.get_running_loop().create_connection(
            lambda: sockets.SocketProtocol(connection_task.inbox),
            fakes.HOST,
            port,
        )
        reader, writer = await accepted
        try:
            yield ConnectionHarness(
                task=connection_task, reader=reader, writer=writer, **inboxes
            )
        finally:
            writer.close()


class TestCompleteResponse:
    """Complete responses with each kind of framing are forwarded."""

    @pytest.mark.parametrize("name", sorted(COMPLETE_RESPONSES))
    def test_response(self, name: str) -> None:
        """The origin gets one head, the whole body and one end."""

        async def async_run() -> None:
            async with async_run_harness() as harness:
                harness.start()
                await harness.async_wait_attached()
                await harness.reader.readuntil(b"\r\n\r\n")
                harness.writer.write(COMPLETE_RESPONSES[name])
                ended = await harness.async_attempt_ended()
                assert ended.error is None
                assert ended.status == 200
                head, *chunks, end = harness.origin_messages()
                assert isinstance(head, messages.ResponseHead)
                assert isinstance(end, messages.ResponseEnd)
                assert b"".join(chunk.data for chunk in chunks) == b"abc"
                names = [header.name for header in head.headers]
                assert b"transfer-encoding" not in names
                if "chunks" in name:
                    assert b"content-length" not in names
                idle = await fakes.async_receive(harness.pool)
                assert isinstance(idle, connection.ConnectionIdle)

        asyncio.run(async_run())

    @pytest.mark.parametrize("status", [204, 304])
    def test_without_body(self, status: int) -> None:
        """A response whose status excludes a body needs no length."""

        async def async_run() -> None:
            async with async_run_harness() as harness:
                harness.start()
                await harness.async_wait_attached()
                harness.writer.write(b"HTTP/1.1 %d x\r\n\r\n" % status)
                ended = await harness.async_attempt_ended()
                assert (ended.error, ended.status) == (None, status)

        asyncio.run(async_run())

    def test_before_body_ends(self) -> None:
        """An early response is accepted; the connection is not reused."""

        async def async_run() -> None:
            async with async_run_harness() as harness:
                harness.start(
                    method=b"POST",
                    has_body=True,
                    body_length=5,
                    headers=(
                        messages.Header(name=b"content-length", value=b"5"),
                    ),
                )
                harness.writer.write(OK_RESPONSE)
                assert (await harness.async_attempt_ended()).error is None
                ended = await fakes.async_receive(harness.pool)
                assert isinstance(ended, connection.ConnectionEnded)

        asyncio.run(async_run())


class TestResponseWithoutLength:
    """A response whose end is the end of the connection."""

    def test_orderly_close(self) -> None:
        """An orderly close of the connection completes the response."""

        async def async_run() -> None:
            async with async_run_harness() as harness:
                harness.start()
                await harness.async_wait_attached()
                harness.writer.write(b"HTTP/1.1 200 OK\r\n\r\nabc")
                harness.writer.close()
                ended = await harness.async_attempt_ended()
                assert (ended.error, ended.status) == (None, 200)

        asyncio.run(async_run())

    def test_reset(self) -> None:
        """After a connection reset the response is incomplete."""

        async def async_run() -> None:
            async with async_run_harness() as harness:
                harness.start()
                await harness.async_wait_attached()
                harness.writer.write(b"HTTP/1.1 200 OK\r\n\r\nabc")
                await harness.writer.drain()
                await asyncio.sleep(0.05)
                sockets.reset(harness.writer.transport)
                ended = await harness.async_attempt_ended()
                assert isinstance(ended.error, errors.UpstreamFailed)
                assert ended.error.outcome is states.Outcome.UNKNOWN

        asyncio.run(async_run())


class TestRequestTurnedAway:
    """Upstreams that are full reset the connection."""

    @pytest.mark.parametrize("data", [b"", b"HTTP/1.1 200 OK\r\n"])
    def test_reset(self, data: bytes) -> None:
        """Only a reset without any byte of a response is reported so."""

        async def async_run() -> None:
            async with async_run_harness() as harness:
                harness.start()
                await harness.async_wait_attached()
                harness.writer.write(data)
                await harness.writer.drain()
                await asyncio.sleep(0.05)
                sockets.reset(harness.writer.transport)
                ended = await harness.async_attempt_ended()
                assert ended.is_turned_away == (not data)
                assert ended.error is not None
                assert ended.error.outcome is states.Outcome.UNKNOWN

        asyncio.run(async_run())

    def test_closed(self) -> None:
        """An orderly close says nothing about the upstream's room."""

        async def async_run() -> None:
            async with async_run_harness() as harness:
                harness.start()
                await harness.async_wait_attached()
                harness.writer.close()
                ended = await harness.async_attempt_ended()
                assert not ended.is_turned_away

        asyncio.run(async_run())


class TestInvalidResponse:
    """Incomplete and invalid responses are never reported as complete."""

    @pytest.mark.parametrize("name", sorted(INVALID_RESPONSES))
    def test_response(self, name: str) -> None:
        """The outcome is unknown and the origin gets no response end."""

        async def async_run() -> None:
            async with async_run_harness() as harness:
                harness.start()
                await harness.async_wait_attached()
                await harness.reader.readuntil(b"\r\n\r\n")
                harness.writer.write(INVALID_RESPONSES[name])
                harness.writer.write_eof()
                ended = await harness.async_attempt_ended()
                assert isinstance(ended.error, errors.UpstreamFailed)
                assert ended.error.outcome is states.Outcome.UNKNOWN
                assert ended.error.peer == "u1"
                parts = harness.origin_messages()
                assert messages.ResponseEnd not in map(type, parts)
                last_part_types = [type(part) for part in parts[-1:]]
                expected_types = (
                    [messages.ResponseFailed] if ended.response_started else []
                )
                assert last_part_types == expected_types

        asyncio.run(async_run())

    def test_deadline(self) -> None:
        """Without a response by the deadline the outcome is unknown."""

        async def async_run() -> None:
            async with async_run_harness() as harness:
                harness.start(timeout=0.01)
                ended = await harness.async_attempt_ended()
                assert isinstance(ended.error, errors.DeadlineExceeded)
                assert ended.error.outcome is states.Outcome.UNKNOWN

        asyncio.run(async_run())

    def test_unsolicited_data(self) -> None:
        """Unsolicited bytes close an idle connection."""

        async def async_run() -> None:
            async with async_run_harness() as harness:
                harness.writer.write(OK_RESPONSE)
                ended = await fakes.async_receive(harness.pool)
                assert isinstance(ended, connection.ConnectionEnded)
                assert not harness.origin

        asyncio.run(async_run())


class TestUnconfirmedRefusal:
    """A status that promises 'not run', without the upstream's word.

    Callers send a request that is not idempotent again after it. Reported:
    an order that had run was answered 503, and was placed twice (REFUSED).
    """

    async def async_refuse(
        self, status: int, is_idempotent: bool
    ) -> tuple[runtime_messages.AttemptEnded, list[Any]]:
        """Return the end of an attempt, and what its origin received."""
        async with async_run_harness() as harness:
            harness.start(is_idempotent=is_idempotent)
            await harness.async_wait_attached()
            harness.writer.write(
                b"HTTP/1.1 %d x\r\nContent-Length: 6\r\n\r\nfailed" % status
            )
            ended = await harness.async_attempt_ended()
            return ended, harness.origin_messages()

    @pytest.mark.parametrize("status", [408, 429, 503])
    def test_non_idempotent_request(self, status: int) -> None:
        """The caller is not told that the request has not run."""
        ended, parts = asyncio.run(self.async_refuse(status, False))
        assert not parts
        assert not ended.response_started
        assert not ended.withheld_response
        assert ended.result is state.AttemptResult.FAILED
        assert ended.error is not None
        assert ended.error.status == http.STATUS_BAD_GATEWAY
        assert ended.error.outcome is states.Outcome.UNKNOWN

    @pytest.mark.parametrize("status", [408, 429, 503])
    def test_idempotent_request(self, status: int) -> None:
        """The upstream's own response is forwarded."""
        ended, parts = asyncio.run(self.async_refuse(status, True))
        assert ended.error is None
        assert isinstance(parts[0], messages.ResponseHead)
        assert parts[0].status == status

    def test_not_holder(self) -> None:
        """A 421 needs no further word: it never follows a run."""
        ended, parts = asyncio.run(self.async_refuse(421, False))
        assert not parts
        assert ended.error is not None
        assert ended.error.outcome is states.Outcome.NOT_RUN


class TestBytesWithoutEnd:
    """An upstream that sends bytes without end until it is cut off.

    The deadline of the requests is far away.
    """

    async def async_flood(
        self, harness: ConnectionHarness, start: bytes, rest: bytes
    ) -> int:
        """Send until the connection is closed; return the bytes sent."""
        block = rest * (FLOOD_BLOCK_BYTES // len(rest))
        sent_bytes = 0
        harness.writer.write(start)
        try:
            while sent_bytes < MAX_FLOOD_BYTES:
                harness.writer.write(block)
                await harness.writer.drain()
                sent_bytes += len(block)
        except ConnectionError:
            pass
        return sent_bytes

    async def async_check(
        self, start: bytes, rest: bytes
    ) -> runtime_messages.AttemptEnded:
        """Return how an attempt ended that got bytes without end."""
        async with async_run_harness() as harness:
            harness.start()
            await harness.async_wait_attached()
            await harness.reader.readuntil(b"\r\n\r\n")
            async with asyncio.timeout(fakes.TIMEOUT_SECONDS):
                flood = asyncio.create_task(
                    self.async_flood(harness, start, rest)
                )
                ended = await harness.async_attempt_ended()
                assert await flood < MAX_FLOOD_BYTES
            assert messages.ResponseEnd not in map(
                type, harness.origin_messages()
            )
            return ended

    @pytest.mark.parametrize("name", sorted(ENDLESS_RESPONSES))
    def test_response_without_end(self, name: str) -> None:
        """The attempt fails soon, with an unknown outcome."""
        ended = asyncio.run(self.async_check(*ENDLESS_RESPONSES[name]))
        assert ended.error is not None
        assert ended.error.outcome is states.Outcome.UNKNOWN

    def test_refusal_without_end(self) -> None:
        """A refusal counts, though its body has no end."""
        ended = asyncio.run(self.async_check(REFUSAL_HEAD, CHUNK))
        assert ended.result is state.AttemptResult.DECLINED
        assert ended.error is not None
        assert ended.error.outcome is states.Outcome.NOT_RUN

    def test_refusal_whose_body_is_missing(self) -> None:
        """A refusal counts, though its body doesn't come."""

        async def async_run() -> None:
            async with async_run_harness() as harness:
                harness.start()
                await harness.async_wait_attached()
                harness.writer.write(REFUSAL_HEAD)
                async with asyncio.timeout(fakes.TIMEOUT_SECONDS):
                    ended = await harness.async_attempt_ended()
                assert ended.result is state.AttemptResult.DECLINED

        asyncio.run(async_run())

    def test_body_without_end(self) -> None:
        """A caller that reads nothing holds the upstream up."""

        async def async_run() -> None:
            async with async_run_harness(window_bytes=4096) as harness:
                harness.start(timeout=0.3)
                await harness.async_wait_attached()
                flood = asyncio.create_task(
                    self.async_flood(
                        harness, b"HTTP/1.1 200 OK\r\n\r\n", b"\0"
                    )
                )
                ended = await harness.async_attempt_ended()
                assert isinstance(ended.error, errors.DeadlineExceeded)
                assert await flood < MAX_FLOOD_BYTES
                parts = harness.origin_messages()
                assert isinstance(parts[-1], messages.ResponseFailed)
                received_bytes = sum(
                    len(part.data)
                    for part in parts
                    if isinstance(part, messages.ResponseChunk)
                )
                assert received_bytes < MAX_BUFFERED_BYTES

        asyncio.run(async_run())


class TestCancel:
    """Cancelling an exchange closes its connection."""

    def test_cancel(self) -> None:
        """The upstream's connection is closed; no attempt is reported."""

        async def async_run() -> None:
            async with async_run_harness() as harness:
                harness.start()
                await harness.async_wait_attached()
                await harness.reader.readuntil(b"\r\n\r\n")
                harness.task.inbox.post(
                    messages.Cancel(exchange=ids.ExchangeId(1))
                )
                with contextlib.suppress(ConnectionResetError):
                    assert await harness.reader.read() == b""
                assert not harness.router

        asyncio.run(async_run())


class TestRequest:
    """Requests as the upstream receives them."""

    def test_chunked_body(self) -> None:
        """A body without length is sent chunked, and credit is returned."""

        async def async_run() -> None:
            async with async_run_harness() as harness:
                harness.start(method=b"POST", has_body=True)
                await fakes.async_receive(harness.origin)
                harness.task.inbox.post(
                    messages.BodyChunk(exchange=ids.ExchangeId(1), data=b"abc")
                )
                harness.end_body()
                sent = await harness.reader.readuntil(b"0\r\n\r\n")
                assert sent.endswith(b"3\r\nabc\r\n0\r\n\r\n")
                credit = await fakes.async_receive(harness.origin)
                assert credit == messages.Credit(
                    exchange=ids.ExchangeId(1), size=3
                )

        asyncio.run(async_run())

    def test_unread_body(self) -> None:
        """No credit is returned while the upstream does not read the body."""

        async def async_run() -> None:
            async with async_run_harness() as harness:
                harness.start(method=b"POST", has_body=True)
                await fakes.async_receive(harness.origin)
                harness.task.inbox.post(
                    messages.BodyChunk(
                        exchange=ids.ExchangeId(1),
                        data=bytes(16 * 1024 * 1024),
                    )
                )
                await harness.reader.readuntil(b"\r\n\r\n")
                assert not harness.origin

        asyncio.run(async_run())


class TestNotices:
    """What a response says about further requests reaches the router."""

    @pytest.mark.parametrize("status", [200, 404, 421, 500, 503])
    def test_leaving(self, status: int) -> None:
        """Any response may say that the upstream leaves."""

        async def async_run() -> None:
            async with async_run_harness() as harness:
                harness.start()
                await harness.async_wait_attached()
                harness.writer.write(
                    b"HTTP/1.1 %d x\r\nX-Leaving: 1\r\n"
                    b"Content-Length: 0\r\n\r\n" % status
                )
                notice = await fakes.async_receive(harness.router)
                assert notice == upstream_events.UpstreamNotice(
                    incarnation=REGISTRATION.incarnation, is_leaving=True
                )
                await harness.async_attempt_ended()
                for message in harness.origin_messages():
                    if isinstance(message, messages.ResponseHead):
                        names = [header.name for header in message.headers]
                        assert b"x-leaving" not in names

        asyncio.run(async_run())

    @pytest.mark.parametrize(
        ("status", "value", "seconds"),
        [
            (503, b"2", 2.0),
            (503, b"0.75", 0.75),
            (503, b"99999999", 60.0),
            (503, b"1e9", None),
            (503, b"-1", None),
            (503, b"9" * 400, None),
            (503, b"Fri, 01 Jan 2027 00:00:00 GMT", None),
            (429, b"2", None),
        ],
    )
    def test_retry_after(
        self, status: int, value: bytes, seconds: float | None
    ) -> None:
        """A 503 may say for how long nothing is wanted, within limits."""

        async def async_run() -> None:
            async with async_run_harness() as harness:
                harness.start()
                await harness.async_wait_attached()
                harness.writer.write(
                    b"HTTP/1.1 %d x\r\nX-Not-Run: 1\r\nRetry-After: %s\r\n"
                    b"Content-Length: 0\r\n\r\n" % (status, value)
                )
                message = await fakes.async_receive(harness.router)
                if seconds is None:
                    assert isinstance(message, runtime_messages.AttemptEnded)
                    return
                assert message.backoff_seconds == seconds
                ended = await harness.async_attempt_ended()
                assert ended.result is state.AttemptResult.DECLINED

        asyncio.run(async_run())
