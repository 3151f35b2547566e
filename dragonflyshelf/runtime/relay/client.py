"""Task that asks the instance that is followed."""

import asyncio
import dataclasses

from absl import logging

from dragonflyshelf.codec import frames
from dragonflyshelf.codec import relay as codec
from dragonflyshelf.core import addresses
from dragonflyshelf.core import errors
from dragonflyshelf.core.relay import messages as relay
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime.relay import messages
from dragonflyshelf.runtime import sockets
from dragonflyshelf.runtime import task

_LOGGER = logging.get_absl_logger()

CONNECT_TIMEOUT = 0.6
"""Seconds that a connection to another instance may take to open."""

MOST_PENDING = 64
"""Messages that are kept while a connection opens."""

SILENCE = 1.2
"""Seconds without an update after which a connection is opened anew."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConnectOver:
    """The attempt to connect has ended."""

    address: addresses.Address
    error: str = ""


class RelayClientTask(task.Task):
    """Owns the connection to the instance that is followed."""

    def __init__(self, control: inbox.Inbox) -> None:
        """Create a task that follows nobody."""
        super().__init__("relay-client")
        self._control = control
        self._address: addresses.Address | None = None
        self._decoder = frames.FrameDecoder(codec.CODEC)
        self._transport: asyncio.Transport | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._heard_at = 0.0
        self._pending: list[relay.UpdateRequest | relay.TokenRequests] = []

    @task.handles(messages.Follow)
    def _on_follow(self, message: messages.Follow) -> None:
        if message.address == self._address:
            return
        self._address = message.address
        self._drop()

    @task.handles(relay.UpdateRequest)
    def _on_ask(self, message: relay.UpdateRequest) -> None:
        silent = self.now - self._heard_at
        if self._transport is not None and silent > SILENCE:
            _LOGGER.warning(
                "instance at %s was silent for %.1f s", self._address, silent
            )
            self._drop()
        self._send(message)

    def _send(
        self, message: relay.UpdateRequest | relay.TokenRequests
    ) -> None:
        """Send a message, or keep it until the connection is open."""
        if self._transport is not None:
            self._transport.write(codec.CODEC.encode(message))
            return
        if len(self._pending) < MOST_PENDING:
            self._pending.append(message)
        self._connect()

    @task.handles(ConnectOver)
    def _on_connect_over(self, message: ConnectOver) -> None:
        self._connecting = None
        if message.address != self._address:
            self._drop()
        elif message.error:
            self._lose(message.error)

    @task.handles(sockets.SocketOpened)
    def _on_opened(self, message: sockets.SocketOpened) -> None:
        self._transport = message.transport
        self._decoder = frames.FrameDecoder(codec.CODEC)
        self._heard_at = self.now
        pending = self._pending
        self._pending = []
        for one in pending:
            self._send(one)

    @task.handles(sockets.DataReceived)
    def _on_data(self, message: sockets.DataReceived) -> None:
        self._heard_at = self.now
        try:
            received = self._decoder.receive(message.data)
        except errors.BadRequest as error:
            _LOGGER.warning(
                "%s sent what is no frame: %s", self._address, error
            )
            self._lose("it sent what is no frame")
            return
        for one in received:
            if isinstance(one, relay.Update):
                self._control.post(messages.UpdateReceived(update=one))
            elif isinstance(one, relay.TokenAllocations):
                self._control.post(one)

    @task.handles(relay.TokenRequests)
    def _on_borrow(self, message: relay.TokenRequests) -> None:
        self._send(message)

    @task.handles(sockets.EndReceived)
    def _on_end_received(self, message: sockets.EndReceived) -> None:
        self._lose("it closed the connection")

    @task.handles(sockets.SocketClosed)
    def _on_closed(self, message: sockets.SocketClosed) -> None:
        if self._transport is not None:
            self._lose(f"connection lost: {message.error}")

    def _lose(self, reason: str) -> None:
        """Drop the connection and tell the control task."""
        self._drop()
        if self._address is not None:
            self._control.post(
                messages.LinkLost(address=self._address, reason=reason)
            )

    @task.handles(sockets.WritePaused)
    def _on_write_paused(self, message: sockets.WritePaused) -> None:
        """Asks are small and few; nothing is held back."""

    @task.handles(sockets.WriteResumed)
    def _on_write_resumed(self, message: sockets.WriteResumed) -> None:
        """Asks are small and few; nothing was held back."""

    def on_end(self) -> None:
        """Close the connection."""
        self._drop()

    def _drop(self) -> None:
        self._pending.clear()
        if self._connecting is not None:
            self._connecting.cancel()
            self._connecting = None
        if self._transport is not None:
            self._transport.abort()
            self._transport = None

    def _connect(self) -> None:
        if self._address is None or self._connecting is not None:
            return
        self._connecting = asyncio.create_task(
            self._async_connect(self._address)
        )

    async def _async_connect(self, address: addresses.Address) -> None:
        loop = asyncio.get_running_loop()
        failure = ""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await loop.create_connection(
                    lambda: sockets.SocketProtocol(self.inbox),
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError) as error:
            failure = str(error) or "connection timed out"
            _LOGGER.info("no connection to %s: %s", address, failure)
        self.inbox.post(ConnectOver(address=address, error=failure))
