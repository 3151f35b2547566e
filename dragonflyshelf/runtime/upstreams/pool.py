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
from dragonflyshelf.core.upstreams import objects
from dragonflyshelf.core.upstreams import state
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import messages as runtime_messages
from dragonflyshelf.runtime import sockets
from dragonflyshelf.runtime import task
from dragonflyshelf.runtime.upstreams import connection

KEEP_ALIVE_PART: Final = 0.6
"""Fraction of the keep-alive time for which an idle connection is used.

The margin avoids sending a request on a connection that the upstream is
about to close.
"""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConnectFailed:
    """The connection for an attempt could not be opened."""

    connection: connection.UpstreamConnectionTask
    attempt: runtime_messages.StartExchange
    error: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RetirePool:
    """The upstream gets no new exchanges; those in flight may complete."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class IdleConnection:
    """An open connection without an exchange."""

    connection: connection.UpstreamConnectionTask
    since: ids.Instant


class UpstreamPoolTask(task.Task):
    """Assigns each attempt to an idle or a new connection.

    Attempts are queued while the pool has its maximum of connections.
    """

    def __init__(
        self,
        config: settings.Settings,
        names: http.HeaderNames,
        upstream: objects.Registration,
        router: inbox.Inbox,
    ) -> None:
        """Create an empty pool for one upstream."""
        super().__init__(f"pool-{upstream.id}")
        self._config = config
        self._names = names
        self._upstream = upstream
        self._router = router
        self._retired = False
        self._idle: list[IdleConnection] = []
        self._open: set[connection.UpstreamConnectionTask] = set()
        self._waiting: collections.deque[runtime_messages.StartExchange] = (
            collections.deque()
        )
        self._connecting_by_exchange: dict[
            ids.ExchangeId, asyncio.Task[None]
        ] = {}

    @task.handles(runtime_messages.StartExchange)
    def _on_start(self, message: runtime_messages.StartExchange) -> None:
        found = self._take_idle()
        if found is not None:
            found.inbox.post(message)
            return
        if len(self._open) < self._config.upstreams.connections:
            self._connect(message)
            return
        self._waiting.append(message)

    def _take_idle(self) -> connection.UpstreamConnectionTask | None:
        """Return the most recently used connection that is not too old.

        Older connections are closed.
        """
        while self._idle:
            one = self._idle.pop()
            trusted = one.connection.keep_alive * KEEP_ALIVE_PART
            if self.now - one.since < trusted:
                return one.connection
            self._end(one.connection)
        return None

    @task.handles(messages.Cancel)
    def _on_cancel(self, message: messages.Cancel) -> None:
        for waiting in self._waiting:
            if waiting.exchange == message.exchange:
                self._waiting.remove(waiting)
                return
        connecting = self._connecting_by_exchange.pop(message.exchange, None)
        if connecting is not None:
            connecting.cancel()
        for one in self._open:
            one.inbox.post(message)

    @task.handles(RetirePool)
    def _on_retire(self, message: RetirePool) -> None:
        self._retired = True
        for one in self._idle:
            self._end(one.connection)
        self._stop_if_unused()

    def _stop_if_unused(self) -> None:
        if self._retired and not self._open:
            self.stop()

    @task.handles(connection.ConnectionIdle)
    def _on_idle(self, message: connection.ConnectionIdle) -> None:
        if message.connection not in self._open:
            return
        if self._waiting:
            message.connection.inbox.post(self._waiting.popleft())
            return
        if self._retired:
            self._end(message.connection)
            return
        self._idle.append(
            IdleConnection(connection=message.connection, since=self.now)
        )

    @task.handles(connection.ConnectionEnded)
    def _on_ended(self, message: connection.ConnectionEnded) -> None:
        self._forget(message.connection)
        self._take_back(message.connection)
        if self._waiting:
            self._connect(self._waiting.popleft())
        self._stop_if_unused()

    def _forget(self, ended: connection.UpstreamConnectionTask) -> None:
        self._open.discard(ended)
        self._idle = [one for one in self._idle if one.connection is not ended]

    def _take_back(self, ended: connection.UpstreamConnectionTask) -> None:
        """Reassign attempts that were posted while the connection closed."""
        while ended.inbox:
            message = ended.inbox.pop()
            if isinstance(message, runtime_messages.StartExchange):
                self._on_start(message)

    @task.handles(ConnectFailed)
    def _on_connect_failed(self, message: ConnectFailed) -> None:
        message.connection.stop()
        self._open.discard(message.connection)
        attempt = message.attempt
        self._router.post(
            runtime_messages.AttemptEnded(
                exchange=attempt.exchange,
                upstream=self._upstream.id,
                result=state.AttemptResult.FAILED,
                error=errors.UpstreamUnreachable(
                    message.error, peer=self._upstream.id
                ),
                response_started=False,
            )
        )

    def on_end(self) -> None:
        """Close idle connections; exchanges in flight may complete."""
        for connecting in self._connecting_by_exchange.values():
            connecting.cancel()
        for one in self._idle:
            self._end(one.connection)

    def _end(self, one: connection.UpstreamConnectionTask) -> None:
        one.stop()
        one.inbox.post(sockets.EndReceived())

    def _connect(self, attempt: runtime_messages.StartExchange) -> None:
        opened = connection.UpstreamConnectionTask(
            self._config,
            self._names,
            self._upstream.id,
            self.inbox,
            self._router,
        )
        self._open.add(opened)
        connecting = asyncio.create_task(self._async_connect(opened, attempt))
        self._connecting_by_exchange[attempt.exchange] = connecting
        connecting.add_done_callback(
            lambda _: self._on_connect_over(opened, attempt, connecting)
        )

    def _on_connect_over(
        self,
        opened: connection.UpstreamConnectionTask,
        attempt: runtime_messages.StartExchange,
        connecting: asyncio.Task[None],
    ) -> None:
        if self._connecting_by_exchange.get(attempt.exchange) is connecting:
            del self._connecting_by_exchange[attempt.exchange]
        if connecting.cancelled():
            self._open.discard(opened)

    async def _async_connect(
        self,
        opened: connection.UpstreamConnectionTask,
        attempt: runtime_messages.StartExchange,
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._config.upstreams.connect_timeout):
                await loop.create_connection(
                    lambda: sockets.SocketProtocol(opened.inbox),
                    self._upstream.host,
                    self._upstream.port,
                )
        except (OSError, TimeoutError) as error:
            text = str(error) or "connection timed out"
            self.inbox.post(
                ConnectFailed(connection=opened, attempt=attempt, error=text)
            )
            return
        opened.start()
        opened.inbox.post(attempt)
