"""Task that owns the listening socket for callers."""

import asyncio
from collections import abc
import dataclasses
from typing import cast

from dragonflyshelf.codec import http
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import settings
from dragonflyshelf.runtime.callers import connection
from dragonflyshelf.runtime.callers import messages
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import sockets
from dragonflyshelf.runtime import task

LISTEN_BACKLOG = 1024
REFUSED_AT_ONCE = 256


class RefusingProtocol(asyncio.Protocol):
    """Drops a connection at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Drop the connection."""
        cast(asyncio.Transport, transport).abort()


class CallerListenerTask(task.Task):
    """Accepts callers and owns the tasks of their connections."""

    def __init__(
        self,
        config: settings.Settings,
        router: inbox.Inbox,
        next_exchange: abc.Callable[[], ids.ExchangeId],
        names: http.HeaderNames = http.DEFAULT_HEADER_NAMES,
    ) -> None:
        """Create the listener; it binds in ``async_listen``."""
        super().__init__("caller-listener")
        self._config = config
        self._names = names
        self._router = router
        self._next_exchange = next_exchange
        self._connections_by_inbox: dict[
            inbox.Inbox, connection.CallerConnectionTask
        ] = {}
        self._server: asyncio.Server | None = None
        self._leaving = False
        self._drain_reply: inbox.Inbox | None = None
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
            self._names,
            self._router,
            self.inbox,
            self._next_exchange,
        )
        open_now = len(self._connections_by_inbox)
        over = open_now - self._config.requests.connections
        if over >= REFUSED_AT_ONCE:
            return RefusingProtocol()
        if over >= 0:
            error = errors.TooManyConnections("too many connections")
            accepted.inbox.post(messages.RefuseConnection(error=error))
        if self._leaving:
            accepted.inbox.post(messages.LeaveConnection())
        self._connections_by_inbox[accepted.inbox] = accepted
        accepted.start()
        return sockets.SocketProtocol(accepted.inbox)

    @task.handles(messages.ConnectionEnded)
    def _on_connection_ended(self, message: messages.ConnectionEnded) -> None:
        self._connections_by_inbox.pop(message.inbox, None)
        self._report_if_drained()

    @task.handles(messages.BoundsChanged)
    def _on_bounds(self, message: messages.BoundsChanged) -> None:
        self._config = dataclasses.replace(
            self._config, requests=message.requests
        )
        self._tell_all(message)

    @task.handles(settings.SettingsChanged)
    def _on_settings(self, message: settings.SettingsChanged) -> None:
        """Take over the settings for connections that come from now on."""
        self._config = dataclasses.replace(
            message.settings, requests=self._config.requests
        )

    @task.handles(messages.LeaveCallers)
    def _on_leave(self, message: messages.LeaveCallers) -> None:
        self._leaving = True
        self._tell_all(messages.LeaveConnection())

    @task.handles(messages.DrainCallers)
    def _on_drain(self, message: messages.DrainCallers) -> None:
        if self._server is not None:
            self._server.close()
        self._tell_all(messages.DrainConnection())
        self._drain_reply = message.reply_to
        self._report_if_drained()

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections_by_inbox)

    def _report_if_drained(self) -> None:
        if self._drain_reply is None or self._connections_by_inbox:
            return
        self._drain_reply.post(messages.CallersDrained())
        self._drain_reply = None

    def _tell_all(
        self,
        message: (
            messages.BoundsChanged
            | messages.DrainConnection
            | messages.LeaveConnection
        ),
    ) -> None:
        for one in self._connections_by_inbox:
            one.post(message)

    def on_end(self) -> None:
        """Close the listening socket and all connections."""
        if self._server is not None:
            self._server.close()
        for one in self._connections_by_inbox.values():
            one.stop()
            one.inbox.post(messages.DrainConnection())
