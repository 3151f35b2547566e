"""Tests of callers' connections over loopback sockets."""

import asyncio
import json

import pytest

from dragonflyshelf.core import errors
from dragonflyshelf.core import messages
from dragonflyshelf.core import states
from dragonflyshelf.runtime.callers import connection
from dragonflyshelf.runtime import messages as runtime_messages
from tests.runtime.callers import fakes

GET = b"GET /letters/1 HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST /orders/1 HTTP/1.1\r\nHost: a\r\n"
REFUSED_HEADS = {
    "absolute-form of another scheme": b"GET ftp://a/b HTTP/1.1\r\nHost: a",
    "bare line feed": b"GET /a HTTP/1.1\nHost: a\r\nX: b",
    "bare return": b"GET /a HTTP/1.1\r\nHost: a\rX: b",
    "connect": b"CONNECT a:80 HTTP/1.1\r\nHost: a",
    "deadline of words": b"GET /a HTTP/1.1\r\nHost: a\r\nX-Deadline-Ms: x",
    "empty line first": b"\r\nGET /a HTTP/1.1\r\nHost: a",
    "folded header": b"GET /a HTTP/1.1\r\nHost: a\r\nX: b\r\n c",
    "length and chunks": POST
    + b"Content-Length: 3\r\nTransfer-Encoding: chunked",
    "length of words": POST + b"Content-Length: three",
    "length with sign": POST + b"Content-Length: +3",
    "long deadline": b"GET /a HTTP/1.1\r\nHost: a\r\nX-Deadline-Ms: "
    + b"9" * 5000,
    "long length": POST + b"Content-Length: " + b"9" * 5000,
    "no host": b"GET /a HTTP/1.1\r\nX: b",
    "not http": b"\x16\x03\x01\x02\x00",
    "nul": b"GET /a HTTP/1.1\r\nHost: a\r\nX: \x00",
    "other coding": POST + b"Transfer-Encoding: gzip, chunked",
    "request id not ascii": b"GET /a HTTP/1.1\r\nHost: a\r\n"
    b"X-Request-Id: \xe9",
    "space before colon": POST + b"Content-Length : 3",
    "two hosts": b"GET /a HTTP/1.1\r\nHost: a\r\nHost: b",
    "two lengths": POST + b"Content-Length: 3\r\nContent-Length: 4",
    "two lengths alike": POST + b"Content-Length: 3\r\nContent-Length: 3",
    "two lengths in one": POST + b"Content-Length: 3, 3",
    "two transfer codings": POST
    + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    "chunks in 1.0": b"POST /a HTTP/1.0\r\nTransfer-Encoding: chunked",
}


def split(answer: bytes) -> tuple[int, dict[str, str]]:
    """Return the status and the JSON body of one refusal."""
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split(b" ")[1]), json.loads(body)


async def async_refusal(raw: bytes, **values: int) -> tuple[int, str]:
    """Send bytes and return status and code; nothing may be routed."""
    async with fakes.async_front(**values) as front:
        async with front.async_client() as client:
            client.send(raw)
            status, body = split(await client.async_rest())
            assert body["outcome"] == states.Outcome.NOT_RUN.value
            assert not front.router
            return status, body["code"]


class TestBadHttp:
    """What is not strict HTTP is refused and reaches no router."""

    @pytest.mark.parametrize("name", sorted(REFUSED_HEADS))
    def test_head(self, name: str) -> None:
        """A bad head gets 400, also with a request behind it."""
        raw = REFUSED_HEADS[name] + b"\r\n\r\n" + GET
        found = asyncio.run(async_refusal(raw))
        assert found == (400, errors.BadRequest.code)

    @pytest.mark.parametrize("version", [b"0.9", b"1.2", b"2.0", b"9.9"])
    def test_version(self, version: bytes) -> None:
        """Another version gets 505."""
        raw = b"GET /a HTTP/" + version + b"\r\nHost: a\r\n\r\n"
        found = asyncio.run(async_refusal(raw))
        assert found == (505, errors.VersionNotSupported.code)

    def test_large_head(self) -> None:
        """A head over its bound gets 431, though it never ends."""
        raw = GET[:-2] + b"X: " + b"a" * 5000
        found = asyncio.run(async_refusal(raw, head_bytes=4096))
        assert found == (431, errors.HeadTooLarge.code)

    def test_many_headers(self) -> None:
        """Too many headers get 431."""
        raw = GET[:-2] + b"X: a\r\n" * 20 + b"\r\n"
        found = asyncio.run(async_refusal(raw, headers=10))
        assert found == (431, errors.HeadTooLarge.code)

    def test_large_body(self) -> None:
        """A length over the bound gets 413 before any body is read."""
        raw = POST + b"Content-Length: 11\r\n\r\n"
        found = asyncio.run(async_refusal(raw, body_bytes=10))
        assert found == (413, errors.BodyTooLarge.code)

    def test_slow_head(self) -> None:
        """A head that does not end in time gets 408."""
        found = asyncio.run(async_refusal(GET[:-2], read_timeout=0.05))
        assert found == (408, errors.RequestTimeout.code)

    @pytest.mark.parametrize("size", [b"-1", b"0x2", b"g", b"", b"f" * 30])
    def test_chunk_size(self, size: bytes) -> None:
        """A bad chunk size ends the request; it may have run."""

        async def async_run() -> None:
            async with fakes.async_front() as front:
                async with front.async_client() as client:
                    client.send(
                        POST
                        + b"Transfer-Encoding: chunked\r\n\r\n"
                        + size
                        + b"\r\nab\r\n0\r\n\r\n"
                        + GET
                    )
                    status, body = split(await client.async_rest())
                    assert status == 400
                    assert body["outcome"] == states.Outcome.UNKNOWN.value
                    await front.async_arrival()
                    assert (await front.async_end()).cancelled
                    assert not front.router

        asyncio.run(async_run())


class TestHead:
    """What of a request's head goes on."""

    def test_headers(self) -> None:
        """Keys, hop-by-hop and router headers stay here."""

        async def async_run() -> None:
            async with fakes.async_front() as front:
                async with front.async_client() as client:
                    client.send(
                        b"GET /a HTTP/1.1\r\nHost: a\r\n"
                        b"Connection: keep-alive, X-One\r\nX-One: 1\r\n"
                        b"X-Caller-Key: secret\r\nX-Upstream: u9\r\n"
                        b"X-Deadline-Ms: 9000\r\nTE: trailers\r\n"
                        b"X-Workspace: other\r\nExpect: 100-continue\r\n"
                        b"Authorization: Bearer secret\r\nX-Two: 2\r\n\r\n"
                    )
                    arrival = await front.async_arrival()
                    names = [one.name for one in arrival.head.headers]
                    assert names == [b"host", b"x-two"]
                    assert "secret" not in repr(arrival)

        asyncio.run(async_run())

    def test_absolute_form(self) -> None:
        """An absolute target becomes a path, and its host counts."""

        async def async_run() -> None:
            async with fakes.async_front() as front:
                async with front.async_client() as client:
                    client.send(
                        b"GET http://b:1/c?d HTTP/1.1\r\nHost: a\r\n\r\n"
                    )
                    head = (await front.async_arrival()).head
                    assert head.target == b"/c?d"
                    assert [one.value for one in head.headers] == [b"b:1"]

        asyncio.run(async_run())


class TestBody:
    """Bodies stream within their bounds."""

    def test_chunked(self) -> None:
        """A chunked body arrives whole, and the next request after it."""

        async def async_run() -> None:
            async with fakes.async_front() as front:
                async with front.async_client() as client:
                    client.send(
                        POST
                        + b"Transfer-Encoding: chunked\r\n\r\n"
                        + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
                        + GET
                    )
                    first = await front.async_arrival()
                    front.attach(first)
                    assert await front.async_body() == b"abc"
                    fakes.answer(first, b"one")
                    assert not (await front.async_end()).cancelled
                    fakes.answer(await front.async_arrival(), b"two")
                    await client.async_until(b"one")
                    await client.async_until(b"two")

        asyncio.run(async_run())

    def test_back_pressure(self) -> None:
        """Without credit only a window of the body comes in."""
        size = 8 * 1024 * 1024
        window = 4096

        async def async_run() -> None:
            async with fakes.async_front(
                window_bytes=window, body_bytes=size
            ) as front:
                async with front.async_client() as client:
                    client.send(POST + b"Content-Length: %d\r\n\r\n" % size)
                    client.send(bytes(size))
                    arrival = await front.async_arrival()
                    front.attach(arrival)
                    total = 0
                    while total < size:
                        message = await fakes.async_take(front.target)
                        total += len(message.data)
                        assert len(front.target) <= 1
                        arrival.origin.post(
                            messages.Credit(
                                exchange=arrival.exchange,
                                size=len(message.data),
                            )
                        )
                    end = await fakes.async_take(front.target)
                    assert isinstance(end, messages.BodyEnd)

        asyncio.run(async_run())

    def test_over_bound(self) -> None:
        """A chunked body over the bound gets 413; it may have run."""

        async def async_run() -> None:
            async with fakes.async_front(body_bytes=2) as front:
                async with front.async_client() as client:
                    client.send(POST + b"Transfer-Encoding: chunked\r\n\r\n")
                    front.attach(await front.async_arrival())
                    client.send(b"3\r\nabc\r\n")
                    status, body = split(await client.async_rest())
                    assert status == 413
                    assert body["outcome"] == states.Outcome.UNKNOWN.value
                    assert (await front.async_end()).cancelled

        asyncio.run(async_run())

    def test_slow_body(self) -> None:
        """A body that stops ends the request, which may have run."""

        async def async_run() -> None:
            async with fakes.async_front(read_timeout=0.05) as front:
                async with front.async_client() as client:
                    client.send(POST + b"Content-Length: 3\r\n\r\na")
                    front.attach(await front.async_arrival())
                    status, body = split(await client.async_rest())
                    assert status == 502
                    assert body["code"] == errors.RequestTimeout.code
                    assert body["outcome"] == states.Outcome.UNKNOWN.value
                    assert (await front.async_end()).cancelled

        asyncio.run(async_run())

    def test_expect(self) -> None:
        """100 is sent only once a target takes the request."""

        async def async_run() -> None:
            async with fakes.async_front() as front:
                async with front.async_client() as client:
                    head = b"Content-Length: 1\r\nExpect: 100-continue\r\n\r\n"
                    client.send(POST + head)
                    arrival = await front.async_arrival()
                    front.attach(arrival)
                    found = await client.async_until(b"\r\n\r\n")
                    assert found.startswith(b"HTTP/1.1 100 ")
                    client.send(b"a")
                    assert await front.async_body() == b"a"

        asyncio.run(async_run())

    def test_expect_refused(self) -> None:
        """A refused request gets its refusal and no 100."""

        async def async_run() -> None:
            async with fakes.async_front() as front:
                async with front.async_client() as client:
                    head = b"Content-Length: 1\r\nExpect: 100-continue\r\n\r\n"
                    client.send(POST + head)
                    arrival = await front.async_arrival()
                    arrival.origin.post(
                        messages.AnswerFailed(
                            exchange=arrival.exchange,
                            error=errors.CallerKeyRefused("no"),
                        )
                    )
                    status, _ = split(await client.async_rest())
                    assert status == 401

        asyncio.run(async_run())

    def test_second_target(self) -> None:
        """A small body is sent again to a second target."""

        async def async_run() -> None:
            async with fakes.async_front() as front:
                async with front.async_client() as client:
                    client.send(POST + b"Content-Length: 3\r\n\r\nabc")
                    arrival = await front.async_arrival()
                    front.attach(arrival)
                    assert await front.async_body() == b"abc"
                    front.attach(arrival)
                    assert await front.async_body() == b"abc"

        asyncio.run(async_run())

    def test_second_target_without_body(self) -> None:
        """A body that is gone is never sent on as if it were whole."""

        async def async_run() -> None:
            async with fakes.async_front(replay_bytes=2) as front:
                async with front.async_client() as client:
                    client.send(POST + b"Content-Length: 3\r\n\r\nabc")
                    arrival = await front.async_arrival()
                    front.attach(arrival)
                    assert await front.async_body() == b"abc"
                    front.attach(arrival)
                    status, body = split(await client.async_until(b"}"))
                    assert status == 502
                    assert body["outcome"] == states.Outcome.UNKNOWN.value
                    assert (await front.async_end()).cancelled
                    assert not front.target

        asyncio.run(async_run())


class TestAnswer:
    """Answers reach their own caller, whole or visibly broken."""

    def test_head_method(self) -> None:
        """The answer to HEAD has a length and no body."""

        async def async_run() -> None:
            async with fakes.async_front() as front:
                async with front.async_client() as client:
                    client.send(GET.replace(b"GET", b"HEAD"))
                    fakes.answer(await front.async_arrival(), b"abc")
                    found = await client.async_until(b"\r\n\r\n")
                    assert b"content-length: 3\r\n" in found.lower()
                    await front.async_end()
                    client.send(GET)
                    fakes.answer(await front.async_arrival(), b"next")
                    found = await client.async_until(b"next")
                    assert found.startswith(b"HTTP/1.1 200 ")

        asyncio.run(async_run())

    def test_head_refused(self) -> None:
        """A refusal of HEAD has no body either."""

        async def async_run() -> None:
            async with fakes.async_front() as front:
                async with front.async_client() as client:
                    client.send(
                        b"HEAD /a HTTP/1.1\r\nHost: a\r\n"
                        b"X-Deadline-Ms: x\r\n\r\n"
                    )
                    found = await client.async_rest()
                    assert found.startswith(b"HTTP/1.1 400 ")
                    assert found.endswith(b"\r\n\r\n")

        asyncio.run(async_run())

    def test_version_1_0(self) -> None:
        """A caller of HTTP/1.0 gets no chunks and an end."""

        async def async_run() -> None:
            async with fakes.async_front() as front:
                async with front.async_client() as client:
                    client.send(b"GET /a HTTP/1.0\r\n\r\n")
                    arrival = await front.async_arrival()
                    arrival.origin.post(
                        messages.AnswerHead(
                            exchange=arrival.exchange,
                            status=200,
                            reason=b"OK",
                            headers=(),
                        )
                    )
                    arrival.origin.post(
                        messages.AnswerChunk(
                            exchange=arrival.exchange, data=b"abc"
                        )
                    )
                    arrival.origin.post(
                        messages.AnswerEnd(exchange=arrival.exchange)
                    )
                    found = await client.async_rest()
                    assert found.endswith(b"\r\n\r\nabc")
                    assert b"chunked" not in found.lower()

        asyncio.run(async_run())

    def test_crossed(self) -> None:
        """An answer to another exchange reaches nobody."""

        async def async_run() -> None:
            async with fakes.async_front() as front:
                async with front.async_client() as client:
                    client.send(GET + GET)
                    first = await front.async_arrival()
                    second = await front.async_arrival()
                    fakes.answer(first, b"one")
                    await front.async_end()
                    fakes.answer(first, b"late")
                    fakes.answer(second, b"two")
                    found = await client.async_until(b"two")
                    assert b"late" not in found

        asyncio.run(async_run())

    def test_pipelined_answers_keep_their_order(self) -> None:
        """A later request that is answered first waits for its turn."""

        async def async_run() -> None:
            async with fakes.async_front() as front:
                async with front.async_client() as client:
                    client.send(GET + GET)
                    first = await front.async_arrival()
                    second = await front.async_arrival()
                    fakes.answer(second, b"two")
                    fakes.answer(first, b"one")
                    found = await client.async_until(b"two")
                    assert found.index(b"one") < found.index(b"two")

        asyncio.run(async_run())

    def test_order_waits_for_earlier_requests(self) -> None:
        """What may have an effect is not sent ahead of its turn."""

        async def async_run() -> None:
            async with fakes.async_front() as front:
                async with front.async_client() as client:
                    client.send(GET + POST + b"Content-Length: 0\r\n\r\n")
                    first = await front.async_arrival()
                    await asyncio.sleep(0.05)
                    assert not front.router
                    fakes.answer(first, b"one")
                    await front.async_end()
                    second = await front.async_arrival()
                    assert second.head.method == b"POST"

        asyncio.run(async_run())

    def test_cut(self) -> None:
        """An answer that breaks off breaks the connection."""

        async def async_run() -> None:
            async with fakes.async_front() as front:
                async with front.async_client() as client:
                    client.send(GET)
                    arrival = await front.async_arrival()
                    arrival.origin.post(
                        messages.AnswerHead(
                            exchange=arrival.exchange,
                            status=200,
                            reason=b"OK",
                            headers=(),
                        )
                    )
                    arrival.origin.post(
                        messages.AnswerChunk(
                            exchange=arrival.exchange, data=b"abc"
                        )
                    )
                    await client.async_until(b"abc")
                    arrival.origin.post(
                        messages.AnswerFailed(
                            exchange=arrival.exchange,
                            error=errors.UpstreamFailed("cut"),
                        )
                    )
                    with pytest.raises(ConnectionResetError):
                        await client.async_rest()

        asyncio.run(async_run())

    def test_before_body_ends(self) -> None:
        """An early answer arrives whole while body is still unread."""
        size = 4 * 1024 * 1024

        async def async_run() -> None:
            async with fakes.async_front(window_bytes=4096) as front:
                async with front.async_client() as client:
                    client.send(POST + b"Content-Length: %d\r\n\r\n" % size)
                    client.send(bytes(size // 8))
                    arrival = await front.async_arrival()
                    fakes.answer(arrival, b"x" * 100000)
                    found = await client.async_rest()
                    assert found.endswith(b"x" * 100000)
                    assert b"connection: close\r\n" in found.lower()

        asyncio.run(async_run())

    def test_deadline(self) -> None:
        """A request that nobody answers is ended by its deadline."""

        async def async_run() -> None:
            async with fakes.async_front(deadline=0.01) as front:
                async with front.async_client() as client:
                    client.send(GET)
                    await front.async_arrival()
                    status, body = split(await client.async_until(b"}"))
                    assert status == 504
                    assert body["outcome"] == states.Outcome.UNKNOWN.value
                    assert (await front.async_end()).cancelled

        asyncio.run(async_run())

    def test_slow_reader(self) -> None:
        """A caller that does not read holds back the upstream."""

        async def async_run() -> None:
            async with fakes.async_front() as front:
                async with front.async_client() as client:
                    client.send(POST + b"Content-Length: 1\r\n\r\na")
                    arrival = await front.async_arrival()
                    front.attach(arrival)
                    assert await front.async_body() == b"a"
                    size = 16 * 1024 * 1024
                    number = arrival.exchange
                    arrival.origin.post(fakes.answer_head(arrival, size))
                    arrival.origin.post(
                        messages.AnswerChunk(exchange=number, data=bytes(size))
                    )
                    await client.async_until(b"\r\n\r\n")
                    assert not front.target
                    arrival.origin.post(messages.AnswerEnd(exchange=number))
                    total = 0
                    while total < size:
                        total += len(await client.reader.read(fakes.CHUNK))
                    assert total == size

        asyncio.run(async_run())


class TestCallerGone:
    """A caller that goes away cancels its request."""

    def test_close(self) -> None:
        """The end of the connection ends the exchange."""

        async def async_run() -> None:
            async with fakes.async_front() as front:
                async with front.async_client() as client:
                    client.send(GET)
                    await front.async_arrival()
                assert (await front.async_end()).cancelled

        asyncio.run(async_run())

    def test_half_close(self) -> None:
        """A caller that still reads is told that it is not known."""

        async def async_run() -> None:
            async with fakes.async_front() as front:
                async with front.async_client() as client:
                    client.send(GET)
                    client.writer.write_eof()
                    status, body = split(await client.async_rest())
                    assert status == 400
                    assert body["code"] == errors.CallerGone.code
                    assert body["outcome"] == states.Outcome.UNKNOWN.value
                    await front.async_arrival()
                    assert (await front.async_end()).cancelled

        asyncio.run(async_run())

    def test_half_close_while_answering(self) -> None:
        """An answer that has begun goes on to its end."""

        async def async_run() -> None:
            async with fakes.async_front() as front:
                async with front.async_client() as client:
                    client.send(GET)
                    arrival = await front.async_arrival()
                    arrival.origin.post(fakes.answer_head(arrival, 3))
                    await client.async_until(b"\r\n\r\n")
                    client.writer.write_eof()
                    number = arrival.exchange
                    arrival.origin.post(
                        messages.AnswerChunk(exchange=number, data=b"abc")
                    )
                    arrival.origin.post(messages.AnswerEnd(exchange=number))
                    assert await client.async_rest() == b"abc"
                    assert not (await front.async_end()).cancelled

        asyncio.run(async_run())


class TestConnections:
    """Connections are bounded, time out and drain."""

    def test_bound(self) -> None:
        """One connection too many is refused in words."""

        async def async_run() -> None:
            async with fakes.async_front(connections=1) as front:
                async with front.async_client() as first:
                    first.send(GET)
                    arrival = await front.async_arrival()
                    async with front.async_client() as second:
                        second.send(GET)
                        status, body = split(await second.async_rest())
                        assert status == 503
                        assert body["code"] == errors.TooManyConnections.code
                    fakes.answer(arrival, b"one")
                    await first.async_until(b"one")

        asyncio.run(async_run())

    def test_idle(self) -> None:
        """An idle connection is closed without a word."""

        async def async_run() -> None:
            async with fakes.async_front(idle_timeout=0.05) as front:
                async with front.async_client() as client:
                    assert await client.async_rest() == b""

        asyncio.run(async_run())

    def test_request_crosses_the_idle_end(self) -> None:
        """It is not read and dropped: the connection is gone at once."""

        async def async_run() -> None:
            async with fakes.async_front(idle_timeout=0.05) as front:
                async with front.async_client() as client:
                    assert await client.async_rest() == b""
                    await asyncio.sleep(0.1)
                    assert front.listener.connections == 0
                    assert not front.router

        asyncio.run(async_run())

    def test_pipeline_bound(self) -> None:
        """Requests behind a running one are read up to a bound."""

        async def async_run() -> None:
            async with fakes.async_front(head_bytes=1024) as front:
                async with front.async_client() as client:
                    count = 1000
                    client.send(GET * count)
                    await asyncio.sleep(0.05)
                    assert len(front.router) <= connection.PIPELINE
                    for _ in range(count):
                        message = await fakes.async_take(front.router)
                        while isinstance(
                            message, runtime_messages.ExchangeEnded
                        ):
                            message = await fakes.async_take(front.router)
                        fakes.answer(message, b"!")
                    for _ in range(count):
                        await client.async_until(b"!")

        asyncio.run(async_run())

    def test_drain_idle(self) -> None:
        """An idle connection ends when the instance leaves."""

        async def async_run() -> None:
            async with fakes.async_front() as front:
                async with front.async_client() as client:
                    client.send(GET)
                    fakes.answer(await front.async_arrival(), b"one")
                    await client.async_until(b"one")
                    await front.async_drain()
                    assert await client.async_rest() == b""

        asyncio.run(async_run())

    def test_drain_running(self) -> None:
        """A running request is answered, and the connection ends."""

        async def async_run() -> None:
            async with fakes.async_front() as front:
                async with front.async_client() as client:
                    client.send(GET)
                    arrival = await front.async_arrival()
                    await front.async_drain()
                    fakes.answer(arrival, b"one")
                    found = await client.async_rest()
                    assert found.endswith(b"one")
                    assert b"connection: close\r\n" in found.lower()

        asyncio.run(async_run())

    def test_drain_partial_head(self) -> None:
        """A request that has begun to come in is still answered."""

        async def async_run() -> None:
            async with fakes.async_front() as front:
                async with front.async_client() as client:
                    client.send(GET)
                    fakes.answer(await front.async_arrival(), b"one")
                    await client.async_until(b"one")
                    await front.async_end()
                    client.send(GET[:5])
                    await asyncio.sleep(0.05)
                    await front.async_drain()
                    client.send(GET[5:])
                    fakes.answer(await front.async_arrival(), b"two")
                    assert (await client.async_rest()).endswith(b"two")

        asyncio.run(async_run())
