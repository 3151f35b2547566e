"""Minimal HTTP/1.1 server for complete requests and responses."""

import asyncio
from collections import abc
import dataclasses

import h11

READ_BYTES = 65536
DEFAULT_BODY_BYTES = 1024 * 1024


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerRequest:
    """Complete request of a client."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerAnswer:
    """Complete response to a client."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


Handler = abc.Callable[[ServerRequest], abc.Awaitable[ServerAnswer]]


class HttpServer:
    """Passes requests to a handler; each connection has its own task."""

    def __init__(
        self, handler: Handler, body_bytes: int = DEFAULT_BODY_BYTES
    ) -> None:
        """Create a server that is not listening yet."""
        self._handler = handler
        self._body_bytes = body_bytes
        self._server: asyncio.Server | None = None
        self.port = 0

    async def async_listen(self, host: str, port: int) -> None:
        """Bind the address and start accepting connections."""
        self._server = await asyncio.start_server(
            self._async_serve, host, port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        http = h11.Connection(h11.SERVER)
        try:
            while await self._async_serve_one(http, reader, writer):
                http.start_next_cycle()
        except (OSError, h11.ProtocolError):
            return
        finally:
            writer.close()

    async def _async_serve_one(
        self,
        http: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        request = await self._async_read(http, reader)
        if request is None:
            return False
        answer = await self._async_handle(http, request, reader)
        if answer is None:
            return False
        headers = [
            ("content-type", answer.content_type),
            ("content-length", str(len(answer.body))),
            *answer.headers,
        ]
        response = h11.Response(status_code=answer.status, headers=headers)
        data = http.send(response) or b""
        if request.method != "HEAD":
            data += http.send(h11.Data(data=answer.body)) or b""
        data += http.send(h11.EndOfMessage()) or b""
        writer.write(data)
        await writer.drain()
        return http.our_state is h11.DONE and http.their_state is h11.DONE

    async def _async_handle(
        self,
        http: h11.Connection,
        request: ServerRequest,
        reader: asyncio.StreamReader,
    ) -> ServerAnswer | None:
        """Run the handler; cancel it if the client disconnects.

        Data that arrives meanwhile is buffered for the next request. If
        it exceeds ``READ_BYTES``, the connection is closed.
        """
        handling = asyncio.ensure_future(self._handler(request))
        try:
            while not handling.done():
                reading = asyncio.ensure_future(reader.read(READ_BYTES))
                await asyncio.wait(
                    (handling, reading), return_when=asyncio.FIRST_COMPLETED
                )
                if not reading.done():
                    reading.cancel()
                    await asyncio.wait((reading,))
                if reading.cancelled():
                    continue
                data = reading.result()
                http.receive_data(data)
                if not data or len(http.trailing_data[0]) > READ_BYTES:
                    return None
            return handling.result()
        finally:
            handling.cancel()

    async def _async_read(
        self, http: h11.Connection, reader: asyncio.StreamReader
    ) -> ServerRequest | None:
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._body_bytes:
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
