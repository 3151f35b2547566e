"""Adapter that converts socket events into messages."""

import asyncio
from collections import abc
import dataclasses
import socket
import struct
from typing import cast, Final

from dragonflyshelf.runtime import inbox

LINGER_RESET: Final = struct.pack("ii", 1, 0)
"""``SO_LINGER`` with a timeout of 0, so that closing sends a reset."""

ACCEPT_BATCH_COUNT: Final = 16
"""Connections that are accepted at once.

Each has a descriptor before the listener can refuse it.
"""

READ_BYTES: Final = 65536
"""Most that is read from a socket at once."""

_READ_BUFFER: Final = memoryview(bytearray(READ_BYTES))
"""Buffer that all sockets of the process read to, one after the other."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SocketOpened:
    """The socket is open; the receiver now owns the transport."""

    transport: asyncio.Transport


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DataReceived:
    """Data was received."""

    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EofReceived:
    """The peer has closed its sending direction."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SocketClosed:
    """The socket is closed; ``error`` is empty after an orderly close."""

    error: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WritePaused:
    """The write buffer is above its high-water mark."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WriteResumed:
    """The write buffer is below its low-water mark again."""


_EOF_RECEIVED = EofReceived()
_WRITE_PAUSED = WritePaused()
_WRITE_RESUMED = WriteResumed()


class SocketProtocol(asyncio.BufferedProtocol):
    """Protocol that posts every socket event to the inbox of its owner."""

    def __init__(
        self, owner: inbox.Inbox, read_bytes: int = READ_BYTES
    ) -> None:
        """Create the protocol for the task that owns this inbox.

        At most ``read_bytes`` are read at once.
        """
        self._owner = owner
        self._read_buffer = _READ_BUFFER[:read_bytes]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Post the transport to the owner."""
        self._owner.post(
            SocketOpened(transport=cast(asyncio.Transport, transport))
        )

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Post received data to the owner."""
        self._owner.post(DataReceived(data=bytes(self._read_buffer[:nbytes])))

    def eof_received(self) -> bool:
        """Post the end of input; the owner closes the transport itself."""
        self._owner.post(_EOF_RECEIVED)
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Notify the owner that the socket is closed."""
        self._owner.post(SocketClosed(error=str(error or "")))

    def pause_writing(self) -> None:
        """Notify the owner to stop writing."""
        self._owner.post(_WRITE_PAUSED)

    def resume_writing(self) -> None:
        """Notify the owner that it can write again."""
        self._owner.post(_WRITE_RESUMED)


async def async_create_server(
    factory: abc.Callable[[], asyncio.BaseProtocol],
    host: str,
    port: int,
    queue_count: int,
) -> asyncio.Server:
    """Listen on an address and accept a few connections at a time.

    The kernel queues up to ``queue_count`` further ones.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening_socket = socket.create_server((host, port), family=family)
    listening_socket.setblocking(False)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        factory, sock=listening_socket, backlog=ACCEPT_BATCH_COUNT
    )
    listening_socket.listen(queue_count)
    return server


def is_write_buffer_full(transport: asyncio.Transport | None) -> bool:
    """Return whether the write buffer is above its high-water mark.

    The result is current, whereas ``WritePaused`` and ``WriteResumed``
    arrive with a delay.
    """
    if transport is None:
        return False
    _, high = transport.get_write_buffer_limits()
    return transport.get_write_buffer_size() > high


def reset(transport: asyncio.Transport) -> None:
    """Close a transport with a TCP reset.

    With an orderly close, the peer would take a truncated response without
    a content length for a complete one.
    """
    raw_socket = transport.get_extra_info("socket")
    if raw_socket is not None and not transport.is_closing():
        raw_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
        )
    transport.abort()


def close_within(transport: asyncio.Transport, seconds: float) -> None:
    """Close a transport; abort it if its buffer is not flushed in time."""
    if transport.get_write_buffer_size() > 0:
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, transport.abort)
    transport.close()
