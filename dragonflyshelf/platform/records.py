"""Decoding of the objects in the store's responses.

Another writer may have left an object of which a part cannot be decoded.
That concerns this object only: its name and its revision are read all the
same, so that it replaces its former value. Its specification is then null,
which no decoder of a kind accepts.
"""

import dataclasses
import re
from typing import Annotated, Any, Final

from absl import logging
import msgspec

from dragonflyshelf.codec import json_parts
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.store import messages as store

_LOGGER = logging.get_absl_logger()

DECODING_ERRORS: Final = (msgspec.MsgspecError, RecursionError)
"""Errors that the decoding of any bytes may raise."""

MAX_REVISION: Final = 2**63 - 1
"""Largest revision; instances send each other revisions of 64 bits."""

NULL: Final = b"null"
"""Specification of an object that cannot be decoded."""

ENTRY_KINDS: Final = frozenset(
    {store.ObjectKind.EVACUATION, store.ObjectKind.REGISTRATION}
)
"""Kinds of short entries, of which there are many."""

MAX_ENTRY_BYTES: Final = 4096
"""Longest specification of an entry; a registration has a few hundred.

An update for a follower has all entries in one frame.
"""

UPSTREAM_ID_PATTERN: Final = re.compile(
    r"[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?"
)
"""Ids of upstreams, which a header of each request has as its value."""

WHOLE_KINDS: Final = frozenset({store.ObjectKind.REGISTRATION})
"""Kinds whose specification counts only if all of the object is valid.

An entry of the registry names no upstream if any of it cannot be read. The
specifications of other kinds are the operator's or our own, whatever another
writer has put beside them.
"""

Revision = Annotated[int, msgspec.Meta(gt=0, le=MAX_REVISION)]


class Metadata(msgspec.Struct, rename="pascal"):
    """Name and revision of an object."""

    name: str
    revision: Revision


class StoreObject(msgspec.Struct, rename="pascal"):
    """Object whose ``spec`` stays encoded."""

    metadata: Metadata
    spec: msgspec.Raw = msgspec.Raw(NULL)


class Page(msgspec.Struct):
    """One page of a list, whose objects stay encoded."""

    records: list[msgspec.Raw] = msgspec.field(name="items")
    revision: Revision = msgspec.field(name="StoreRevision")
    more: bool = msgspec.field(name="More", default=False)


class WatchEvent(msgspec.Struct, rename="pascal"):
    """Change or removal of an object."""

    object: StoreObject
    removed: bool = False


class WatchResponse(msgspec.Struct):
    """Response to a watch: encoded changes since a revision."""

    records: list[msgspec.Raw] = msgspec.field(name="events")
    revision: Revision = msgspec.field(name="StoreRevision")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Listing:
    """Objects of one page, without those that have no name."""

    revision: ids.Revision
    objects: tuple[store.StoredObject, ...]
    has_more: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Changes:
    """Changes up to a revision of the store, oldest first."""

    revision: ids.Revision
    changes: tuple[store.Change, ...]


def decode_page(kind: store.ObjectKind, body: bytes) -> Listing:
    """Return one page of a list.

    Raises ``PlatformUnavailable`` if the page itself cannot be decoded.
    """
    page = _decode_response(body, Page, b"items")
    revision = ids.Revision(page.revision)
    objects = (
        decode_object(kind, bytes(record), revision) for record in page.records
    )
    return Listing(
        revision=revision,
        objects=tuple(stored for stored in objects if stored is not None),
        has_more=page.more,
    )


def decode_changes(
    kind: store.ObjectKind, body: bytes, since: ids.Revision
) -> Changes:
    """Return the changes after a revision.

    Raises ``PlatformUnavailable`` if the response itself cannot be decoded,
    and ``WatchExpired`` if it has a change without a name, as that of any
    object may be missing then.
    """
    response = _decode_response(body, WatchResponse, b"events")
    changes: list[store.Change] = []
    revision = since
    for record in response.records:
        default_revision = ids.Revision(revision + 1)
        change = _decode_event(kind, bytes(record), default_revision)
        if change is None:
            raise errors.WatchExpired("a change has no name")
        revision = max(revision, change.revision)
        changes.append(change)
    return Changes(
        revision=max(since, ids.Revision(response.revision)),
        changes=tuple(changes),
    )


def decode_object(
    kind: store.ObjectKind, encoded: bytes, default_revision: ids.Revision
) -> store.StoredObject | None:
    """Return an object, None if it has no name.

    ``default_revision`` is that of an object which does not tell its own.
    """
    try:
        record = msgspec.json.decode(encoded, type=StoreObject)
    except DECODING_ERRORS as error:
        return _recover_object(kind, encoded, default_revision, error)
    return _to_stored_object(kind, record)


def _recover_object(
    kind: store.ObjectKind,
    encoded: bytes,
    default_revision: ids.Revision,
    error: Exception,
) -> store.StoredObject | None:
    """Return what can be read of an object that cannot be decoded whole."""
    members = _find_members(encoded)
    metadata = _find_members(members.get(b"Metadata", b""))
    name = _decode(metadata.get(b"Name", b""), str)
    _LOGGER.warning(
        "invalid object of kind %s, name %r: %s", kind.value, name, error
    )
    if name is None:
        return None
    revision = _decode(metadata.get(b"Revision", b""), Revision)
    spec = members.get(b"Spec", NULL)
    is_usable = revision is not None and kind not in WHOLE_KINDS
    if not is_usable or _decode(spec, msgspec.Raw) is None:
        spec = NULL
    return _make_stored_object(kind, name, revision or default_revision, spec)


def _decode_event(
    kind: store.ObjectKind, encoded: bytes, default_revision: ids.Revision
) -> store.Change | None:
    """Return a change, None if its object has no name."""
    try:
        event = msgspec.json.decode(encoded, type=WatchEvent)
    except DECODING_ERRORS as error:
        return _recover_event(kind, encoded, default_revision, error)
    return _to_change(_to_stored_object(kind, event.object), event.removed)


def _recover_event(
    kind: store.ObjectKind,
    encoded: bytes,
    default_revision: ids.Revision,
    error: Exception,
) -> store.Change | None:
    """Return what can be read of a change that cannot be decoded whole.

    An object that may have been removed or not has no specification either.
    """
    members = _find_members(encoded)
    stored = _recover_object(
        kind, members.get(b"Object", b""), default_revision, error
    )
    if stored is None:
        return None
    is_removed = _decode(members.get(b"Removed", b"false"), bool)
    if is_removed is None:
        return dataclasses.replace(stored, spec=NULL)
    return _to_change(stored, is_removed)


def _to_stored_object(
    kind: store.ObjectKind, record: StoreObject
) -> store.StoredObject:
    metadata = record.metadata
    return _make_stored_object(
        kind, metadata.name, metadata.revision, bytes(record.spec)
    )


def _make_stored_object(
    kind: store.ObjectKind, name: str, revision: int, spec: bytes
) -> store.StoredObject:
    """Return an object, without a specification that can't be used."""
    reason = _find_reason(kind, name, spec)
    if reason:
        _LOGGER.warning("ignoring %s %r: %s", kind.value, name, reason)
        spec = NULL
    return store.StoredObject(
        kind=kind,
        name=ids.ObjectName(name),
        revision=ids.Revision(revision),
        spec=spec,
    )


def _find_reason(kind: store.ObjectKind, name: str, spec: bytes) -> str:
    """Return why the specification of an entry can't be used, or ``""``."""
    if kind in ENTRY_KINDS and len(spec) > MAX_ENTRY_BYTES:
        return f"{len(spec)} bytes are too long"
    is_registration = kind is store.ObjectKind.REGISTRATION
    if is_registration and not UPSTREAM_ID_PATTERN.fullmatch(name):
        return "a request cannot carry this id"
    return ""


def _to_change(stored: store.StoredObject, is_removed: bool) -> store.Change:
    if not is_removed:
        return stored
    return store.ObjectRemoved(
        kind=stored.kind, name=stored.name, revision=stored.revision
    )


def _decode_response(
    body: bytes, record_type: type[Any], list_name: bytes
) -> Any:
    """Return a response of which the records in a list stay encoded.

    Raises ``PlatformUnavailable`` if it cannot be decoded without them.
    """
    response = _decode(body, record_type)
    if response is not None:
        return response
    members = _find_members(body)
    try:
        records = json_parts.find_items(members.get(list_name, b""))
    except errors.InvalidObject as error:
        raise errors.PlatformUnavailable(
            f"invalid response from the store: {error.message}"
        ) from error
    members[list_name] = b"[]"
    response = _decode(json_parts.join_members(members), record_type)
    if response is None:
        raise errors.PlatformUnavailable("invalid response from the store")
    response.records = [msgspec.Raw(record) for record in records]
    return response


def _find_members(encoded: bytes) -> dict[bytes, bytes]:
    """Return the encoded members of a table, none if it is no table."""
    try:
        return json_parts.find_members(encoded)
    except errors.InvalidObject:
        return {}


def _decode(encoded: bytes, value_type: Any) -> Any:
    """Return a value, None if it cannot be decoded."""
    try:
        return msgspec.json.decode(encoded, type=value_type)
    except DECODING_ERRORS:
        return None
