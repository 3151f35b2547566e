"""Minimal HTTP/1.1 server for complete requests and responses."""

import asyncio
from collections import abc
import dataclasses

import h11

READ_CHUNK_BYTES = 65536
"""Maximum size of one read from the socket."""

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


Handler = abc.Callable[[ServerRequest], abc.Awaitable[ServerResponse]]


class HttpServer:
    """Passes requests to a handler; each connection has its own task."""

    def __init__(
        self, handler: Handler, max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    ) -> None:
        """Create a server that is not listening yet."""
        self._handler = handler
        self._max_body_bytes = max_body_bytes
        self._server: asyncio.Server | None = None
        self.port = 0

    async def async_listen(self, host: str, port: int) -> None:
        """Bind the address and start accepting connections."""
        self._server = await asyncio.start_server(
            self._async_serve_connection, host, port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    async def _async_serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        http = h11.Connection(h11.SERVER)
        try:
            while await self._async_serve_request(http, reader, writer):
                http.start_next_cycle()
        except (OSError, h11.ProtocolError):
            return
        finally:
            writer.close()

    async def _async_serve_request(
        self,
        http: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
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
