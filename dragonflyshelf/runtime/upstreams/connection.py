"""Task that owns one connection to an upstream."""

import asyncio
import dataclasses
import enum
import re
from typing import Final

import h11

from dragonflyshelf.codec import http
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core import settings
from dragonflyshelf.core import states
from dragonflyshelf.core.upstreams import objects as upstreams
from dragonflyshelf.core.upstreams import state
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import messages as runtime_messages
from dragonflyshelf.runtime import sockets
from dragonflyshelf.runtime import task


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionIdle:
    """A connection can take the next exchange."""

    connection: "UpstreamConnectionTask"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionEnded:
    """A connection is closed."""

    connection: "UpstreamConnectionTask"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DeadlinePassed:
    """The deadline of an exchange has passed."""

    exchange: ids.ExchangeId


DEADLINE_GRACE: Final = 0.1
"""Seconds past a deadline for which the router's word is awaited."""


class Held(enum.Enum):
    """Why an answer is reported to the router and not passed on."""

    FAILURE = "failure"
    NOT_HOLDER = "not_holder"
    REFUSAL = "refusal"


STATUS_SERVER_ERROR: Final = 500
STATUS_SUCCESS: Final = range(200, 300)
KEEP_ALIVE_TIMEOUT: Final = re.compile(rb"timeout=(\d+)")

RESULTS_BY_HELD: Final = {
    Held.FAILURE: state.AttemptResult.FAILED,
    Held.NOT_HOLDER: state.AttemptResult.NOT_HOLDER,
    Held.REFUSAL: state.AttemptResult.DECLINED,
}


class UpstreamConnectionTask(task.Task):
    """Runs one exchange at a time on one connection."""

    def __init__(
        self,
        config: settings.Settings,
        names: http.HeaderNames,
        upstream: ids.UpstreamId,
        pool: inbox.Inbox,
        router: inbox.Inbox,
    ) -> None:
        """Create the task; the socket arrives as a message."""
        super().__init__(f"upstream-{upstream}")
        self._names = names
        self._upstream = upstream
        self._window = config.requests.window_bytes
        self._pool = pool
        self._router = router
        self._transport: asyncio.Transport | None = None
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=config.requests.head_bytes
        )
        self._attempt: runtime_messages.StartExchange | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.keep_alive = config.upstreams.idle_timeout
        """Seconds that the upstream keeps an idle connection open."""
        self.is_used = False
        """Whether an exchange has been finished on the connection."""
        self._reset_answer()

    def _reset_answer(self) -> None:
        self._sent = False
        self._answered = False
        self._held: Held | None = None
        self._status = 0
        self._report: upstreams.LoadReport | None = None
        self._unacknowledged = 0
        self._owed_credit = 0

    @task.handles(sockets.SocketOpened)
    def _on_opened(self, message: sockets.SocketOpened) -> None:
        self._transport = message.transport
        if self._attempt is not None:
            self._send_head()

    @task.handles(runtime_messages.StartExchange)
    def _on_start(self, message: runtime_messages.StartExchange) -> None:
        self._attempt = message
        remaining = message.deadline - self.now
        self._timer = self.post_later(
            max(remaining, 0) + DEADLINE_GRACE,
            DeadlinePassed(exchange=message.exchange),
        )
        if self._transport is not None:
            self._send_head()

    @task.handles(messages.BodyChunk)
    def _on_body(self, message: messages.BodyChunk) -> None:
        if not self._runs(message.exchange):
            return
        self._write(h11.Data(data=message.data))
        self._return_credit(len(message.data))

    @task.handles(messages.BodyEnd)
    def _on_body_end(self, message: messages.BodyEnd) -> None:
        if not self._runs(message.exchange):
            return
        self._write(h11.EndOfMessage())
        self._finish_if_done()

    @task.handles(messages.Credit)
    def _on_credit(self, message: messages.Credit) -> None:
        if not self._runs(message.exchange):
            return
        self._unacknowledged -= message.size
        if self._unacknowledged < self._window and self._transport:
            self._transport.resume_reading()

    @task.handles(messages.Cancel)
    def _on_cancel(self, message: messages.Cancel) -> None:
        if not self._runs(message.exchange):
            return
        self._attempt = None
        self._close()

    @task.handles(DeadlinePassed)
    def _on_deadline(self, message: DeadlinePassed) -> None:
        if not self._runs(message.exchange):
            return
        self._fail(
            errors.DeadlineExceeded(
                "deadline passed before the answer",
                step=states.Step.RECEIVE,
                peer=self._upstream,
                outcome=self._outcome(),
            )
        )

    @task.handles(sockets.DataReceived)
    def _on_data(self, message: sockets.DataReceived) -> None:
        if self._attempt is None:
            self._close()
            return
        self._http.receive_data(message.data)
        self._advance()

    @task.handles(sockets.EndReceived)
    def _on_end_received(self, message: sockets.EndReceived) -> None:
        self._http.receive_data(b"")
        self._advance()
        if self._attempt is None:
            self._close()
            return
        self._fail_broken("upstream closed the connection")

    @task.handles(sockets.SocketClosed)
    def _on_closed(self, message: sockets.SocketClosed) -> None:
        self._transport = None
        if self._attempt is not None:
            self._fail_broken(f"connection lost: {message.error}")
        self._close()

    @task.handles(sockets.WritePaused)
    def _on_write_paused(self, message: sockets.WritePaused) -> None:
        """Hold back credit while the transport is full."""

    @task.handles(sockets.WriteResumed)
    def _on_write_resumed(self, message: sockets.WriteResumed) -> None:
        self._return_credit(0)

    def on_failure(self) -> None:
        """Report the attempt as broken and close."""
        if self._attempt is not None:
            self._fail_broken("internal failure")
        self._close()

    def on_end(self) -> None:
        """Close the socket and tell the pool."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            sockets.reset(self._transport)
            self._transport = None
        self._pool.post(ConnectionEnded(connection=self))

    def _runs(self, exchange: ids.ExchangeId) -> bool:
        attempt = self._attempt
        return attempt is not None and attempt.exchange == exchange

    def _outcome(self) -> states.Outcome:
        """Return what is known of the attempt if it ends now."""
        if self._held in (Held.NOT_HOLDER, Held.REFUSAL):
            return states.Outcome.NOT_RUN
        if self._sent:
            return states.Outcome.UNKNOWN
        return states.Outcome.NOT_RUN

    def _send_head(self) -> None:
        attempt = self._attempt
        assert attempt is not None
        attempt.origin.post(
            runtime_messages.Attached(
                exchange=attempt.exchange, target=self.inbox
            )
        )
        headers = http.upstream_headers(
            self._names,
            attempt.head,
            attempt.registration.id,
            attempt.workspace,
            attempt.deadline - self.now,
        )
        self._sent = True
        self._write(
            h11.Request(
                method=attempt.head.method,
                target=attempt.head.target,
                headers=headers,
            )
        )
        if not attempt.head.has_body:
            self._write(h11.EndOfMessage())

    def _advance(self) -> None:
        while self._attempt is not None:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._fail_broken(f"answer is not valid HTTP: {error}")
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            self._on_http_event(self._attempt, event)

    def _on_http_event(
        self, attempt: runtime_messages.StartExchange, event: h11.Event
    ) -> None:
        if isinstance(event, h11.Response):
            self._on_response(attempt, event)
        elif isinstance(event, h11.Data):
            if self._held is None:
                self._on_answer_data(attempt, bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._on_answer_end(attempt)
        elif isinstance(event, h11.ConnectionClosed):
            self._fail_broken("upstream closed the connection")

    def _on_response(
        self, attempt: runtime_messages.StartExchange, event: h11.Response
    ) -> None:
        values_by_name = dict(event.headers)
        problem = self._problem(attempt, event, values_by_name)
        if problem:
            self._fail_broken(problem)
            return
        self._status = event.status_code
        self._report = http.parse_load_report(
            values_by_name.get(self._names.load, b"")
        )
        self._note_keep_alive(values_by_name.get(b"keep-alive", b""))
        self._held = self._reason_to_hold(attempt, event)
        if self._held is not None:
            return
        self._answered = True
        attempt.origin.post(
            messages.ResponseHead(
                exchange=attempt.exchange,
                status=event.status_code,
                reason=bytes(event.reason),
                headers=http.response_headers(
                    self._names, list(event.headers)
                ),
            )
        )

    def _problem(
        self,
        attempt: runtime_messages.StartExchange,
        event: h11.Response,
        values_by_name: dict[bytes, bytes],
    ) -> str:
        """Return why the answer cannot be the one that is due, if so."""
        echoed = values_by_name.get(self._names.request_id)
        sent = attempt.head.request_id.encode()
        if echoed is not None and echoed != sent:
            return "answer is for another request"
        if b"content-encoding" in values_by_name:
            return "answer has an encoding that nobody asked for"
        if not self._names.signature:
            return ""
        if event.status_code not in STATUS_SUCCESS:
            return ""
        if self._names.signature not in values_by_name or echoed is None:
            return "answer lacks signature or request id"
        return ""

    def _note_keep_alive(self, value: bytes) -> None:
        found = KEEP_ALIVE_TIMEOUT.search(value)
        if found is not None:
            self.keep_alive = float(found.group(1))

    def _reason_to_hold(
        self, attempt: runtime_messages.StartExchange, event: h11.Response
    ) -> Held | None:
        if http.is_not_run_response(self._names, event):
            if event.status_code == http.STATUS_MISDIRECTED:
                return Held.NOT_HOLDER
            return Held.REFUSAL
        if event.status_code < STATUS_SERVER_ERROR:
            return None
        return Held.FAILURE if attempt.withhold_server_errors else None

    def _on_answer_data(
        self, attempt: runtime_messages.StartExchange, data: bytes
    ) -> None:
        self._unacknowledged += len(data)
        attempt.origin.post(
            messages.ResponseChunk(exchange=attempt.exchange, data=data)
        )
        if self._unacknowledged >= self._window and self._transport:
            self._transport.pause_reading()

    def _on_answer_end(self, attempt: runtime_messages.StartExchange) -> None:
        error: errors.RouterError | None = None
        result = state.AttemptResult.RESPONDED
        if self._held is None:
            attempt.origin.post(
                messages.ResponseEnd(exchange=attempt.exchange)
            )
            if self._status >= STATUS_SERVER_ERROR:
                result = state.AttemptResult.FAILED
        else:
            result = RESULTS_BY_HELD[self._held]
            error = self._held_error(self._held)
        self._report_end(result, error)
        self._attempt = None
        self._finish_if_done()

    def _held_error(self, held: Held) -> errors.RouterError:
        text = f"the upstream answered {self._status}"
        if held is Held.FAILURE:
            outcome = states.Outcome.UNKNOWN
            return errors.UpstreamServerError(
                text, peer=self._upstream, outcome=outcome
            )
        if held is Held.NOT_HOLDER:
            return errors.ShardKeyNotHeld(text, peer=self._upstream)
        return errors.UpstreamDeclined(text, peer=self._upstream)

    def _return_credit(self, size: int) -> None:
        self._owed_credit += size
        attempt = self._attempt
        if not self._owed_credit or attempt is None:
            return
        if sockets.is_full(self._transport):
            return
        attempt.origin.post(
            messages.Credit(exchange=attempt.exchange, size=self._owed_credit)
        )
        self._owed_credit = 0

    def _write(self, event: h11.Event) -> None:
        try:
            data = self._http.send(event)
        except h11.LocalProtocolError as error:
            self._fail_broken(f"request cannot be sent on: {error}")
            return
        if data and self._transport is not None:
            self._transport.write(data)

    def _finish_if_done(self) -> None:
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
        self._reset_answer()
        self.is_used = True
        self._transport.resume_reading()
        self._pool.post(ConnectionIdle(connection=self))

    def _fail_broken(self, text: str) -> None:
        self._fail(
            errors.UpstreamFailed(
                text, peer=self._upstream, outcome=self._outcome()
            )
        )

    def _fail(self, error: errors.RouterError) -> None:
        attempt = self._attempt
        if attempt is None:
            return
        if self._answered:
            attempt.origin.post(
                messages.ResponseFailed(exchange=attempt.exchange, error=error)
            )
        self._report_end(state.AttemptResult.FAILED, error)
        self._attempt = None
        self._close()

    def _report_end(
        self,
        result: state.AttemptResult,
        error: errors.RouterError | None,
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        attempt = self._attempt
        assert attempt is not None
        self._router.post(
            runtime_messages.AttemptEnded(
                exchange=attempt.exchange,
                upstream=self._upstream,
                result=result,
                error=error,
                response_started=self._answered,
                status=self._status,
                report=self._report,
            )
        )

    def _close(self) -> None:
        self.stop()
