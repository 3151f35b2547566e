"""Task that owns the listening socket for callers."""

import asyncio
from collections import abc
import dataclasses
from typing import cast

from dragonflyshelf.codec import http
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.memory import limits
from dragonflyshelf.core import settings
from dragonflyshelf.runtime.callers import connection
from dragonflyshelf.runtime.callers import messages
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import limit_log
from dragonflyshelf.runtime import memory
from dragonflyshelf.runtime import sockets
from dragonflyshelf.runtime import task

LISTEN_BACKLOG_COUNT = 1024
"""Limit on connections that the kernel queues until they are accepted."""

READ_BYTES = 16384
"""Most that is read from a caller at once."""

CROWDED_RATIO = 7 / 8
"""Part of the connections from which idle ones are closed."""


class AbortingProtocol(asyncio.Protocol):
    """Aborts each connection."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Abort the connection."""
        cast(asyncio.Transport, transport).abort()


class CallerListenerTask(task.Task):
    """Accepts caller connections and owns their tasks."""

    def __init__(
        self,
        config: settings.Settings,
        router: inbox.Inbox,
        next_exchange_id: abc.Callable[[], ids.ExchangeId],
        header_names: http.HeaderNames = http.DEFAULT_HEADER_NAMES,
        make_reporter: memory.ReporterFactory = memory.make_silent_reporter,
    ) -> None:
        """Create the listener; it binds in ``async_listen``."""
        super().__init__("caller-listener")
        self._config = config
        self._limits = limits.derive(config)
        self._make_reporter = make_reporter
        self._limit_log = limit_log.LimitLog("connections")
        self._header_names = header_names
        self._router = router
        self._next_exchange_id = next_exchange_id
        self._connections_by_inbox: dict[
            inbox.Inbox, connection.CallerConnectionTask
        ] = {}
        self._server: asyncio.Server | None = None
        self._keep_alive_disabled = False
        self._drain_reply: inbox.Inbox | None = None
        self.port = 0

    async def async_listen(self, host: str, port: int) -> None:
        """Bind the address and accept connections."""
        self._server = await sockets.async_create_server(
            self._accept, host, port, LISTEN_BACKLOG_COUNT
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def _accept(self) -> asyncio.BaseProtocol:
        connection_task = connection.CallerConnectionTask(
            self._config,
            self._header_names,
            self._router,
            self.inbox,
            self._next_exchange_id,
            self._make_reporter,
            self._limits,
        )
        open_count = len(self._connections_by_inbox)
        excess_count = open_count - self._limits.caller_connections
        if open_count >= self._limits.caller_connections * CROWDED_RATIO:
            self._close_oldest_if_idle()
        if excess_count >= 0:
            self._limit_log.record(self.now)
        if excess_count >= self._limits.refused_connections:
            return AbortingProtocol()
        if excess_count >= 0:
            error = errors.TooManyConnections("too many connections")
            connection_task.inbox.post(messages.RefuseConnection(error=error))
        if self._keep_alive_disabled:
            connection_task.inbox.post(messages.DisableConnectionKeepAlive())
        self._connections_by_inbox[connection_task.inbox] = connection_task
        connection_task.start()
        return sockets.SocketProtocol(connection_task.inbox, READ_BYTES)

    def _close_oldest_if_idle(self) -> None:
        """Make room for a new connection.

        One that isn't idle is asked again after all others.
        """
        for oldest_inbox in self._connections_by_inbox:
            oldest_inbox.post(messages.CloseIfIdle())
            self._connections_by_inbox[oldest_inbox] = (
                self._connections_by_inbox.pop(oldest_inbox)
            )
            break

    @task.handles(messages.ConnectionEnded)
    def _on_connection_ended(self, message: messages.ConnectionEnded) -> None:
        self._connections_by_inbox.pop(message.inbox, None)
        self._report_if_drained()

    @task.handles(messages.RequestLimitsChanged)
    def _on_request_limits_changed(
        self, message: messages.RequestLimitsChanged
    ) -> None:
        self._config = dataclasses.replace(
            self._config, requests=message.requests
        )
        self._limits = limits.derive(self._config)
        self._broadcast(message)

    @task.handles(settings.SettingsChanged)
    def _on_settings_changed(self, message: settings.SettingsChanged) -> None:
        """Apply the settings to new connections."""
        self._config = dataclasses.replace(
            message.settings, requests=self._config.requests
        )
        self._limits = limits.derive(self._config)

    @task.handles(messages.DisableKeepAlive)
    def _on_disable_keep_alive(
        self, message: messages.DisableKeepAlive
    ) -> None:
        self._keep_alive_disabled = True
        self._broadcast(messages.DisableConnectionKeepAlive())

    @task.handles(messages.DrainCallers)
    def _on_drain_callers(self, message: messages.DrainCallers) -> None:
        if self._server is not None:
            self._server.close()
        self._broadcast(messages.DrainConnection())
        self._drain_reply = message.reply_to
        self._report_if_drained()

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections_by_inbox)

    def _report_if_drained(self) -> None:
        if self._drain_reply is None or self._connections_by_inbox:
            return
        self._drain_reply.post(messages.CallersDrained())
        self._drain_reply = None

    def _broadcast(
        self,
        message: (
            messages.RequestLimitsChanged
            | messages.DrainConnection
            | messages.DisableConnectionKeepAlive
        ),
    ) -> None:
        for connection_inbox in self._connections_by_inbox:
            connection_inbox.post(message)

    def on_end(self) -> None:
        """Close the listening socket and all connections."""
        if self._server is not None:
            self._server.close()
        for connection_task in self._connections_by_inbox.values():
            connection_task.stop()
            connection_task.inbox.post(messages.DrainConnection())
