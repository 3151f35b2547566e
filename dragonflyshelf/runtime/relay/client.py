"""Task that sends requests to the update source."""

import asyncio
import dataclasses
from typing import Any

from absl import logging

from dragonflyshelf.codec import compression
from dragonflyshelf.codec import frames
from dragonflyshelf.codec import relay as codec
from dragonflyshelf.core import addresses
from dragonflyshelf.core import errors
from dragonflyshelf.core.relay import messages as relay
from dragonflyshelf.core.slots import messages as slots
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime.relay import messages
from dragonflyshelf.runtime import sockets
from dragonflyshelf.runtime import task

_LOGGER = logging.get_absl_logger()

CONNECT_TIMEOUT_SECONDS = 0.6
"""Timeout for connecting to another instance."""

MAX_PENDING_REQUEST_COUNT = 64
"""Messages queued while a connection is being opened."""

SILENCE_TIMEOUT_SECONDS = 1.2
"""Seconds without received data after which the task reconnects."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConnectFinished:
    """Connecting has succeeded, or failed with ``error``."""

    address: addresses.Address
    error: str = ""


class RelayClientTask(task.Task):
    """Owns the connection to the update source.

    That is the instance, leader or relay, from which this one requests
    updates and tokens.
    """

    def __init__(
        self, control_inbox: inbox.Inbox, router_inbox: inbox.Inbox
    ) -> None:
        """Create a task without an update source."""
        super().__init__("relay-client")
        self._control_inbox = control_inbox
        self._router_inbox = router_inbox
        self._address: addresses.Address | None = None
        self._decoder = frames.FrameDecoder(codec.CODEC)
        self._decompressor = compression.UpdateDecompressor()
        self._transport: asyncio.Transport | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._last_received_at = 0.0
        self._received_count = 0
        self._pending_requests: list[
            relay.UpdateRequest | relay.TokenRequests
        ] = []

    @task.handles(messages.SetUpdateSource)
    def _on_set_update_source(self, message: messages.SetUpdateSource) -> None:
        if message.address == self._address:
            return
        self._address = message.address
        self._close_connection(is_flushed=True)

    @task.handles(relay.UpdateRequest)
    def _on_update_request(self, message: relay.UpdateRequest) -> None:
        silent_seconds = self.now - self._last_received_at
        if (
            self._transport is not None
            and silent_seconds > SILENCE_TIMEOUT_SECONDS
        ):
            _LOGGER.warning(
                "no data from instance at %s for %.1f s, reconnecting",
                self._address,
                silent_seconds,
            )
            self._close_connection()
        self._send(message)

    def _send(
        self, message: relay.UpdateRequest | relay.TokenRequests
    ) -> None:
        """Send a message, or queue it until the connection is open."""
        if self._transport is not None:
            if isinstance(message, relay.UpdateRequest):
                message = dataclasses.replace(
                    message, received_count=self._received_count
                )
            self._transport.write(codec.CODEC.encode(message))
            return
        if len(self._pending_requests) < MAX_PENDING_REQUEST_COUNT:
            self._pending_requests.append(message)
        self._connect()

    @task.handles(ConnectFinished)
    def _on_connect_finished(self, message: ConnectFinished) -> None:
        self._connect_task = None
        if message.address != self._address:
            self._close_connection()
        elif message.error:
            self._report_connection_loss(message.error)

    @task.handles(sockets.SocketOpened)
    def _on_socket_opened(self, message: sockets.SocketOpened) -> None:
        self._transport = message.transport
        self._decoder = frames.FrameDecoder(codec.CODEC)
        self._decompressor = compression.UpdateDecompressor()
        self._last_received_at = self.now
        self._received_count = 0
        pending_requests = self._pending_requests
        self._pending_requests = []
        for request in pending_requests:
            self._send(request)

    @task.handles(sockets.DataReceived)
    def _on_data_received(self, message: sockets.DataReceived) -> None:
        self._last_received_at = self.now
        try:
            received_frames = [
                self._decompress(frame)
                for frame in self._decoder.receive(message.data)
            ]
        except errors.BadRequest as error:
            _LOGGER.warning(
                "invalid frame from instance at %s: %s", self._address, error
            )
            self._report_connection_loss("invalid frame received")
            return
        for frame in received_frames:
            if isinstance(frame, relay.Update):
                self._received_count += 1
                self._control_inbox.post(messages.UpdateReceived(update=frame))
            elif isinstance(frame, relay.TokenAllocations):
                self._control_inbox.post(frame)
            elif isinstance(frame, slots.SlotAssignment):
                self._router_inbox.post(frame)

    def _decompress(self, frame: Any) -> Any:
        """Return a frame, without compressed objects if it is an update."""
        if isinstance(frame, relay.Update):
            return self._decompressor.decompress(frame)
        return frame

    @task.handles(slots.SlotRequest)
    def _on_slot_request(self, message: slots.SlotRequest) -> None:
        self._send_if_connected(message)

    @task.handles(slots.SlotReport)
    def _on_slot_report(self, message: slots.SlotReport) -> None:
        self._send_if_connected(message)

    @task.handles(slots.SlotInUse)
    def _on_slot_in_use(self, message: slots.SlotInUse) -> None:
        self._send_if_connected(message)

    def _send_if_connected(
        self, message: slots.SlotInUse | slots.SlotReport | slots.SlotRequest
    ) -> None:
        """Send a message that is of no use later."""
        if self._transport is not None:
            self._transport.write(codec.CODEC.encode(message))

    @task.handles(relay.TokenRequests)
    def _on_token_requests(self, message: relay.TokenRequests) -> None:
        self._send(message)

    @task.handles(sockets.EofReceived)
    def _on_eof_received(self, message: sockets.EofReceived) -> None:
        self._report_connection_loss("connection closed by the instance")

    @task.handles(sockets.SocketClosed)
    def _on_socket_closed(self, message: sockets.SocketClosed) -> None:
        if self._transport is not None:
            self._report_connection_loss(f"connection lost: {message.error}")

    def _report_connection_loss(self, reason: str) -> None:
        """Close the connection and notify the control task."""
        self._close_connection()
        if self._address is not None:
            self._control_inbox.post(
                messages.UpdateSourceLost(address=self._address, reason=reason)
            )

    @task.handles(sockets.WritePaused)
    def _on_write_paused(self, message: sockets.WritePaused) -> None:
        """Do nothing; requests are too few and small to need flow control."""

    @task.handles(sockets.WriteResumed)
    def _on_write_resumed(self, message: sockets.WriteResumed) -> None:
        """Do nothing, as for ``WritePaused``."""

    def on_end(self) -> None:
        """Close the connection."""
        self._close_connection()

    def _close_connection(self, is_flushed: bool = False) -> None:
        """Close the connection, after what was written if ``is_flushed``."""
        self._pending_requests.clear()
        if self._connect_task is not None:
            self._connect_task.cancel()
            self._connect_task = None
        if self._transport is not None:
            if is_flushed:
                self._transport.close()
            else:
                self._transport.abort()
            self._transport = None

    def _connect(self) -> None:
        if self._address is None or self._connect_task is not None:
            return
        self._connect_task = asyncio.create_task(
            self._async_connect(self._address)
        )

    async def _async_connect(self, address: addresses.Address) -> None:
        loop = asyncio.get_running_loop()
        error_text = ""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await loop.create_connection(
                    lambda: sockets.SocketProtocol(self.inbox),
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError) as error:
            error_text = str(error) or "connection timed out"
            _LOGGER.info(
                "connecting to instance at %s failed: %s", address, error_text
            )
        self.inbox.post(ConnectFinished(address=address, error=error_text))
