"""Tests of callers that never finish what they send."""

import asyncio

import pytest

from tests.crowd import crowds
from tests.crowd import deployment

CROWD_SECONDS = 5.0
CONNECTION_COUNT = 600
"""Members that only open a connection, more than there are descriptors."""

SENDER_COUNT = 200
"""Members that send without end."""

CHUNKED_POST = crowds.make_request(
    "/order/1", "Transfer-Encoding: chunked", method="POST"
)


class TestManyConnections:
    """Connections on which one byte arrives."""

    @pytest.mark.parametrize("port_name", ["callers", "metrics", "ready"])
    def test_one_byte(self, port_name: str) -> None:
        """The descriptors don't run out."""

        async def async_check() -> None:
            async with deployment.async_run_crowded() as instance:
                crowd = crowds.Crowd(
                    member_count=CONNECTION_COUNT,
                    seconds=CROWD_SECONDS,
                    first=b"G",
                )
                port = {
                    "callers": instance.ports.callers,
                    "metrics": instance.metrics_port,
                    "ready": instance.ports.ready,
                }[port_name]
                await instance.async_endure(crowd, port)

        asyncio.run(async_check())


class TestEndlessHeads:
    """Heads of requests that don't end."""

    @pytest.mark.parametrize("port_name", ["callers", "ready"])
    def test_header_lines(self, port_name: str) -> None:
        """There is always one more header line."""

        async def async_check() -> None:
            async with deployment.async_run_crowded() as instance:
                crowd = crowds.Crowd(
                    member_count=SENDER_COUNT,
                    seconds=CROWD_SECONDS,
                    first=b"GET /read/1 HTTP/1.1\r\nHost: a.b\r\n",
                    block=b"X-A: " + b"a" * 1000 + b"\r\n",
                )
                port = {
                    "callers": instance.ports.callers,
                    "ready": instance.ports.ready,
                }[port_name]
                await instance.async_endure(crowd, port)

        asyncio.run(async_check())


class TestEndlessChunks:
    """Chunked bodies that cost far more than they bring."""

    def test_extension_without_end(self) -> None:
        """The extension of a chunk doesn't end."""

        async def async_check() -> None:
            async with deployment.async_run_crowded() as instance:
                crowd = crowds.Crowd(
                    member_count=SENDER_COUNT,
                    seconds=CROWD_SECONDS,
                    first=CHUNKED_POST + b"2;",
                    block=b"x" * 4000,
                )
                await instance.async_endure(crowd, instance.ports.callers)

        asyncio.run(async_check())

    def test_extensions_without_end(self) -> None:
        """Each chunk has two bytes and a long extension."""

        async def async_check() -> None:
            async with deployment.async_run_crowded() as instance:
                crowd = crowds.Crowd(
                    member_count=SENDER_COUNT,
                    seconds=CROWD_SECONDS,
                    first=CHUNKED_POST,
                    block=b"2;" + b"x" * 4000 + b"\r\nab\r\n",
                )
                await instance.async_endure(crowd, instance.ports.callers)

        asyncio.run(async_check())

    def test_tiny_chunks(self) -> None:
        """Each chunk has two bytes."""

        async def async_check() -> None:
            async with deployment.async_run_crowded() as instance:
                crowd = crowds.Crowd(
                    member_count=SENDER_COUNT,
                    seconds=CROWD_SECONDS,
                    first=CHUNKED_POST,
                    block=b"2\r\nab\r\n" * 1000,
                )
                await instance.async_endure(crowd, instance.ports.callers)

        asyncio.run(async_check())
