"""Length-prefixed Cap'n Proto frames between processes.

A frame is a four-byte big-endian length followed by one Cap'n Proto
``Frame``. Each dataclass is mapped by field names to the struct of a
union member, so a new message needs a struct and a union member.
"""

from collections import abc
import dataclasses
import enum
import pathlib
import struct
import types
import typing
from typing import Any, Final

import capnp

from dragonflyshelf.core import errors

Converter = abc.Callable[[Any], Any]

LENGTH: Final = struct.Struct(">I")
LONGEST_FRAME_BYTES: Final = 8 * 1024 * 1024
"""Maximum frame length, which bounds the receive buffer."""

capnp.remove_import_hook()


class FrameCodec:
    """Encodes and decodes the messages of one schema."""

    def __init__(
        self, schema: pathlib.Path, types_by_member: dict[str, type]
    ) -> None:
        """Load a schema whose ``Frame`` is a union of the given members."""
        self._frame = capnp.load(str(schema)).Frame
        self._encoders_by_type = {
            kind: (member, _dataclass_converters(kind)[0])
            for member, kind in types_by_member.items()
        }
        self._decoders_by_member = {
            member: _dataclass_converters(kind)[1]
            for member, kind in types_by_member.items()
        }

    def encode(self, message: Any) -> bytes:
        """Return the frame of a message, with the length prefix."""
        member, to_struct = self._encoders_by_type[type(message)]
        frame = self._frame.new_message()
        _fill(frame.init(member), to_struct(message))
        data = frame.to_bytes()
        return LENGTH.pack(len(data)) + data

    def decode(self, body: bytes) -> Any:
        """Return the message of a frame, given without the length prefix.

        Raises ``BadRequest`` if the frame is invalid.
        """
        try:
            with self._frame.from_bytes(body) as frame:
                member = str(frame.which())
                return self._decoders_by_member[member](getattr(frame, member))
        except (capnp.KjException, ValueError) as error:
            raise errors.BadRequest(f"invalid frame: {error}") from error


class FrameDecoder:
    """Splits a byte stream into frames and decodes their messages."""

    def __init__(self, codec: FrameCodec) -> None:
        """Create a decoder for one connection."""
        self._codec = codec
        self._buffer = bytearray()

    def receive(self, data: bytes) -> list[Any]:
        """Add received bytes and return the messages that they complete.

        Raises ``BadRequest`` if a frame is too long or invalid.
        """
        self._buffer += data
        found = []
        start = 0
        while len(self._buffer) - start >= LENGTH.size:
            (length,) = LENGTH.unpack_from(self._buffer, start)
            if length > LONGEST_FRAME_BYTES:
                raise errors.BadRequest(f"frame of {length} bytes is too long")
            begin = start + LENGTH.size
            if len(self._buffer) < begin + length:
                break
            body = bytes(self._buffer[begin : begin + length])
            found.append(self._codec.decode(body))
            start = begin + length
        del self._buffer[:start]
        return found


def _camel(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(part.title() for part in rest)


def _identity(value: Any) -> Any:
    return value


def _plain_type(kind: Any) -> Any:
    while isinstance(kind, typing.NewType):
        kind = kind.__supertype__
    return kind


def _converters(kind: Any) -> tuple[Converter, Converter]:
    """Return functions that convert a field to its capnp value and back."""
    kind = _plain_type(kind)
    if typing.get_origin(kind) in (tuple, types.GenericAlias):
        encode, decode = _converters(typing.get_args(kind)[0])
        return (
            lambda items: [encode(one) for one in items],
            lambda items: tuple([decode(one) for one in items]),
        )
    if dataclasses.is_dataclass(kind):
        return _dataclass_converters(kind)
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return lambda value: value.value, kind
    return _identity, _identity


def _dataclass_converters(kind: Any) -> tuple[Converter, Converter]:
    hints = typing.get_type_hints(kind)
    rows = [
        (field.name, _camel(field.name), *_converters(hints[field.name]))
        for field in dataclasses.fields(kind)
    ]

    def encode(value: Any) -> dict[str, Any]:
        return {camel: to(getattr(value, name)) for name, camel, to, _ in rows}

    def decode(reader: Any) -> Any:
        return kind(
            **{
                name: back(getattr(reader, camel))
                for name, camel, _, back in rows
            }
        )

    return encode, decode


def _fill(builder: Any, fields: dict[str, Any]) -> None:
    """Set the fields of a struct; much faster than keyword arguments."""
    for name, value in fields.items():
        if type(value) is dict:
            _fill(builder.init(name), value)
        elif type(value) is list:
            _fill_list(builder.init(name, len(value)), value)
        else:
            setattr(builder, name, value)


def _fill_list(builder: Any, items: list[Any]) -> None:
    for number, item in enumerate(items):
        if type(item) is dict:
            _fill(builder[number], item)
        else:
            builder[number] = item
