"""Minimal HTTP/1.1 server for complete requests and responses."""

import asyncio
from collections import abc
import contextlib
import dataclasses
from typing import Final

import h11

from dragonflyshelf.core import ids
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import limit_log
from dragonflyshelf.runtime import memory
from dragonflyshelf.runtime import sockets

READ_CHUNK_BYTES = 65536
"""Maximum size of one read from the socket."""

LISTEN_BACKLOG_COUNT = 100
"""Limit on connections that the kernel queues until they are accepted."""

CONNECTION_BYTES = 4 * READ_CHUNK_BYTES
"""Memory that a connection may hold: received, unparsed and unsent bytes."""

LINGER_SECONDS = 2.0
"""Time in which a closing connection delivers its last response."""

DEFAULT_MAX_BODY_BYTES = 1024 * 1024
"""A request with a longer body closes its connection without a response."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerRequest:
    """Complete request of a client."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerResponse:
    """Complete response to a client."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerLimits:
    """Limits on the clients of a server; without them it trusts them.

    Beyond ``connections`` the oldest one that waits for a request or for
    its client is reset. ``read_timeout`` is the time in which a client
    sends its next request, ``write_timeout`` that in which it takes a
    response.
    """

    connections: int
    read_timeout: float
    write_timeout: float


NO_LIMITS: Final = ServerLimits(
    connections=1000000,
    read_timeout=float("inf"),
    write_timeout=float("inf"),
)

Handler = abc.Callable[[ServerRequest], abc.Awaitable[ServerResponse]]


class HttpServer:
    """Passes requests to a handler; each connection has its own task."""

    def __init__(
        self,
        handler: Handler,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
        limits: ServerLimits = NO_LIMITS,
        make_reporter: memory.ReporterFactory = memory.make_silent_reporter,
    ) -> None:
        """Create a server that is not listening yet."""
        self._handler = handler
        self._max_body_bytes = max_body_bytes
        self._limits = limits
        self._make_reporter = make_reporter
        self._limit_log = limit_log.LimitLog("health_connections")
        self._waiting_transports: dict[asyncio.Transport, None] = {}
        self._connection_count = 0
        self._server: asyncio.Server | None = None
        self.port = 0

    async def async_listen(self, host: str, port: int) -> None:
        """Bind the address and start accepting connections."""
        self._server = await sockets.async_create_server(
            self._make_protocol, host, port, LISTEN_BACKLOG_COUNT
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def _make_protocol(self) -> asyncio.Protocol:
        return asyncio.StreamReaderProtocol(
            asyncio.StreamReader(), self._async_serve_connection
        )

    def close(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    async def _async_serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        http = h11.Connection(h11.SERVER)
        with self._counted(writer.transport):
            try:
                while await self._async_serve_request(http, reader, writer):
                    http.start_next_cycle()
            except TimeoutError:
                sockets.reset(writer.transport)
            except (OSError, h11.ProtocolError):
                return
            finally:
                sockets.close_within(writer.transport, LINGER_SECONDS)

    @contextlib.contextmanager
    def _counted(self, transport: asyncio.Transport) -> abc.Iterator[None]:
        """Count a connection; make room for it if there are too many."""
        owner = inbox.Inbox("http-connection")
        owner.attach(lambda: sockets.reset(transport))
        reporter = self._make_reporter(owner)
        self._connection_count += 1
        if self._connection_count > self._limits.connections:
            self._reset_oldest_waiting()
        reporter.open()
        reporter.report_now(CONNECTION_BYTES, 0)
        try:
            yield
        finally:
            self._connection_count -= 1
            owner.detach()
            reporter.end()

    def _reset_oldest_waiting(self) -> None:
        self._limit_log.record(ids.Instant(asyncio.get_running_loop().time()))
        for transport in self._waiting_transports:
            del self._waiting_transports[transport]
            sockets.reset(transport)
            break

    @contextlib.asynccontextmanager
    async def _async_waiting(
        self, transport: asyncio.Transport, seconds: float
    ) -> abc.AsyncIterator[None]:
        """Let a connection wait for its client for a limited time.

        Raises ``TimeoutError`` after that.
        """
        self._waiting_transports[transport] = None
        try:
            async with asyncio.timeout(seconds):
                yield
        finally:
            self._waiting_transports.pop(transport, None)

    async def _async_serve_request(
        self,
        http: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        async with self._async_waiting(
            writer.transport, self._limits.read_timeout
        ):
            request = await self._async_read_request(http, reader)
        if request is None:
            return False
        response = await self._async_handle(http, request, reader)
        if response is None:
            return False
        headers = [
            ("content-type", response.content_type),
            ("content-length", str(len(response.body))),
            *response.headers,
        ]
        response_head = h11.Response(
            status_code=response.status, headers=headers
        )
        data = http.send(response_head) or b""
        if request.method != "HEAD":
            data += http.send(h11.Data(data=response.body)) or b""
        data += http.send(h11.EndOfMessage()) or b""
        writer.write(data)
        async with self._async_waiting(
            writer.transport, self._limits.write_timeout
        ):
            await writer.drain()
        return http.our_state is h11.DONE and http.their_state is h11.DONE

    async def _async_handle(
        self,
        http: h11.Connection,
        request: ServerRequest,
        reader: asyncio.StreamReader,
    ) -> ServerResponse | None:
        """Run the handler; cancel it if the client disconnects.

        Data that arrives meanwhile is buffered for the next request. If
        it exceeds ``READ_CHUNK_BYTES``, the connection is closed.
        """
        handler_task = asyncio.ensure_future(self._handler(request))
        try:
            while not handler_task.done():
                read_task = asyncio.ensure_future(
                    reader.read(READ_CHUNK_BYTES)
                )
                await asyncio.wait(
                    (handler_task, read_task),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not read_task.done():
                    read_task.cancel()
                    await asyncio.wait((read_task,))
                if read_task.cancelled():
                    continue
                data = read_task.result()
                http.receive_data(data)
                if not data or len(http.trailing_data[0]) > READ_CHUNK_BYTES:
                    return None
            return handler_task.result()
        finally:
            handler_task.cancel()

    async def _async_read_request(
        self, http: h11.Connection, reader: asyncio.StreamReader
    ) -> ServerRequest | None:
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await reader.read(READ_CHUNK_BYTES))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._max_body_bytes:
                    return None
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return None
        assert head is not None
        path, _, query = head.target.decode("ascii").partition("?")
        return ServerRequest(
            method=head.method.decode("ascii"),
            path=path,
            query=query,
            headers={
                name.decode("ascii"): value.decode("latin-1")
                for name, value in head.headers
            },
            body=bytes(body),
        )
