"""Tests of responses to callers and of callers that disconnect."""

import asyncio

import pytest

from dragonflyshelf.core import errors
from dragonflyshelf.core import messages
from dragonflyshelf.core import states
from tests.runtime.callers import fakes
from tests.runtime.callers import raw_http


class TestResponse:
    """A response is complete, or the caller sees that it is not."""

    def test_head_method(self) -> None:
        """A response to HEAD has a content length and no body."""

        async def async_run() -> None:
            async with fakes.async_run_listener() as harness:
                async with harness.async_connect() as client:
                    client.send(raw_http.GET.replace(b"GET", b"HEAD"))
                    fakes.send_response(
                        await harness.async_receive_request(), b"abc"
                    )
                    response = await client.async_read_until(b"\r\n\r\n")
                    assert b"content-length: 3\r\n" in response.lower()
                    await harness.async_receive_exchange_end()
                    client.send(raw_http.GET)
                    fakes.send_response(
                        await harness.async_receive_request(), b"next"
                    )
                    response = await client.async_read_until(b"next")
                    assert response.startswith(b"HTTP/1.1 200 ")

        asyncio.run(async_run())

    def test_head_refusal(self) -> None:
        """A refusal of a HEAD request has no body."""

        async def async_run() -> None:
            async with fakes.async_run_listener() as harness:
                async with harness.async_connect() as client:
                    client.send(
                        b"HEAD /a HTTP/1.1\r\nHost: a\r\n"
                        b"X-Deadline-Ms: x\r\n\r\n"
                    )
                    response = await client.async_read_to_end()
                    assert response.startswith(b"HTTP/1.1 400 ")
                    assert response.endswith(b"\r\n\r\n")

        asyncio.run(async_run())

    def test_version_1_0(self) -> None:
        """An HTTP/1.0 response is not chunked and ends with the stream."""

        async def async_run() -> None:
            async with fakes.async_run_listener() as harness:
                async with harness.async_connect() as client:
                    client.send(b"GET /a HTTP/1.0\r\n\r\n")
                    arrival = await harness.async_receive_request()
                    arrival.origin.post(
                        messages.ResponseHead(
                            exchange=arrival.exchange,
                            status=200,
                            reason=b"OK",
                            headers=(),
                        )
                    )
                    arrival.origin.post(
                        messages.ResponseChunk(
                            exchange=arrival.exchange, data=b"abc"
                        )
                    )
                    arrival.origin.post(
                        messages.ResponseEnd(exchange=arrival.exchange)
                    )
                    response = await client.async_read_to_end()
                    assert response.endswith(b"\r\n\r\nabc")
                    assert b"chunked" not in response.lower()

        asyncio.run(async_run())

    def test_finished_exchange(self) -> None:
        """Response parts for a finished exchange are discarded."""

        async def async_run() -> None:
            async with fakes.async_run_listener() as harness:
                async with harness.async_connect() as client:
                    client.send(raw_http.GET + raw_http.GET)
                    first = await harness.async_receive_request()
                    second = await harness.async_receive_request()
                    fakes.send_response(first, b"one")
                    await harness.async_receive_exchange_end()
                    fakes.send_response(first, b"late")
                    fakes.send_response(second, b"two")
                    response = await client.async_read_until(b"two")
                    assert b"late" not in response

        asyncio.run(async_run())

    def test_pipelined_responses_keep_order(self) -> None:
        """A response that is ready early is sent after earlier ones."""

        async def async_run() -> None:
            async with fakes.async_run_listener() as harness:
                async with harness.async_connect() as client:
                    client.send(raw_http.GET + raw_http.GET)
                    first = await harness.async_receive_request()
                    second = await harness.async_receive_request()
                    fakes.send_response(second, b"two")
                    fakes.send_response(first, b"one")
                    response = await client.async_read_until(b"two")
                    assert response.index(b"one") < response.index(b"two")

        asyncio.run(async_run())

    def test_unsafe_request_is_not_pipelined(self) -> None:
        """A request that is not safe is routed after earlier ones finish."""

        async def async_run() -> None:
            async with fakes.async_run_listener() as harness:
                async with harness.async_connect() as client:
                    client.send(
                        raw_http.GET
                        + raw_http.POST
                        + b"Content-Length: 0\r\n\r\n"
                    )
                    first = await harness.async_receive_request()
                    await asyncio.sleep(0.05)
                    assert not harness.router
                    fakes.send_response(first, b"one")
                    await harness.async_receive_exchange_end()
                    second = await harness.async_receive_request()
                    assert second.head.method == b"POST"

        asyncio.run(async_run())

    def test_upstream_failure(self) -> None:
        """An upstream failure amid a response resets the connection."""

        async def async_run() -> None:
            async with fakes.async_run_listener() as harness:
                async with harness.async_connect() as client:
                    client.send(raw_http.GET)
                    arrival = await harness.async_receive_request()
                    arrival.origin.post(
                        messages.ResponseHead(
                            exchange=arrival.exchange,
                            status=200,
                            reason=b"OK",
                            headers=(),
                        )
                    )
                    arrival.origin.post(
                        messages.ResponseChunk(
                            exchange=arrival.exchange, data=b"abc"
                        )
                    )
                    await client.async_read_until(b"abc")
                    arrival.origin.post(
                        messages.ResponseFailed(
                            exchange=arrival.exchange,
                            error=errors.UpstreamFailed("cut"),
                        )
                    )
                    with pytest.raises(ConnectionResetError):
                        await client.async_read_to_end()

        asyncio.run(async_run())

    def test_response_before_body_end(self) -> None:
        """A response before the end of the request body is complete."""
        size = 4 * 1024 * 1024

        async def async_run() -> None:
            async with fakes.async_run_listener(window_bytes=4096) as harness:
                async with harness.async_connect() as client:
                    client.send(
                        raw_http.POST + b"Content-Length: %d\r\n\r\n" % size
                    )
                    client.send(bytes(size // 8))
                    arrival = await harness.async_receive_request()
                    fakes.send_response(arrival, b"x" * 100000)
                    response = await client.async_read_to_end()
                    assert response.endswith(b"x" * 100000)
                    assert b"connection: close\r\n" in response.lower()

        asyncio.run(async_run())

    def test_deadline(self) -> None:
        """A request without a response fails at its deadline."""

        async def async_run() -> None:
            async with fakes.async_run_listener(deadline=0.01) as harness:
                async with harness.async_connect() as client:
                    client.send(raw_http.GET)
                    await harness.async_receive_request()
                    status, body = raw_http.parse_refusal(
                        await client.async_read_until(b"}")
                    )
                    assert status == 504
                    assert body["outcome"] == states.Outcome.UNKNOWN.value
                    assert (
                        await harness.async_receive_exchange_end()
                    ).cancelled

        asyncio.run(async_run())

    def test_slow_reader(self) -> None:
        """No credit is returned while the caller does not read."""

        async def async_run() -> None:
            async with fakes.async_run_listener() as harness:
                async with harness.async_connect() as client:
                    client.send(raw_http.POST + b"Content-Length: 1\r\n\r\na")
                    arrival = await harness.async_receive_request()
                    harness.attach(arrival)
                    assert await harness.async_receive_body() == b"a"
                    size = 16 * 1024 * 1024
                    exchange_id = arrival.exchange
                    arrival.origin.post(
                        fakes.make_response_head(arrival, size)
                    )
                    arrival.origin.post(
                        messages.ResponseChunk(
                            exchange=exchange_id, data=bytes(size)
                        )
                    )
                    await client.async_read_until(b"\r\n\r\n")
                    assert not harness.target
                    arrival.origin.post(
                        messages.ResponseEnd(exchange=exchange_id)
                    )
                    total = 0
                    while total < size:
                        total += len(
                            await client.reader.read(fakes.READ_CHUNK_BYTES)
                        )
                    assert total == size

        asyncio.run(async_run())


class TestCallerDisconnected:
    """A request is cancelled when its caller disconnects."""

    def test_close(self) -> None:
        """Closing the connection cancels the exchange."""

        async def async_run() -> None:
            async with fakes.async_run_listener() as harness:
                async with harness.async_connect() as client:
                    client.send(raw_http.GET)
                    await harness.async_receive_request()
                assert (await harness.async_receive_exchange_end()).cancelled

        asyncio.run(async_run())

    def test_half_close(self) -> None:
        """A half-closed connection gets an error with unknown outcome."""

        async def async_run() -> None:
            async with fakes.async_run_listener() as harness:
                async with harness.async_connect() as client:
                    client.send(raw_http.GET)
                    client.writer.write_eof()
                    status, body = raw_http.parse_refusal(
                        await client.async_read_to_end()
                    )
                    assert status == 400
                    assert body["code"] == errors.CallerDisconnected.code
                    assert body["outcome"] == states.Outcome.UNKNOWN.value
                    await harness.async_receive_request()
                    assert (
                        await harness.async_receive_exchange_end()
                    ).cancelled

        asyncio.run(async_run())

    def test_half_close_during_response(self) -> None:
        """A response that was started is completed after a half-close."""

        async def async_run() -> None:
            async with fakes.async_run_listener() as harness:
                async with harness.async_connect() as client:
                    client.send(raw_http.GET)
                    arrival = await harness.async_receive_request()
                    arrival.origin.post(fakes.make_response_head(arrival, 3))
                    await client.async_read_until(b"\r\n\r\n")
                    client.writer.write_eof()
                    exchange_id = arrival.exchange
                    arrival.origin.post(
                        messages.ResponseChunk(
                            exchange=exchange_id, data=b"abc"
                        )
                    )
                    arrival.origin.post(
                        messages.ResponseEnd(exchange=exchange_id)
                    )
                    assert await client.async_read_to_end() == b"abc"
                    assert not (
                        await harness.async_receive_exchange_end()
                    ).cancelled

        asyncio.run(async_run())
