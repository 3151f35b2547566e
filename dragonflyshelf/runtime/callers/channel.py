"""Transport and HTTP state of one caller connection."""

import asyncio

import h11

from dragonflyshelf.codec import head_validation
from dragonflyshelf.core import settings
from dragonflyshelf.runtime import sockets

FLUSH_THRESHOLD_BYTES = 16384
"""Encoded events are written at once when they have this size.

Until then they are written together by the next flush.
"""


class CallerChannel:
    """Decodes received bytes to ``h11`` events and encodes events.

    ``http`` is the HTTP state of the request that is received next or at
    present. Earlier exchanges keep theirs to send the response. Only the
    connection task that owns the channel uses it.
    """

    def __init__(self, config: settings.RequestSettings) -> None:
        """Create the channel; it has no transport yet."""
        self.config = config
        self._transport: asyncio.Transport | None = None
        self._write_buffer: list[bytes] = []
        self._pending_bytes = 0
        self._written_bytes = 0
        self.http = self._new_http()

    def _new_http(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.config.head_bytes
        )

    def start_next_request(self) -> None:
        """Start to parse the request after the one that is complete."""
        remaining_bytes, is_closed = self.http.trailing_data
        self.http = self._new_http()
        if remaining_bytes:
            self.http.receive_data(remaining_bytes)
        if is_closed:
            self.http.receive_data(b"")

    @property
    def is_open(self) -> bool:
        """Return whether bytes can still be written."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_write_buffer_full(self) -> bool:
        """Return whether the write buffer is above its high-water mark."""
        return sockets.is_write_buffer_full(self._transport)

    @property
    def unparsed_bytes(self) -> int:
        """Return how many received bytes are not parsed yet."""
        return len(self.http.trailing_data[0])

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes wait to be sent."""
        if self._transport is None:
            return 0
        return self._pending_bytes + self._transport.get_write_buffer_size()

    @property
    def sent_bytes(self) -> int:
        """Return how many bytes the caller's machine has taken so far."""
        return self._written_bytes - self.unsent_bytes

    @property
    def has_partial_head(self) -> bool:
        """Return whether part of the next request head was received."""
        is_idle = self.http.their_state is h11.IDLE
        return is_idle and bool(self.http.trailing_data[0])

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set the transport."""
        self._transport = transport

    def connection_lost(self) -> None:
        """Release the transport after it was closed."""
        self._transport = None

    def next_event(self) -> h11.Event | type[h11.NEED_DATA]:
        """Return the next event parsed from the received bytes."""
        if self.http.their_state is h11.IDLE:
            raw, _ = self.http.trailing_data
            if not raw or not head_validation.is_complete(raw, self.config):
                return h11.NEED_DATA
        return self.http.next_event()

    def send(self, http: h11.Connection, event: h11.Event) -> None:
        """Encode an event to the write buffer."""
        data = http.send(event)
        if not data:
            return
        self._write_buffer.append(data)
        self._pending_bytes += len(data)
        self._written_bytes += len(data)
        if self._pending_bytes >= FLUSH_THRESHOLD_BYTES:
            self.flush()

    def flush(self) -> None:
        """Write the buffered bytes to the transport."""
        if self._write_buffer and self._transport is not None:
            self._transport.write(b"".join(self._write_buffer))
        self._write_buffer = []
        self._pending_bytes = 0

    def set_reading_paused(self, is_paused: bool) -> None:
        """Pause or resume reading."""
        if self._transport is None:
            return
        if is_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def half_close(self) -> None:
        """Flush, close the sending side and resume reading.

        The connection is reset if its peer has reset it already.
        """
        self.flush()
        if self._transport is None:
            return
        try:
            self._transport.write_eof()
        except OSError:
            self.abort()
            return
        self._transport.resume_reading()

    def abort(self) -> None:
        """Reset the connection and discard the unsent bytes."""
        self._write_buffer = []
        self._pending_bytes = 0
        if self._transport is not None:
            sockets.reset(self._transport)
            self._transport = None

    def close(self) -> None:
        """Flush and close; abort if that exceeds the linger timeout."""
        self.flush()
        if self._transport is not None:
            sockets.close_within(self._transport, self.config.linger_timeout)
            self._transport = None
