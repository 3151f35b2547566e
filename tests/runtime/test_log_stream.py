"""Tests of logs that never block and are bounded in volume."""

import logging
import os

from dragonflyshelf.runtime import log_stream


class TestSlowReader:
    """A reader that does not read holds nothing up."""

    def test_lines_are_left_out_and_counted(self) -> None:
        """A full pipe takes no more, and what is lost is told later."""
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
        """Lines come out in order and unbroken, long ones too."""
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
    """The end of a process writes what waits."""

    def test_handler_is_closed(self) -> None:
        """A handler closes its stream; the last line is written."""
        reading, writing = os.pipe()
        handler = logging.StreamHandler(log_stream.LogStream(writing))
        handler.stream.write("last\n")
        handler.stream.close()
        assert os.read(reading, 100) == b"last\n"


class TestVolume:
    """A burst of lines is cut, warnings are not."""

    def record(self, level: int, at: float) -> logging.LogRecord:
        """Return a record of a level at a time."""
        made = logging.LogRecord("x", level, "x.py", 1, "text", None, None)
        made.created = at
        return made

    def test_rate(self) -> None:
        """In ten seconds no more than burst and rate pass."""
        volume = log_stream.VolumeFilter()
        passed = sum(
            volume.filter(self.record(logging.INFO, 100.0 + n / 10000))
            for n in range(100_000)
        )
        most = log_stream.LINES_AT_ONCE + 10 * log_stream.LINES_A_SECOND
        assert passed <= most + 1

    def test_warnings(self) -> None:
        """Warnings pass whatever came before."""
        volume = log_stream.VolumeFilter()
        for _ in range(int(log_stream.LINES_AT_ONCE) + 10):
            volume.filter(self.record(logging.INFO, 100.0))
        assert not volume.filter(self.record(logging.INFO, 100.0))
        assert volume.filter(self.record(logging.WARNING, 100.0))
