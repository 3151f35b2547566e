"""Compression of large objects in the updates on one connection.

A configuration with many routes goes to many followers at once, over a
link that carries the renewals of the lease too. An object that changed is
sent as the difference from the value that went before it on the same
connection.
"""

from collections import abc
import dataclasses
import functools
from typing import Final
import zlib

from dragonflyshelf.codec import delta
from dragonflyshelf.codec import frames
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.relay import messages
from dragonflyshelf.core.store import messages as store

MIN_COMPRESSED_BYTES: Final = 1024
"""Size from which an object is compressed."""

COMPRESSION_LEVEL: Final = 6

CACHED_OBJECT_COUNT: Final = 16
"""Objects whose compressed value is kept for further followers."""

ObjectKey = tuple[store.ObjectKind, ids.ObjectName]
Converter = abc.Callable[
    [ObjectKey, messages.RelayedChange], messages.RelayedChange
]


class UpdateCompressor:
    """Compresses the updates that are sent on one connection."""

    def __init__(self) -> None:
        """Create a compressor for a connection without updates."""
        self._sent_by_key: dict[ObjectKey, bytes] = {}

    def compress(
        self, update: messages.Update, allow_deltas: bool
    ) -> messages.Update:
        """Return the update with its large objects compressed.

        It must be sent, as later ones may refer to its objects.
        """

        def convert(
            key: ObjectKey, change: messages.RelayedChange
        ) -> messages.RelayedChange:
            return self._compress(key, change, allow_deltas)

        return _with_changes(update, _is_large, convert)

    def _compress(
        self,
        key: ObjectKey,
        change: messages.RelayedChange,
        allow_deltas: bool,
    ) -> messages.RelayedChange:
        base = self._sent_by_key.get(key)
        self._sent_by_key[key] = change.spec
        if base is None or not allow_deltas:
            return dataclasses.replace(
                change, spec=_compress_spec(change.spec), compressed=True
            )
        return dataclasses.replace(
            change,
            spec=_compress_delta(base, change.spec),
            compressed=True,
            is_delta=True,
        )


class UpdateDecompressor:
    """Decompresses the updates that arrive on one connection."""

    def __init__(self) -> None:
        """Create a decompressor for a connection without updates."""
        self._received_by_key: dict[ObjectKey, bytes] = {}

    def decompress(self, update: messages.Update) -> messages.Update:
        """Return the update without compressed objects.

        Raises ``BadRequest`` if an object is not valid or too large.
        """
        return _with_changes(update, _is_compressed, self._decompress)

    def _decompress(
        self, key: ObjectKey, change: messages.RelayedChange
    ) -> messages.RelayedChange:
        spec = _decompress_spec(change.spec)
        if change.is_delta:
            base = self._received_by_key.get(key)
            if base is None:
                raise errors.BadRequest("delta of an object not received")
            spec = delta.apply(base, spec)
        self._received_by_key[key] = spec
        return dataclasses.replace(
            change, spec=spec, compressed=False, is_delta=False
        )


def _with_changes(
    update: messages.Update,
    is_concerned: abc.Callable[[messages.RelayedChange], bool],
    convert: Converter,
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
                (
                    convert((relayed.kind, change.name), change)
                    if is_concerned(change)
                    else change
                )
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


@functools.lru_cache(maxsize=CACHED_OBJECT_COUNT)
def _compress_spec(spec: bytes) -> bytes:
    return zlib.compress(spec, COMPRESSION_LEVEL)


@functools.lru_cache(maxsize=CACHED_OBJECT_COUNT)
def _compress_delta(base: bytes, spec: bytes) -> bytes:
    return zlib.compress(delta.make(base, spec), COMPRESSION_LEVEL)


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
