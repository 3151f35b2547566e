"""Tests of dragonflyshelf.runtime.http_client."""

import asyncio

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
