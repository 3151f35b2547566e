"""Callers that send requests ahead and never read their responses."""

import asyncio
import contextlib
import random
import socket
from typing import Final

from bench import processes

MEMBER_COUNT: Final = 6
CONNECTION_SECONDS: Final = (0.5, 3.0)
"""Minimum and maximum time for which a member keeps a connection."""

PAUSE_SECONDS: Final = (0.05, 0.2)
"""Minimum and maximum pause between two blocks of requests."""

BLOCK_REQUEST_COUNT: Final = 20
RECEIVE_BUFFER_BYTES: Final = 4096
PATHS: Final = ("/-/readyz", "/metrics", "/no/route")


class CrowdMember:
    """A member with one connection at a time, to any port."""

    def __init__(
        self, instances: list[processes.Instance], rng: random.Random
    ) -> None:
        """Create a member that picks instances at random."""
        self._instances = instances
        self._rng = rng

    async def async_send_forever(self) -> None:
        """Open connections and fill them until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(*PAUSE_SECONDS))
            ports = self._rng.choice(self._instances).ports
            port = self._rng.choice((ports.callers, ports.ready))
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(
                    self._rng.uniform(*CONNECTION_SECONDS)
                ):
                    await self._async_fill(port)

    async def _async_fill(self, port: int) -> None:
        loop = asyncio.get_running_loop()
        path = self._rng.choice(PATHS)
        request = f"GET {path} HTTP/1.1\r\nHost: a.b\r\n\r\n".encode()
        with socket.socket() as member_socket:
            member_socket.setblocking(False)
            member_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            await loop.sock_connect(member_socket, (processes.HOST, port))
            while True:
                await loop.sock_sendall(
                    member_socket, request * BLOCK_REQUEST_COUNT
                )
                await asyncio.sleep(self._rng.uniform(*PAUSE_SECONDS))
