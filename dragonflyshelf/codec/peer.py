"""Frames between instances, by ``pycapnp``.

A frame is a length of four bytes, a causal stamp of eight, both big end
first, and one Cap'n Proto ``Frame``. Each dataclass is mapped to the
struct of its union member by field name, so a new message needs a
struct, a union member and a line in ``TYPES_BY_MEMBER``.
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
import msgspec

from dragonflyshelf.codec import objects
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.limits import messages as limits
from dragonflyshelf.core.membership import messages as leases
from dragonflyshelf.core import messages
from dragonflyshelf.core.peers import messages as peers
from dragonflyshelf.core.platform import relay
from dragonflyshelf.core import states
from dragonflyshelf.core.timeline import clock

Encoder = abc.Callable[[Any], Any]

LENGTH: Final = struct.Struct(">I")
PREFIX: Final = struct.Struct(">IQ")
LONGEST_FRAME_BYTES: Final = 4 * 1024 * 1024
SCHEMA: Final = pathlib.Path(__file__).with_name("peer.capnp")

capnp.remove_import_hook()
_schema = capnp.load(str(SCHEMA))
_FRAME: Final = _schema.Frame

TYPES_BY_MEMBER: Final[dict[str, type]] = {
    "answerChunk": messages.AnswerChunk,
    "answerEnd": messages.AnswerEnd,
    "answerFailed": messages.AnswerFailed,
    "answerHead": messages.AnswerHead,
    "bodyChunk": messages.BodyChunk,
    "bodyEnd": messages.BodyEnd,
    "borrow": limits.Borrow,
    "cancel": messages.Cancel,
    "claimHomes": limits.ClaimHomes,
    "credit": messages.Credit,
    "giveBack": limits.GiveBack,
    "heartbeat": peers.Heartbeat,
    "hello": peers.Hello,
    "homesClaimed": limits.HomesClaimed,
    "lend": limits.Lend,
    "open": peers.Open,
    "promise": leases.Promise,
    "promiseRelease": leases.PromiseRelease,
    "promiseRequest": leases.PromiseRequest,
    "relayRequest": relay.RelayRequest,
    "relayedState": relay.RelayedState,
    "renewalRequest": leases.RenewalRequest,
}
MEMBERS_BY_TYPE: Final = {
    kind: member for member, kind in TYPES_BY_MEMBER.items()
}


def _camel(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(part.title() for part in rest)


def _identity(value: Any) -> Any:
    return value


def _plain_type(kind: Any) -> Any:
    while isinstance(kind, typing.NewType):
        kind = kind.__supertype__
    return kind


def _error_to_struct(error: errors.RouterError) -> dict[str, Any]:
    return {
        "code": error.code,
        "message": error.message,
        "outcome": error.outcome.value,
        "peer": error.peer,
        "retryAfter": error.retry_after,
        "step": error.step.value,
    }


def _error_from_struct(reader: Any) -> errors.RouterError:
    kind = errors.ERRORS_BY_CODE.get(reader.code, errors.UpstreamFailed)
    return kind(
        reader.message,
        step=states.Step(reader.step),
        peer=reader.peer,
        outcome=states.Outcome(reader.outcome),
        retry_after=reader.retryAfter,
    )


def _relayed_to_struct(relayed: relay.RelayedObject) -> dict[str, Any]:
    value = None
    if relayed.value is not None:
        value = objects.to_plain(relayed.value)
    return {
        "kind": relayed.kind.value,
        "name": relayed.name,
        "version": relayed.version,
        "value": msgspec.json.encode(value),
        "renewal": relayed.renewal,
    }


def _relayed_from_struct(reader: Any) -> relay.RelayedObject:
    kind = states.ObjectKind(reader.kind)
    plain = msgspec.json.decode(reader.value)
    return relay.RelayedObject(
        kind=kind,
        name=ids.ObjectName(reader.name),
        version=ids.Version(reader.version),
        value=None if plain is None else objects.from_plain(kind, plain),
        renewal=reader.renewal,
    )


def _converters(kind: Any) -> tuple[Encoder, Encoder]:
    """Return the functions to and from the struct's field value."""
    kind = _plain_type(kind)
    if typing.get_origin(kind) in (tuple, types.GenericAlias):
        encode, decode = _converters(typing.get_args(kind)[0])
        return (
            lambda items: [encode(one) for one in items],
            lambda items: tuple([decode(one) for one in items]),
        )
    if kind is errors.RouterError:
        return _error_to_struct, _error_from_struct
    if kind is relay.RelayedObject:
        return _relayed_to_struct, _relayed_from_struct
    if dataclasses.is_dataclass(kind):
        return _dataclass_converters(kind)
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return lambda value: value.value, kind
    return _identity, _identity


def _dataclass_converters(kind: Any) -> tuple[Encoder, Encoder]:
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


_ENCODERS_BY_TYPE: Final = {
    kind: (member, _dataclass_converters(kind)[0])
    for kind, member in MEMBERS_BY_TYPE.items()
}
_DECODERS_BY_MEMBER: Final = {
    member: _dataclass_converters(kind)[1]
    for member, kind in TYPES_BY_MEMBER.items()
}


def _fill(builder: Any, fields: dict[str, Any]) -> None:
    """Set the fields of a struct; by far faster than by keyword."""
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


def encode(message: Any, stamp: ids.Stamp = clock.NO_STAMP) -> bytes:
    """Return one frame with its length and its causal stamp."""
    member, to_struct = _ENCODERS_BY_TYPE[type(message)]
    frame = _FRAME.new_message()
    _fill(frame.init(member), to_struct(message))
    data = frame.to_bytes()
    return PREFIX.pack(len(data), stamp) + data


class FrameDecoder:
    """Collects bytes and yields the messages that are whole."""

    def __init__(self) -> None:
        """Create a decoder for one link."""
        self._buffer = bytearray()
        self.stamp = clock.NO_STAMP
        """Highest causal stamp of the frames so far."""

    def receive(self, data: bytes) -> list[Any]:
        """Add bytes and return the messages that became whole.

        Raises ``BadRequest`` for a frame that is too long or not valid.
        """
        self._buffer += data
        found = []
        start = 0
        while len(self._buffer) - start >= LENGTH.size:
            (length,) = LENGTH.unpack_from(self._buffer, start)
            if length > LONGEST_FRAME_BYTES:
                raise errors.BadRequest("frame is too long")
            end = start + PREFIX.size + length
            if len(self._buffer) < end:
                break
            _, stamp = PREFIX.unpack_from(self._buffer, start)
            body = bytes(self._buffer[start + PREFIX.size : end])
            found.append(decode_frame(body))
            self.stamp = max(self.stamp, stamp)
            start = end
        del self._buffer[:start]
        return found


def decode_frame(body: bytes) -> Any:
    """Return the message of one frame without its prefix."""
    try:
        with _FRAME.from_bytes(body) as frame:
            member = frame.which()
            return _DECODERS_BY_MEMBER[str(member)](
                getattr(frame, str(member))
            )
    except (capnp.KjException, ValueError) as error:
        raise errors.BadRequest(f"frame is not valid: {error}") from error
