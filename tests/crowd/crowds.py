"""Members of a crowd, each with one connection at a time."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import socket

HOST = "127.0.0.1"
CALLER_KEY = "key-of-one"
RECEIVE_BUFFER_BYTES = 4096
"""Kernel's buffer of a member, so that unread answers stay with the sender."""

PAUSE_SECONDS = 0.02
"""Pause of a member before it connects again."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Crowd:
    """What the members send, each ``first`` once and ``block`` for ever.

    Members read nothing. A member without ``block`` keeps its connection
    open. With ``ends_input`` each closes its sending side after ``first``.
    ``block_pause`` is in seconds.
    """

    member_count: int
    seconds: float
    first: bytes = b""
    block: bytes = b""
    block_pause: float = 0.0
    ends_input: bool = False

    async def async_run(self, port: int) -> None:
        """Let the members send for the time of the crowd."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.seconds):
                await asyncio.gather(
                    *(
                        self._async_run_member(port)
                        for _ in range(self.member_count)
                    )
                )

    async def _async_run_member(self, port: int) -> None:
        while True:
            with contextlib.suppress(OSError):
                async with async_connect(port) as member_socket:
                    await self._async_send(member_socket)
            await asyncio.sleep(PAUSE_SECONDS)

    async def _async_send(self, member_socket: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(member_socket, self.first)
        if self.ends_input:
            member_socket.shutdown(socket.SHUT_WR)
        while self.block:
            await loop.sock_sendall(member_socket, self.block)
            await asyncio.sleep(self.block_pause)
        await async_wait_closed(member_socket)


@contextlib.asynccontextmanager
async def async_connect(port: int) -> abc.AsyncIterator[socket.socket]:
    """Open a connection with a small receive buffer."""
    loop = asyncio.get_running_loop()
    with socket.socket() as member_socket:
        member_socket.setblocking(False)
        member_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        await loop.sock_connect(member_socket, (HOST, port))
        yield member_socket


async def async_wait_closed(member_socket: socket.socket) -> None:
    """Wait until the peer resets the connection, reading nothing."""
    while not member_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        await asyncio.sleep(PAUSE_SECONDS)


def make_request(path: str, *lines: str, method: str = "GET") -> bytes:
    """Return a request with the caller key and the given header lines."""
    head = [
        f"{method} {path} HTTP/1.1",
        "Host: a.b",
        f"X-Api-Key: {CALLER_KEY}",
        *lines,
    ]
    return "\r\n".join([*head, "", ""]).encode()


def make_large_read(number: int) -> bytes:
    """Return a request whose response is large."""
    return make_request(
        "/read/1", f"Request-Id: large-{number}", "Deadline-Ms: 8000"
    )
