"""Standard output for logs that never blocks and is bounded in volume.

Lines gather in memory and are written in parts that the pipe can take.
When its reader is slow or too much is logged, lines are left out and
counted; a request never waits for its log.
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
"""Seconds for which lines gather before they are written."""

LINES_A_SECOND: Final = 2000.0
"""Lines below the level of warnings that are logged in the long run."""

LINES_AT_ONCE: Final = 4000.0
"""Lines below the level of warnings that are logged in a burst."""

MOST_BYTES: Final = 1024 * 1024
"""Bytes that wait for a slow reader at most."""

PART_BYTES: Final = select.PIPE_BUF
"""Bytes that a pipe takes at once if it takes any."""

LEFT_OUT: Final = prometheus_client.Counter(
    "dragonflyshelf_log_lines_left_out",
    "Log lines that were not written, by the reason",
    ("reason",),
)


class LogStream:
    """Text stream over a file descriptor, for a logging handler."""

    def __init__(self, descriptor: int) -> None:
        """Create a stream that has nothing to write."""
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._parts: collections.deque[bytes] = collections.deque()
        self._bytes = 0
        self._left_out = 0
        self._timer: asyncio.TimerHandle | None = None

    def write(self, text: str) -> int:
        """Take a line; it is left out if too much waits."""
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
        """Do nothing: a handler flushes after each line."""

    def close(self) -> None:
        """Write what the reader takes; the descriptor stays open."""
        self.drain()

    def _schedule(self) -> None:
        """Write soon, or at once where no loop runs."""
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
        """Write what the reader takes now."""
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
        """Return as much of the next lines as a pipe takes at once."""
        part = self._parts.popleft()
        while self._parts and len(part) + len(self._parts[0]) <= PART_BYTES:
            part += self._parts.popleft()
        if len(part) > PART_BYTES:
            self._parts.appendleft(part[PART_BYTES:])
            part = part[:PART_BYTES]
        return part


class VolumeFilter(standard_logging.Filter):
    """Leaves out lines beyond a rate, but never warnings and errors."""

    def __init__(self) -> None:
        """Create a filter that has seen no line."""
        super().__init__()
        self._tokens = bucket.TokenBucket(
            rate=LINES_A_SECOND, burst=LINES_AT_ONCE, now=ids.Instant(0.0)
        )

    def filter(self, record: standard_logging.LogRecord) -> bool:
        """Tell whether a line is logged."""
        if record.levelno >= standard_logging.WARNING:
            return True
        if self._tokens.take(ids.Instant(record.created)):
            return True
        LEFT_OUT.labels("volume").inc()
        return False
