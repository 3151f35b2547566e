"""Tests of reading requests: what is refused, heads and bodies."""

import asyncio

import pytest

from dragonflyshelf.core import errors
from dragonflyshelf.core import messages
from dragonflyshelf.core import states
from tests.runtime.callers import fakes
from tests.runtime.callers import raw_http

REFUSED_HEADS = {
    "absolute-form of another scheme": b"GET ftp://a/b HTTP/1.1\r\nHost: a",
    "bare line feed": b"GET /a HTTP/1.1\nHost: a\r\nX: b",
    "bare return": b"GET /a HTTP/1.1\r\nHost: a\rX: b",
    "connect": b"CONNECT a:80 HTTP/1.1\r\nHost: a",
    "deadline of words": b"GET /a HTTP/1.1\r\nHost: a\r\nX-Deadline-Ms: x",
    "empty line first": b"\r\nGET /a HTTP/1.1\r\nHost: a",
    "folded header": b"GET /a HTTP/1.1\r\nHost: a\r\nX: b\r\n c",
    "length and chunks": raw_http.POST
    + b"Content-Length: 3\r\nTransfer-Encoding: chunked",
    "length of words": raw_http.POST + b"Content-Length: three",
    "length with sign": raw_http.POST + b"Content-Length: +3",
    "long deadline": b"GET /a HTTP/1.1\r\nHost: a\r\nX-Deadline-Ms: "
    + b"9" * 5000,
    "long length": raw_http.POST + b"Content-Length: " + b"9" * 5000,
    "no host": b"GET /a HTTP/1.1\r\nX: b",
    "not http": b"\x16\x03\x01\x02\x00",
    "nul": b"GET /a HTTP/1.1\r\nHost: a\r\nX: \x00",
    "other coding": raw_http.POST + b"Transfer-Encoding: gzip, chunked",
    "request id not ascii": b"GET /a HTTP/1.1\r\nHost: a\r\n"
    b"X-Request-Id: \xe9",
    "space before colon": raw_http.POST + b"Content-Length : 3",
    "two hosts": b"GET /a HTTP/1.1\r\nHost: a\r\nHost: b",
    "two lengths": raw_http.POST + b"Content-Length: 3\r\nContent-Length: 4",
    "two lengths alike": raw_http.POST
    + b"Content-Length: 3\r\nContent-Length: 3",
    "two lengths in one": raw_http.POST + b"Content-Length: 3, 3",
    "two transfer codings": raw_http.POST
    + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    "chunks in 1.0": b"POST /a HTTP/1.0\r\nTransfer-Encoding: chunked",
}


class TestBadHttp:
    """What is not strict HTTP is refused and reaches no router."""

    @pytest.mark.parametrize("name", sorted(REFUSED_HEADS))
    def test_head(self, name: str) -> None:
        """A bad head gets 400, also with a request behind it."""
        raw = REFUSED_HEADS[name] + b"\r\n\r\n" + raw_http.GET
        found = asyncio.run(raw_http.async_refusal(raw))
        assert found == (400, errors.BadRequest.code)

    @pytest.mark.parametrize("version", [b"0.9", b"1.2", b"2.0", b"9.9"])
    def test_version(self, version: bytes) -> None:
        """Another version gets 505."""
        raw = b"GET /a HTTP/" + version + b"\r\nHost: a\r\n\r\n"
        found = asyncio.run(raw_http.async_refusal(raw))
        assert found == (505, errors.VersionNotSupported.code)

    def test_large_head(self) -> None:
        """A head over its bound gets 431, though it never ends."""
        raw = raw_http.GET[:-2] + b"X: " + b"a" * 5000
        found = asyncio.run(raw_http.async_refusal(raw, head_bytes=4096))
        assert found == (431, errors.HeadTooLarge.code)

    def test_many_headers(self) -> None:
        """Too many headers get 431."""
        raw = raw_http.GET[:-2] + b"X: a\r\n" * 20 + b"\r\n"
        found = asyncio.run(raw_http.async_refusal(raw, headers=10))
        assert found == (431, errors.HeadTooLarge.code)

    def test_large_body(self) -> None:
        """A length over the bound gets 413 before any body is read."""
        raw = raw_http.POST + b"Content-Length: 11\r\n\r\n"
        found = asyncio.run(raw_http.async_refusal(raw, body_bytes=10))
        assert found == (413, errors.BodyTooLarge.code)

    def test_slow_head(self) -> None:
        """A head that does not end in time gets 408."""
        found = asyncio.run(
            raw_http.async_refusal(raw_http.GET[:-2], read_timeout=0.05)
        )
        assert found == (408, errors.RequestTimeout.code)

    @pytest.mark.parametrize("size", [b"-1", b"0x2", b"g", b"", b"f" * 30])
    def test_chunk_size(self, size: bytes) -> None:
        """A bad chunk size ends the request; it may have run."""

        async def async_run() -> None:
            async with fakes.async_front() as front:
                async with front.async_client() as client:
                    client.send(
                        raw_http.POST
                        + b"Transfer-Encoding: chunked\r\n\r\n"
                        + size
                        + b"\r\nab\r\n0\r\n\r\n"
                        + raw_http.GET
                    )
                    status, body = raw_http.split(await client.async_rest())
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
                        raw_http.POST
                        + b"Transfer-Encoding: chunked\r\n\r\n"
                        + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
                        + raw_http.GET
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
                    client.send(
                        raw_http.POST + b"Content-Length: %d\r\n\r\n" % size
                    )
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
                    client.send(
                        raw_http.POST + b"Transfer-Encoding: chunked\r\n\r\n"
                    )
                    front.attach(await front.async_arrival())
                    client.send(b"3\r\nabc\r\n")
                    status, body = raw_http.split(await client.async_rest())
                    assert status == 413
                    assert body["outcome"] == states.Outcome.UNKNOWN.value
                    assert (await front.async_end()).cancelled

        asyncio.run(async_run())

    def test_slow_body(self) -> None:
        """A body that stops ends the request, which may have run."""

        async def async_run() -> None:
            async with fakes.async_front(read_timeout=0.05) as front:
                async with front.async_client() as client:
                    client.send(raw_http.POST + b"Content-Length: 3\r\n\r\na")
                    front.attach(await front.async_arrival())
                    status, body = raw_http.split(await client.async_rest())
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
                    client.send(raw_http.POST + head)
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
                    client.send(raw_http.POST + head)
                    arrival = await front.async_arrival()
                    arrival.origin.post(
                        messages.ResponseFailed(
                            exchange=arrival.exchange,
                            error=errors.CallerKeyRefused("no"),
                        )
                    )
                    status, _ = raw_http.split(await client.async_rest())
                    assert status == 401

        asyncio.run(async_run())

    def test_second_target(self) -> None:
        """A small body is sent again to a second target."""

        async def async_run() -> None:
            async with fakes.async_front() as front:
                async with front.async_client() as client:
                    client.send(
                        raw_http.POST + b"Content-Length: 3\r\n\r\nabc"
                    )
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
                    client.send(
                        raw_http.POST + b"Content-Length: 3\r\n\r\nabc"
                    )
                    arrival = await front.async_arrival()
                    front.attach(arrival)
                    assert await front.async_body() == b"abc"
                    front.attach(arrival)
                    status, body = raw_http.split(
                        await client.async_until(b"}")
                    )
                    assert status == 502
                    assert body["outcome"] == states.Outcome.UNKNOWN.value
                    assert (await front.async_end()).cancelled
                    assert not front.target

        asyncio.run(async_run())
