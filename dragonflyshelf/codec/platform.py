"""The HTTP + JSON dialect of the platform's object API.

==========================================  ===========================
call                                        answer
==========================================  ===========================
GET /v1/objects?kinds=a,b                   200 Listing
GET /v1/objects/KIND/NAME                   200 StoredRecord, or 404
PUT /v1/objects/KIND/NAME  PutCall          200 PutAnswer, or 409
GET /v1/changes?kinds=a&since=N&wait=S      200 Listing, or 410
==========================================  ===========================

A PutCall with the value null deletes the object.
"""

import dataclasses
from typing import Any

import msgspec

from dragonflyshelf.core import ids
from dragonflyshelf.core.platform import store
from dragonflyshelf.core import states

PATH_CHANGES = "/v1/changes"
PATH_OBJECTS = "/v1/objects"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredRecord:
    """An object on the wire; ``value`` has plain JSON types."""

    kind: states.ObjectKind
    name: ids.ObjectName
    version: ids.Version
    write_ids: tuple[ids.WriteId, ...]
    value: Any


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Listing:
    """Objects as of a store version."""

    version: ids.Version
    objects: tuple[StoredRecord, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PutCall:
    """Body of a conditional update."""

    expected: ids.Version
    write_id: ids.WriteId
    value: Any


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PutAnswer:
    """The object's version after an update, or its present one."""

    version: ids.Version


def record(stored: store.StoredObject) -> StoredRecord:
    """Return a stored object, whose value is plain, for the wire."""
    return StoredRecord(
        kind=stored.kind,
        name=stored.name,
        version=stored.version,
        write_ids=stored.write_ids,
        value=stored.value,
    )


encode = msgspec.json.encode
decode_listing = msgspec.json.Decoder(Listing).decode
decode_put_answer = msgspec.json.Decoder(PutAnswer).decode
decode_put_call = msgspec.json.Decoder(PutCall).decode
decode_record = msgspec.json.Decoder(StoredRecord).decode
