"""Tasks that serve the followers of this instance."""

import asyncio
import contextlib
from typing import Final

from absl import logging
import prometheus_client

from dragonflyshelf.codec import compression
from dragonflyshelf.codec import frames
from dragonflyshelf.codec import relay as codec
from dragonflyshelf.core import errors
from dragonflyshelf.core.relay import messages as relay
from dragonflyshelf.core.slots import messages as slots
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime.relay import messages
from dragonflyshelf.runtime import sockets
from dragonflyshelf.runtime import task

_LOGGER = logging.get_absl_logger()

UNSENT_UPDATES: Final = prometheus_client.Counter(
    "dragonflyshelf_unsent_updates",
    "Updates that the connection of a follower did not take",
)


class FollowerTask(task.Task):
    """Owns the connection of a follower."""

    def __init__(
        self, control_inbox: inbox.Inbox, router_inbox: inbox.Inbox
    ) -> None:
        """Create the task, which receives its socket as a message."""
        super().__init__("follower")
        self._control_inbox = control_inbox
        self._router_inbox = router_inbox
        self._decoder = frames.FrameDecoder(codec.CODEC)
        self._transport: asyncio.Transport | None = None
        self._unsent_count = 0
        self._compressor = compression.UpdateCompressor()
        self._accepts_compressed = False
        self._accepts_deltas = False

    @task.handles(sockets.SocketOpened)
    def _on_socket_opened(self, message: sockets.SocketOpened) -> None:
        self._transport = message.transport

    @task.handles(sockets.DataReceived)
    def _on_data_received(self, message: sockets.DataReceived) -> None:
        try:
            received_frames = self._decoder.receive(message.data)
        except errors.BadRequest as error:
            _LOGGER.warning("invalid frame from follower: %s", error)
            self.stop()
            return
        for frame in received_frames:
            self._forward(frame)

    def _forward(
        self,
        request: (
            relay.UpdateRequest
            | relay.TokenRequests
            | slots.SlotInUse
            | slots.SlotReport
            | slots.SlotRequest
        ),
    ) -> None:
        if isinstance(request, relay.UpdateRequest):
            self._accepts_compressed = request.accepts_compressed
            self._accepts_deltas = request.accepts_deltas
            self._control_inbox.post(
                messages.UpdateRequestReceived(
                    request=request, reply_to=self.inbox
                )
            )
        elif isinstance(request, relay.TokenRequests):
            self._control_inbox.post(
                messages.TokenRequestsReceived(
                    requests=request, reply_to=self.inbox
                )
            )

        elif isinstance(request, slots.SlotRequest):
            self._post_to_broker(
                slots.SlotRequested(link=self.inbox, request=request)
            )
        elif isinstance(request, slots.SlotReport):
            self._post_to_broker(
                slots.SlotReported(link=self.inbox, report=request)
            )
        elif isinstance(request, slots.SlotInUse):
            self._post_to_broker(
                slots.SlotInUseReported(link=self.inbox, slot=request)
            )

    def _post_to_broker(
        self,
        event: (
            slots.LinkClosed
            | slots.SlotInUseReported
            | slots.SlotReported
            | slots.SlotRequested
        ),
    ) -> None:
        """Post an event to the router, or drop it if that is overloaded.

        The follower then places its request itself, and the slot is free
        after the request's deadline.
        """
        with contextlib.suppress(errors.InboxFull):
            self._router_inbox.post(event)

    @task.handles(relay.TokenAllocations)
    def _on_token_allocations(self, message: relay.TokenAllocations) -> None:
        if self._transport is not None:
            self._transport.write(codec.CODEC.encode(message))

    @task.handles(slots.SlotAssignment)
    def _on_slot_assignment(self, message: slots.SlotAssignment) -> None:
        if self._transport is not None:
            self._transport.write(codec.CODEC.encode(message))

    @task.handles(relay.Update)
    def _on_update(self, message: relay.Update) -> None:
        if self._transport is None:
            return
        if sockets.is_write_buffer_full(self._transport):
            self._reject(message)
            return
        if self._accepts_compressed:
            message = self._compressor.compress(message, self._accepts_deltas)
        self._transport.write(codec.CODEC.encode(message))

    def _reject(self, update: relay.Update) -> None:
        """Return an update that the follower reads too slowly for."""
        self._unsent_count += 1
        UNSENT_UPDATES.inc()
        self._control_inbox.post(
            messages.UpdateNotSent(update=update, reply_to=self.inbox)
        )

    @task.handles(sockets.EofReceived)
    def _on_eof_received(self, message: sockets.EofReceived) -> None:
        self.stop()

    @task.handles(sockets.SocketClosed)
    def _on_socket_closed(self, message: sockets.SocketClosed) -> None:
        self.stop()

    @task.handles(sockets.WritePaused)
    def _on_write_paused(self, message: sockets.WritePaused) -> None:
        """Do nothing; updates check the write buffer before they are sent."""

    @task.handles(sockets.WriteResumed)
    def _on_write_resumed(self, message: sockets.WriteResumed) -> None:
        """Request an update in place of those that were not sent."""
        if not self._unsent_count:
            return
        _LOGGER.info(
            "%d updates waited for a slow follower", self._unsent_count
        )
        self._unsent_count = 0
        self._control_inbox.post(
            messages.FollowerWritable(reply_to=self.inbox)
        )

    def on_end(self) -> None:
        """Close the socket and notify the control task."""
        if self._transport is not None:
            self._transport.abort()
        self._control_inbox.post(
            messages.FollowerDisconnected(reply_to=self.inbox)
        )
        self._post_to_broker(slots.LinkClosed(link=self.inbox))


class RelayServerTask(task.Task):
    """Accepts the connections of followers."""

    def __init__(
        self, control_inbox: inbox.Inbox, router_inbox: inbox.Inbox
    ) -> None:
        """Create the task; ``async_listen`` binds its address."""
        super().__init__("relay-server")
        self._control_inbox = control_inbox
        self._router_inbox = router_inbox
        self._server: asyncio.Server | None = None
        self.port = 0

    async def async_listen(self, host: str, port: int) -> None:
        """Bind the address and start accepting connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, host, port)
        self.port = self._server.sockets[0].getsockname()[1]

    def _accept(self) -> asyncio.Protocol:
        follower_task = FollowerTask(self._control_inbox, self._router_inbox)
        follower_task.start()
        return sockets.SocketProtocol(follower_task.inbox)

    def on_end(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()
