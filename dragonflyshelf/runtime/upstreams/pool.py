"""Task that owns the connection pool of one upstream."""

import asyncio
import collections
import dataclasses
from typing import Final

from dragonflyshelf.codec import http
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core import settings
from dragonflyshelf.core import states
from dragonflyshelf.core.upstreams import objects
from dragonflyshelf.core.upstreams import state
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import messages as runtime_messages
from dragonflyshelf.runtime import sockets
from dragonflyshelf.runtime import task
from dragonflyshelf.runtime.upstreams import connection

KEEP_ALIVE_RATIO: Final = 0.6
"""Fraction of the keep-alive time for which an idle connection is used.

The margin avoids sending a request on a connection that the upstream is
about to close.
"""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConnectFailed:
    """The connection for an attempt could not be opened."""

    connection: connection.UpstreamConnectionTask
    attempt: runtime_messages.StartAttempt
    error: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReturnUnsentAttempts:
    """The upstream is leaving; what is not sent yet goes elsewhere."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RetirePool:
    """The upstream gets no new exchanges; those in flight may complete."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PendingAttempt:
    """Attempt whose connection is being opened."""

    attempt: runtime_messages.StartAttempt
    connect_task: asyncio.Task[None]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class IdleConnection:
    """An open connection without an exchange."""

    connection: connection.UpstreamConnectionTask
    idle_since: ids.Instant


class UpstreamPoolTask(task.Task):
    """Assigns each attempt to an idle or a new connection.

    Attempts are queued while the pool has its maximum of connections.
    """

    def __init__(
        self,
        config: settings.Settings,
        header_names: http.HeaderNames,
        registration: objects.Registration,
        router: inbox.Inbox,
    ) -> None:
        """Create an empty pool for one upstream."""
        super().__init__(f"pool-{registration.id}")
        self._config = config
        self._header_names = header_names
        self._registration = registration
        self._router = router
        self._is_retired = False
        self._idle_connections: list[IdleConnection] = []
        self._connections: set[connection.UpstreamConnectionTask] = set()
        self._queued_attempts: collections.deque[
            runtime_messages.StartAttempt
        ] = collections.deque()
        self._pending_by_exchange: dict[ids.ExchangeId, PendingAttempt] = {}

    @property
    def data_centre(self) -> ids.DataCentreId:
        """Return the data centre of the upstream."""
        return self._registration.data_centre

    @task.handles(runtime_messages.StartAttempt)
    def _on_start_attempt(
        self, message: runtime_messages.StartAttempt
    ) -> None:
        idle_connection = self._pop_idle(message.head.request_id)
        if idle_connection is not None:
            idle_connection.inbox.post(message)
            return
        if len(self._connections) < self._config.upstreams.connections:
            self._open_connection(message)
            return
        self._queued_attempts.append(message)

    def _pop_idle(
        self, request_id: ids.RequestId
    ) -> connection.UpstreamConnectionTask | None:
        """Return the most recently used connection that is not too old.

        Older connections are closed, and those that have carried a request
        with the same id.
        """
        while self._idle_connections:
            idle = self._idle_connections.pop()
            if idle.connection.has_carried(request_id):
                self._close_connection(idle.connection)
                continue
            max_idle_seconds = (
                idle.connection.keep_alive_seconds * KEEP_ALIVE_RATIO
            )
            if self.now - idle.idle_since < max_idle_seconds:
                return idle.connection
            self._close_connection(idle.connection)
        return None

    @task.handles(messages.Cancel)
    def _on_cancel(self, message: messages.Cancel) -> None:
        for attempt in self._queued_attempts:
            if attempt.exchange == message.exchange:
                self._queued_attempts.remove(attempt)
                return
        pending = self._pending_by_exchange.pop(message.exchange, None)
        if pending is not None:
            pending.connect_task.cancel()
        for connection_task in self._connections:
            connection_task.inbox.post(message)

    @task.handles(ReturnUnsentAttempts)
    def _on_return_unsent_attempts(
        self, message: ReturnUnsentAttempts
    ) -> None:
        self._return_unsent_attempts()

    def _return_unsent_attempts(self) -> None:
        """Return the attempts that wait for a connection to the router.

        Connecting that is done already has sent its attempt or reported
        the failure, though its callback has not run yet.
        """
        unsent_attempts = list(self._queued_attempts)
        self._queued_attempts.clear()
        for pending in list(self._pending_by_exchange.values()):
            if pending.connect_task.cancel():
                del self._pending_by_exchange[pending.attempt.exchange]
                unsent_attempts.append(pending.attempt)
        for attempt in unsent_attempts:
            error = errors.UpstreamDeclined(
                "upstream leaves, request not sent yet",
                step=states.Step.CONNECT,
                peer=self._registration.id,
            )
            self._report_failure(attempt, state.AttemptResult.UNSENT, error)

    @task.handles(RetirePool)
    def _on_retire_pool(self, message: RetirePool) -> None:
        self._is_retired = True
        self._return_unsent_attempts()
        for idle in self._idle_connections:
            self._close_connection(idle.connection)
        self._stop_if_unused()

    def _stop_if_unused(self) -> None:
        if self._is_retired and not self._connections:
            self.stop()

    @task.handles(connection.ConnectionIdle)
    def _on_connection_idle(self, message: connection.ConnectionIdle) -> None:
        if message.connection not in self._connections:
            return
        if self._queued_attempts:
            self._start_queued_attempt(message.connection)
            return
        if self._is_retired:
            self._close_connection(message.connection)
            return
        self._idle_connections.append(
            IdleConnection(connection=message.connection, idle_since=self.now)
        )

    def _start_queued_attempt(
        self, idle_connection: connection.UpstreamConnectionTask
    ) -> None:
        """Start the first queued attempt on an idle connection.

        If that has carried its request id, the attempt waits for the new
        connection that replaces it.
        """
        request_id = self._queued_attempts[0].head.request_id
        if idle_connection.has_carried(request_id):
            self._close_connection(idle_connection)
            return
        idle_connection.inbox.post(self._queued_attempts.popleft())

    @task.handles(connection.ConnectionEnded)
    def _on_connection_ended(
        self, message: connection.ConnectionEnded
    ) -> None:
        self._remove_connection(message.connection)
        self._reassign_attempts(message.connection)
        if self._queued_attempts:
            self._open_connection(self._queued_attempts.popleft())
        self._stop_if_unused()

    def _remove_connection(
        self, ended_connection: connection.UpstreamConnectionTask
    ) -> None:
        self._connections.discard(ended_connection)
        self._idle_connections = [
            idle
            for idle in self._idle_connections
            if idle.connection is not ended_connection
        ]

    def _reassign_attempts(
        self, ended_connection: connection.UpstreamConnectionTask
    ) -> None:
        """Reassign attempts that were posted while the connection closed."""
        while ended_connection.inbox:
            message = ended_connection.inbox.pop()
            if isinstance(message, runtime_messages.StartAttempt):
                self._on_start_attempt(message)

    @task.handles(ConnectFailed)
    def _on_connect_failed(self, message: ConnectFailed) -> None:
        message.connection.stop()
        self._connections.discard(message.connection)
        error = errors.UpstreamUnreachable(
            message.error, peer=self._registration.id
        )
        self._report_failure(
            message.attempt, state.AttemptResult.UNREACHABLE, error
        )

    def _report_failure(
        self,
        attempt: runtime_messages.StartAttempt,
        result: state.AttemptResult,
        error: errors.RouterError,
    ) -> None:
        """Report an attempt that was not sent."""
        self._router.post(
            runtime_messages.AttemptEnded(
                exchange=attempt.exchange,
                upstream=self._registration.id,
                result=result,
                error=error,
                response_started=False,
            )
        )

    def on_end(self) -> None:
        """Close idle connections; exchanges in flight may complete."""
        for pending in self._pending_by_exchange.values():
            pending.connect_task.cancel()
        for idle in self._idle_connections:
            self._close_connection(idle.connection)

    def _close_connection(
        self, connection_task: connection.UpstreamConnectionTask
    ) -> None:
        connection_task.stop()
        connection_task.inbox.post(sockets.EofReceived())

    def _open_connection(self, attempt: runtime_messages.StartAttempt) -> None:
        connection_task = connection.UpstreamConnectionTask(
            self._config,
            self._header_names,
            self._registration.id,
            self.inbox,
            self._router,
        )
        self._connections.add(connection_task)
        connect_task = asyncio.create_task(
            self._async_connect(connection_task, attempt)
        )
        self._pending_by_exchange[attempt.exchange] = PendingAttempt(
            attempt=attempt, connect_task=connect_task
        )
        connect_task.add_done_callback(
            lambda _: self._on_connect_done(
                connection_task, attempt, connect_task
            )
        )

    def _on_connect_done(
        self,
        connection_task: connection.UpstreamConnectionTask,
        attempt: runtime_messages.StartAttempt,
        connect_task: asyncio.Task[None],
    ) -> None:
        pending = self._pending_by_exchange.get(attempt.exchange)
        if pending is not None and pending.connect_task is connect_task:
            del self._pending_by_exchange[attempt.exchange]
        if connect_task.cancelled():
            self._connections.discard(connection_task)
            self._stop_if_unused()

    async def _async_connect(
        self,
        connection_task: connection.UpstreamConnectionTask,
        attempt: runtime_messages.StartAttempt,
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._config.upstreams.connect_timeout):
                await loop.create_connection(
                    lambda: sockets.SocketProtocol(connection_task.inbox),
                    self._registration.host,
                    self._registration.port,
                )
        except (OSError, TimeoutError, ValueError) as error:
            text = str(error) or "connection timed out"
            self.inbox.post(
                ConnectFailed(
                    connection=connection_task, attempt=attempt, error=text
                )
            )
            return
        connection_task.start()
        connection_task.inbox.post(attempt)
