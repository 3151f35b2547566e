"""Compression of large objects in updates.

A configuration with many routes goes to many followers at once, over a
link that carries the renewals of the lease too.
"""

from collections import abc
import dataclasses
import functools
from typing import Final
import zlib

from dragonflyshelf.codec import frames
from dragonflyshelf.core import errors
from dragonflyshelf.core.relay import messages

MIN_COMPRESSED_BYTES: Final = 1024
"""Size from which an object is compressed."""

COMPRESSION_LEVEL: Final = 6

CACHED_OBJECT_COUNT: Final = 16
"""Objects whose compressed value is kept for further followers."""


def compress(update: messages.Update) -> messages.Update:
    """Return the update with its large objects compressed."""
    return _with_changes(update, _is_large, _compress_change)


def decompress(update: messages.Update) -> messages.Update:
    """Return the update without compressed objects.

    Raises ``BadRequest`` if an object is not valid or too large.
    """
    return _with_changes(update, _is_compressed, _decompress_change)


def _with_changes(
    update: messages.Update,
    is_concerned: abc.Callable[[messages.RelayedChange], bool],
    convert: abc.Callable[[messages.RelayedChange], messages.RelayedChange],
) -> messages.Update:
    """Return the update with the changes converted that are concerned.

    Most updates have no such change and are returned as they are.
    """
    if not any(
        is_concerned(change)
        for relayed in update.kinds
        for change in relayed.changes
    ):
        return update
    kinds = tuple(
        dataclasses.replace(
            relayed,
            changes=tuple(
                convert(change) if is_concerned(change) else change
                for change in relayed.changes
            ),
        )
        for relayed in update.kinds
    )
    return dataclasses.replace(update, kinds=kinds)


def _is_large(change: messages.RelayedChange) -> bool:
    return len(change.spec) >= MIN_COMPRESSED_BYTES


def _is_compressed(change: messages.RelayedChange) -> bool:
    return change.compressed


def _compress_change(
    change: messages.RelayedChange,
) -> messages.RelayedChange:
    return dataclasses.replace(
        change, spec=_compress_spec(change.spec), compressed=True
    )


@functools.lru_cache(maxsize=CACHED_OBJECT_COUNT)
def _compress_spec(spec: bytes) -> bytes:
    return zlib.compress(spec, COMPRESSION_LEVEL)


def _decompress_change(
    change: messages.RelayedChange,
) -> messages.RelayedChange:
    return dataclasses.replace(
        change, spec=_decompress_spec(change.spec), compressed=False
    )


def _decompress_spec(compressed: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        spec = decompressor.decompress(compressed, frames.MAX_FRAME_BYTES)
    except zlib.error as error:
        raise errors.BadRequest(f"invalid compressed object: {error}") from (
            error
        )
    if not decompressor.eof:
        raise errors.BadRequest("compressed object is cut short or too large")
    return spec
