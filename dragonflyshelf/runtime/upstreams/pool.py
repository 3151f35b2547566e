"""Task that owns all connections to one upstream."""

import asyncio
import collections
import dataclasses

from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core import errors
from dragonflyshelf.core import messages
from dragonflyshelf.core import settings
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import messages as runtime_messages
from dragonflyshelf.runtime import sockets
from dragonflyshelf.runtime import task
from dragonflyshelf.runtime.upstreams import connection


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConnectFailed:
    """A connection could not be opened."""

    connection: connection.UpstreamConnectionTask
    attempt: runtime_messages.StartExchange
    error: str


class UpstreamPoolTask(task.Task):
    """Gives each attempt an idle connection or opens one."""

    def __init__(
        self,
        config: settings.Settings,
        upstream: objects.Upstream,
        router: inbox.Inbox,
    ) -> None:
        """Create an empty pool for one upstream."""
        super().__init__(f"pool-{upstream.name}")
        self._config = config
        self._upstream = upstream
        self._router = router
        self._idle: list[connection.UpstreamConnectionTask] = []
        self._open: set[connection.UpstreamConnectionTask] = set()
        self._waiting: collections.deque[runtime_messages.StartExchange] = (
            collections.deque()
        )
        self._connecting: set[asyncio.Task[None]] = set()

    @task.handles(runtime_messages.StartExchange)
    def _on_start(self, message: runtime_messages.StartExchange) -> None:
        if self._idle:
            self._idle.pop().inbox.post(message)
            return
        if len(self._open) < self._upstream.connections:
            self._connect(message)
            return
        self._waiting.append(message)

    @task.handles(messages.Cancel)
    def _on_cancel(self, message: messages.Cancel) -> None:
        for waiting in self._waiting:
            if waiting.exchange == message.exchange:
                self._waiting.remove(waiting)
                return
        for one in self._open:
            one.inbox.post(message)

    @task.handles(connection.ConnectionIdle)
    def _on_idle(self, message: connection.ConnectionIdle) -> None:
        if message.connection not in self._open:
            return
        if self._waiting:
            message.connection.inbox.post(self._waiting.popleft())
            return
        self._idle.append(message.connection)

    @task.handles(connection.ConnectionEnded)
    def _on_ended(self, message: connection.ConnectionEnded) -> None:
        self._open.discard(message.connection)
        if message.connection in self._idle:
            self._idle.remove(message.connection)
        self._take_back(message.connection)
        if self._waiting:
            self._connect(self._waiting.popleft())

    def _take_back(self, ended: connection.UpstreamConnectionTask) -> None:
        """Give attempts that crossed with the end to other connections."""
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
                upstream=self._upstream.name,
                error=errors.UpstreamUnreachable(
                    message.error, peer=self._upstream.name
                ),
                answered=False,
            )
        )

    def on_end(self) -> None:
        """Close every connection."""
        for connecting in self._connecting:
            connecting.cancel()
        for one in self._open:
            one.stop()
            one.inbox.post(sockets.EndReceived())

    def _connect(self, attempt: runtime_messages.StartExchange) -> None:
        opened = connection.UpstreamConnectionTask(
            self._config, self._upstream.name, self.inbox, self._router
        )
        self._open.add(opened)
        connecting = asyncio.create_task(self._async_connect(opened, attempt))
        self._connecting.add(connecting)
        connecting.add_done_callback(self._connecting.discard)

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
