"""Tests of the limits of the server for readiness and metrics."""

import asyncio
from collections import abc
import contextlib

from dragonflyshelf.runtime import http_server
from tests.runtime.callers import fakes

REQUEST = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
LARGE_BODY = bytes(8 * 1024 * 1024)
"""Longer than what the kernel buffers."""


async def async_respond(
    request: http_server.ServerRequest,
) -> http_server.ServerResponse:
    """Return a response, for one path a large one."""
    body = LARGE_BODY if request.path == "/large" else b"small"
    return http_server.ServerResponse(status=200, body=body)


@contextlib.asynccontextmanager
async def async_run_server(
    connections: int = 10,
    read_timeout: float = 20.0,
    write_timeout: float = 20.0,
) -> abc.AsyncIterator[http_server.HttpServer]:
    """Run a server with limits for the duration of a ``with`` block."""
    server = http_server.HttpServer(
        async_respond,
        limits=http_server.ServerLimits(
            connections=connections,
            read_timeout=read_timeout,
            write_timeout=write_timeout,
        ),
    )
    await server.async_listen(fakes.HOST, 0)
    try:
        yield server
    finally:
        server.close()


@contextlib.asynccontextmanager
async def async_connect(
    server: http_server.HttpServer,
) -> abc.AsyncIterator[fakes.Client]:
    """Open a connection for the duration of a ``with`` block."""
    reader, writer = await asyncio.open_connection(fakes.HOST, server.port)
    try:
        yield fakes.Client(reader=reader, writer=writer)
    finally:
        writer.close()


async def async_read_end(client: fakes.Client) -> bytes:
    """Return what is received until the connection is closed or reset."""
    received = b""
    async with asyncio.timeout(fakes.TIMEOUT_SECONDS):
        with contextlib.suppress(ConnectionResetError):
            while data := await client.reader.read(65536):
                received += data
    return received


class TestServerLimits:
    """A client that keeps to no limit is disconnected."""

    def test_read_timeout(self) -> None:
        """A request has to arrive in time."""

        async def async_check() -> None:
            async with (
                async_run_server(read_timeout=0.05) as server,
                async_connect(server) as client,
            ):
                client.send(REQUEST[:10])
                assert await async_read_end(client) == b""

        asyncio.run(async_check())

    def test_write_timeout(self) -> None:
        """A response has to be taken in time."""

        async def async_check() -> None:
            async with (
                async_run_server(write_timeout=0.05) as server,
                async_connect(server) as client,
            ):
                client.writer.transport.pause_reading()
                client.send(REQUEST.replace(b"/a", b"/large"))
                await asyncio.sleep(0.5)
                client.writer.transport.resume_reading()
                assert len(await async_read_end(client)) < len(LARGE_BODY)

        asyncio.run(async_check())

    def test_connections(self) -> None:
        """A new connection is served in place of the oldest that waits."""

        async def async_check() -> None:
            async with async_run_server(connections=2) as server:
                async with (
                    async_connect(server) as first,
                    async_connect(server) as second,
                ):
                    for client in (first, second):
                        client.send(REQUEST)
                        await client.async_read_until(b"small")
                    async with async_connect(server) as third:
                        third.send(REQUEST)
                        await third.async_read_until(b"small")
                        assert await async_read_end(first) == b""
                        second.send(REQUEST)
                        await second.async_read_until(b"small")

        asyncio.run(async_check())
