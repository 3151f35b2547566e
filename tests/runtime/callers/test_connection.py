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
            async with fakes.async_front(connections=1) as front:
                async with front.async_client() as first:
                    first.send(raw_http.GET)
                    arrival = await front.async_arrival()
                    async with front.async_client() as second:
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
            async with fakes.async_front(idle_timeout=0.05) as front:
                async with front.async_client() as client:
                    assert await client.async_rest() == b""

        asyncio.run(async_run())

    def test_request_crosses_the_idle_end(self) -> None:
        """The idle timeout closes the connection without lingering.

        While lingering, a request sent at that moment would be read and
        discarded.
        """

        async def async_run() -> None:
            async with fakes.async_front(idle_timeout=0.05) as front:
                async with front.async_client() as client:
                    assert await client.async_rest() == b""
                    await asyncio.sleep(0.1)
                    assert front.listener.connections == 0
                    assert not front.router

        asyncio.run(async_run())

    def test_pipeline_bound(self) -> None:
        """The number of pipelined requests is limited."""

        async def async_run() -> None:
            async with fakes.async_front(head_bytes=1024) as front:
                async with front.async_client() as client:
                    count = 1000
                    client.send(raw_http.GET * count)
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
        """Draining closes an idle connection."""

        async def async_run() -> None:
            async with fakes.async_front() as front:
                async with front.async_client() as client:
                    client.send(raw_http.GET)
                    fakes.answer(await front.async_arrival(), b"one")
                    await client.async_until(b"one")
                    await front.async_drain()
                    assert await client.async_rest() == b""

        asyncio.run(async_run())

    def test_drain_running(self) -> None:
        """A connection that drains closes after its response."""

        async def async_run() -> None:
            async with fakes.async_front() as front:
                async with front.async_client() as client:
                    client.send(raw_http.GET)
                    arrival = await front.async_arrival()
                    await front.async_drain()
                    fakes.answer(arrival, b"one")
                    found = await client.async_rest()
                    assert found.endswith(b"one")
                    assert b"connection: close\r\n" in found.lower()

        asyncio.run(async_run())

    def test_drain_partial_head(self) -> None:
        """A request whose head is partly received still gets a response."""

        async def async_run() -> None:
            async with fakes.async_front() as front:
                async with front.async_client() as client:
                    client.send(raw_http.GET)
                    fakes.answer(await front.async_arrival(), b"one")
                    await client.async_until(b"one")
                    await front.async_end()
                    client.send(raw_http.GET[:5])
                    await asyncio.sleep(0.05)
                    await front.async_drain()
                    client.send(raw_http.GET[5:])
                    fakes.answer(await front.async_arrival(), b"two")
                    assert (await client.async_rest()).endswith(b"two")

        asyncio.run(async_run())
