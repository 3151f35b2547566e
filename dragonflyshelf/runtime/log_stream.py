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

FLUSH_INTERVAL: Final = 0.05
"""Seconds for which lines are buffered before they are written."""

LINES_A_SECOND: Final = 2000.0
"""Sustained rate of lines below the warning level."""

LINES_AT_ONCE: Final = 4000.0
"""Burst of lines below the warning level."""

MOST_BYTES: Final = 1024 * 1024
"""Bytes buffered for a slow reader; further lines are dropped."""

PART_BYTES: Final = select.PIPE_BUF
"""Largest write that does not block on a pipe that polls as writable."""

LEFT_OUT: Final = prometheus_client.Counter(
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
        if self._buffered_bytes + len(data) > MOST_BYTES:
            self._dropped_count += 1
            LEFT_OUT.labels("reader").inc()
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
        self._timer = loop.call_later(FLUSH_INTERVAL, self._on_timer)

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
        while self._chunks and len(chunk) + len(self._chunks[0]) <= PART_BYTES:
            chunk += self._chunks.popleft()
        if len(chunk) > PART_BYTES:
            self._chunks.appendleft(chunk[PART_BYTES:])
            chunk = chunk[:PART_BYTES]
        return chunk


class VolumeFilter(standard_logging.Filter):
    """Drops lines above a rate, except warnings and errors."""

    def __init__(self) -> None:
        """Create a filter with the whole burst available."""
        super().__init__()
        self._tokens = bucket.TokenBucket(
            rate=LINES_A_SECOND, burst=LINES_AT_ONCE, now=ids.Instant(0.0)
        )

    def filter(self, record: standard_logging.LogRecord) -> bool:
        """Return whether a line is logged."""
        if record.levelno >= standard_logging.WARNING:
            return True
        if self._tokens.take(ids.Instant(record.created)):
            return True
        LEFT_OUT.labels("volume").inc()
        return False
