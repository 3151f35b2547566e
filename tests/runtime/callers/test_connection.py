"""Tests of caller connections over loopback sockets."""

import asyncio

from dragonflyshelf.core import errors
from dragonflyshelf.runtime.callers import connection
from dragonflyshelf.runtime import messages as runtime_messages
from tests.runtime.callers import fakes
from tests.runtime.callers import raw_http


class TestConnections:
    """Connection limits, timeouts and draining."""

    def test_bound(self) -> None:
        """A connection above the limit gets an error response."""

        async def async_run() -> None:
            async with fakes.async_front(connections=1) as harness:
                async with harness.async_client() as first:
                    first.send(raw_http.GET)
                    arrival = await harness.async_arrival()
                    async with harness.async_client() as second:
                        second.send(raw_http.GET)
                        status, body = raw_http.split(
                            await second.async_rest()
                        )
                        assert status == 503
                        assert body["code"] == errors.TooManyConnections.code
                    fakes.answer(arrival, b"one")
                    await first.async_until(b"one")

        asyncio.run(async_run())

    def test_idle(self) -> None:
        """An idle connection is closed without a response."""

        async def async_run() -> None:
            async with fakes.async_front(idle_timeout=0.05) as harness:
                async with harness.async_client() as client:
                    assert await client.async_rest() == b""

        asyncio.run(async_run())

    def test_request_crosses_the_idle_end(self) -> None:
        """The idle timeout closes the connection without lingering.

        While lingering, a request sent at that moment would be read and
        discarded.
        """

        async def async_run() -> None:
            async with fakes.async_front(idle_timeout=0.05) as harness:
                async with harness.async_client() as client:
                    assert await client.async_rest() == b""
                    await asyncio.sleep(0.1)
                    assert harness.listener.connection_count == 0
                    assert not harness.router

        asyncio.run(async_run())

    def test_pipeline_bound(self) -> None:
        """The number of pipelined requests is limited."""

        async def async_run() -> None:
            async with fakes.async_front(head_bytes=1024) as harness:
                async with harness.async_client() as client:
                    count = 1000
                    client.send(raw_http.GET * count)
                    await asyncio.sleep(0.05)
                    assert (
                        len(harness.router)
                        <= connection.MAX_PIPELINED_REQUEST_COUNT
                    )
                    for _ in range(count):
                        message = await fakes.async_take(harness.router)
                        while isinstance(
                            message, runtime_messages.ExchangeEnded
                        ):
                            message = await fakes.async_take(harness.router)
                        fakes.answer(message, b"!")
                    for _ in range(count):
                        await client.async_until(b"!")

        asyncio.run(async_run())

    def test_drain_idle(self) -> None:
        """Draining closes an idle connection."""

        async def async_run() -> None:
            async with fakes.async_front() as harness:
                async with harness.async_client() as client:
                    client.send(raw_http.GET)
                    fakes.answer(await harness.async_arrival(), b"one")
                    await client.async_until(b"one")
                    await harness.async_drain()
                    assert await client.async_rest() == b""

        asyncio.run(async_run())

    def test_drain_running(self) -> None:
        """A connection that drains closes after its response."""

        async def async_run() -> None:
            async with fakes.async_front() as harness:
                async with harness.async_client() as client:
                    client.send(raw_http.GET)
                    arrival = await harness.async_arrival()
                    await harness.async_drain()
                    fakes.answer(arrival, b"one")
                    response = await client.async_rest()
                    assert response.endswith(b"one")
                    assert b"connection: close\r\n" in response.lower()

        asyncio.run(async_run())

    def test_drain_partial_head(self) -> None:
        """A request whose head is partly received still gets a response."""

        async def async_run() -> None:
            async with fakes.async_front() as harness:
                async with harness.async_client() as client:
                    client.send(raw_http.GET)
                    fakes.answer(await harness.async_arrival(), b"one")
                    await client.async_until(b"one")
                    await harness.async_end()
                    client.send(raw_http.GET[:5])
                    await asyncio.sleep(0.05)
                    await harness.async_drain()
                    client.send(raw_http.GET[5:])
                    fakes.answer(await harness.async_arrival(), b"two")
                    assert (await client.async_rest()).endswith(b"two")

        asyncio.run(async_run())
