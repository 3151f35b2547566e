"""Tests of dragonflyshelf.runtime.http_client."""

import asyncio

import h11
import pytest

from dragonflyshelf.runtime import http_client

HOST = "127.0.0.1"


class TestCancelledCall:
    """A cancelled call must not be delivered later."""

    def test_connection_is_reset(self) -> None:
        """The server sees a reset and not an orderly close."""

        async def async_check() -> None:
            close_kind: asyncio.Future[str] = asyncio.Future()

            async def async_serve(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                await reader.readuntil(b"\r\n\r\n")
                try:
                    await reader.read()
                except ConnectionResetError:
                    close_kind.set_result("reset")
                    return
                close_kind.set_result("end")

            server = await asyncio.start_server(async_serve, HOST, 0)
            async with server:
                port = server.sockets[0].getsockname()[1]
                client = http_client.HttpClient(HOST, port)
                with pytest.raises(TimeoutError):
                    async with asyncio.timeout(0.05):
                        await client.async_call("POST", "/-/x", b"{}")
                assert await asyncio.wait_for(close_kind, 5.0) == "reset"

        asyncio.run(async_check())


FLOOD_BLOCK_BYTES = 65536
MAX_FLOOD_BYTES = 256 * 1024 * 1024
"""Bytes after which a server gives up sending."""

MAX_BODY_BYTES = 65536
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS_RESPONSES = {
    "body": (b"HTTP/1.1 200 OK\r\n\r\n", b"\0"),
    "chunk size": (CHUNKED_HEAD, b"0"),
    "chunks": (CHUNKED_HEAD, b"3\r\nabc\r\n"),
    "early hints": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
    "head lines": (b"HTTP/1.1 200 OK\r\n", b"Name: value\r\n"),
    "status line": (b"", b"x"),
}
"""Start of a response, and bytes that follow without end."""


class TestBytesWithoutEnd:
    """A call to a server that sends bytes without end."""

    async def async_check(self, start: bytes, rest: bytes) -> None:
        """Check that the call fails and the connection is closed."""
        sent: asyncio.Future[int] = asyncio.Future()

        async def async_serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            block = rest * (FLOOD_BLOCK_BYTES // len(rest))
            sent_bytes = 0
            writer.write(start)
            try:
                while sent_bytes < MAX_FLOOD_BYTES:
                    writer.write(block)
                    await writer.drain()
                    sent_bytes += len(block)
            except ConnectionError:
                pass
            sent.set_result(sent_bytes)

        server = await asyncio.start_server(async_serve, HOST, 0)
        async with server, asyncio.timeout(20):
            port = server.sockets[0].getsockname()[1]
            client = http_client.HttpClient(HOST, port, MAX_BODY_BYTES)
            with pytest.raises(h11.RemoteProtocolError):
                await client.async_call("POST", "/-/x", b"{}")
            assert await sent < MAX_FLOOD_BYTES

    @pytest.mark.parametrize("name", sorted(ENDLESS_RESPONSES))
    def test_response_without_end(self, name: str) -> None:
        """It fails without waiting for the caller's timeout."""
        asyncio.run(self.async_check(*ENDLESS_RESPONSES[name]))

    def test_body_of_tiny_chunks(self) -> None:
        """Parsing them held up the loop long before the limit in bytes."""
        tiny_chunk_count = MAX_BODY_BYTES // 16
        body = b"3\r\nabc\r\n" * tiny_chunk_count + b"0\r\n\r\n"

        async def async_serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(CHUNKED_HEAD + body)

        async def async_check() -> None:
            server = await asyncio.start_server(async_serve, HOST, 0)
            async with server, asyncio.timeout(20):
                port = server.sockets[0].getsockname()[1]
                client = http_client.HttpClient(HOST, port, MAX_BODY_BYTES)
                with pytest.raises(h11.RemoteProtocolError):
                    await client.async_call("POST", "/-/x", b"{}")

        asyncio.run(async_check())
