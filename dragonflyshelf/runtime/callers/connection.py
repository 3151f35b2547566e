"""Task that owns the connection of one caller."""

import collections
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
from dragonflyshelf.core import states
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
"""Seconds past a deadline for which the router's answer is awaited."""

LINGER_BYTES = 1024 * 1024
"""Bytes that are read from a caller whose connection is closing."""

PIPELINE = 8
"""Requests of one connection that are worked on at the same time."""

REQUEST_ID_BYTES = 8

Exchange = exchange.CallerExchange

WAIT_ENDS: registry.Registry[
    waits.Wait, abc.Callable[["CallerConnectionTask"], None]
] = registry.Registry("ends of waits")


class CallerConnectionTask(task.Task):
    """Serves the requests of one caller connection.

    Requests that may be sent ahead of earlier answers are routed at
    once; the answers go out in the order of the requests.
    """

    def __init__(
        self,
        config: settings.Settings,
        names: http.HeaderNames,
        router: inbox.Inbox,
        listener: inbox.Inbox,
        next_exchange: abc.Callable[[], ids.ExchangeId],
    ) -> None:
        """Create the task; the socket arrives as a message."""
        super().__init__("caller", config.requests.inbox_messages)
        self._config = config.requests
        self._names = names
        self._access = diagnostics.AccessLog(config.log)
        self._router = router
        self._listener = listener
        self._next_exchange = next_exchange
        self._wire = wire.CallerWire(config.requests)
        self._exchanges: collections.deque[Exchange] = collections.deque()
        self._reading: Exchange | None = None
        self._timer = waits.WaitTimer(self.inbox)
        self._refusal: errors.RouterError | None = None
        self._draining = False
        self._reads_on = True
        self._lingering = False
        self._early_bytes = 0

    @task.handles(sockets.SocketOpened)
    def _on_opened(self, message: sockets.SocketOpened) -> None:
        self._wire.open(message.transport)
        if self._refusal is not None:
            self._refuse(self._begin(), self._refusal)
            return
        self._wait_for(waits.Wait.IDLE, self._config.idle_timeout)

    @task.handles(caller_messages.RefuseConnection)
    def _on_refused(self, message: caller_messages.RefuseConnection) -> None:
        self._refusal = message.error

    @task.handles(caller_messages.BoundsChanged)
    def _on_bounds(self, message: caller_messages.BoundsChanged) -> None:
        self._config = message.requests
        self._wire.config = message.requests

    @task.handles(sockets.DataReceived)
    def _on_data(self, message: sockets.DataReceived) -> None:
        self._early_bytes += len(message.data)
        if self._lingering or not self._reads_on:
            if self._early_bytes > LINGER_BYTES:
                self._abort()
            return
        self._wire.http.receive_data(message.data)
        self._advance()

    @task.handles(sockets.EndReceived)
    def _on_end_received(self, message: sockets.EndReceived) -> None:
        if self._lingering or not self._exchanges:
            self._stop()
            return
        self._draining = True
        self._reads_on = False
        front, *behind = self._exchanges
        for one in behind:
            self._give_up(
                one, errors.CallerDisconnected, "caller closed its side"
            )
        if not front.answering:
            self._give_up(
                front, errors.CallerDisconnected, "caller closed its side"
            )
        elif not front.body_complete:
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
        if self._exchanges:
            self._return_credit(self._exchanges[0], 0)
        if not self._lingering:
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
        if self._exchanges or self._lingering:
            return
        if self._timer.wait is waits.Wait.IDLE:
            self._stop()

    @task.handles(runtime_messages.Attached)
    def _on_attached(self, message: runtime_messages.Attached) -> None:
        running = self._find(message.exchange)
        if running is None:
            return
        if running.chunks_dropped:
            self._give_up(
                running, errors.Overloaded, "body cannot be sent again"
            )
            return
        running.target = message.target
        running.unacknowledged = 0
        if running.http.they_are_waiting_for_100_continue:
            event = h11.InformationalResponse(status_code=100, headers=[])
            self._write(running, event)
        for data in running.chunks:
            self._send_body(running, data)
        running.drop_chunks()
        if running.body_complete and running.has_body:
            message.target.post(messages.BodyEnd(exchange=running.id))

    @task.handles(messages.Credit)
    def _on_credit(self, message: messages.Credit) -> None:
        running = self._find(message.exchange)
        if running is None:
            return
        running.unacknowledged -= message.size
        self._hold_or_read()

    @task.handles(messages.ResponseHead)
    def _on_answer_head(self, message: messages.ResponseHead) -> None:
        self._on_answer(message)

    @task.handles(messages.ResponseChunk)
    def _on_answer_chunk(self, message: messages.ResponseChunk) -> None:
        self._on_answer(message)

    @task.handles(messages.ResponseEnd)
    def _on_answer_end(self, message: messages.ResponseEnd) -> None:
        self._on_answer(message)

    @task.handles(messages.ResponseFailed)
    def _on_answer_failed(self, message: messages.ResponseFailed) -> None:
        running = self._find(message.exchange)
        if running is not None:
            self._refuse(running, message.error)

    def on_failure(self) -> None:
        """Break the connection, so that no answer can look whole."""
        self._abort()

    def on_end(self) -> None:
        """Close the socket and tell the listener."""
        self._timer.cancel()
        if any(one.answering for one in self._exchanges):
            self._wire.abort()
        self._wire.close()
        self._listener.post(caller_messages.ConnectionEnded(inbox=self.inbox))

    def _find(self, name: ids.ExchangeId) -> Exchange | None:
        for one in self._exchanges:
            if one.id == name:
                return one
        return None

    def _begin(self) -> Exchange:
        """Append the exchange whose request is read now."""
        begun = Exchange(
            config=self._config,
            http=self._wire.http,
            id=self._next_exchange(),
            started=self.now,
        )
        self._exchanges.append(begun)
        return begun

    def _may_read(self) -> bool:
        """Tell whether one more request may be parsed."""
        if self._reading is not None:
            return True
        if not self._reads_on or len(self._exchanges) >= PIPELINE:
            return False
        if not self._exchanges:
            return not self._wire.is_full
        return not self._draining and self._exchanges[-1].may_run_early

    def _advance(self) -> None:
        while self._wire.is_open and not self._lingering:
            if not self._may_read():
                break
            try:
                event = self._wire.next_event()
            except errors.RouterError as error:
                self._fail_reading(error)
                break
            except h11.RemoteProtocolError as error:
                outcome = self._cancel_reading()
                self._fail_reading(http.protocol_error(error, outcome))
                break
            if event is h11.NEED_DATA or event is h11.PAUSED:
                self._watch_head()
                break
            self._on_event(event)
        self._hold_or_read()

    def _on_event(self, event: h11.Event) -> None:
        if isinstance(event, h11.Request):
            self._on_request(event)
        elif isinstance(event, h11.Data) and self._reading is not None:
            self._on_body(self._reading, bytes(event.data))
        elif isinstance(event, h11.EndOfMessage) and self._reading:
            self._on_body_end(self._reading)
        elif isinstance(event, h11.ConnectionClosed):
            self._reads_on = False

    def _watch_head(self) -> None:
        idle = self._timer.wait is waits.Wait.IDLE
        if idle and self._wire.has_partial_head:
            self._wait_for(waits.Wait.HEAD, self._config.read_timeout)

    def _on_request(self, event: h11.Request) -> None:
        running = self._begin()
        self._reading = running
        running.method = event.method
        request_id = ids.RequestId(secrets.token_hex(REQUEST_ID_BYTES))
        try:
            running.head = http.parse_request_head(
                event,
                self._names,
                request_id,
                running.started,
                self._config.deadline,
            )
            if running.over_bound:
                raise errors.BodyTooLarge("body is over the bound")
        except errors.RouterError as error:
            self._fail_reading(error)
            return
        self._early_bytes = 0
        if len(self._exchanges) == 1:
            self._wait_for(waits.Wait.BODY, self._config.read_timeout)
        if running is self._exchanges[0] or running.may_run_early:
            self._route(running)

    def _route(self, running: Exchange) -> None:
        if running.routed or running.head is None or running.refusal:
            return
        try:
            self._router.post(
                runtime_messages.ArriveExchange(
                    exchange=running.id,
                    head=running.head,
                    origin=self.inbox,
                )
            )
        except errors.RouterError as error:
            self._refuse(running, error)
            return
        running.routed = True

    def _on_body(self, running: Exchange, data: bytes) -> None:
        running.add_chunk(data)
        if running.over_bound:
            self._give_up(running, errors.BodyTooLarge, "body is too large")
            return
        if running.target is not None:
            self._send_body(running, data)
        if running is self._exchanges[0]:
            self._wait_for(waits.Wait.BODY, self._config.read_timeout)

    def _on_body_end(self, running: Exchange) -> None:
        running.body_complete = True
        self._reading = None
        self._early_bytes = 0
        if running is self._exchanges[0]:
            self._wait_for_answer(running)
        if running.target is not None and running.has_body:
            running.target.post(messages.BodyEnd(exchange=running.id))
        if running.http.their_state is h11.DONE:
            self._wire.next_request()
        else:
            self._reads_on = False

    def _wait_for_answer(self, running: Exchange) -> None:
        if running.head is not None:
            remaining = running.head.deadline - self.now
            self._wait_for(waits.Wait.ANSWER, remaining + DEADLINE_GRACE)

    def _send_body(self, running: Exchange, data: bytes) -> None:
        assert running.target is not None
        running.unacknowledged += len(data)
        running.target.post(messages.BodyChunk(exchange=running.id, data=data))

    def _hold_or_read(self) -> None:
        if self._reading is not None:
            self._wire.hold(self._reading.must_wait)
            return
        self._wire.hold(self._early_bytes > self._config.head_bytes)

    def _on_answer(self, message: exchange.Answer) -> None:
        running = self._find(message.exchange)
        if running is None:
            return
        if running is not self._exchanges[0]:
            running.held.append(message)
            return
        self._pass_on(running, message)

    def _pass_on(self, running: Exchange, message: exchange.Answer) -> None:
        if isinstance(message, messages.ResponseHead):
            self._answer_head(running, message)
        elif isinstance(message, messages.ResponseChunk):
            self._write(running, h11.Data(data=message.data))
            self._return_credit(running, len(message.data))
        else:
            self._write(running, h11.EndOfMessage())
            running.answered = True
            self._finish_front()

    def _answer_head(
        self, running: Exchange, message: messages.ResponseHead
    ) -> None:
        running.answering = True
        running.status = message.status
        headers = [(one.name, one.value) for one in message.headers]
        if self._must_close(running):
            headers.append((b"connection", b"close"))
        response = h11.Response(
            status_code=message.status, headers=headers, reason=message.reason
        )
        self._write(running, response)

    def _return_credit(self, running: Exchange, size: int) -> None:
        running.owed_credit += size
        if self._wire.is_full or running.owed_credit == 0:
            return
        if running.target is not None:
            running.target.post(
                messages.Credit(exchange=running.id, size=running.owed_credit)
            )
        running.owed_credit = 0

    def _write(self, running: Exchange, event: h11.Event) -> None:
        self._wire.send(running.http, event)
        if not self.inbox:
            self._wire.flush()

    def _must_close(self, running: Exchange) -> bool:
        """Tell whether the connection ends with this answer."""
        if not running.body_complete:
            return True
        is_last = running is self._exchanges[-1]
        return is_last and (self._draining or not self._reads_on)

    @WAIT_ENDS.register(waits.Wait.IDLE)
    def _end_idle(self) -> None:
        """Close at once: a request that crosses is reset, not swallowed."""
        self._stop()

    @WAIT_ENDS.register(waits.Wait.LINGER)
    def _end_linger(self) -> None:
        self._abort()

    @WAIT_ENDS.register(waits.Wait.HEAD)
    def _end_head(self) -> None:
        self._fail_reading(
            errors.RequestTimeout("the head did not end in time")
        )

    @WAIT_ENDS.register(waits.Wait.BODY)
    def _end_body(self) -> None:
        running = self._exchanges[0]
        if running.must_wait:
            self._wait_for(waits.Wait.BODY, self._config.read_timeout)
            return
        text = "the body did not go on in time"
        self._give_up(running, errors.RequestTimeout, text)

    @WAIT_ENDS.register(waits.Wait.ANSWER)
    def _end_answer(self) -> None:
        running = self._exchanges[0]
        text = "no answer within the deadline"
        self._give_up(running, errors.DeadlineExceeded, text)

    def _cancel_reading(self) -> states.Outcome:
        """Cancel the request that is read; return what is known of it."""
        if self._reading is None:
            return states.Outcome.NOT_RUN
        outcome = self._reading.outcome
        self._cancel(self._reading)
        return outcome

    def _fail_reading(self, error: errors.RouterError) -> None:
        """Answer what cannot be read, and read no more."""
        running = self._reading or self._begin()
        self._reading = None
        self._reads_on = False
        self._refuse(running, error)

    def _give_up(
        self, running: Exchange, kind: type[errors.RouterError], text: str
    ) -> None:
        """Cancel the request wherever it is and tell the caller."""
        outcome = running.outcome
        self._cancel(running)
        self._refuse(running, kind(text, outcome=outcome))

    def _refuse(self, running: Exchange, error: errors.RouterError) -> None:
        if running is not self._exchanges[0]:
            running.refusal = error
            running.held.clear()
            return
        if running.answering:
            self._abort()
            return
        if running is self._reading:
            self._reading = None
            self._reads_on = False
        running.code = error.code
        running.status = http.error_status(error)
        body = http.error_body(error, running.request_id)
        close = self._must_close(running)
        self._write(running, http.error_response(error, len(body), close))
        if running.method != http.METHOD_HEAD:
            self._write(running, h11.Data(data=body))
        self._write(running, h11.EndOfMessage())
        running.answered = True
        self._finish_front()

    def _finish_front(self) -> None:
        """End the first exchange and turn to the next."""
        running = self._exchanges[0]
        must_end = running.http.our_state is not h11.DONE
        self._end_exchange(running)
        self._exchanges.popleft()
        if must_end:
            self._linger()
            return
        if self._exchanges:
            self._serve_front()
            return
        self._wire.flush()
        if self._draining or not self._reads_on:
            self._linger()
            return
        self._wait_for(waits.Wait.IDLE, self._config.idle_timeout)
        self._advance()

    def _serve_front(self) -> None:
        """Pass on what has come for the exchange that is now first."""
        running = self._exchanges[0]
        self._route(running)
        if running.body_complete:
            self._wait_for_answer(running)
        else:
            self._wait_for(waits.Wait.BODY, self._config.read_timeout)
        held = running.held
        running.held = []
        for message in held:
            if self._exchanges and self._exchanges[0] is running:
                self._pass_on(running, message)
        if running.refusal is not None and not running.answered:
            self._refuse(running, running.refusal)
        elif self._exchanges and self._exchanges[0] is running:
            self._advance()

    def _end_exchange(self, running: Exchange) -> None:
        self._cancel(running)
        self._access.record(running, self.now)
        self._early_bytes = 0

    def _cancel(self, running: Exchange) -> None:
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
        self._end_all()
        self._wire.end_side()
        self._wait_for(waits.Wait.LINGER, self._config.linger_timeout)

    def _end_all(self) -> None:
        while self._exchanges:
            self._end_exchange(self._exchanges.popleft())

    def _abort(self) -> None:
        self._wire.abort()
        self._stop()

    def _stop(self) -> None:
        self._end_all()
        self.stop()
