"""Adapter that converts socket events into messages."""

import asyncio
import dataclasses
import socket
import struct
from typing import cast, Final

from dragonflyshelf.runtime import inbox

LINGER_RESET: Final = struct.pack("ii", 1, 0)
"""``SO_LINGER`` with a timeout of 0, so that closing sends a reset."""


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


class SocketProtocol(asyncio.Protocol):
    """Protocol that posts every socket event to the inbox of its owner."""

    def __init__(self, owner: inbox.Inbox) -> None:
        """Create the protocol for the task that owns this inbox."""
        self._owner = owner

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Post the transport to the owner."""
        self._owner.post(
            SocketOpened(transport=cast(asyncio.Transport, transport))
        )

    def data_received(self, data: bytes) -> None:
        """Post received data to the owner."""
        self._owner.post(DataReceived(data=data))

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
