"""Socket and incoming bytes of one caller's connection."""

import asyncio

import h11

from dragonflyshelf.codec import head_validation
from dragonflyshelf.core import settings
from dragonflyshelf.runtime import sockets

FLUSH_BYTES = 16384


class CallerWire:
    """Bytes in, events out, and the other way round.

    The connection task that holds it is its only user. ``http`` is the
    state of the request that is read at present.
    """

    def __init__(self, config: settings.RequestSettings) -> None:
        """Create a wire whose socket is not open yet."""
        self.config = config
        self._transport: asyncio.Transport | None = None
        self._unwritten: list[bytes] = []
        self.http = self._new_http()

    def _new_http(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.config.head_bytes
        )

    def next_request(self) -> None:
        """Go on to the request behind the one that has been read."""
        rest, closed = self.http.trailing_data
        self.http = self._new_http()
        if rest:
            self.http.receive_data(rest)
        if closed:
            self.http.receive_data(b"")

    @property
    def is_open(self) -> bool:
        """Tell whether bytes can still be written."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_full(self) -> bool:
        """Tell whether the caller reads more slowly than we write."""
        return sockets.is_full(self._transport)

    @property
    def has_partial_head(self) -> bool:
        """Tell whether the next request has begun to come in."""
        waits = self.http.their_state is h11.IDLE
        return waits and bool(self.http.trailing_data[0])

    def open(self, transport: asyncio.Transport) -> None:
        """Take over the socket."""
        self._transport = transport

    def lost(self) -> None:
        """Forget a socket that is gone."""
        self._transport = None

    def next_event(self) -> h11.Event | type[h11.NEED_DATA]:
        """Return the next event of the caller's bytes."""
        if self.http.their_state is h11.IDLE:
            raw, _ = self.http.trailing_data
            if not raw or not head_validation.is_complete(raw, self.config):
                return h11.NEED_DATA
        return self.http.next_event()

    def send(self, http: h11.Connection, event: h11.Event) -> None:
        """Encode an event; ``flush`` writes it."""
        data = http.send(event)
        if not data:
            return
        self._unwritten.append(data)
        if len(data) >= FLUSH_BYTES:
            self.flush()

    def flush(self) -> None:
        """Write what has been encoded, in one piece."""
        if self._unwritten and self._transport is not None:
            self._transport.write(b"".join(self._unwritten))
        self._unwritten = []

    def hold(self, is_held: bool) -> None:
        """Stop to read, or go on."""
        if self._transport is None:
            return
        if is_held:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def end_side(self) -> None:
        """Write the rest and end our side; reading goes on."""
        self.flush()
        if self._transport is not None:
            self._transport.write_eof()
            self._transport.resume_reading()

    def abort(self) -> None:
        """Drop the socket with all that is unwritten."""
        self._unwritten = []
        if self._transport is not None:
            sockets.reset(self._transport)
            self._transport = None

    def close(self) -> None:
        """Write the rest within the linger timeout, and close."""
        self.flush()
        if self._transport is not None:
            sockets.close_within(self._transport, self.config.linger_timeout)
            self._transport = None
