"""Connections of the load tool to one port."""

import asyncio
import collections
from collections import abc
import dataclasses

import h11

Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """What came back; ``status`` is 0 without a whole answer."""

    status: int
    headers: Headers
    body: bytes
    error: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """A request that waits for its reply."""

    data: bytes
    method: bytes
    done: abc.Callable[[Reply], None]


def encode(
    method: str, target: str, headers: Headers, body_bytes: int
) -> bytes:
    """Return the bytes of a request."""
    http = h11.Connection(h11.CLIENT)
    request = h11.Request(
        method=method,
        target=target,
        headers=[
            (b"host", b"127.0.0.1"),
            (b"content-length", b"%d" % body_bytes),
            *headers,
        ],
    )
    data = http.send(request) or b""
    if body_bytes:
        data += http.send(h11.Data(data=b"x" * body_bytes)) or b""
    return data + (http.send(h11.EndOfMessage()) or b"")


class LoadConnection(asyncio.Protocol):
    """One connection; carries one call at a time."""

    def __init__(self, pool: "PortPool") -> None:
        """Create a connection without a call."""
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._call: Call | None = None
        self._reset()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the first call."""
        self._transport = transport  # type: ignore[assignment]
        self._pool.free(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Report the call as broken."""
        self._transport = None
        self._finish(0, f"connection lost: {error}")
        self._pool.lost(self)

    def send(self, call: Call) -> None:
        """Send a call on this idle connection."""
        assert self._transport is not None
        self._call = call
        self._reset()
        request = h11.Request(
            method=call.method, target=b"/", headers=[(b"host", b"x")]
        )
        self._http.send(request)
        self._http.send(h11.EndOfMessage())
        self._transport.write(call.data)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._pool.timeout, self._time_out)

    def data_received(self, data: bytes) -> None:
        """Take in bytes of the reply."""
        if self._call is None:
            self._close()
            return
        self._http.receive_data(data)
        try:
            self._advance()
        except h11.RemoteProtocolError as error:
            self._finish(0, f"not valid HTTP: {error}")
            self._close()

    def eof_received(self) -> None:
        """Take in the end of the stream."""
        if self._call is not None:
            self.data_received(b"")

    def _reset(self) -> None:
        self._http = h11.Connection(h11.CLIENT)
        self._response: h11.Response | None = None
        self._body = bytearray()

    def _advance(self) -> None:
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Response):
                self._response = event
            elif isinstance(event, h11.Data):
                self._body += event.data
            elif isinstance(event, h11.EndOfMessage):
                assert self._response is not None
                self._finish(self._response.status_code, "")
                self._end_cycle()
                return
            else:
                return

    def _end_cycle(self) -> None:
        if self._http.their_state is h11.DONE and self._transport:
            if not self._http.trailing_data[0]:
                self._pool.free(self)
                return
        self._close()

    def _time_out(self) -> None:
        self._finish(0, "timeout")
        self._close()

    def _finish(self, status: int, error: str) -> None:
        call, self._call = self._call, None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if call is None:
            return
        headers: Headers = []
        if self._response is not None:
            headers = list(self._response.headers)
        call.done(
            Reply(
                status=status,
                headers=headers,
                body=bytes(self._body),
                error=error,
            )
        )

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.abort()


class PortPool:
    """Connections to one port; opens one more when none is free."""

    def __init__(
        self, host: str, port: int, most: int, timeout: float
    ) -> None:
        """Create an empty pool; the timeout of a call is in seconds."""
        self._host = host
        self._port = port
        self._most = most
        self.timeout = timeout
        self._idle: list[LoadConnection] = []
        self._count = 0
        self._waiting: collections.deque[Call] = collections.deque()
        self._opening: set[asyncio.Task[None]] = set()

    def call(self, call: Call) -> None:
        """Send a call as soon as a connection is free."""
        if self._idle:
            self._idle.pop().send(call)
            return
        self._waiting.append(call)
        if self._count < self._most:
            self._open()

    def free(self, connection: LoadConnection) -> None:
        """Take back an idle connection."""
        if self._waiting:
            connection.send(self._waiting.popleft())
            return
        self._idle.append(connection)

    def lost(self, connection: LoadConnection) -> None:
        """Forget a closed connection."""
        self._count -= 1
        if connection in self._idle:
            self._idle.remove(connection)
        if self._waiting and self._count < self._most:
            self._open()

    def _open(self) -> None:
        self._count += 1
        task = asyncio.ensure_future(self._async_open())
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _async_open(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.timeout):
                await loop.create_connection(
                    lambda: LoadConnection(self), self._host, self._port
                )
        except (OSError, TimeoutError) as error:
            self._count -= 1
            if self._waiting:
                reply = Reply(
                    status=0, headers=[], body=b"", error=f"connect: {error}"
                )
                self._waiting.popleft().done(reply)
