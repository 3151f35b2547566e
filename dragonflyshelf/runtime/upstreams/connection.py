"""Task that owns one HTTP/1.1 connection to an upstream."""

import asyncio
import collections
import dataclasses
import re
from typing import Final

import h11

from dragonflyshelf.codec import http
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core import settings
from dragonflyshelf.core import states
from dragonflyshelf.core.upstreams import messages as upstream_events
from dragonflyshelf.core.upstreams import objects as upstreams
from dragonflyshelf.core.upstreams import state
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import messages as runtime_messages
from dragonflyshelf.runtime import sockets
from dragonflyshelf.runtime import task
from dragonflyshelf.runtime.upstreams import withheld


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionIdle:
    """The connection is ready for the next exchange."""

    connection: "UpstreamConnectionTask"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionEnded:
    """The connection is closed."""

    connection: "UpstreamConnectionTask"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DeadlinePassed:
    """The deadline of an exchange has passed, plus the grace period."""

    exchange: ids.ExchangeId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WithheldBodyOverdue:
    """The body of a withheld response has not ended in time."""

    exchange: ids.ExchangeId


MAX_INFORMATIONAL_RESPONSE_COUNT: Final = 8
"""Informational responses to a request after which it fails."""

WITHHELD_BODY_SECONDS: Final = 0.3
"""Time from the head after which a withheld body is not awaited."""

DEADLINE_GRACE_SECONDS: Final = 0.1
"""Time after a deadline within which the router should cancel.

After that, the connection fails the attempt itself.
"""

SUCCESS_STATUSES: Final = range(200, 300)
"""Statuses whose responses must be signed if upstreams sign."""

KEEP_ALIVE_TIMEOUT_PATTERN: Final = re.compile(rb"timeout=(\d{1,4})(?!\d)")
"""Parameter of the ``Keep-Alive`` header, in seconds."""

MAX_CARRIED_ID_COUNT: Final = 64
"""Latest requests of a connection whose ids are remembered."""


class UpstreamConnectionTask(task.Task):
    """Processes one exchange at a time on one connection.

    Credit for written body chunks is returned to the origin unless the
    write buffer is full. Reading from the upstream pauses while a window
    of response bytes is unacknowledged.
    """

    def __init__(
        self,
        config: settings.Settings,
        header_names: http.HeaderNames,
        upstream_id: ids.UpstreamId,
        pool: inbox.Inbox,
        router: inbox.Inbox,
    ) -> None:
        """Create the task; the socket arrives as a message."""
        super().__init__(f"upstream-{upstream_id}")
        self._header_names = header_names
        self._upstream_id = upstream_id
        self._window_bytes = config.requests.window_bytes
        self._pool = pool
        self._router = router
        self._transport: asyncio.Transport | None = None
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=config.requests.head_bytes
        )
        self._attempt: runtime_messages.StartAttempt | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._withheld_timer: asyncio.TimerHandle | None = None
        self.keep_alive_seconds = config.upstreams.idle_timeout
        """Time for which the upstream keeps an idle connection open."""
        self.has_completed_exchange = False
        """Whether an exchange has completed on this connection."""
        self._carried_ids: collections.deque[ids.RequestId] = (
            collections.deque(maxlen=MAX_CARRIED_ID_COUNT)
        )
        self._reset_response_state()

    def _reset_response_state(self) -> None:
        self._request_sent = False
        self._has_received_data = False
        self._is_turned_away = False
        self._response_started = False
        self._withheld: withheld.WithheldResponse | None = None
        self._is_body_complete = False
        self._informational_count = 0
        self._status = 0
        self._load_report: upstreams.LoadReport | None = None
        self._unacknowledged_bytes = 0
        self._pending_credit = 0

    def has_carried(self, request_id: ids.RequestId) -> bool:
        """Return whether a request with this id went over the connection.

        A late copy of its response could not be told from the response to
        another request with the same id.
        """
        return request_id in self._carried_ids

    @task.handles(sockets.SocketOpened)
    def _on_socket_opened(self, message: sockets.SocketOpened) -> None:
        self._transport = message.transport
        if self._attempt is not None:
            self._send_head()

    @task.handles(runtime_messages.StartAttempt)
    def _on_start_attempt(
        self, message: runtime_messages.StartAttempt
    ) -> None:
        self._attempt = message
        remaining = message.deadline - self.now
        self._timer = self.post_later(
            max(remaining, 0) + DEADLINE_GRACE_SECONDS,
            DeadlinePassed(exchange=message.exchange),
        )
        if self._transport is not None:
            self._send_head()

    @task.handles(messages.BodyChunk)
    def _on_body_chunk(self, message: messages.BodyChunk) -> None:
        if not self._is_current(message.exchange):
            return
        self._write(h11.Data(data=message.data))
        self._return_credit(len(message.data))

    @task.handles(messages.BodyEnd)
    def _on_body_end(self, message: messages.BodyEnd) -> None:
        if not self._is_current(message.exchange):
            return
        self._write(h11.EndOfMessage())
        self._reuse_or_close()

    @task.handles(messages.Credit)
    def _on_credit(self, message: messages.Credit) -> None:
        if not self._is_current(message.exchange):
            return
        self._unacknowledged_bytes -= message.size
        if self._unacknowledged_bytes < self._window_bytes and self._transport:
            self._transport.resume_reading()

    @task.handles(messages.Cancel)
    def _on_cancel(self, message: messages.Cancel) -> None:
        if not self._is_current(message.exchange):
            return
        self._attempt = None
        self._close()

    @task.handles(DeadlinePassed)
    def _on_deadline_passed(self, message: DeadlinePassed) -> None:
        if not self._is_current(message.exchange):
            return
        self._fail_attempt(
            errors.DeadlineExceeded(
                "deadline passed before the response ended",
                step=states.Step.RECEIVE,
                peer=self._upstream_id,
                outcome=self._outcome(),
            )
        )

    @task.handles(WithheldBodyOverdue)
    def _on_withheld_body_overdue(self, message: WithheldBodyOverdue) -> None:
        if self._attempt is not None and self._is_current(message.exchange):
            self._on_response_end(self._attempt)

    @task.handles(sockets.DataReceived)
    def _on_data_received(self, message: sockets.DataReceived) -> None:
        if self._attempt is None:
            self._close()
            return
        self._has_received_data = True
        self._http.receive_data(message.data)
        self._process_events()

    @task.handles(sockets.EofReceived)
    def _on_eof_received(self, message: sockets.EofReceived) -> None:
        self._http.receive_data(b"")
        self._process_events()
        if self._attempt is None:
            self._close()
            return
        self._fail_with_upstream_error(
            "upstream closed the connection during the exchange"
        )

    @task.handles(sockets.SocketClosed)
    def _on_socket_closed(self, message: sockets.SocketClosed) -> None:
        self._transport = None
        if self._attempt is not None:
            self._is_turned_away = (
                bool(message.error)
                and self._request_sent
                and not self._has_received_data
            )
            self._fail_with_upstream_error(f"connection lost: {message.error}")
        self._close()

    @task.handles(sockets.WritePaused)
    def _on_write_paused(self, message: sockets.WritePaused) -> None:
        """Do nothing: credit is withheld while the write buffer is full."""

    @task.handles(sockets.WriteResumed)
    def _on_write_resumed(self, message: sockets.WriteResumed) -> None:
        self._return_credit(0)

    def on_failure(self) -> None:
        """Report the attempt as failed and close the connection."""
        if self._attempt is not None:
            self._fail_with_upstream_error(
                "internal error in the connection task"
            )
        self._close()

    def on_end(self) -> None:
        """Reset the socket and notify the pool."""
        self._cancel_timers()
        if self._transport is not None:
            sockets.reset(self._transport)
            self._transport = None
        self._pool.post(ConnectionEnded(connection=self))

    def _is_current(self, exchange: ids.ExchangeId) -> bool:
        attempt = self._attempt
        return attempt is not None and attempt.exchange == exchange

    def _outcome(self) -> states.Outcome:
        """Return whether the request was executed, if the attempt ends now."""
        if self._withheld is not None and self._withheld.is_not_run:
            return states.Outcome.NOT_RUN
        if self._request_sent:
            return states.Outcome.UNKNOWN
        return states.Outcome.NOT_RUN

    def _send_head(self) -> None:
        attempt = self._attempt
        assert attempt is not None
        attempt.origin.post(
            runtime_messages.TargetAttached(
                exchange=attempt.exchange, target=self.inbox
            )
        )
        headers = http.upstream_headers(
            self._header_names,
            attempt.head,
            attempt.registration.id,
            attempt.workspace,
            attempt.deadline - self.now,
        )
        self._request_sent = True
        self._carried_ids.append(attempt.head.request_id)
        self._write(
            h11.Request(
                method=attempt.head.method,
                target=attempt.head.target,
                headers=headers,
            )
        )
        if not attempt.head.has_body:
            self._write(h11.EndOfMessage())

    def _process_events(self) -> None:
        while self._attempt is not None:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._fail_with_upstream_error(
                    f"response is not valid HTTP: {error}"
                )
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            self._on_http_event(self._attempt, event)

    def _on_http_event(
        self, attempt: runtime_messages.StartAttempt, event: h11.Event
    ) -> None:
        if isinstance(event, h11.Response):
            self._on_response(attempt, event)
        elif isinstance(event, h11.InformationalResponse):
            self._on_informational_response()
        elif isinstance(event, h11.Data):
            self._on_data(attempt, bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._is_body_complete = True
            self._on_response_end(attempt)
        elif isinstance(event, h11.ConnectionClosed):
            self._fail_with_upstream_error(
                "upstream closed the connection during the exchange"
            )

    def _on_informational_response(self) -> None:
        self._informational_count += 1
        if self._informational_count > MAX_INFORMATIONAL_RESPONSE_COUNT:
            self._fail_with_upstream_error(
                "upstream sent too many informational responses"
            )

    def _on_data(
        self, attempt: runtime_messages.StartAttempt, data: bytes
    ) -> None:
        if self._withheld is None:
            self._on_response_data(attempt, data)
            return
        self._withheld.add_chunk(data)
        if self._withheld.is_too_long:
            self._on_response_end(attempt)

    def _on_response(
        self, attempt: runtime_messages.StartAttempt, event: h11.Response
    ) -> None:
        values_by_name = dict(event.headers)
        response_error = self._find_response_error(
            attempt, event, values_by_name
        )
        if response_error:
            self._fail_with_upstream_error(response_error)
            return
        self._report_notice(attempt, event.status_code, values_by_name)
        self._status = event.status_code
        self._load_report = http.parse_load_report(
            values_by_name.get(self._header_names.load, b"")
        )
        self._update_keep_alive(values_by_name.get(b"keep-alive", b""))
        reason = withheld.find_reason(
            self._header_names,
            event,
            attempt.withhold_server_errors,
            attempt.is_idempotent,
        )
        head = self._make_response_head(attempt, event)
        if reason is not None:
            self._withheld = withheld.WithheldResponse(
                reason, self._status, head
            )
            self._withheld_timer = self.post_later(
                WITHHELD_BODY_SECONDS,
                WithheldBodyOverdue(exchange=attempt.exchange),
            )
            return
        self._response_started = True
        attempt.origin.post(head)

    def _make_response_head(
        self, attempt: runtime_messages.StartAttempt, event: h11.Response
    ) -> messages.ResponseHead:
        return messages.ResponseHead(
            exchange=attempt.exchange,
            status=event.status_code,
            reason=bytes(event.reason),
            headers=http.response_headers(
                self._header_names, list(event.headers)
            ),
        )

    def _report_notice(
        self,
        attempt: runtime_messages.StartAttempt,
        status: int,
        values_by_name: dict[bytes, bytes],
    ) -> None:
        """Report that the upstream leaves or wants nothing for a time."""
        is_leaving = http.is_leaving(self._header_names, values_by_name)
        backoff_seconds = http.parse_retry_after(status, values_by_name)
        if is_leaving or backoff_seconds:
            self._router.post(
                upstream_events.UpstreamNotice(
                    incarnation=attempt.registration.incarnation,
                    is_leaving=is_leaving,
                    backoff_seconds=backoff_seconds,
                )
            )

    def _find_response_error(
        self,
        attempt: runtime_messages.StartAttempt,
        event: h11.Response,
        values_by_name: dict[bytes, bytes],
    ) -> str:
        """Return why the response is not valid for the request, or ``""``."""
        echoed_request_id = values_by_name.get(self._header_names.request_id)
        request_id = attempt.head.request_id.encode()
        if echoed_request_id is not None and echoed_request_id != request_id:
            return "response has the id of another request"
        if b"content-encoding" in values_by_name:
            return "response has a content encoding that was not requested"
        if echoed_request_id is None and self._needs_echo(event):
            return "response lacks the request id"
        is_success = event.status_code in SUCCESS_STATUSES
        signature = self._header_names.signature
        if signature and is_success and signature not in values_by_name:
            return "response lacks its signature"
        return ""

    def _needs_echo(self, event: h11.Response) -> bool:
        """Return whether the response has to show to which request it is.

        On a connection that was used before it may be a late copy of an
        earlier response. Upstreams that sign always echo the request id.
        """
        if self._header_names.signature:
            is_success = event.status_code in SUCCESS_STATUSES
            return self.has_completed_exchange or is_success
        return self.has_completed_exchange and http.is_not_run_response(
            self._header_names, event
        )

    def _update_keep_alive(self, value: bytes) -> None:
        match = KEEP_ALIVE_TIMEOUT_PATTERN.search(value)
        if match is not None:
            self.keep_alive_seconds = float(match.group(1))

    def _on_response_data(
        self, attempt: runtime_messages.StartAttempt, data: bytes
    ) -> None:
        self._unacknowledged_bytes += len(data)
        attempt.origin.post(
            messages.ResponseChunk(exchange=attempt.exchange, data=data)
        )
        if (
            self._unacknowledged_bytes >= self._window_bytes
            and self._transport
        ):
            self._transport.pause_reading()

    def _on_response_end(self, attempt: runtime_messages.StartAttempt) -> None:
        """Report the response, whose body has ended or is withheld."""
        error: errors.RouterError | None = None
        result = state.AttemptResult.RESPONDED
        parts: tuple[runtime_messages.ResponsePart, ...] = ()
        if self._withheld is None:
            attempt.origin.post(
                messages.ResponseEnd(exchange=attempt.exchange)
            )
            if self._status >= withheld.MIN_SERVER_ERROR_STATUS:
                result = state.AttemptResult.FAILED
        else:
            result = self._withheld.result
            error = self._withheld.make_error(self._upstream_id)
            if self._is_body_complete:
                parts = self._withheld.complete_parts()
        self._report_attempt_end(result, error, parts)
        self._attempt = None
        self._reuse_or_close()

    def _return_credit(self, size: int) -> None:
        self._pending_credit += size
        attempt = self._attempt
        if not self._pending_credit or attempt is None:
            return
        if sockets.is_write_buffer_full(self._transport):
            return
        attempt.origin.post(
            messages.Credit(
                exchange=attempt.exchange, size=self._pending_credit
            )
        )
        self._pending_credit = 0

    def _write(self, event: h11.Event) -> None:
        try:
            data = self._http.send(event)
        except h11.LocalProtocolError as error:
            self._fail_with_upstream_error(
                f"request cannot be forwarded: {error}"
            )
            return
        if data and self._transport is not None:
            self._transport.write(data)

    def _reuse_or_close(self) -> None:
        if self._attempt is not None:
            return
        if self._http.our_state is not h11.DONE:
            self._close()
            return
        if self._http.their_state is not h11.DONE or not self._transport:
            self._close()
            return
        if self._http.trailing_data[0]:
            self._close()
            return
        self._http.start_next_cycle()
        self._reset_response_state()
        self.has_completed_exchange = True
        self._transport.resume_reading()
        self._pool.post(ConnectionIdle(connection=self))

    def _fail_with_upstream_error(self, text: str) -> None:
        self._fail_attempt(
            errors.UpstreamFailed(
                text, peer=self._upstream_id, outcome=self._outcome()
            )
        )

    def _fail_attempt(self, error: errors.RouterError) -> None:
        attempt = self._attempt
        if attempt is None:
            return
        if self._response_started:
            attempt.origin.post(
                messages.ResponseFailed(exchange=attempt.exchange, error=error)
            )
        self._report_attempt_end(state.AttemptResult.FAILED, error)
        self._attempt = None
        self._close()

    def _report_attempt_end(
        self,
        result: state.AttemptResult,
        error: errors.RouterError | None,
        withheld_response: tuple[runtime_messages.ResponsePart, ...] = (),
    ) -> None:
        self._cancel_timers()
        attempt = self._attempt
        assert attempt is not None
        self._router.post(
            runtime_messages.AttemptEnded(
                exchange=attempt.exchange,
                upstream=self._upstream_id,
                result=result,
                error=error,
                response_started=self._response_started,
                status=self._status,
                report=self._load_report,
                withheld_response=withheld_response,
                is_turned_away=self._is_turned_away,
            )
        )

    def _cancel_timers(self) -> None:
        for timer in (self._timer, self._withheld_timer):
            if timer is not None:
                timer.cancel()
        self._timer = None
        self._withheld_timer = None

    def _close(self) -> None:
        self.stop()
