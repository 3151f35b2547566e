"""Non-blocking output stream for logs, with a limited volume.

Lines are buffered in memory and written in chunks that a pipe accepts
without blocking. If the reader of the pipe is slow or too much is logged,
lines are dropped and counted, so that logging never delays a request.
"""

import asyncio
import collections
import logging as standard_logging
import os
import select
from typing import Final

import prometheus_client

from dragonflyshelf.core import ids
from dragonflyshelf.core.quota import bucket

FLUSH_INTERVAL_SECONDS: Final = 0.05
"""Seconds for which lines are buffered before they are written."""

SUSTAINED_LINES_PER_SECOND: Final = 2000.0
"""Sustained rate of lines below the warning level."""

BURST_LINE_COUNT: Final = 4000.0
"""Burst of lines below the warning level."""

MAX_BUFFERED_BYTES: Final = 1024 * 1024
"""Bytes buffered for a slow reader; further lines are dropped."""

MAX_WRITE_BYTES: Final = select.PIPE_BUF
"""Largest write that does not block on a pipe that polls as writable."""

DROPPED_LINES: Final = prometheus_client.Counter(
    "dragonflyshelf_log_lines_left_out",
    "Log lines that were not written, by the reason",
    ("reason",),
)


class LogStream:
    """Buffered text stream on a file descriptor, for a logging handler."""

    def __init__(self, descriptor: int) -> None:
        """Create a stream with an empty buffer."""
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._chunks: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._dropped_count = 0
        self._timer: asyncio.TimerHandle | None = None

    def write(self, text: str) -> int:
        """Buffer a line; it is dropped if the buffer is full."""
        data = text.encode()
        if self._buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self._dropped_count += 1
            DROPPED_LINES.labels("reader").inc()
            return len(text)
        self._chunks.append(data)
        self._buffered_bytes += len(data)
        self._schedule()
        return len(text)

    def flush(self) -> None:
        """Do nothing, as logging handlers flush after each line."""

    def close(self) -> None:
        """Write without blocking; the descriptor stays open."""
        self.drain()

    def _schedule(self) -> None:
        """Schedule a write, or write now if no event loop is running."""
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.drain()
            return
        self._timer = loop.call_later(FLUSH_INTERVAL_SECONDS, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.drain()
        if self._chunks:
            self._schedule()

    def drain(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        while self._chunks and self._is_writable():
            chunk = self._take_chunk()
            written = os.write(self._descriptor, chunk)
            self._buffered_bytes -= written
            if written < len(chunk):
                self._chunks.appendleft(chunk[written:])
        if self._dropped_count and not self._chunks:
            count = self._dropped_count
            self._dropped_count = 0
            self.write(f'{{"event": "{count} log lines were left out"}}\n')

    def _is_writable(self) -> bool:
        return any(events & select.POLLOUT for _, events in self._poll.poll(0))

    def _take_chunk(self) -> bytes:
        """Remove and return the next lines, up to the size of a write."""
        chunk = self._chunks.popleft()
        while (
            self._chunks
            and len(chunk) + len(self._chunks[0]) <= MAX_WRITE_BYTES
        ):
            chunk += self._chunks.popleft()
        if len(chunk) > MAX_WRITE_BYTES:
            self._chunks.appendleft(chunk[MAX_WRITE_BYTES:])
            chunk = chunk[:MAX_WRITE_BYTES]
        return chunk


class VolumeFilter(standard_logging.Filter):
    """Drops lines above a rate, except warnings and errors."""

    def __init__(self) -> None:
        """Create a filter with the whole burst available."""
        super().__init__()
        self._tokens = bucket.TokenBucket(
            rate=SUSTAINED_LINES_PER_SECOND,
            burst=BURST_LINE_COUNT,
            now=ids.Instant(0.0),
        )

    def filter(self, record: standard_logging.LogRecord) -> bool:
        """Return whether a line is logged."""
        if record.levelno >= standard_logging.WARNING:
            return True
        if self._tokens.take(ids.Instant(record.created)):
            return True
        DROPPED_LINES.labels("volume").inc()
        return False
