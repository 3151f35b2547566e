"""Tests of request parsing: invalid requests, heads and bodies."""

import asyncio

import pytest

from dragonflyshelf.core import errors
from dragonflyshelf.core import messages
from dragonflyshelf.core import states
from tests.runtime.callers import fakes
from tests.runtime.callers import raw_http

INVALID_HEADS = {
    "absolute-form of another scheme": b"GET ftp://a/b HTTP/1.1\r\nHost: a",
    "bare line feed": b"GET /a HTTP/1.1\nHost: a\r\nX: b",
    "bare carriage return": b"GET /a HTTP/1.1\r\nHost: a\rX: b",
    "connect": b"CONNECT a:80 HTTP/1.1\r\nHost: a",
    "bad deadline": b"GET /a HTTP/1.1\r\nHost: a\r\nX-Deadline-Ms: x",
    "leading empty line": b"\r\nGET /a HTTP/1.1\r\nHost: a",
    "folded header": b"GET /a HTTP/1.1\r\nHost: a\r\nX: b\r\n c",
    "length and transfer coding": raw_http.POST
    + b"Content-Length: 3\r\nTransfer-Encoding: chunked",
    "length not a number": raw_http.POST + b"Content-Length: three",
    "length with sign": raw_http.POST + b"Content-Length: +3",
    "long deadline": b"GET /a HTTP/1.1\r\nHost: a\r\nX-Deadline-Ms: "
    + b"9" * 5000,
    "long length": raw_http.POST + b"Content-Length: " + b"9" * 5000,
    "no host": b"GET /a HTTP/1.1\r\nX: b",
    "not http": b"\x16\x03\x01\x02\x00",
    "nul": b"GET /a HTTP/1.1\r\nHost: a\r\nX: \x00",
    "unsupported transfer coding": raw_http.POST
    + b"Transfer-Encoding: gzip, chunked",
    "request id not ascii": b"GET /a HTTP/1.1\r\nHost: a\r\n"
    b"X-Request-Id: \xe9",
    "space before colon": raw_http.POST + b"Content-Length : 3",
    "two hosts": b"GET /a HTTP/1.1\r\nHost: a\r\nHost: b",
    "two different lengths": raw_http.POST
    + b"Content-Length: 3\r\nContent-Length: 4",
    "two equal lengths": raw_http.POST
    + b"Content-Length: 3\r\nContent-Length: 3",
    "list of lengths": raw_http.POST + b"Content-Length: 3, 3",
    "two transfer codings": raw_http.POST
    + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    "coding in 1.0": b"POST /a HTTP/1.0\r\nTransfer-Encoding: chunked",
}


MAX_HEAD_BYTES = 16384
"""Default of the platform's limit on a head."""


class TestManyHeaders:
    """Headers are limited by their bytes, whatever their number."""

    @pytest.mark.parametrize("header_count", [120, 4000])
    def test_within_limit(self, header_count: int) -> None:
        """A head that is short enough is routed with all its headers."""
        lines = b"".join(b"a:\r\n" for _ in range(header_count))
        request = raw_http.GET[:-2] + lines + b"\r\n"
        assert len(request) <= MAX_HEAD_BYTES

        async def async_run() -> None:
            async with fakes.async_run_listener(
                head_bytes=MAX_HEAD_BYTES
            ) as harness:
                async with harness.async_connect() as client:
                    client.send(request)
                    arrival = await harness.async_receive_request()
                    names = [header.name for header in arrival.head.headers]
                    assert names.count(b"a") == header_count

        asyncio.run(async_run())


class TestInvalidHttp:
    """Requests that are not strictly valid HTTP are not routed."""

    @pytest.mark.parametrize("name", sorted(INVALID_HEADS))
    def test_invalid_head(self, name: str) -> None:
        """An invalid head gets 400, also with a request after it."""
        request = INVALID_HEADS[name] + b"\r\n\r\n" + raw_http.GET
        refusal = asyncio.run(raw_http.async_send_refused(request))
        assert refusal == (400, errors.BadRequest.code)

    @pytest.mark.parametrize("version", [b"0.9", b"1.2", b"2.0", b"9.9"])
    def test_version(self, version: bytes) -> None:
        """An unsupported version gets 505."""
        request = b"GET /a HTTP/" + version + b"\r\nHost: a\r\n\r\n"
        refusal = asyncio.run(raw_http.async_send_refused(request))
        assert refusal == (505, errors.VersionNotSupported.code)

    def test_large_head(self) -> None:
        """A head above the size limit gets 431 before it is complete."""
        request = raw_http.GET[:-2] + b"X: " + b"a" * 5000
        refusal = asyncio.run(
            raw_http.async_send_refused(request, head_bytes=4096)
        )
        assert refusal == (431, errors.HeadTooLarge.code)

    def test_many_headers(self) -> None:
        """Too many headers get 431."""
        request = raw_http.GET[:-2] + b"X: a\r\n" * 20 + b"\r\n"
        refusal = asyncio.run(raw_http.async_send_refused(request, headers=10))
        assert refusal == (431, errors.HeadTooLarge.code)

    def test_large_body(self) -> None:
        """A content length above the limit gets 413 before the body."""
        request = raw_http.POST + b"Content-Length: 11\r\n\r\n"
        refusal = asyncio.run(
            raw_http.async_send_refused(request, body_bytes=10)
        )
        assert refusal == (413, errors.BodyTooLarge.code)

    def test_slow_head(self) -> None:
        """A head that is incomplete at the read timeout gets 408."""
        refusal = asyncio.run(
            raw_http.async_send_refused(raw_http.GET[:-2], read_timeout=0.05)
        )
        assert refusal == (408, errors.RequestTimeout.code)

    @pytest.mark.parametrize("size", [b"-1", b"0x2", b"g", b"", b"f" * 30])
    def test_chunk_size(self, size: bytes) -> None:
        """An invalid chunk size gets 400 with unknown outcome."""

        async def async_run() -> None:
            async with fakes.async_run_listener() as harness:
                async with harness.async_connect() as client:
                    client.send(
                        raw_http.POST
                        + b"Transfer-Encoding: chunked\r\n\r\n"
                        + size
                        + b"\r\nab\r\n0\r\n\r\n"
                        + raw_http.GET
                    )
                    status, body = raw_http.parse_refusal(
                        await client.async_read_to_end()
                    )
                    assert status == 400
                    assert body["outcome"] == states.Outcome.UNKNOWN.value
                    await harness.async_receive_request()
                    assert (
                        await harness.async_receive_exchange_end()
                    ).cancelled
                    assert not harness.router

        asyncio.run(async_run())


class TestHead:
    """The request head that is forwarded."""

    def test_headers(self) -> None:
        """Keys, hop-by-hop and router headers are not forwarded."""

        async def async_run() -> None:
            async with fakes.async_run_listener() as harness:
                async with harness.async_connect() as client:
                    client.send(
                        b"GET /a HTTP/1.1\r\nHost: a\r\n"
                        b"Connection: keep-alive, X-One\r\nX-One: 1\r\n"
                        b"X-Caller-Key: secret\r\nX-Upstream: u9\r\n"
                        b"X-Deadline-Ms: 9000\r\nTE: trailers\r\n"
                        b"X-Workspace: other\r\nExpect: 100-continue\r\n"
                        b"Authorization: Bearer secret\r\nX-Two: 2\r\n\r\n"
                    )
                    arrival = await harness.async_receive_request()
                    names = [header.name for header in arrival.head.headers]
                    assert names == [b"host", b"x-two"]
                    assert "secret" not in repr(arrival)

        asyncio.run(async_run())

    def test_absolute_form(self) -> None:
        """An absolute-form target replaces path and host header."""

        async def async_run() -> None:
            async with fakes.async_run_listener() as harness:
                async with harness.async_connect() as client:
                    client.send(
                        b"GET http://b:1/c?d HTTP/1.1\r\nHost: a\r\n\r\n"
                    )
                    head = (await harness.async_receive_request()).head
                    assert head.target == b"/c?d"
                    assert [header.value for header in head.headers] == [
                        b"b:1"
                    ]

        asyncio.run(async_run())


class TestBody:
    """Request bodies are streamed within their limits."""

    def test_chunked(self) -> None:
        """A chunked body is forwarded, and so is the request after it."""

        async def async_run() -> None:
            async with fakes.async_run_listener() as harness:
                async with harness.async_connect() as client:
                    client.send(
                        raw_http.POST
                        + b"Transfer-Encoding: chunked\r\n\r\n"
                        + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
                        + raw_http.GET
                    )
                    first = await harness.async_receive_request()
                    harness.attach(first)
                    assert await harness.async_receive_body() == b"abc"
                    fakes.send_response(first, b"one")
                    assert not (
                        await harness.async_receive_exchange_end()
                    ).cancelled
                    fakes.send_response(
                        await harness.async_receive_request(), b"two"
                    )
                    await client.async_read_until(b"one")
                    await client.async_read_until(b"two")

        asyncio.run(async_run())

    def test_back_pressure(self) -> None:
        """Without credit only a window of the body is forwarded."""
        size = 8 * 1024 * 1024
        window = 4096

        async def async_run() -> None:
            async with fakes.async_run_listener(
                window_bytes=window, body_bytes=size
            ) as harness:
                async with harness.async_connect() as client:
                    client.send(
                        raw_http.POST + b"Content-Length: %d\r\n\r\n" % size
                    )
                    client.send(bytes(size))
                    arrival = await harness.async_receive_request()
                    harness.attach(arrival)
                    total = 0
                    while total < size:
                        message = await fakes.async_receive(harness.target)
                        total += len(message.data)
                        assert len(harness.target) <= 1
                        arrival.origin.post(
                            messages.Credit(
                                exchange=arrival.exchange,
                                size=len(message.data),
                            )
                        )
                    end = await fakes.async_receive(harness.target)
                    assert isinstance(end, messages.BodyEnd)

        asyncio.run(async_run())

    def test_body_limit(self) -> None:
        """A chunked body above the limit gets 413, outcome unknown."""

        async def async_run() -> None:
            async with fakes.async_run_listener(body_bytes=2) as harness:
                async with harness.async_connect() as client:
                    client.send(
                        raw_http.POST + b"Transfer-Encoding: chunked\r\n\r\n"
                    )
                    harness.attach(await harness.async_receive_request())
                    client.send(b"3\r\nabc\r\n")
                    status, body = raw_http.parse_refusal(
                        await client.async_read_to_end()
                    )
                    assert status == 413
                    assert body["outcome"] == states.Outcome.UNKNOWN.value
                    assert (
                        await harness.async_receive_exchange_end()
                    ).cancelled

        asyncio.run(async_run())

    def test_slow_body(self) -> None:
        """A body that stalls gets an error with unknown outcome."""

        async def async_run() -> None:
            async with fakes.async_run_listener(read_timeout=0.05) as harness:
                async with harness.async_connect() as client:
                    client.send(raw_http.POST + b"Content-Length: 3\r\n\r\na")
                    harness.attach(await harness.async_receive_request())
                    status, body = raw_http.parse_refusal(
                        await client.async_read_to_end()
                    )
                    assert status == 502
                    assert body["code"] == errors.RequestTimeout.code
                    assert body["outcome"] == states.Outcome.UNKNOWN.value
                    assert (
                        await harness.async_receive_exchange_end()
                    ).cancelled

        asyncio.run(async_run())

    def test_expect(self) -> None:
        """100 Continue is sent only after a target is attached."""

        async def async_run() -> None:
            async with fakes.async_run_listener() as harness:
                async with harness.async_connect() as client:
                    head = b"Content-Length: 1\r\nExpect: 100-continue\r\n\r\n"
                    client.send(raw_http.POST + head)
                    arrival = await harness.async_receive_request()
                    harness.attach(arrival)
                    response = await client.async_read_until(b"\r\n\r\n")
                    assert response.startswith(b"HTTP/1.1 100 ")
                    client.send(b"a")
                    assert await harness.async_receive_body() == b"a"

        asyncio.run(async_run())

    def test_expect_refused(self) -> None:
        """A refused request gets the refusal and no 100 Continue."""

        async def async_run() -> None:
            async with fakes.async_run_listener() as harness:
                async with harness.async_connect() as client:
                    head = b"Content-Length: 1\r\nExpect: 100-continue\r\n\r\n"
                    client.send(raw_http.POST + head)
                    arrival = await harness.async_receive_request()
                    arrival.origin.post(
                        messages.ResponseFailed(
                            exchange=arrival.exchange,
                            error=errors.CallerKeyRefused("no"),
                        )
                    )
                    status, _ = raw_http.parse_refusal(
                        await client.async_read_to_end()
                    )
                    assert status == 401

        asyncio.run(async_run())

    def test_second_target(self) -> None:
        """A small body is sent again to a second target."""

        async def async_run() -> None:
            async with fakes.async_run_listener() as harness:
                async with harness.async_connect() as client:
                    client.send(
                        raw_http.POST + b"Content-Length: 3\r\n\r\nabc"
                    )
                    arrival = await harness.async_receive_request()
                    harness.attach(arrival)
                    assert await harness.async_receive_body() == b"abc"
                    harness.attach(arrival)
                    assert await harness.async_receive_body() == b"abc"

        asyncio.run(async_run())

    def test_second_target_after_discard(self) -> None:
        """A retry fails if the body was discarded.

        Otherwise an incomplete body would be sent as a complete one.
        """

        async def async_run() -> None:
            async with fakes.async_run_listener(replay_bytes=2) as harness:
                async with harness.async_connect() as client:
                    client.send(
                        raw_http.POST + b"Content-Length: 3\r\n\r\nabc"
                    )
                    arrival = await harness.async_receive_request()
                    harness.attach(arrival)
                    assert await harness.async_receive_body() == b"abc"
                    harness.attach(arrival)
                    status, body = raw_http.parse_refusal(
                        await client.async_read_until(b"}")
                    )
                    assert status == 502
                    assert body["outcome"] == states.Outcome.UNKNOWN.value
                    assert (
                        await harness.async_receive_exchange_end()
                    ).cancelled
                    assert not harness.target

        asyncio.run(async_run())
