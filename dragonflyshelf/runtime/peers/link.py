"""Task that owns one connection to another instance.

Requests in both directions share the link. A request that this instance
forwards has a stream here as its target; a request that came in has the
link as its origin.
"""

import asyncio
from collections import abc
import dataclasses
from typing import Any

from absl import logging

from dragonflyshelf.codec import http
from dragonflyshelf.codec import peer as codec
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core.peers import messages as peers
from dragonflyshelf.core import settings
from dragonflyshelf.core import states
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import messages as runtime_messages
from dragonflyshelf.runtime import sockets
from dragonflyshelf.runtime import task
from dragonflyshelf.runtime.timeline import clock

_LOGGER = logging.get_absl_logger()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LinkOpened:
    """The other side has said who it is."""

    link: "PeerLinkTask"
    hello: peers.Hello
    dialled: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LinkClosed:
    """The link is gone."""

    link: "PeerLinkTask"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerReceived:
    """A control message came from another instance."""

    sender: ids.InstanceId
    message: Any


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendOnLink:
    """A control message is to be sent on this link."""

    message: Any


@dataclasses.dataclass(kw_only=True, slots=True)
class OutgoingStream:
    """A request that was forwarded over this link."""

    attempt: runtime_messages.StartExchange
    answered: bool = False
    status: int = 0


class PeerLinkTask(task.Task):
    """Carries forwarded requests and control messages."""

    def __init__(
        self,
        config: settings.Settings,
        incarnation: ids.Incarnation,
        router: inbox.Inbox,
        peers_inbox: inbox.Inbox,
        next_exchange: abc.Callable[[], ids.ExchangeId],
        dialled: bool,
    ) -> None:
        """Create the task; the socket arrives as a message."""
        super().__init__("peer-link")
        self._config = config
        self._incarnation = incarnation
        self._router = router
        self._peers = peers_inbox
        self._next_exchange = next_exchange
        self._dialled = dialled
        self._transport: asyncio.Transport | None = None
        self._decoder = codec.FrameDecoder()
        self._outgoing_by_stream: dict[int, OutgoingStream] = {}
        self._targets_by_exchange: dict[ids.ExchangeId, inbox.Inbox | None] = (
            {}
        )
        self._early_by_exchange: dict[ids.ExchangeId, list[Any]] = {}
        self._streams_by_exchange: dict[ids.ExchangeId, int] = {}
        self._exchanges_by_stream: dict[int, ids.ExchangeId] = {}
        self._next_stream = 1 if dialled else 2
        self.clock = clock.ProcessClock()
        self.peer = ids.InstanceId("")

    @task.handles(sockets.SocketOpened)
    def _on_opened(self, message: sockets.SocketOpened) -> None:
        self._transport = message.transport
        self._send(
            peers.Hello(
                instance=self._config.instance.name,
                incarnation=self._incarnation,
            )
        )

    @task.handles(sockets.DataReceived)
    def _on_data(self, message: sockets.DataReceived) -> None:
        found = self._decoder.receive(message.data)
        self.clock.observe(self._decoder.stamp)
        for one in found:
            self._on_frame(one)

    @task.handles(sockets.EndReceived)
    def _on_end_received(self, message: sockets.EndReceived) -> None:
        self.stop()

    @task.handles(sockets.SocketClosed)
    def _on_closed(self, message: sockets.SocketClosed) -> None:
        self._transport = None
        self.stop()

    @task.handles(sockets.WritePaused)
    def _on_write_paused(self, message: sockets.WritePaused) -> None:
        """Rely on the credit of each stream to bound the buffer."""

    @task.handles(sockets.WriteResumed)
    def _on_write_resumed(self, message: sockets.WriteResumed) -> None:
        """Rely on the credit of each stream to bound the buffer."""

    @task.handles(SendOnLink)
    def _on_send(self, message: SendOnLink) -> None:
        self._send(message.message)

    @task.handles(runtime_messages.StartExchange)
    def _on_start(self, message: runtime_messages.StartExchange) -> None:
        stream = self._next_stream
        self._next_stream += 2
        head = message.head
        self._outgoing_by_stream[stream] = OutgoingStream(attempt=message)
        self._streams_by_exchange[message.exchange] = stream
        remaining = max(head.deadline - self.now, 0)
        self._send(
            peers.Open(
                exchange=ids.ExchangeId(stream),
                request_id=head.request_id,
                method=head.method,
                target=head.target,
                headers=head.headers,
                remaining_ms=int(remaining * http.MILLISECONDS),
                has_body=head.has_body,
                body_length=head.body_length,
                admitted=message.admitted,
            )
        )
        message.origin.post(
            runtime_messages.Attached(
                exchange=message.exchange,
                target=self.inbox,
                priority=message.admitted.priority,
            )
        )

    @task.handles(runtime_messages.Attached)
    def _on_attached(self, message: runtime_messages.Attached) -> None:
        if message.exchange not in self._targets_by_exchange:
            return
        self._targets_by_exchange[message.exchange] = message.target
        for early in self._early_by_exchange.pop(message.exchange, ()):
            message.target.post(early)

    @task.handles(messages.BodyChunk)
    def _on_body(self, message: messages.BodyChunk) -> None:
        self._send_on(message)

    @task.handles(messages.BodyEnd)
    def _on_body_end(self, message: messages.BodyEnd) -> None:
        self._send_on(message)

    @task.handles(messages.Credit)
    def _on_credit(self, message: messages.Credit) -> None:
        self._send_on(message)

    @task.handles(messages.Cancel)
    def _on_cancel(self, message: messages.Cancel) -> None:
        self._send_on(message)
        stream = self._streams_by_exchange.pop(message.exchange, None)
        if stream is not None:
            self._outgoing_by_stream.pop(stream, None)

    @task.handles(messages.AnswerHead)
    def _on_answer_head(self, message: messages.AnswerHead) -> None:
        self._send_on(message)

    @task.handles(messages.AnswerChunk)
    def _on_answer_chunk(self, message: messages.AnswerChunk) -> None:
        self._send_on(message)

    @task.handles(messages.AnswerEnd)
    def _on_answer_end(self, message: messages.AnswerEnd) -> None:
        self._send_on(message)
        self._end_incoming(message.exchange, cancelled=False)

    @task.handles(messages.AnswerFailed)
    def _on_answer_failed(self, message: messages.AnswerFailed) -> None:
        self._send_on(message)
        self._end_incoming(message.exchange, cancelled=False)

    def on_failure(self) -> None:
        """Close the link; its requests are judged in ``on_end``."""
        self.stop()

    def on_end(self) -> None:
        """Close the socket and judge the requests on the link."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None
        for outgoing in list(self._outgoing_by_stream.values()):
            self._fail_outgoing(outgoing)
        while self.inbox:
            message = self.inbox.pop()
            if isinstance(message, runtime_messages.StartExchange):
                self._report_not_sent(message)
        for exchange in list(self._targets_by_exchange):
            self._end_incoming(exchange, cancelled=True)
        self._peers.post(LinkClosed(link=self))

    def _send(self, message: Any) -> None:
        if self._transport is not None:
            self._transport.write(codec.encode(message, self.clock.tick()))

    def _send_on(self, message: Any) -> None:
        stream = self._streams_by_exchange.get(message.exchange)
        if stream is None:
            return
        self._send(dataclasses.replace(message, exchange=stream))

    def _on_frame(self, message: Any) -> None:
        if isinstance(message, peers.Hello):
            self.peer = message.instance
            self._peers.post(
                LinkOpened(link=self, hello=message, dialled=self._dialled)
            )
        elif isinstance(message, peers.Open):
            self._on_open(message)
        elif hasattr(message, "exchange"):
            self._on_stream_frame(message)
        else:
            self._peers.post(PeerReceived(sender=self.peer, message=message))

    def _on_open(self, message: peers.Open) -> None:
        exchange = self._next_exchange()
        stream = int(message.exchange)
        self._exchanges_by_stream[stream] = exchange
        self._streams_by_exchange[exchange] = stream
        self._targets_by_exchange[exchange] = None
        deadline = self.now + message.remaining_ms / http.MILLISECONDS
        head = messages.RequestHead(
            request_id=message.request_id,
            method=message.method,
            target=message.target,
            headers=message.headers,
            key_digest=ids.KeyDigest(""),
            deadline=ids.Instant(deadline),
            has_body=message.has_body,
            body_length=message.body_length,
        )
        self._router.post(
            runtime_messages.ForwardedExchange(
                exchange=exchange,
                head=head,
                admitted=message.admitted,
                origin=self.inbox,
            )
        )

    def _on_stream_frame(self, message: Any) -> None:
        stream = int(message.exchange)
        exchange = self._exchanges_by_stream.get(stream)
        if exchange is not None:
            self._on_incoming_frame(exchange, message)
            return
        outgoing = self._outgoing_by_stream.get(stream)
        if outgoing is not None:
            self._on_outgoing_frame(stream, outgoing, message)

    def _on_incoming_frame(
        self, exchange: ids.ExchangeId, message: Any
    ) -> None:
        if isinstance(message, messages.Cancel):
            self._end_incoming(exchange, cancelled=True)
            return
        own = dataclasses.replace(message, exchange=exchange)
        target = self._targets_by_exchange.get(exchange)
        if target is not None:
            target.post(own)
            return
        self._early_by_exchange.setdefault(exchange, []).append(own)

    def _on_outgoing_frame(
        self, stream: int, outgoing: OutgoingStream, message: Any
    ) -> None:
        attempt = outgoing.attempt
        if isinstance(message, messages.AnswerFailed):
            if outgoing.answered:
                attempt.origin.post(
                    dataclasses.replace(message, exchange=attempt.exchange)
                )
            self._end_outgoing(stream, message.error)
            return
        if isinstance(message, messages.AnswerHead):
            outgoing.answered = True
            outgoing.status = message.status
        attempt.origin.post(
            dataclasses.replace(message, exchange=attempt.exchange)
        )
        if isinstance(message, messages.AnswerEnd):
            self._end_outgoing(stream, None)

    def _end_outgoing(
        self, stream: int, error: errors.RouterError | None
    ) -> None:
        outgoing = self._outgoing_by_stream.pop(stream)
        attempt = outgoing.attempt
        self._streams_by_exchange.pop(attempt.exchange, None)
        self._router.post(
            runtime_messages.AttemptEnded(
                exchange=attempt.exchange,
                upstream=attempt.admitted.upstream,
                error=error,
                answered=outgoing.answered,
                status=outgoing.status,
            )
        )

    def _fail_outgoing(self, outgoing: OutgoingStream) -> None:
        attempt = outgoing.attempt
        error = errors.PeerUnreachable(
            "link closed before the answer",
            step=states.Step.FORWARD,
            peer=self.peer,
            outcome=states.Outcome.UNKNOWN,
        )
        if outgoing.answered:
            attempt.origin.post(
                messages.AnswerFailed(exchange=attempt.exchange, error=error)
            )
        stream = self._streams_by_exchange[attempt.exchange]
        self._end_outgoing(stream, error)

    def _report_not_sent(
        self, attempt: runtime_messages.StartExchange
    ) -> None:
        self._router.post(
            runtime_messages.AttemptEnded(
                exchange=attempt.exchange,
                upstream=attempt.admitted.upstream,
                error=errors.PeerUnreachable(
                    "link closed before the request was sent",
                    peer=self.peer,
                ),
                answered=False,
            )
        )

    def _end_incoming(self, exchange: ids.ExchangeId, cancelled: bool) -> None:
        if exchange not in self._targets_by_exchange:
            return
        del self._targets_by_exchange[exchange]
        self._early_by_exchange.pop(exchange, None)
        stream = self._streams_by_exchange.pop(exchange)
        del self._exchanges_by_stream[stream]
        self._router.post(
            runtime_messages.ExchangeEnded(
                exchange=exchange, cancelled=cancelled
            )
        )
