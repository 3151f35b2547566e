"""Client of the platform's object store."""

import asyncio
import contextlib
from typing import Any

from absl import logging
import h11
import msgspec

from dragonflyshelf.codec import control
from dragonflyshelf.codec import json_repair
from dragonflyshelf.core import addresses
from dragonflyshelf.core import errors
from dragonflyshelf.core.grantor import messages as grantor
from dragonflyshelf.core import ids
from dragonflyshelf.core.rollouts import messages as rollouts
from dragonflyshelf.core import settings
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.platform import names
from dragonflyshelf.platform import rollouts as orders
from dragonflyshelf.runtime import http_client

_LOGGER = logging.get_absl_logger()

OK_STATUSES = frozenset({200, 201})
CONFLICT_STATUSES = frozenset({404, 409})
"""Write statuses: the expected revision is not the current one."""

STATUS_GONE = 410
"""The store no longer has the changes since a revision."""

NOT_EXECUTED_STATUSES = frozenset({429, 503})
"""Statuses with which the store has not executed a write."""

LIST_VALUE_LEVEL = 3
"""Brackets around metadata and spec of an object in a list."""

WATCH_VALUE_LEVEL = 4
"""Brackets around metadata and spec of an object in a watch response."""

OBJECT_VALUE_LEVEL = 1
"""Brackets around metadata and spec of an object by itself."""


class Metadata(msgspec.Struct, rename="pascal"):
    """Name and revision of an object."""

    name: str
    revision: int


class StoreObject(msgspec.Struct, rename="pascal"):
    """Object whose ``spec`` stays encoded."""

    metadata: Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class Page(msgspec.Struct):
    """One page of a list, whose objects stay encoded."""

    items: list[msgspec.Raw]
    more: bool = msgspec.field(name="More", default=False)
    revision: int = msgspec.field(name="StoreRevision", default=0)


class WatchEvent(msgspec.Struct, rename="pascal"):
    """Change or removal of an object."""

    object: StoreObject
    removed: bool = False


class WatchResponse(msgspec.Struct):
    """Response to a watch: encoded changes since a revision."""

    events: list[msgspec.Raw]
    revision: int = msgspec.field(name="StoreRevision", default=0)


class StoreClient:
    """Connection to the store for one call at a time.

    Lists and watches raise ``PlatformUnavailable`` if the store does not
    respond or responds with an error or an invalid body.
    """

    def __init__(self, config: settings.StoreSettings) -> None:
        """Create a client that connects on its first call."""
        address = addresses.parse(config.address)
        self._config = config
        self._http = http_client.HttpClient(address.host, address.port)

    def close(self) -> None:
        """Close the connection."""
        self._http.close()

    async def async_list(
        self, kind: store.ObjectKind, sent_at: ids.Instant
    ) -> store.KindListed:
        """Return all objects of a kind."""
        path = names.PATHS_BY_KIND[kind]
        objects: list[store.StoredObject] = []
        revision = 0
        query = ""
        while True:
            response = await self._async_get(path + query)
            page = _decode(response.body, Page, LIST_VALUE_LEVEL)
            revision = revision or page.revision
            records = _decode_each(page.items, StoreObject)
            objects.extend(_to_stored_object(kind, item) for item in records)
            if not page.more or not records:
                break
            query = f"?after={records[-1].metadata.name}"
        return store.KindListed(
            kind=kind,
            revision=ids.Revision(revision),
            objects=tuple(objects),
            sent_at=sent_at,
        )

    async def async_watch(
        self,
        kind: store.ObjectKind,
        since: ids.Revision,
        wait: float,
        sent_at: ids.Instant,
    ) -> store.KindChanged:
        """Return changes after a revision, waiting ``wait`` seconds for one.

        Raises ``WatchExpired`` if the store no longer has them.
        """
        path = names.PATHS_BY_KIND[kind]
        query = f"?Watch={since}&WaitMs={int(wait * 1000)}"
        response = await self._async_get(path + query, wait)
        page = _decode(response.body, WatchResponse, WATCH_VALUE_LEVEL)
        events = _decode_each(page.events, WatchEvent)
        return store.KindChanged(
            kind=kind,
            revision=ids.Revision(page.revision or since),
            changes=tuple(_to_change(kind, event) for event in events),
            confirmed_at=sent_at,
            since=since,
        )

    async def async_write(
        self, write: grantor.WriteControl, sent_at: ids.Instant
    ) -> grantor.ControlWriteCompleted:
        """Create a control object or replace its expected revision.

        Raises ``PlatformUnavailable`` without a response, as the outcome
        is unknown then, or for an unexpected status, and ``InvalidObject``
        if the current object cannot be decoded.
        """
        path = names.PATHS_BY_KIND[store.ObjectKind.CONTROL]
        body: dict[str, Any] = {
            "Metadata": {"Name": write.name},
            "Spec": control.to_builtins(write.value),
        }
        method = "POST"
        if write.expected_revision:
            method = "PUT"
            path = f"{path}/{write.name}"
            body["Metadata"]["Revision"] = write.expected_revision
        response = await self._async_call(
            method, path, write.timeout, msgspec.json.encode(body)
        )
        return _complete_write(write, response, sent_at)

    async def async_write_status(
        self, write: rollouts.WriteStatus
    ) -> rollouts.StatusWriteCompleted:
        """Replace the status of an order of the expected revision.

        Raises ``PlatformUnavailable`` without a response, as the outcome
        is unknown then, or for an unexpected status.
        """
        path = names.PATHS_BY_KIND[store.ObjectKind.ROLLOUT]
        response = await self._async_call(
            "PUT",
            f"{path}/{write.name}/status",
            write.timeout,
            orders.encode_status(write),
        )
        return rollouts.StatusWriteCompleted(
            write=write, outcome=_find_outcome(response.status)
        )

    async def _async_get(
        self, path: str, wait: float = 0.0
    ) -> http_client.HttpResponse:
        response = await self._async_call(
            "GET", path, wait + self._config.call_timeout
        )
        if response.status == STATUS_GONE:
            raise errors.WatchExpired(
                "the store no longer has changes since the revision"
            )
        if response.status not in OK_STATUSES:
            raise errors.PlatformUnavailable(
                f"the store responded with status {response.status}",
                peer=self._config.address,
            )
        return response

    async def _async_call(
        self, method: str, path: str, timeout: float, body: bytes = b""
    ) -> http_client.HttpResponse:
        headers = (("content-type", "application/json"),) if body else ()
        try:
            async with asyncio.timeout(timeout):
                return await self._http.async_call(method, path, body, headers)
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            message = str(error) or "timeout"
            raise errors.PlatformUnavailable(
                message, peer=self._config.address
            ) from error


def _decode(body: bytes, record_type: type[Any], value_level: int) -> Any:
    """Return a response of the store.

    What another writer has left and cannot be decoded is read as null, so
    that the rest of the response holds. ``value_level`` is the number of
    brackets around metadata and specs.
    """
    for level in (None, value_level, value_level - 1):
        if level is not None:
            body = json_repair.remove_invalid_values(body, level)
        with contextlib.suppress(msgspec.MsgspecError, RecursionError):
            return msgspec.json.decode(body, type=record_type)
    raise errors.PlatformUnavailable("invalid response from the store")


def _decode_each(
    encoded_records: list[msgspec.Raw], record_type: type[Any]
) -> list[Any]:
    """Return the records that can be decoded, without the others."""
    records = []
    for encoded in encoded_records:
        try:
            records.append(msgspec.json.decode(encoded, type=record_type))
        except (msgspec.MsgspecError, RecursionError) as error:
            _LOGGER.warning("ignoring an invalid object: %s", error)
    return records


def _to_stored_object(
    kind: store.ObjectKind, record: StoreObject
) -> store.StoredObject:
    return store.StoredObject(
        kind=kind,
        name=ids.ObjectName(record.metadata.name),
        revision=ids.Revision(record.metadata.revision),
        spec=bytes(record.spec),
    )


def _to_change(kind: store.ObjectKind, event: WatchEvent) -> store.Change:
    if not event.removed:
        return _to_stored_object(kind, event.object)
    return store.ObjectRemoved(
        kind=kind,
        name=ids.ObjectName(event.object.metadata.name),
        revision=ids.Revision(event.object.metadata.revision),
    )


def _complete_write(
    write: grantor.WriteControl,
    response: http_client.HttpResponse,
    sent_at: ids.Instant,
) -> grantor.ControlWriteCompleted:
    outcome = _find_outcome(response.status)
    current = None
    if outcome is not store.WriteOutcome.FAILED:
        current = _decode_current(response.body)
    return grantor.ControlWriteCompleted(
        write=write, outcome=outcome, sent_at=sent_at, current=current
    )


def _find_outcome(status: int) -> store.WriteOutcome:
    """Return the outcome of a conditional write by its response's status."""
    if status in NOT_EXECUTED_STATUSES:
        return store.WriteOutcome.FAILED
    if status in OK_STATUSES:
        return store.WriteOutcome.DONE
    if status in CONFLICT_STATUSES:
        return store.WriteOutcome.CONFLICT
    raise errors.PlatformUnavailable(
        f"the store responded to a write with status {status}"
    )


def _decode_current(body: bytes) -> grantor.ControlObserved | None:
    """Return the object in a response; a 404 response has none."""
    try:
        record = _decode(body, StoreObject, OBJECT_VALUE_LEVEL)
    except errors.PlatformUnavailable as error:
        _LOGGER.info("no object in the response to a write: %s", error)
        return None
    return grantor.ControlObserved(
        name=ids.ObjectName(record.metadata.name),
        revision=ids.Revision(record.metadata.revision),
        value=control.decode(bytes(record.spec)),
    )
