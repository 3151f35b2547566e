"""Task that owns the connection of one caller."""

import asyncio
from collections import abc
import dataclasses
import secrets

from absl import logging
import h11

from dragonflyshelf.codec import http
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core import settings
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import messages as runtime_messages
from dragonflyshelf.runtime import sockets
from dragonflyshelf.runtime import task

_LOGGER = logging.get_absl_logger()

REQUEST_ID_BYTES = 8


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class IdleTimeout:
    """The connection has waited for this long; ``mark`` names the wait."""

    mark: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionEnded:
    """A connection task tells the listener that it has ended."""

    connection: "CallerConnectionTask"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DrainConnection:
    """The listener asks the connection to end after its exchange."""


class CallerConnectionTask(task.Task):
    """Serves the requests of one caller connection, one at a time."""

    def __init__(
        self,
        config: settings.Settings,
        router: inbox.Inbox,
        listener: inbox.Inbox,
        next_exchange: abc.Callable[[], ids.ExchangeId],
        private: bool,
    ) -> None:
        """Create the task; the socket arrives as a message."""
        super().__init__("caller")
        self._config = config.requests
        self._router = router
        self._listener = listener
        self._next_exchange = next_exchange
        self._private = private
        self._transport: asyncio.Transport | None = None
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=config.requests.head_bytes
        )
        self._exchange = ids.ExchangeId(0)
        self._head: messages.RequestHead | None = None
        self._target: inbox.Inbox | None = None
        self._body: list[bytes] = []
        self._body_size = 0
        self._body_complete = False
        self._unacknowledged = 0
        self._answering = False
        self._answered = False
        self._write_paused = False
        self._owed_credit = 0
        self._draining = False
        self._idle_mark = 0
        self._idle_timer: asyncio.TimerHandle | None = None

    @task.handles(sockets.SocketOpened)
    def _on_opened(self, message: sockets.SocketOpened) -> None:
        self._transport = message.transport
        self._wait_idle()

    @task.handles(sockets.DataReceived)
    def _on_data(self, message: sockets.DataReceived) -> None:
        self._http.receive_data(message.data)
        self._advance()

    @task.handles(sockets.EndReceived)
    def _on_end_received(self, message: sockets.EndReceived) -> None:
        self._close()

    @task.handles(sockets.SocketClosed)
    def _on_closed(self, message: sockets.SocketClosed) -> None:
        self._transport = None
        self._close()

    @task.handles(sockets.WritePaused)
    def _on_write_paused(self, message: sockets.WritePaused) -> None:
        self._write_paused = True

    @task.handles(sockets.WriteResumed)
    def _on_write_resumed(self, message: sockets.WriteResumed) -> None:
        self._write_paused = False
        self._return_credit(0)

    @task.handles(IdleTimeout)
    def _on_idle(self, message: IdleTimeout) -> None:
        if message.mark == self._idle_mark and not self._exchange:
            self._close()

    @task.handles(DrainConnection)
    def _on_drain(self, message: DrainConnection) -> None:
        self._draining = True
        if not self._exchange:
            self._close()

    @task.handles(runtime_messages.Attached)
    def _on_attached(self, message: runtime_messages.Attached) -> None:
        if message.exchange != self._exchange:
            return
        self._target = message.target
        self._unacknowledged = 0
        for data in self._body:
            self._send_body(data)
        if self._body_complete:
            self._target.post(messages.BodyEnd(exchange=self._exchange))

    @task.handles(messages.Credit)
    def _on_credit(self, message: messages.Credit) -> None:
        if message.exchange != self._exchange:
            return
        self._unacknowledged -= message.size
        self._hold_or_read()

    @task.handles(messages.AnswerHead)
    def _on_answer_head(self, message: messages.AnswerHead) -> None:
        if message.exchange != self._exchange:
            return
        self._answering = True
        headers = [(one.name, one.value) for one in message.headers]
        if self._must_close():
            headers.append((b"connection", b"close"))
        self._write(
            h11.Response(
                status_code=message.status,
                headers=headers,
                reason=message.reason,
            )
        )

    @task.handles(messages.AnswerChunk)
    def _on_answer_chunk(self, message: messages.AnswerChunk) -> None:
        if message.exchange != self._exchange:
            return
        self._write(h11.Data(data=message.data))
        self._return_credit(len(message.data))

    @task.handles(messages.AnswerEnd)
    def _on_answer_end(self, message: messages.AnswerEnd) -> None:
        if message.exchange != self._exchange:
            return
        self._write(h11.EndOfMessage())
        self._answered = True
        self._finish_cycle()

    @task.handles(messages.AnswerFailed)
    def _on_answer_failed(self, message: messages.AnswerFailed) -> None:
        if message.exchange != self._exchange:
            return
        if self._answering:
            self._abort()
            return
        self._refuse(message.error)

    def on_failure(self) -> None:
        """Break the connection, so that no answer can look whole."""
        self._abort()

    def on_end(self) -> None:
        """Close the socket and tell the listener."""
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None
        self._listener.post(ConnectionEnded(connection=self))

    def _advance(self) -> None:
        while self._transport is not None:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._refuse_protocol(error)
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Request):
                self._on_request(event)
            elif isinstance(event, h11.Data):
                self._on_body(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._on_body_end()
            elif isinstance(event, h11.ConnectionClosed):
                self._close()
                return

    def _on_request(self, event: h11.Request) -> None:
        self._idle_mark += 1
        self._exchange = self._next_exchange()
        request_id = ids.RequestId(secrets.token_hex(REQUEST_ID_BYTES))
        try:
            self._head = http.request_head(
                event, request_id, self.now, self._config.deadline
            )
        except errors.BadRequest as error:
            self._refuse(error)
            return
        if self._private:
            self._head = dataclasses.replace(self._head, private=True)
        if self._head.body_length > self._config.body_bytes:
            self._refuse(errors.BodyTooLarge("body is over the bound"))
            return
        if self._http.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))
        self._router.post(
            runtime_messages.ArriveExchange(
                exchange=self._exchange,
                head=self._head,
                origin=self.inbox,
            )
        )

    def _on_body(self, data: bytes) -> None:
        if not self._exchange or self._head is None:
            return
        self._body_size += len(data)
        if self._body_size > self._config.body_bytes:
            self._cancel_exchange()
            self._refuse(errors.BodyTooLarge("body is over the bound"))
            return
        if self._target is None or self._replayable():
            self._body.append(data)
        if self._target is not None:
            self._send_body(data)
        self._hold_or_read()

    def _on_body_end(self) -> None:
        self._body_complete = True
        if self._target is not None and self._exchange:
            self._target.post(messages.BodyEnd(exchange=self._exchange))
        if self._answered:
            self._finish_cycle()

    def _replayable(self) -> bool:
        return self._body_size <= self._config.replay_bytes

    def _send_body(self, data: bytes) -> None:
        assert self._target is not None
        self._unacknowledged += len(data)
        self._target.post(
            messages.BodyChunk(exchange=self._exchange, data=data)
        )

    def _hold_or_read(self) -> None:
        if self._transport is None:
            return
        waiting = self._unacknowledged
        if self._target is None:
            waiting = self._body_size
        if waiting >= self._config.window_bytes:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _return_credit(self, size: int) -> None:
        self._owed_credit += size
        if self._write_paused or self._owed_credit == 0:
            return
        if self._target is not None:
            self._target.post(
                messages.Credit(
                    exchange=self._exchange, size=self._owed_credit
                )
            )
        self._owed_credit = 0

    def _write(self, event: h11.Event) -> None:
        data = self._http.send(event)
        if data and self._transport is not None:
            self._transport.write(data)

    def _must_close(self) -> bool:
        return self._draining or not self._body_complete

    def _refuse(self, error: errors.RouterError) -> None:
        request_id = ids.RequestId("")
        if self._head is not None:
            request_id = self._head.request_id
        body = http.error_body(error, request_id)
        close = self._must_close()
        self._write(http.error_response(error, len(body), close))
        if self._head is None or self._head.method != b"HEAD":
            self._write(h11.Data(data=body))
        self._write(h11.EndOfMessage())
        self._answered = True
        if close:
            self._close()
            return
        self._finish_cycle()

    def _refuse_protocol(self, error: h11.RemoteProtocolError) -> None:
        if self._exchange or self._http.our_state not in (
            h11.IDLE,
            h11.SEND_RESPONSE,
        ):
            self._abort()
            return
        self._refuse(http.protocol_error(error))
        self._close()

    def _finish_cycle(self) -> None:
        if self._http.our_state is not h11.DONE:
            self._close()
            return
        if self._http.their_state is not h11.DONE:
            self._close()
            return
        self._end_exchange(cancelled=False)
        if self._draining:
            self._close()
            return
        self._http.start_next_cycle()
        self._wait_idle()
        self._advance()

    def _end_exchange(self, cancelled: bool) -> None:
        if self._exchange:
            self._router.post(
                runtime_messages.ExchangeEnded(
                    exchange=self._exchange, cancelled=cancelled
                )
            )
        self._exchange = ids.ExchangeId(0)
        self._head = None
        self._target = None
        self._body = []
        self._body_size = 0
        self._body_complete = False
        self._unacknowledged = 0
        self._answering = False
        self._answered = False
        self._owed_credit = 0

    def _cancel_exchange(self) -> None:
        if not self._exchange:
            return
        self._router.post(
            runtime_messages.ExchangeEnded(
                exchange=self._exchange, cancelled=True
            )
        )
        self._target = None

    def _wait_idle(self) -> None:
        self._idle_mark += 1
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._idle_timer = self.post_later(
            self._config.idle_timeout, IdleTimeout(mark=self._idle_mark)
        )

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()
            self._transport = None
        self._close()

    def _close(self) -> None:
        cancelled = not self._answered
        self._end_exchange(cancelled=cancelled)
        self.stop()
