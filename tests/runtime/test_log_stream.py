"""Tests of non-blocking log output and its volume limit."""

import logging
import os

from dragonflyshelf.runtime import log_stream


class TestSlowReader:
    """A slow reader of the pipe never blocks the writer."""

    def test_lines_are_left_out_and_counted(self) -> None:
        """Lines beyond a full buffer are dropped, and reported later."""
        reading, writing = os.pipe()
        stream = log_stream.LogStream(writing)
        line = "x" * 1023 + "\n"
        lines = 2 * log_stream.MOST_BYTES // len(line)
        for _ in range(lines):
            stream.write(line)
        read = b""
        while b"left out" not in read:
            read += os.read(reading, 65536)
            stream.drain()
        kept = read.count(b"x\n")
        left_out = int(read.partition(b'"event": "')[2].split()[0])
        assert kept + left_out == lines
        assert left_out > 0

    def test_lines_stay_whole(self) -> None:
        """Lines, also long ones, are written in order and complete."""
        reading, writing = os.pipe()
        stream = log_stream.LogStream(writing)
        lines = [f"{number}{'y' * 3000}\n" for number in range(60)]
        read = b""
        for line in lines:
            stream.write(line)
            stream.drain()
            read += os.read(reading, 1 << 20)
        assert read.decode() == "".join(lines)


class TestEnd:
    """Buffered lines are written when the process ends."""

    def test_handler_is_closed(self) -> None:
        """Closing the stream of a handler writes the last line."""
        reading, writing = os.pipe()
        handler = logging.StreamHandler(log_stream.LogStream(writing))
        handler.stream.write("last\n")
        handler.stream.close()
        assert os.read(reading, 100) == b"last\n"


class TestVolume:
    """The volume of lines is limited, except for warnings."""

    def record(self, level: int, at: float) -> logging.LogRecord:
        """Return a log record with this level and time."""
        made = logging.LogRecord("x", level, "x.py", 1, "text", None, None)
        made.created = at
        return made

    def test_rate(self) -> None:
        """Ten seconds pass at most the burst and ten seconds of the rate."""
        volume = log_stream.VolumeFilter()
        passed = sum(
            volume.filter(self.record(logging.INFO, 100.0 + n / 10000))
            for n in range(100_000)
        )
        most = log_stream.LINES_AT_ONCE + 10 * log_stream.LINES_A_SECOND
        assert passed <= most + 1

    def test_warnings(self) -> None:
        """Warnings pass even if the volume is used up."""
        volume = log_stream.VolumeFilter()
        for _ in range(int(log_stream.LINES_AT_ONCE) + 10):
            volume.filter(self.record(logging.INFO, 100.0))
        assert not volume.filter(self.record(logging.INFO, 100.0))
        assert volume.filter(self.record(logging.WARNING, 100.0))
