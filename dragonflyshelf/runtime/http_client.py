"""HTTP/1.1 client connection for calls with complete responses."""

import asyncio
from collections import abc
import contextlib
import dataclasses
from typing import Final

import h11

from dragonflyshelf.runtime import sockets

HOST_HEADER = "host"
READ_CHUNK_BYTES = 65536
"""Maximum size of one read from the socket."""

DEFAULT_MAX_BODY_BYTES: Final = 16 * 1024 * 1024
"""Limit of a response body unless another one is given."""

MAX_INFORMATIONAL_RESPONSE_COUNT: Final = 8
"""Informational responses to a call after which it fails."""

MEAN_CHUNK_BYTES: Final = 256
"""Mean size of chunks on which the limit of their number is based.

Each chunk takes time to parse, however short it is.
"""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HttpResponse:
    """Complete response of a server."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class HttpClient:
    """Keep-alive connection that makes one call at a time.

    Socket errors are raised as ``OSError`` and invalid responses as
    ``h11.RemoteProtocolError``, also those whose body is longer than
    ``max_body_bytes`` or has too many chunks for that length. The caller
    sets the timeout of a call.
    """

    def __init__(
        self,
        host: str,
        port: int,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
    ) -> None:
        """Create a client that connects on the first call."""
        self._host = host
        self._port = port
        self._max_body_bytes = max_body_bytes
        self._max_chunk_count = max_body_bytes // MEAN_CHUNK_BYTES
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._http = h11.Connection(h11.CLIENT)
        self.was_sent = False
        """Whether the request of the last call was written."""

    async def async_call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
    ) -> HttpResponse:
        """Send a request and return the complete response."""
        self.was_sent = False
        try:
            await self._async_connect()
            self._send(method, target, body, headers)
            response = await self._async_receive()
        except BaseException:
            self.reset()
            raise
        self._reuse_or_close()
        return response

    def reset(self) -> None:
        """Reset the connection and discard unsent data.

        A cancelled call must not reach the server later, for instance when
        an interrupted network link recovers.
        """
        if self._writer is not None:
            sockets.reset(self._writer.transport)
        self._reader = None
        self._writer = None

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = None
        self._writer = None

    async def _async_connect(self) -> None:
        if self._writer is not None:
            return
        self._http = h11.Connection(h11.CLIENT)
        self._reader, self._writer = await asyncio.open_connection(
            self._host, self._port
        )

    def _send(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
    ) -> None:
        assert self._writer is not None
        request_headers = [
            ("content-length", str(len(body))),
            *headers,
        ]
        if not any(name == HOST_HEADER for name, _ in headers):
            request_headers.append((HOST_HEADER, f"{self._host}:{self._port}"))
        request = h11.Request(
            method=method, target=target, headers=request_headers
        )
        data = self._http.send(request) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self._writer.write(data)
        self.was_sent = True

    async def _async_receive(self) -> HttpResponse:
        assert self._reader is not None
        response_head: h11.Response | None = None
        body_chunks: list[bytes] = []
        body_size = 0
        informational_count = 0
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                data = await self._reader.read(READ_CHUNK_BYTES)
                if not data and response_head is None:
                    raise ConnectionResetError(
                        "connection closed before the response"
                    )
                self._http.receive_data(data)
            elif isinstance(event, h11.Response):
                response_head = event
            elif isinstance(event, h11.InformationalResponse):
                informational_count += 1
                if informational_count > MAX_INFORMATIONAL_RESPONSE_COUNT:
                    raise h11.RemoteProtocolError(
                        "too many informational responses"
                    )
            elif isinstance(event, h11.Data):
                body_size += len(event.data)
                body_chunks.append(bytes(event.data))
                if body_size > self._max_body_bytes:
                    raise h11.RemoteProtocolError("response body is too long")
                if len(body_chunks) > self._max_chunk_count:
                    raise h11.RemoteProtocolError(
                        "response body has too many chunks"
                    )
            elif isinstance(event, h11.EndOfMessage):
                break
        assert response_head is not None
        return HttpResponse(
            status=response_head.status_code,
            headers=tuple(response_head.headers),
            body=b"".join(body_chunks),
        )

    def _reuse_or_close(self) -> None:
        is_request_sent = self._http.our_state is h11.DONE
        if is_request_sent and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            return
        self.close()


@contextlib.asynccontextmanager
async def async_open(host: str, port: int) -> abc.AsyncIterator[HttpClient]:
    """Provide a client that is closed at the end of a ``with`` block."""
    client = HttpClient(host, port)
    try:
        yield client
    finally:
        client.close()
