"""Tests of dragonflyshelf.codec.delta."""

import hypothesis
from hypothesis import strategies
import msgspec
import pytest
import xxhash

from dragonflyshelf.codec import delta
from dragonflyshelf.codec import frames
from dragonflyshelf.core import errors

VALUES = strategies.lists(
    strategies.sampled_from([b"[1],", b"[2],", b"[3,4],", b"],", b"x", b""]),
    max_size=12,
).map(b"".join)
"""Values with rows that are alike, which a delta may confuse."""


def encode(value: bytes, *runs: delta.Run) -> bytes:
    """Return a delta with the digest of a value."""
    digest = xxhash.xxh64_intdigest(value)
    return msgspec.msgpack.encode(delta.Delta(digest=digest, runs=[*runs]))


class TestDelta:
    """A value is its base and the difference from it."""

    @hypothesis.given(base=VALUES, value=VALUES)
    def test_any_values(self, base: bytes, value: bytes) -> None:
        """The value comes out again, whatever both have in common."""
        assert delta.apply(base, delta.make(base, value)) == value

    def test_one_row(self) -> None:
        """A changed row costs little more than its own bytes."""
        rows = [b"[%d]," % number for number in range(1000)]
        base = b"".join(rows)
        rows[500] = b"[changed],"
        value = b"".join(rows)
        assert len(delta.make(base, value)) < 50


class TestInvalidDelta:
    """A delta that does not belong to the base is refused with a code."""

    def test_other_base(self) -> None:
        """The digest shows that the base is another one."""
        difference = delta.make(b"[1],[2],x", b"[1],[3],x")
        with pytest.raises(errors.BadRequest):
            delta.apply(b"[9],[2],x", difference)

    @pytest.mark.parametrize(("start", "count"), [(-1, 1), (0, 9), (1, -1)])
    def test_missing_pieces(self, start: int, count: int) -> None:
        """A run must lie within the base."""
        run = delta.Run(start=start, count=count, literal=b"")
        with pytest.raises(errors.BadRequest):
            delta.apply(b"[1],x", encode(b"", run))

    def test_value_that_grows_too_large(self) -> None:
        """A small delta can't take much memory."""
        base = bytes(frames.MAX_FRAME_BYTES // 2 + 1)
        run = delta.Run(start=0, count=1, literal=b"")
        with pytest.raises(errors.BadRequest):
            delta.apply(base, encode(base * 2, run, run))

    @hypothesis.given(data=strategies.binary(max_size=40))
    def test_any_bytes(self, data: bytes) -> None:
        """Other bytes are refused too."""
        with pytest.raises(errors.BadRequest):
            delta.apply(b"[1],x", data)
