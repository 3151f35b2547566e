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

LENGTH_PREFIX: Final = struct.Struct(">I")
MAX_FRAME_BYTES: Final = 8 * 1024 * 1024
"""Maximum length of a frame; bounds the receive buffer."""

capnp.remove_import_hook()


class FrameCodec:
    """Encodes and decodes the messages of one schema."""

    def __init__(
        self, schema: pathlib.Path, types_by_member: dict[str, type]
    ) -> None:
        """Load a schema whose ``Frame`` is a union of the given members."""
        self._frame = capnp.load(str(schema)).Frame
        self._encoders_by_type = {
            message_type: (member, _make_dataclass_converters(message_type)[0])
            for member, message_type in types_by_member.items()
        }
        self._decoders_by_member = {
            member: _make_dataclass_converters(message_type)[1]
            for member, message_type in types_by_member.items()
        }

    def encode(self, message: Any) -> bytes:
        """Return the frame of a message, with the length prefix."""
        member, convert = self._encoders_by_type[type(message)]
        frame = self._frame.new_message()
        _set_fields(frame.init(member), convert(message))
        data = frame.to_bytes()
        return LENGTH_PREFIX.pack(len(data)) + data

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
        messages = []
        frame_start = 0
        while len(self._buffer) - frame_start >= LENGTH_PREFIX.size:
            (length,) = LENGTH_PREFIX.unpack_from(self._buffer, frame_start)
            if length > MAX_FRAME_BYTES:
                raise errors.BadRequest(f"frame of {length} bytes is too long")
            body_start = frame_start + LENGTH_PREFIX.size
            if len(self._buffer) < body_start + length:
                break
            body = bytes(self._buffer[body_start : body_start + length])
            messages.append(self._codec.decode(body))
            frame_start = body_start + length
        del self._buffer[:frame_start]
        return messages


def _to_camel_case(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(part.title() for part in rest)


def _identity(value: Any) -> Any:
    return value


def _resolve_new_type(hint: Any) -> Any:
    while isinstance(hint, typing.NewType):
        hint = hint.__supertype__
    return hint


def _make_converters(hint: Any) -> tuple[Converter, Converter]:
    """Return functions that convert a field to its capnp value and back."""
    hint = _resolve_new_type(hint)
    if typing.get_origin(hint) in (tuple, types.GenericAlias):
        encode, decode = _make_converters(typing.get_args(hint)[0])
        return (
            lambda items: [encode(item) for item in items],
            lambda items: tuple([decode(item) for item in items]),
        )
    if dataclasses.is_dataclass(hint):
        return _make_dataclass_converters(hint)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return lambda value: value.value, hint
    return _identity, _identity


def _make_dataclass_converters(dataclass: Any) -> tuple[Converter, Converter]:
    hints = typing.get_type_hints(dataclass)
    conversions = [
        (
            field.name,
            _to_camel_case(field.name),
            *_make_converters(hints[field.name]),
        )
        for field in dataclasses.fields(dataclass)
    ]

    def encode(value: Any) -> dict[str, Any]:
        return {
            capnp_name: encode_field(getattr(value, name))
            for name, capnp_name, encode_field, _ in conversions
        }

    def decode(reader: Any) -> Any:
        return dataclass(
            **{
                name: decode_field(getattr(reader, capnp_name))
                for name, capnp_name, _, decode_field in conversions
            }
        )

    return encode, decode


def _set_fields(builder: Any, fields: dict[str, Any]) -> None:
    """Set the fields of a struct; much faster than keyword arguments."""
    for name, value in fields.items():
        if type(value) is dict:
            _set_fields(builder.init(name), value)
        elif type(value) is list:
            _set_items(builder.init(name, len(value)), value)
        else:
            setattr(builder, name, value)


def _set_items(builder: Any, items: list[Any]) -> None:
    for index, item in enumerate(items):
        if type(item) is dict:
            _set_fields(builder[index], item)
        else:
            builder[index] = item
