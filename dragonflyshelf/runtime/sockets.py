"""Adapter that turns the events of a socket into messages."""

import asyncio
import dataclasses
import socket
import struct
from typing import cast, Final

from dragonflyshelf.runtime import inbox

RESET_AT_ONCE: Final = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SocketOpened:
    """The socket is open; the receiver owns the transport from now."""

    transport: asyncio.Transport


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DataReceived:
    """Bytes came in."""

    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndReceived:
    """The other side will send no more."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SocketClosed:
    """The socket is closed; the error is empty for an orderly end."""

    error: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WritePaused:
    """The write buffer is over its high mark."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WriteResumed:
    """The write buffer is under its low mark again."""


_END_RECEIVED = EndReceived()
_WRITE_PAUSED = WritePaused()
_WRITE_RESUMED = WriteResumed()


class SocketProtocol(asyncio.Protocol):
    """Protocol that posts every socket event to the owner's inbox."""

    def __init__(self, owner: inbox.Inbox) -> None:
        """Create the protocol for the task that owns this inbox."""
        self._owner = owner

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Hand the transport over to the owner."""
        self._owner.post(
            SocketOpened(transport=cast(asyncio.Transport, transport))
        )

    def data_received(self, data: bytes) -> None:
        """Pass bytes on."""
        self._owner.post(DataReceived(data=data))

    def eof_received(self) -> bool:
        """Pass the end on; the owner closes the transport itself."""
        self._owner.post(_END_RECEIVED)
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the owner that the socket is gone."""
        self._owner.post(SocketClosed(error=str(error or "")))

    def pause_writing(self) -> None:
        """Tell the owner to hold back."""
        self._owner.post(_WRITE_PAUSED)

    def resume_writing(self) -> None:
        """Tell the owner to go on."""
        self._owner.post(_WRITE_RESUMED)


def is_full(transport: asyncio.Transport | None) -> bool:
    """Tell whether ``WriteResumed`` is still to come.

    It is exact where the messages lag behind what was just written.
    """
    if transport is None:
        return False
    _, high = transport.get_write_buffer_limits()
    return transport.get_write_buffer_size() > high


def reset(transport: asyncio.Transport) -> None:
    """Drop a transport so that the other side sees a broken connection.

    An orderly end would look like the end of an answer without length.
    """
    bound = transport.get_extra_info("socket")
    if bound is not None and not transport.is_closing():
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_ONCE)
    transport.abort()


def close_within(transport: asyncio.Transport, seconds: float) -> None:
    """Close a transport; drop it if its buffer does not empty in time."""
    if transport.get_write_buffer_size() > 0:
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, transport.abort)
    transport.close()
