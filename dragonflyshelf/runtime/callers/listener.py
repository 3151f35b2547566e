"""Task that owns the listening socket for callers."""

import asyncio
from collections import abc

from dragonflyshelf.core import ids
from dragonflyshelf.core import settings
from dragonflyshelf.runtime.callers import connection
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import sockets
from dragonflyshelf.runtime import task

LISTEN_BACKLOG = 1024


class CallerListenerTask(task.Task):
    """Accepts callers and owns the tasks of their connections."""

    def __init__(
        self,
        config: settings.Settings,
        router: inbox.Inbox,
        next_exchange: abc.Callable[[], ids.ExchangeId],
        private: bool = False,
    ) -> None:
        """Create the listener; it binds in ``async_listen``."""
        super().__init__("caller-listener")
        self._config = config
        self._router = router
        self._next_exchange = next_exchange
        self._private = private
        self._connections: set[connection.CallerConnectionTask] = set()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def async_listen(self, host: str, port: int) -> None:
        """Bind the address and start to accept."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, host, port, backlog=LISTEN_BACKLOG
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def _accept(self) -> asyncio.Protocol:
        accepted = connection.CallerConnectionTask(
            self._config,
            self._router,
            self.inbox,
            self._next_exchange,
            self._private,
        )
        self._connections.add(accepted)
        accepted.start()
        return sockets.SocketProtocol(accepted.inbox)

    @task.handles(connection.ConnectionEnded)
    def _on_connection_ended(
        self, message: connection.ConnectionEnded
    ) -> None:
        self._connections.discard(message.connection)

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def drain(self) -> None:
        """Stop accepting and let every connection end."""
        if self._server is not None:
            self._server.close()
        for one in self._connections:
            one.inbox.post(connection.DrainConnection())

    def on_end(self) -> None:
        """Close the listening socket and all connections."""
        if self._server is not None:
            self._server.close()
        for one in list(self._connections):
            one.stop()
            one.inbox.post(connection.DrainConnection())
