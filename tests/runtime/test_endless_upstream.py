"""Tests of instances whose upstream sends bytes without end."""

import asyncio
from collections import abc
import contextlib
import time

import pytest

from dragonflyshelf.core import ids
from dragonflyshelf.core.store import messages as store
from tests.runtime import deployment as deployments
from tests.runtime import test_gateway

FLOOD_BLOCK_BYTES = 65536
LETTER_UPSTREAM_COUNT = 2
"""Upstreams of the deployment that serve letters in the usual way."""

SOON_SECONDS = 1.0
"""Time in which a useless response ends, far before the route's timeout."""

TIMEOUT_SECONDS = 2.0
"""Timeout of the route, after which any response ends."""

GRACE_SECONDS = 0.5
"""Time after the timeout in which the response has ended."""

READ_PAUSE_SECONDS = 0.005
"""Pause of a caller between two reads."""

ENDLESS_HEADS = {
    "head lines": (b"HTTP/1.1 200 OK\r\n", b"Name: value\r\n"),
    "interim": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "zeros": (b"", b"\0"),
}
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
SEALED_HEAD = (
    b"HTTP/1.1 200 OK\r\nResponse-Seal: seal\r\nRequest-Id: r-read/1\r\n\r\n"
)


@contextlib.asynccontextmanager
async def async_run_with_endless_upstream(
    start: bytes, rest: bytes
) -> abc.AsyncIterator[deployments.Deployment]:
    """Run an instance with one upstream for letters, which never ends."""

    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        block = rest * (FLOOD_BLOCK_BYTES // len(rest))
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(start)
            while True:
                writer.write(block)
                await writer.drain()

    flood_server = await asyncio.start_server(async_serve, deployments.HOST, 0)
    async with (
        flood_server,
        test_gateway.async_run_ready_deployment(1) as deployment,
    ):
        port = flood_server.sockets[0].getsockname()[1]
        registration = deployment.upstreams[0].make_registration(
            deployments.HOST, "a"
        )
        registration["Address"] = f"{deployments.HOST}:{port}"
        deployment.store.objects.create("servers", "flood", registration)
        for index in range(LETTER_UPSTREAM_COUNT):
            deployment.drain_upstream(index)
        await test_gateway.async_wait_until(
            lambda: is_alone(deployment, ids.UpstreamId("flood"))
        )
        yield deployment


def is_alone(
    deployment: deployments.Deployment, upstream: ids.UpstreamId
) -> bool:
    """Return whether one upstream serves letters, as the instance knows."""
    (instance,) = deployment.servers
    registrations = instance.control.known_values(
        store.ObjectKind.REGISTRATION
    )
    active_ids = [
        registration.id
        for registration in registrations
        if registration.service == "letters" and not registration.is_draining
    ]
    return active_ids == [upstream]


class TestUpstreamThatSendsWithoutEnd:
    """The caller gets an answer in time, and never a false one."""

    @pytest.mark.parametrize("name", sorted(ENDLESS_HEADS))
    def test_head_without_end(self, name: str) -> None:
        """The caller soon learns that the outcome is unknown."""

        async def async_check() -> None:
            async with async_run_with_endless_upstream(
                *ENDLESS_HEADS[name]
            ) as deployment:
                started_at = time.monotonic()
                response = await deployment.async_call("/order/1")
                assert response.status == 502
                assert time.monotonic() - started_at < SOON_SECONDS

        asyncio.run(async_check())

    def test_refusal_without_end(self) -> None:
        """The caller soon learns that the request has not run."""

        async def async_check() -> None:
            async with async_run_with_endless_upstream(
                REFUSAL, b"3\r\nabc\r\n"
            ) as deployment:
                started_at = time.monotonic()
                response = await deployment.async_call("/order/1")
                assert response.status == 503
                assert time.monotonic() - started_at < SOON_SECONDS

        asyncio.run(async_check())

    def test_body_without_end(self) -> None:
        """It ends at the route's timeout and does not look complete."""

        async def async_check() -> None:
            async with async_run_with_endless_upstream(
                SEALED_HEAD, b"\0"
            ) as deployment:
                received = await self.async_read_slowly(deployment)
                assert received.startswith(b"HTTP/1.1 200")
                assert b"chunked" in received.split(b"\r\n\r\n")[0].lower()
                assert not received.endswith(b"\r\n0\r\n\r\n")

        asyncio.run(async_check())

    async def async_read_slowly(
        self, deployment: deployments.Deployment
    ) -> bytes:
        """Return all bytes of a response, read with pauses."""
        reader, writer = await asyncio.open_connection(
            deployments.HOST, deployment.servers[0].callers.port
        )
        writer.write(
            b"GET /read/1 HTTP/1.1\r\nHost: a.b\r\nRequest-Id: r-read/1\r\n"
            b"X-Api-Key: " + deployments.CALLER_KEY.encode() + b"\r\n"
            b"Deadline-Ms: 8000\r\n\r\n"
        )
        received = bytearray()
        async with asyncio.timeout(TIMEOUT_SECONDS + GRACE_SECONDS):
            with contextlib.suppress(ConnectionError):
                while data := await reader.read(FLOOD_BLOCK_BYTES):
                    received += data
                    await asyncio.sleep(READ_PAUSE_SECONDS)
        writer.close()
        return bytes(received)
