"""Tests of non-blocking log output and its volume limit."""

import logging
import os

from dragonflyshelf.runtime import log_stream


class TestSlowReader:
    """A slow reader of the pipe never blocks the writer."""

    def test_lines_are_left_out_and_counted(self) -> None:
        """Lines beyond a full buffer are dropped, and reported later."""
        read_descriptor, write_descriptor = os.pipe()
        stream = log_stream.LogStream(write_descriptor)
        line = "x" * 1023 + "\n"
        line_count = 2 * log_stream.MAX_BUFFERED_BYTES // len(line)
        for _ in range(line_count):
            stream.write(line)
        output = b""
        while b"left out" not in output:
            output += os.read(read_descriptor, 65536)
            stream.drain()
        kept_count = output.count(b"x\n")
        dropped_count = int(output.partition(b'"event": "')[2].split()[0])
        assert kept_count + dropped_count == line_count
        assert dropped_count > 0

    def test_lines_stay_complete(self) -> None:
        """Lines, also long ones, are written in order and complete."""
        read_descriptor, write_descriptor = os.pipe()
        stream = log_stream.LogStream(write_descriptor)
        lines = [f"{number}{'y' * 3000}\n" for number in range(60)]
        output = b""
        for line in lines:
            stream.write(line)
            stream.drain()
            output += os.read(read_descriptor, 1 << 20)
        assert output.decode() == "".join(lines)


class TestEnd:
    """Buffered lines are written when the process ends."""

    def test_handler_is_closed(self) -> None:
        """Closing the stream of a handler writes the last line."""
        read_descriptor, write_descriptor = os.pipe()
        handler = logging.StreamHandler(log_stream.LogStream(write_descriptor))
        handler.stream.write("last\n")
        handler.stream.close()
        assert os.read(read_descriptor, 100) == b"last\n"


class TestVolume:
    """The volume of lines is limited, except for warnings."""

    def make_record(self, level: int, created_at: float) -> logging.LogRecord:
        """Return a log record with this level and time."""
        record = logging.LogRecord("x", level, "x.py", 1, "text", None, None)
        record.created = created_at
        return record

    def test_rate(self) -> None:
        """Ten seconds pass at most the burst and ten seconds of the rate."""
        volume_filter = log_stream.VolumeFilter()
        passed_count = sum(
            volume_filter.filter(
                self.make_record(logging.INFO, 100.0 + number / 10000)
            )
            for number in range(100_000)
        )
        max_passed = (
            log_stream.BURST_LINE_COUNT
            + 10 * log_stream.SUSTAINED_LINES_PER_SECOND
        )
        assert passed_count <= max_passed + 1

    def test_warnings(self) -> None:
        """Warnings pass even if the volume is used up."""
        volume_filter = log_stream.VolumeFilter()
        for _ in range(int(log_stream.BURST_LINE_COUNT) + 10):
            volume_filter.filter(self.make_record(logging.INFO, 100.0))
        assert not volume_filter.filter(self.make_record(logging.INFO, 100.0))
        assert volume_filter.filter(self.make_record(logging.WARNING, 100.0))
