"""Differences between two values of an object.

Most changes of a long configuration concern a few rows of its tables. A
value is divided where a row ends, and a delta refers to the pieces that
the former value has too.
"""

from typing import Final

import msgspec
import xxhash

from dragonflyshelf.codec import frames
from dragonflyshelf.core import errors

ROW_END: Final = b"],"


class Run(msgspec.Struct, array_like=True):
    """Pieces ``start`` to ``start + count`` of the base, then new bytes."""

    start: int
    count: int
    literal: bytes


class Delta(msgspec.Struct, array_like=True):
    """Runs that make up a value, and the xxh64 digest of that value."""

    digest: int
    runs: list[Run]


_DECODER: Final = msgspec.msgpack.Decoder(Delta)


def make(base: bytes, value: bytes) -> bytes:
    """Return the difference of a value from a base."""
    base_pieces = _split(base)
    index_by_piece = {piece: index for index, piece in enumerate(base_pieces)}
    run = Run(start=0, count=0, literal=b"")
    runs = [run]
    literals: list[bytes] = []
    for piece in _split(value):
        next_index = run.start + run.count
        if (
            not literals
            and next_index < len(base_pieces)
            and base_pieces[next_index] == piece
        ):
            run.count += 1
            continue
        index = index_by_piece.get(piece)
        if index is None:
            literals.append(piece)
            continue
        run.literal = b"".join(literals)
        literals = []
        run = Run(start=index, count=1, literal=b"")
        runs.append(run)
    run.literal = b"".join(literals)
    digest = xxhash.xxh64_intdigest(value)
    return msgspec.msgpack.encode(Delta(digest=digest, runs=runs))


def apply(base: bytes, delta: bytes) -> bytes:
    """Return the value that differs from a base by a delta.

    Raises ``BadRequest`` if the delta is not valid for the base.
    """
    try:
        decoded = _DECODER.decode(delta)
    except msgspec.MsgspecError as error:
        raise errors.BadRequest(f"invalid delta: {error}") from error
    base_pieces = _split(base)
    value = bytearray()
    for run in decoded.runs:
        if not 0 <= run.start <= run.start + run.count <= len(base_pieces):
            raise errors.BadRequest("delta refers to missing pieces")
        for piece in base_pieces[run.start : run.start + run.count]:
            value += piece
        value += run.literal
        if len(value) > frames.MAX_FRAME_BYTES:
            raise errors.BadRequest("delta makes too large an object")
    if xxhash.xxh64_intdigest(value) != decoded.digest:
        raise errors.BadRequest("delta does not belong to the object")
    return bytes(value)


def _split(value: bytes) -> list[bytes]:
    """Return the pieces of a value, each with the end of its row."""
    *rows, rest = value.split(ROW_END)
    return [*(row + ROW_END for row in rows), rest]
