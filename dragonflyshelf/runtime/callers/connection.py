"""Task that owns one caller connection."""

import collections
from collections import abc
import secrets

from absl import logging
import h11

from dragonflyshelf.codec import http
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.memory import limits
from dragonflyshelf.core.memory import messages as memory_messages
from dragonflyshelf.core import messages
from dragonflyshelf.core import registry
from dragonflyshelf.core import settings
from dragonflyshelf.core import states
from dragonflyshelf.runtime.callers import channel
from dragonflyshelf.runtime.callers import diagnostics
from dragonflyshelf.runtime.callers import exchange
from dragonflyshelf.runtime.callers import messages as caller_messages
from dragonflyshelf.runtime.callers import timeouts
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import memory
from dragonflyshelf.runtime import messages as runtime_messages
from dragonflyshelf.runtime import sockets
from dragonflyshelf.runtime import task

_LOGGER = logging.get_absl_logger()

DEADLINE_GRACE_SECONDS = 0.25
"""Time after a deadline within which the response should be complete.

After that, the request is refused, or the connection is reset if the
response has started.
"""

MAX_LINGER_BYTES = 1024 * 1024
"""Limit on the bytes discarded on a connection that is closing.

A caller that sends more gets its connection reset.
"""

MAX_PIPELINED_REQUEST_COUNT = 8
"""Maximum number of unfinished exchanges of one connection."""

MAX_EVENTS_PER_TURN = 64
"""Events of the parser after which other connections have their turn.

Parsing a tiny chunk of a body takes as long as a large one.
"""

REQUEST_ID_BYTES = 8
"""Random bytes in the id that is generated for a request without one."""

Exchange = exchange.CallerExchange

TIMEOUT_HANDLERS: registry.Registry[
    timeouts.TimeoutKind, abc.Callable[["CallerConnectionTask"], None]
] = registry.Registry("timeout handlers")


class CallerConnectionTask(task.Task):
    """Serves the requests of one caller connection.

    Pipelined requests without a body and with a safe method are routed
    at once, before earlier requests are finished. Responses are written
    in the order of the requests.
    """

    def __init__(
        self,
        config: settings.Settings,
        header_names: http.HeaderNames,
        router: inbox.Inbox,
        listener: inbox.Inbox,
        next_exchange_id: abc.Callable[[], ids.ExchangeId],
        make_reporter: memory.ReporterFactory,
        memory_limits: limits.MemoryLimits,
    ) -> None:
        """Create the task; the socket arrives as a message."""
        super().__init__("caller", config.requests.inbox_messages)
        self._holding = make_reporter(self.inbox)
        self._share_bytes = memory_limits.share_bytes
        self._config = config.requests
        self._header_names = header_names
        self._access_log = diagnostics.AccessLog(config.log)
        self._router = router
        self._listener = listener
        self._next_exchange_id = next_exchange_id
        self._channel = channel.CallerChannel(config.requests)
        self._exchanges: collections.deque[Exchange] = collections.deque()
        self._incoming_exchange: Exchange | None = None
        self._timer = timeouts.TimeoutTimer(self.inbox)
        self._connection_refusal: errors.RouterError | None = None
        self._draining = False
        self._accepts_input = True
        self._lingering = False
        self._discarded_bytes = 0
        self._forwarded_bytes = 0
        self._sent_bytes_at_timeout = 0
        self._is_parsing_postponed = False

    @task.handles(sockets.SocketOpened)
    def _on_socket_opened(self, message: sockets.SocketOpened) -> None:
        self._channel.connection_made(message.transport)
        self._holding.open()
        if self._connection_refusal is not None:
            self._refuse(self._append_exchange(), self._connection_refusal)
            return
        self._start_timeout(
            timeouts.TimeoutKind.IDLE, self._config.idle_timeout
        )

    @task.handles(caller_messages.RefuseConnection)
    def _on_refuse_connection(
        self, message: caller_messages.RefuseConnection
    ) -> None:
        self._connection_refusal = message.error

    @task.handles(caller_messages.RequestLimitsChanged)
    def _on_request_limits_changed(
        self, message: caller_messages.RequestLimitsChanged
    ) -> None:
        self._config = message.requests
        self._channel.config = message.requests

    @task.handles(sockets.DataReceived)
    def _on_data_received(self, message: sockets.DataReceived) -> None:
        if self._lingering or not self._accepts_input:
            self._discarded_bytes += len(message.data)
            if self._discarded_bytes > MAX_LINGER_BYTES:
                self._abort()
            return
        self._channel.http.receive_data(message.data)
        self._process_events()

    @task.handles(caller_messages.ContinueParsing)
    def _on_continue_parsing(
        self, message: caller_messages.ContinueParsing
    ) -> None:
        self._is_parsing_postponed = False
        self._process_events()

    @task.handles(memory_messages.Release)
    def _on_release(self, message: memory_messages.Release) -> None:
        """Close to free memory, unless it was freed in the meantime."""
        held_bytes = self._find_held_bytes()
        if held_bytes < message.held_bytes / 2:
            self._holding.report_now(held_bytes, self._find_moved_bytes())
        elif held_bytes:
            self._abort()
        else:
            self._stop()

    @task.handles(caller_messages.CloseIfIdle)
    def _on_close_if_idle(self, message: caller_messages.CloseIfIdle) -> None:
        is_idle = not self._exchanges and not self._lingering
        if is_idle and self._channel.is_open:
            self._stop()

    @task.handles(sockets.EofReceived)
    def _on_eof_received(self, message: sockets.EofReceived) -> None:
        if self._lingering or not self._exchanges:
            self._stop()
            return
        self._draining = True
        self._accepts_input = False
        first, *pipelined = self._exchanges
        for caller_exchange in pipelined:
            self._cancel_and_refuse(
                caller_exchange,
                errors.CallerDisconnected,
                "caller closed the connection for writing",
            )
        if not first.response_started:
            self._cancel_and_refuse(
                first,
                errors.CallerDisconnected,
                "caller closed the connection for writing",
            )
        elif not first.body_complete:
            self._abort()

    @task.handles(sockets.SocketClosed)
    def _on_socket_closed(self, message: sockets.SocketClosed) -> None:
        self._channel.connection_lost()
        self._stop()

    @task.handles(sockets.WritePaused)
    def _on_write_paused(self, message: sockets.WritePaused) -> None:
        """Do nothing: credit is withheld while the write buffer is full."""

    @task.handles(sockets.WriteResumed)
    def _on_write_resumed(self, message: sockets.WriteResumed) -> None:
        if self._exchanges:
            self._return_credit(self._exchanges[0], 0)
        elif self._timer.kind is timeouts.TimeoutKind.WRITE:
            self._start_idle_or_write_timeout()
        if not self._lingering:
            self._process_events()

    @task.handles(caller_messages.TimerFired)
    def _on_timer_fired(self, message: caller_messages.TimerFired) -> None:
        if not self.is_stopping and self._timer.check_expired(self.now):
            TIMEOUT_HANDLERS.get(self._timer.kind)(self)

    @task.handles(caller_messages.DisableConnectionKeepAlive)
    def _on_disable_connection_keep_alive(
        self, message: caller_messages.DisableConnectionKeepAlive
    ) -> None:
        self._draining = True

    @task.handles(caller_messages.DrainConnection)
    def _on_drain_connection(
        self, message: caller_messages.DrainConnection
    ) -> None:
        self._draining = True
        if self._exchanges or self._lingering:
            return
        if self._timer.kind is timeouts.TimeoutKind.IDLE:
            self._stop()

    @task.handles(runtime_messages.TargetAttached)
    def _on_target_attached(
        self, message: runtime_messages.TargetAttached
    ) -> None:
        caller_exchange = self._find_exchange(message.exchange)
        if caller_exchange is None:
            return
        if caller_exchange.body_discarded:
            self._cancel_and_refuse(
                caller_exchange,
                errors.Overloaded,
                "request body was discarded",
            )
            return
        caller_exchange.target = message.target
        caller_exchange.unacknowledged_bytes = 0
        if caller_exchange.http.they_are_waiting_for_100_continue:
            event = h11.InformationalResponse(status_code=100, headers=[])
            self._write(caller_exchange, event)
        for data in caller_exchange.buffered_chunks:
            self._forward_body(caller_exchange, data)
        caller_exchange.discard_unreplayable_body()
        if caller_exchange.body_complete and caller_exchange.has_body:
            message.target.post(messages.BodyEnd(exchange=caller_exchange.id))

    @task.handles(messages.Credit)
    def _on_credit(self, message: messages.Credit) -> None:
        caller_exchange = self._find_exchange(message.exchange)
        if caller_exchange is None:
            return
        caller_exchange.unacknowledged_bytes -= message.size
        self._forwarded_bytes += message.size

    @task.handles(messages.ResponseHead)
    def _on_response_head(self, message: messages.ResponseHead) -> None:
        self._on_response_part(message)

    @task.handles(messages.ResponseChunk)
    def _on_response_chunk(self, message: messages.ResponseChunk) -> None:
        self._on_response_part(message)

    @task.handles(messages.ResponseEnd)
    def _on_response_end(self, message: messages.ResponseEnd) -> None:
        self._on_response_part(message)

    @task.handles(messages.ResponseFailed)
    def _on_response_failed(self, message: messages.ResponseFailed) -> None:
        caller_exchange = self._find_exchange(message.exchange)
        if caller_exchange is not None:
            self._refuse(caller_exchange, message.error)

    def on_messages_handled(self) -> None:
        """Report what is held, and read no more while it is too much."""
        if self._channel.is_open:
            held_bytes = self._find_held_bytes()
            self._holding.report(held_bytes, self._find_moved_bytes())
            self._channel.set_reading_paused(
                self._must_pause_reading(held_bytes)
            )

    def on_failure(self) -> None:
        """Reset the connection.

        An orderly close would make an incomplete response look complete.
        """
        self._abort()

    def on_end(self) -> None:
        """Close the socket and notify the listener."""
        self._timer.cancel()
        if any(
            caller_exchange.response_started
            for caller_exchange in self._exchanges
        ):
            self._channel.abort()
        self._channel.close()
        self._holding.end()
        self._listener.post(caller_messages.ConnectionEnded(inbox=self.inbox))

    def _find_exchange(self, exchange_id: ids.ExchangeId) -> Exchange | None:
        for caller_exchange in self._exchanges:
            if caller_exchange.id == exchange_id:
                return caller_exchange
        return None

    def _append_exchange(self) -> Exchange:
        """Append an exchange for the request that is received next."""
        new_exchange = Exchange(
            config=self._config,
            http=self._channel.http,
            id=self._next_exchange_id(),
            started_at=self.now,
        )
        self._exchanges.append(new_exchange)
        return new_exchange

    def _may_parse(self) -> bool:
        """Return whether more of the received bytes may be parsed."""
        if self._incoming_exchange is not None:
            return True
        if (
            not self._accepts_input
            or len(self._exchanges) >= MAX_PIPELINED_REQUEST_COUNT
        ):
            return False
        if self._channel.is_write_buffer_full:
            return False
        if not self._exchanges:
            return True
        if self._find_held_bytes() > self._share_bytes:
            return False
        return not self._draining and self._exchanges[-1].is_pipelinable

    def _process_events(self) -> None:
        if self._is_parsing_postponed:
            return
        for _ in range(MAX_EVENTS_PER_TURN):
            if not self._process_event():
                break
        else:
            self._is_parsing_postponed = True
            self.post_later(0.0, caller_messages.ContinueParsing())

    def _process_event(self) -> bool:
        """Process the next event; return whether to go on."""
        if not self._channel.is_open or self._lingering:
            return False
        if not self._may_parse():
            return False
        try:
            event = self._channel.next_event()
        except errors.RouterError as error:
            self._refuse_incoming(error)
            return False
        except h11.RemoteProtocolError as error:
            outcome = self._cancel_incoming()
            self._refuse_incoming(http.protocol_error(error, outcome))
            return False
        if event is h11.NEED_DATA or event is h11.PAUSED:
            self._start_head_timeout()
            return False
        self._on_http_event(event)
        return True

    def _on_http_event(self, event: h11.Event) -> None:
        if isinstance(event, h11.Request):
            self._on_request(event)
        elif (
            isinstance(event, h11.Data) and self._incoming_exchange is not None
        ):
            self._on_body_data(self._incoming_exchange, bytes(event.data))
        elif isinstance(event, h11.EndOfMessage) and self._incoming_exchange:
            self._on_body_end(self._incoming_exchange)
        elif isinstance(event, h11.ConnectionClosed):
            self._accepts_input = False

    def _start_head_timeout(self) -> None:
        is_idle = self._timer.kind is timeouts.TimeoutKind.IDLE
        if is_idle and self._channel.has_partial_head:
            self._start_timeout(
                timeouts.TimeoutKind.HEAD, self._config.read_timeout
            )

    def _on_request(self, event: h11.Request) -> None:
        caller_exchange = self._append_exchange()
        self._incoming_exchange = caller_exchange
        caller_exchange.method = event.method
        caller_exchange.head_size = len(event.target) + sum(
            len(name) + len(value) + exchange.HEADER_BYTES
            for name, value in event.headers
        )
        request_id = ids.RequestId(secrets.token_hex(REQUEST_ID_BYTES))
        try:
            caller_exchange.head = http.parse_request_head(
                event,
                self._header_names,
                request_id,
                caller_exchange.started_at,
                self._config.deadline,
            )
            if caller_exchange.exceeds_body_limit:
                raise errors.BodyTooLarge(
                    "request body exceeds the size limit"
                )
        except errors.RouterError as error:
            self._refuse_incoming(error)
            return
        if len(self._exchanges) == 1:
            self._start_timeout(
                timeouts.TimeoutKind.BODY, self._config.read_timeout
            )
        if (
            caller_exchange is self._exchanges[0]
            or caller_exchange.is_pipelinable
        ):
            self._route(caller_exchange)

    def _route(self, caller_exchange: Exchange) -> None:
        if (
            caller_exchange.routed
            or caller_exchange.head is None
            or caller_exchange.deferred_refusal
        ):
            return
        try:
            self._router.post(
                runtime_messages.RequestReceived(
                    exchange=caller_exchange.id,
                    head=caller_exchange.head,
                    origin=self.inbox,
                )
            )
        except errors.RouterError as error:
            self._refuse(caller_exchange, error)
            return
        caller_exchange.routed = True

    def _on_body_data(self, caller_exchange: Exchange, data: bytes) -> None:
        caller_exchange.add_chunk(data)
        if caller_exchange.exceeds_body_limit:
            self._cancel_and_refuse(
                caller_exchange,
                errors.BodyTooLarge,
                "request body exceeds the size limit",
            )
            return
        if caller_exchange.target is not None:
            self._forward_body(caller_exchange, data)
        if caller_exchange is self._exchanges[0]:
            self._start_timeout(
                timeouts.TimeoutKind.BODY, self._config.read_timeout
            )

    def _on_body_end(self, caller_exchange: Exchange) -> None:
        caller_exchange.body_complete = True
        self._incoming_exchange = None
        if caller_exchange is self._exchanges[0]:
            self._start_response_timeout(caller_exchange)
        if caller_exchange.target is not None and caller_exchange.has_body:
            caller_exchange.target.post(
                messages.BodyEnd(exchange=caller_exchange.id)
            )
        if caller_exchange.http.their_state is h11.DONE:
            self._channel.start_next_request()
        else:
            self._accepts_input = False

    def _start_response_timeout(self, caller_exchange: Exchange) -> None:
        if caller_exchange.head is not None:
            remaining = caller_exchange.head.deadline - self.now
            self._start_timeout(
                timeouts.TimeoutKind.RESPONSE,
                remaining + DEADLINE_GRACE_SECONDS,
            )

    def _forward_body(self, caller_exchange: Exchange, data: bytes) -> None:
        assert caller_exchange.target is not None
        caller_exchange.unacknowledged_bytes += len(data)
        caller_exchange.target.post(
            messages.BodyChunk(exchange=caller_exchange.id, data=data)
        )

    def _must_pause_reading(self, held_bytes: int) -> bool:
        """Return whether no more is to be read while so much is held.

        While lingering, all that arrives is discarded.
        """
        if self._lingering or not self._accepts_input:
            return False
        if self._is_parsing_postponed:
            return True
        if held_bytes > self._share_bytes:
            return True
        if self._incoming_exchange is not None:
            return self._incoming_exchange.is_window_full
        return self._channel.unparsed_bytes > self._config.head_bytes

    def _find_held_bytes(self) -> int:
        """Return the memory that is held for this connection."""
        return (
            self._channel.unparsed_bytes
            + self._channel.unsent_bytes
            + sum(
                caller_exchange.held_bytes
                for caller_exchange in self._exchanges
            )
        )

    def _find_moved_bytes(self) -> int:
        """Return how much the caller and upstreams have taken so far."""
        return self._channel.sent_bytes + self._forwarded_bytes

    def _on_response_part(
        self, message: runtime_messages.ResponsePart
    ) -> None:
        caller_exchange = self._find_exchange(message.exchange)
        if caller_exchange is None:
            return
        if caller_exchange is not self._exchanges[0]:
            caller_exchange.defer(message)
            return
        self._forward_response(caller_exchange, message)

    def _forward_response(
        self, caller_exchange: Exchange, message: runtime_messages.ResponsePart
    ) -> None:
        if isinstance(message, messages.ResponseHead):
            self._write_response_head(caller_exchange, message)
        elif isinstance(message, messages.ResponseChunk):
            self._write(caller_exchange, h11.Data(data=message.data))
            self._return_credit(caller_exchange, len(message.data))
        else:
            self._write(caller_exchange, h11.EndOfMessage())
            caller_exchange.response_complete = True
            self._finish_first_exchange()

    def _write_response_head(
        self, caller_exchange: Exchange, message: messages.ResponseHead
    ) -> None:
        caller_exchange.response_started = True
        caller_exchange.status = message.status
        headers = [(header.name, header.value) for header in message.headers]
        if self._must_close(caller_exchange):
            headers.append((b"connection", b"close"))
        response = h11.Response(
            status_code=message.status, headers=headers, reason=message.reason
        )
        self._write(caller_exchange, response)

    def _return_credit(self, caller_exchange: Exchange, size: int) -> None:
        caller_exchange.pending_credit += size
        if (
            self._channel.is_write_buffer_full
            or caller_exchange.pending_credit == 0
        ):
            return
        if caller_exchange.target is not None:
            caller_exchange.target.post(
                messages.Credit(
                    exchange=caller_exchange.id,
                    size=caller_exchange.pending_credit,
                )
            )
        caller_exchange.pending_credit = 0

    def _write(self, caller_exchange: Exchange, event: h11.Event) -> None:
        self._channel.send(caller_exchange.http, event)
        if not self.inbox:
            self._channel.flush()

    def _must_close(self, caller_exchange: Exchange) -> bool:
        """Return whether the connection closes after this response."""
        if not caller_exchange.body_complete:
            return True
        is_last = caller_exchange is self._exchanges[-1]
        return is_last and (self._draining or not self._accepts_input)

    @TIMEOUT_HANDLERS.register(timeouts.TimeoutKind.IDLE)
    def _on_idle_timeout(self) -> None:
        """Close without lingering.

        A request that the caller sends at the same moment is answered by
        a TCP reset. While lingering it would be discarded silently.
        """
        self._stop()

    @TIMEOUT_HANDLERS.register(timeouts.TimeoutKind.WRITE)
    def _on_write_timeout(self) -> None:
        """Reset the connection if its caller takes nothing any more."""
        if self._channel.sent_bytes == self._sent_bytes_at_timeout:
            self._abort()
            return
        self._start_idle_or_write_timeout()

    @TIMEOUT_HANDLERS.register(timeouts.TimeoutKind.LINGER)
    def _on_linger_timeout(self) -> None:
        self._abort()

    @TIMEOUT_HANDLERS.register(timeouts.TimeoutKind.HEAD)
    def _on_head_timeout(self) -> None:
        self._refuse_incoming(
            errors.RequestTimeout(
                "request head not complete within the read timeout"
            )
        )

    @TIMEOUT_HANDLERS.register(timeouts.TimeoutKind.BODY)
    def _on_body_timeout(self) -> None:
        caller_exchange = self._exchanges[0]
        if caller_exchange.is_window_full:
            self._start_timeout(
                timeouts.TimeoutKind.BODY, self._config.read_timeout
            )
            return
        text = "no request body data within the read timeout"
        self._cancel_and_refuse(caller_exchange, errors.RequestTimeout, text)

    @TIMEOUT_HANDLERS.register(timeouts.TimeoutKind.RESPONSE)
    def _on_response_timeout(self) -> None:
        caller_exchange = self._exchanges[0]
        text = "no complete response within the deadline"
        self._cancel_and_refuse(caller_exchange, errors.DeadlineExceeded, text)

    def _cancel_incoming(self) -> states.Outcome:
        """Cancel the request being received and return its outcome."""
        if self._incoming_exchange is None:
            return states.Outcome.NOT_RUN
        outcome = self._incoming_exchange.outcome
        self._cancel(self._incoming_exchange)
        return outcome

    def _refuse_incoming(self, error: errors.RouterError) -> None:
        """Refuse the request being received and stop parsing."""
        caller_exchange = self._incoming_exchange or self._append_exchange()
        self._incoming_exchange = None
        self._accepts_input = False
        self._refuse(caller_exchange, error)

    def _cancel_and_refuse(
        self,
        caller_exchange: Exchange,
        error_type: type[errors.RouterError],
        text: str,
    ) -> None:
        """Cancel the exchange and refuse its request with an error.

        A complete response that waits for earlier ones is still sent.
        """
        if caller_exchange.is_response_ready:
            return
        outcome = caller_exchange.outcome
        self._cancel(caller_exchange)
        self._refuse(caller_exchange, error_type(text, outcome=outcome))

    def _refuse(
        self, caller_exchange: Exchange, error: errors.RouterError
    ) -> None:
        if caller_exchange is not self._exchanges[0]:
            caller_exchange.defer_refusal(error)
            return
        if caller_exchange.response_started:
            self._abort()
            return
        if caller_exchange is self._incoming_exchange:
            self._incoming_exchange = None
            self._accepts_input = False
        caller_exchange.error_code = error.code
        caller_exchange.status = http.error_status(error)
        body = http.error_body(error, caller_exchange.request_id)
        close = self._must_close(caller_exchange)
        self._write(
            caller_exchange, http.error_response(error, len(body), close)
        )
        if caller_exchange.method != http.METHOD_HEAD:
            self._write(caller_exchange, h11.Data(data=body))
        self._write(caller_exchange, h11.EndOfMessage())
        caller_exchange.response_complete = True
        self._finish_first_exchange()

    def _finish_first_exchange(self) -> None:
        """End the first exchange and continue with the next one."""
        caller_exchange = self._exchanges[0]
        must_close = caller_exchange.http.our_state is not h11.DONE
        self._end_exchange(caller_exchange)
        self._exchanges.popleft()
        if must_close:
            self._start_lingering()
            return
        if self._exchanges:
            self._serve_next_exchange()
            return
        self._channel.flush()
        if self._draining or not self._accepts_input:
            self._start_lingering()
            return
        self._start_idle_or_write_timeout()
        self._process_events()

    def _start_idle_or_write_timeout(self) -> None:
        if self._channel.is_write_buffer_full:
            self._sent_bytes_at_timeout = self._channel.sent_bytes
            self._start_timeout(
                timeouts.TimeoutKind.WRITE, self._config.write_timeout
            )
            return
        self._start_timeout(
            timeouts.TimeoutKind.IDLE, self._config.idle_timeout
        )

    def _serve_next_exchange(self) -> None:
        """Write the deferred response of the exchange that is now first."""
        caller_exchange = self._exchanges[0]
        self._route(caller_exchange)
        if caller_exchange.body_complete:
            self._start_response_timeout(caller_exchange)
        else:
            self._start_timeout(
                timeouts.TimeoutKind.BODY, self._config.read_timeout
            )
        for message in caller_exchange.take_deferred():
            if self._exchanges and self._exchanges[0] is caller_exchange:
                self._forward_response(caller_exchange, message)
        if (
            caller_exchange.deferred_refusal is not None
            and not caller_exchange.response_complete
        ):
            self._refuse(caller_exchange, caller_exchange.deferred_refusal)
        elif self._exchanges and self._exchanges[0] is caller_exchange:
            self._process_events()

    def _end_exchange(self, caller_exchange: Exchange) -> None:
        self._cancel(caller_exchange)
        self._access_log.record(caller_exchange, self.now)

    def _cancel(self, caller_exchange: Exchange) -> None:
        if not caller_exchange.routed:
            return
        caller_exchange.routed = False
        caller_exchange.target = None
        self._router.post(
            runtime_messages.ExchangeEnded(
                exchange=caller_exchange.id,
                cancelled=not caller_exchange.response_complete,
            )
        )

    def _start_timeout(
        self, kind: timeouts.TimeoutKind, seconds: float
    ) -> None:
        self._timer.set_timeout(kind, self.now, seconds)

    def _start_lingering(self) -> None:
        """Half-close the connection and discard what is received.

        Closing the socket with unread data would send a reset, on which
        the caller may lose a response that it has not read yet.
        """
        if not self._channel.is_open:
            self._stop()
            return
        self._lingering = True
        self._end_all_exchanges()
        self._channel.half_close()
        self._start_timeout(
            timeouts.TimeoutKind.LINGER, self._config.linger_timeout
        )

    def _end_all_exchanges(self) -> None:
        while self._exchanges:
            self._end_exchange(self._exchanges.popleft())

    def _abort(self) -> None:
        self._channel.abort()
        self._stop()

    def _stop(self) -> None:
        self._end_all_exchanges()
        self.stop()
