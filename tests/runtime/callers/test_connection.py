"""Tests of caller connections over loopback sockets."""

import asyncio

from dragonflyshelf.core import errors
from dragonflyshelf.runtime.callers import connection
from dragonflyshelf.runtime import messages as runtime_messages
from tests.runtime.callers import fakes
from tests.runtime.callers import raw_http


class TestConnections:
    """Connection limits, timeouts and draining."""

    def test_connection_limit(self) -> None:
        """A connection above the limit gets an error response."""

        async def async_run() -> None:
            async with fakes.async_run_listener(connections=1) as harness:
                async with harness.async_connect() as first:
                    first.send(raw_http.GET)
                    arrival = await harness.async_receive_request()
                    async with harness.async_connect() as second:
                        second.send(raw_http.GET)
                        status, body = raw_http.parse_refusal(
                            await second.async_read_to_end()
                        )
                        assert status == 503
                        assert body["code"] == errors.TooManyConnections.code
                    fakes.send_response(arrival, b"one")
                    await first.async_read_until(b"one")

        asyncio.run(async_run())

    def test_idle_timeout(self) -> None:
        """An idle connection is closed without a response."""

        async def async_run() -> None:
            async with fakes.async_run_listener(idle_timeout=0.05) as harness:
                async with harness.async_connect() as client:
                    assert await client.async_read_to_end() == b""

        asyncio.run(async_run())

    def test_idle_timeout_does_not_linger(self) -> None:
        """The idle timeout closes the connection without lingering.

        While lingering, a request sent at that moment would be read and
        discarded.
        """

        async def async_run() -> None:
            async with fakes.async_run_listener(idle_timeout=0.05) as harness:
                async with harness.async_connect() as client:
                    assert await client.async_read_to_end() == b""
                    await asyncio.sleep(0.1)
                    assert harness.listener.connection_count == 0
                    assert not harness.router

        asyncio.run(async_run())

    def test_pipeline_limit(self) -> None:
        """The number of pipelined requests is limited."""

        async def async_run() -> None:
            async with fakes.async_run_listener(head_bytes=1024) as harness:
                async with harness.async_connect() as client:
                    count = 1000
                    client.send(raw_http.GET * count)
                    await asyncio.sleep(0.05)
                    assert (
                        len(harness.router)
                        <= connection.MAX_PIPELINED_REQUEST_COUNT
                    )
                    for _ in range(count):
                        message = await fakes.async_receive(harness.router)
                        while isinstance(
                            message, runtime_messages.ExchangeEnded
                        ):
                            message = await fakes.async_receive(harness.router)
                        fakes.send_response(message, b"!")
                    for _ in range(count):
                        await client.async_read_until(b"!")

        asyncio.run(async_run())

    def test_drain_idle(self) -> None:
        """Draining closes an idle connection."""

        async def async_run() -> None:
            async with fakes.async_run_listener() as harness:
                async with harness.async_connect() as client:
                    client.send(raw_http.GET)
                    fakes.send_response(
                        await harness.async_receive_request(), b"one"
                    )
                    await client.async_read_until(b"one")
                    await harness.async_drain()
                    assert await client.async_read_to_end() == b""

        asyncio.run(async_run())

    def test_drain_active(self) -> None:
        """A connection that drains closes after its response."""

        async def async_run() -> None:
            async with fakes.async_run_listener() as harness:
                async with harness.async_connect() as client:
                    client.send(raw_http.GET)
                    arrival = await harness.async_receive_request()
                    await harness.async_drain()
                    fakes.send_response(arrival, b"one")
                    response = await client.async_read_to_end()
                    assert response.endswith(b"one")
                    assert b"connection: close\r\n" in response.lower()

        asyncio.run(async_run())

    def test_drain_partial_head(self) -> None:
        """A request whose head is partly received still gets a response."""

        async def async_run() -> None:
            async with fakes.async_run_listener() as harness:
                async with harness.async_connect() as client:
                    client.send(raw_http.GET)
                    fakes.send_response(
                        await harness.async_receive_request(), b"one"
                    )
                    await client.async_read_until(b"one")
                    await harness.async_receive_exchange_end()
                    client.send(raw_http.GET[:5])
                    await asyncio.sleep(0.05)
                    await harness.async_drain()
                    client.send(raw_http.GET[5:])
                    fakes.send_response(
                        await harness.async_receive_request(), b"two"
                    )
                    assert (await client.async_read_to_end()).endswith(b"two")

        asyncio.run(async_run())
