"""Task that owns the connection of one caller."""

from collections import abc
import secrets

from absl import logging
import h11

from dragonflyshelf.codec import http
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core import registry
from dragonflyshelf.core import settings
from dragonflyshelf.runtime.callers import diagnostics
from dragonflyshelf.runtime.callers import exchange
from dragonflyshelf.runtime.callers import messages as caller_messages
from dragonflyshelf.runtime.callers import waits
from dragonflyshelf.runtime.callers import wire
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import messages as runtime_messages
from dragonflyshelf.runtime import sockets
from dragonflyshelf.runtime import task

_LOGGER = logging.get_absl_logger()

DEADLINE_GRACE = 0.25
LINGER_BYTES = 1024 * 1024
REQUEST_ID_BYTES = 8

WAIT_ENDS: registry.Registry[
    waits.Wait, abc.Callable[["CallerConnectionTask"], None]
] = registry.Registry("ends of waits")


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
        super().__init__("caller", config.requests.inbox_messages)
        self._config = config.requests
        self._access = diagnostics.AccessLog(config.log)
        self._router = router
        self._listener = listener
        self._next_exchange = next_exchange
        self._private = private
        self._wire = wire.CallerWire(config.requests)
        self._exchange = exchange.CallerExchange(config=self._config)
        self._timer = waits.WaitTimer(self.inbox)
        self._refusal: errors.RouterError | None = None
        self._draining = False
        self._lingering = False
        self._early_bytes = 0

    @task.handles(sockets.SocketOpened)
    def _on_opened(self, message: sockets.SocketOpened) -> None:
        self._wire.open(message.transport)
        if self._refusal is not None:
            self._refuse(self._refusal)
            return
        self._wait_for(waits.Wait.IDLE, self._config.idle_timeout)

    @task.handles(caller_messages.RefuseConnection)
    def _on_refused(self, message: caller_messages.RefuseConnection) -> None:
        self._refusal = message.error

    @task.handles(sockets.DataReceived)
    def _on_data(self, message: sockets.DataReceived) -> None:
        size = len(message.data)
        self._early_bytes += size
        if self._lingering:
            if self._early_bytes > LINGER_BYTES:
                self._abort()
            return
        self._wire.http.receive_data(message.data)
        if self._exchange.id and self._exchange.body_complete:
            self._hold_or_read()
            return
        self._early_bytes = size
        self._advance()

    @task.handles(sockets.EndReceived)
    def _on_end_received(self, message: sockets.EndReceived) -> None:
        if self._lingering or not self._exchange.id:
            self._stop()
            return
        self._draining = True
        if not self._exchange.answering:
            self._give_up(errors.CallerGone, "caller closed its side")
        elif not self._exchange.body_complete:
            self._abort()

    @task.handles(sockets.SocketClosed)
    def _on_closed(self, message: sockets.SocketClosed) -> None:
        self._wire.lost()
        self._stop()

    @task.handles(sockets.WritePaused)
    def _on_write_paused(self, message: sockets.WritePaused) -> None:
        """Hold back credit while the wire is full."""

    @task.handles(sockets.WriteResumed)
    def _on_write_resumed(self, message: sockets.WriteResumed) -> None:
        self._return_credit(0)
        if not self._exchange.id and not self._lingering:
            self._advance()

    @task.handles(caller_messages.WaitOver)
    def _on_wait_over(self, message: caller_messages.WaitOver) -> None:
        if not self.stopped and self._timer.is_over(self.now):
            WAIT_ENDS.get(self._timer.wait)(self)

    @task.handles(caller_messages.LeaveConnection)
    def _on_leave(self, message: caller_messages.LeaveConnection) -> None:
        self._draining = True

    @task.handles(caller_messages.DrainConnection)
    def _on_drain(self, message: caller_messages.DrainConnection) -> None:
        self._draining = True
        if self._exchange.id or self._lingering:
            return
        if self._timer.wait is waits.Wait.IDLE:
            self._linger()

    @task.handles(runtime_messages.Attached)
    def _on_attached(self, message: runtime_messages.Attached) -> None:
        running = self._exchange
        if message.exchange != running.id:
            return
        if running.chunks_dropped:
            self._give_up(errors.Overloaded, "body cannot be sent again")
            return
        running.target = message.target
        running.priority = message.priority
        running.unacknowledged = 0
        if self._wire.http.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))
        for data in running.chunks:
            self._send_body(data)
        running.drop_chunks()
        if running.body_complete and running.has_body:
            message.target.post(messages.BodyEnd(exchange=running.id))

    @task.handles(messages.Credit)
    def _on_credit(self, message: messages.Credit) -> None:
        if message.exchange != self._exchange.id:
            return
        self._exchange.unacknowledged -= message.size
        self._hold_or_read()

    @task.handles(messages.AnswerHead)
    def _on_answer_head(self, message: messages.AnswerHead) -> None:
        if message.exchange != self._exchange.id:
            return
        self._exchange.answering = True
        self._exchange.status = message.status
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
        if message.exchange != self._exchange.id:
            return
        self._write(h11.Data(data=message.data))
        self._return_credit(len(message.data))

    @task.handles(messages.AnswerEnd)
    def _on_answer_end(self, message: messages.AnswerEnd) -> None:
        if message.exchange != self._exchange.id:
            return
        self._write(h11.EndOfMessage())
        self._exchange.answered = True
        self._finish_cycle()

    @task.handles(messages.AnswerFailed)
    def _on_answer_failed(self, message: messages.AnswerFailed) -> None:
        if message.exchange == self._exchange.id:
            self._refuse(message.error)

    def on_failure(self) -> None:
        """Break the connection, so that no answer can look whole."""
        self._abort()

    def on_end(self) -> None:
        """Close the socket and tell the listener."""
        self._timer.cancel()
        if self._exchange.answering:
            self._wire.abort()
        self._wire.close()
        self._listener.post(caller_messages.ConnectionEnded(inbox=self.inbox))

    def _advance(self) -> None:
        while self._wire.is_open and not self._lingering:
            if self._wire.is_full and not self._exchange.id:
                return
            try:
                event = self._wire.next_event()
            except errors.RouterError as error:
                self._refuse(error)
                return
            except h11.RemoteProtocolError as error:
                outcome = self._exchange.outcome
                self._cancel_exchange()
                self._refuse(http.protocol_error(error, outcome))
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                self._watch_head()
                return
            if isinstance(event, h11.Request):
                self._on_request(event)
            elif isinstance(event, h11.Data):
                self._on_body(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._on_body_end()

    def _watch_head(self) -> None:
        idle = self._timer.wait is waits.Wait.IDLE
        if idle and self._wire.has_partial_head:
            self._wait_for(waits.Wait.HEAD, self._config.read_timeout)

    def _on_request(self, event: h11.Request) -> None:
        running = self._exchange
        running.id = self._next_exchange()
        running.method = event.method
        running.started = self.now
        request_id = ids.RequestId(secrets.token_hex(REQUEST_ID_BYTES))
        try:
            running.head = http.request_head(
                event,
                request_id,
                running.started,
                self._config.deadline,
                self._private,
            )
            if running.over_bound:
                raise errors.BodyTooLarge("body is over the bound")
            self._router.post(
                runtime_messages.ArriveExchange(
                    exchange=running.id,
                    head=running.head,
                    origin=self.inbox,
                )
            )
        except errors.RouterError as error:
            self._refuse(error)
            return
        running.routed = True
        self._wait_for(waits.Wait.BODY, self._config.read_timeout)

    def _on_body(self, data: bytes) -> None:
        running = self._exchange
        running.add_chunk(data)
        if running.over_bound:
            self._give_up(errors.BodyTooLarge, "body is over the bound")
            return
        if running.target is not None:
            self._send_body(data)
        self._hold_or_read()
        self._wait_for(waits.Wait.BODY, self._config.read_timeout)

    def _on_body_end(self) -> None:
        running = self._exchange
        running.body_complete = True
        self._early_bytes = 0
        if running.head is not None:
            remaining = running.head.deadline - self.now
            self._wait_for(waits.Wait.ANSWER, remaining + DEADLINE_GRACE)
        if running.target is not None and running.has_body:
            running.target.post(messages.BodyEnd(exchange=running.id))

    def _send_body(self, data: bytes) -> None:
        running = self._exchange
        assert running.target is not None
        running.unacknowledged += len(data)
        running.target.post(messages.BodyChunk(exchange=running.id, data=data))

    def _hold_or_read(self) -> None:
        hold = self._exchange.must_wait
        if self._exchange.body_complete:
            hold = self._early_bytes > self._config.head_bytes
        self._wire.hold(hold)

    def _return_credit(self, size: int) -> None:
        running = self._exchange
        running.owed_credit += size
        if self._wire.is_full or running.owed_credit == 0:
            return
        if running.target is not None:
            running.target.post(
                messages.Credit(exchange=running.id, size=running.owed_credit)
            )
        running.owed_credit = 0

    def _write(self, event: h11.Event) -> None:
        self._wire.send(event)
        if not self.inbox:
            self._wire.flush()

    def _must_close(self) -> bool:
        return self._draining or not self._exchange.body_complete

    @WAIT_ENDS.register(waits.Wait.IDLE)
    def _end_idle(self) -> None:
        self._linger()

    @WAIT_ENDS.register(waits.Wait.LINGER)
    def _end_linger(self) -> None:
        self._abort()

    @WAIT_ENDS.register(waits.Wait.HEAD)
    def _end_head(self) -> None:
        self._refuse(errors.RequestTimeout("the head did not end in time"))

    @WAIT_ENDS.register(waits.Wait.BODY)
    def _end_body(self) -> None:
        if self._exchange.must_wait:
            self._wait_for(waits.Wait.BODY, self._config.read_timeout)
            return
        self._give_up(errors.RequestTimeout, "the body did not go on in time")

    @WAIT_ENDS.register(waits.Wait.ANSWER)
    def _end_answer(self) -> None:
        self._give_up(errors.DeadlineExceeded, "no answer within the deadline")

    def _give_up(self, kind: type[errors.RouterError], text: str) -> None:
        """Cancel the request wherever it is and tell the caller."""
        outcome = self._exchange.outcome
        self._cancel_exchange()
        self._refuse(kind(text, outcome=outcome))

    def _refuse(self, error: errors.RouterError) -> None:
        running = self._exchange
        if running.answering:
            self._abort()
            return
        running.code = error.code
        running.status = error.status
        body = http.error_body(error, running.request_id)
        self._write(http.error_response(error, len(body), self._must_close()))
        if running.method != http.METHOD_HEAD:
            self._write(h11.Data(data=body))
        self._write(h11.EndOfMessage())
        running.answered = True
        self._finish_cycle()

    def _finish_cycle(self) -> None:
        self._end_exchange()
        self._wire.flush()
        if self._draining or not self._wire.is_reusable:
            self._linger()
            return
        self._wire.http.start_next_cycle()
        self._wait_for(waits.Wait.IDLE, self._config.idle_timeout)
        self._hold_or_read()
        self._advance()

    def _end_exchange(self) -> None:
        running = self._exchange
        if running.id:
            self._cancel_exchange()
            self._access.record(running, self.now)
        self._exchange = exchange.CallerExchange(config=self._config)
        self._early_bytes = 0

    def _cancel_exchange(self) -> None:
        running = self._exchange
        if not running.routed:
            return
        running.routed = False
        running.target = None
        self._router.post(
            runtime_messages.ExchangeEnded(
                exchange=running.id, cancelled=not running.answered
            )
        )

    def _wait_for(self, wait: waits.Wait, seconds: float) -> None:
        self._timer.begin(wait, self.now, seconds)

    def _linger(self) -> None:
        """End our side and read on, so that no reset eats the answer."""
        if not self._wire.is_open:
            self._stop()
            return
        self._lingering = True
        self._wire.end_side()
        self._wait_for(waits.Wait.LINGER, self._config.linger_timeout)

    def _abort(self) -> None:
        self._wire.abort()
        self._stop()

    def _stop(self) -> None:
        self._end_exchange()
        self.stop()
