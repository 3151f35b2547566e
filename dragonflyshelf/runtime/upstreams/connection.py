"""Task that owns one connection to an upstream."""

import asyncio
import dataclasses

import h11

from dragonflyshelf.codec import http
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core import settings
from dragonflyshelf.core import states
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


class UpstreamConnectionTask(task.Task):
    """Runs one exchange at a time on one connection."""

    def __init__(
        self,
        config: settings.Settings,
        upstream: ids.UpstreamId,
        pool: inbox.Inbox,
        router: inbox.Inbox,
    ) -> None:
        """Create the task; the socket arrives as a message."""
        super().__init__(f"upstream-{upstream}")
        self._upstream = upstream
        self._window = config.requests.window_bytes
        self._pool = pool
        self._router = router
        self._transport: asyncio.Transport | None = None
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=config.requests.head_bytes
        )
        self._attempt: runtime_messages.StartExchange | None = None
        self._sent = False
        self._answered = False
        self._refused = False
        self._status = 0
        self._unacknowledged = 0
        self._owed_credit = 0
        self._timer: asyncio.TimerHandle | None = None

    @task.handles(sockets.SocketOpened)
    def _on_opened(self, message: sockets.SocketOpened) -> None:
        self._transport = message.transport
        if self._attempt is not None:
            self._send_head()

    @task.handles(runtime_messages.StartExchange)
    def _on_start(self, message: runtime_messages.StartExchange) -> None:
        self._attempt = message
        remaining = message.head.deadline - self.now
        self._timer = self.post_later(
            max(remaining, 0), DeadlinePassed(exchange=message.exchange)
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
        outcome = states.Outcome.NOT_RUN
        if self._sent:
            outcome = states.Outcome.UNKNOWN
        self._fail(
            errors.DeadlineExceeded(
                "deadline passed before the answer",
                step=states.Step.RECEIVE,
                peer=self._upstream,
                outcome=outcome,
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
            self._transport.abort()
            self._transport = None
        self._pool.post(ConnectionEnded(connection=self))

    def _runs(self, exchange: ids.ExchangeId) -> bool:
        attempt = self._attempt
        return attempt is not None and attempt.exchange == exchange

    def _send_head(self) -> None:
        attempt = self._attempt
        assert attempt is not None
        attempt.origin.post(
            runtime_messages.Attached(
                exchange=attempt.exchange,
                target=self.inbox,
                priority=attempt.admitted.priority,
            )
        )
        headers = [(one.name, one.value) for one in attempt.head.headers]
        headers.extend(self._own_headers(attempt))
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

    def _own_headers(
        self, attempt: runtime_messages.StartExchange
    ) -> list[tuple[bytes, bytes]]:
        head = attempt.head
        remaining = max(head.deadline - self.now, 0)
        headers = [
            (
                http.HEADER_DEADLINE,
                b"%d" % int(remaining * http.MILLISECONDS),
            ),
        ]
        names = {one.name for one in head.headers}
        if http.HEADER_REQUEST_ID not in names:
            headers.append((http.HEADER_REQUEST_ID, head.request_id.encode()))
        if b"host" not in names:
            headers.append((b"host", b"upstream"))
        if head.has_body and head.body_length < 0:
            headers.append((b"transfer-encoding", b"chunked"))
        fence = attempt.fence
        if fence is not None:
            headers.extend(
                [
                    (http.HEADER_ROUTER_EPOCH, b"%d" % fence.epoch),
                    (http.HEADER_ROUTER_INSTANCE, fence.instance.encode()),
                    (http.HEADER_ROUTER_SHARD, b"%d" % fence.shard),
                    (http.HEADER_ROUTER_TERM, b"%d" % fence.term),
                ]
            )
        return headers

    def _advance(self) -> None:
        while self._attempt is not None:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._fail_broken(f"answer is not valid HTTP: {error}")
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            self._on_http_event(event)

    def _on_http_event(self, event: h11.Event) -> None:
        attempt = self._attempt
        assert attempt is not None
        exchange = attempt.exchange
        if isinstance(event, h11.Response):
            if not http.is_framed(attempt.head.method, event):
                self._fail_broken("answer has neither length nor chunks")
                return
            if http.says_not_run(event):
                self._refused = True
                return
            self._answered = True
            self._status = event.status_code
            attempt.origin.post(
                messages.AnswerHead(
                    exchange=exchange,
                    status=event.status_code,
                    reason=bytes(event.reason),
                    headers=http.answer_headers(list(event.headers)),
                )
            )
        elif isinstance(event, h11.Data):
            if not self._refused:
                self._on_answer_data(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage) and self._refused:
            self._finish_refused()
        elif isinstance(event, h11.EndOfMessage):
            attempt.origin.post(messages.AnswerEnd(exchange=exchange))
            self._finish()
        elif isinstance(event, h11.ConnectionClosed):
            self._fail_broken("upstream closed the connection")

    def _on_answer_data(self, data: bytes) -> None:
        attempt = self._attempt
        assert attempt is not None
        self._unacknowledged += len(data)
        attempt.origin.post(
            messages.AnswerChunk(exchange=attempt.exchange, data=data)
        )
        if self._unacknowledged >= self._window and self._transport:
            self._transport.pause_reading()

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

    def _finish(self) -> None:
        self._report(None)
        self._attempt = None
        self._finish_if_done()

    def _finish_refused(self) -> None:
        self._report(
            errors.UpstreamRefused(
                "the upstream did not run the request", peer=self._upstream
            )
        )
        self._attempt = None
        self._finish_if_done()

    def _finish_if_done(self) -> None:
        if self._attempt is not None:
            return
        if self._http.our_state is not h11.DONE:
            self._close()
            return
        if self._http.their_state is not h11.DONE or not self._transport:
            self._close()
            return
        self._http.start_next_cycle()
        self._sent = False
        self._answered = False
        self._refused = False
        self._unacknowledged = 0
        self._owed_credit = 0
        self._transport.resume_reading()
        self._pool.post(ConnectionIdle(connection=self))

    def _fail_broken(self, text: str) -> None:
        outcome = states.Outcome.NOT_RUN
        if self._sent and not self._refused:
            outcome = states.Outcome.UNKNOWN
        self._fail(
            errors.UpstreamFailed(text, peer=self._upstream, outcome=outcome)
        )

    def _fail(self, error: errors.RouterError) -> None:
        attempt = self._attempt
        if attempt is None:
            return
        if self._answered:
            attempt.origin.post(
                messages.AnswerFailed(exchange=attempt.exchange, error=error)
            )
        self._report(error)
        self._attempt = None
        self._close()

    def _report(self, error: errors.RouterError | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        attempt = self._attempt
        assert attempt is not None
        self._router.post(
            runtime_messages.AttemptEnded(
                exchange=attempt.exchange,
                upstream=self._upstream,
                error=error,
                answered=self._answered,
                status=self._status,
            )
        )

    def _close(self) -> None:
        self.stop()
