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
        self._parts: collections.deque[bytes] = collections.deque()
        self._bytes = 0
        self._left_out = 0
        self._timer: asyncio.TimerHandle | None = None

    def write(self, text: str) -> int:
        """Buffer a line; it is dropped if the buffer is full."""
        data = text.encode()
        if self._bytes + len(data) > MOST_BYTES:
            self._left_out += 1
            LEFT_OUT.labels("reader").inc()
            return len(text)
        self._parts.append(data)
        self._bytes += len(data)
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
        if self._parts:
            self._schedule()

    def drain(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        while self._parts and self._is_writable():
            part = self._next_part()
            written = os.write(self._descriptor, part)
            self._bytes -= written
            if written < len(part):
                self._parts.appendleft(part[written:])
        if self._left_out and not self._parts:
            count = self._left_out
            self._left_out = 0
            self.write(f'{{"event": "{count} log lines were left out"}}\n')

    def _is_writable(self) -> bool:
        return any(events & select.POLLOUT for _, events in self._poll.poll(0))

    def _next_part(self) -> bytes:
        """Remove and return the next lines, up to the size of a write."""
        part = self._parts.popleft()
        while self._parts and len(part) + len(self._parts[0]) <= PART_BYTES:
            part += self._parts.popleft()
        if len(part) > PART_BYTES:
            self._parts.appendleft(part[PART_BYTES:])
            part = part[:PART_BYTES]
        return part


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
