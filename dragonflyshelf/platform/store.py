"""Client of the platform's object store."""

import asyncio
from typing import Any
import urllib.parse

import h11
import msgspec

from dragonflyshelf.codec import control
from dragonflyshelf.core import addresses
from dragonflyshelf.core import errors
from dragonflyshelf.core.grantor import messages as grantor
from dragonflyshelf.core import ids
from dragonflyshelf.core.rollouts import messages as rollouts
from dragonflyshelf.core import settings
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.platform import names
from dragonflyshelf.platform import records
from dragonflyshelf.platform import rollouts as orders
from dragonflyshelf.runtime import http_client

OK_STATUSES = frozenset({200, 201})
CONFLICT_STATUSES = frozenset({404, 409})
"""Write statuses: the expected revision is not the current one."""

STATUS_GONE = 410
"""The store no longer has the changes since a revision."""

FIRST_PAGE = ids.ObjectName("")
"""Name after which the first page of a list begins."""

UNKNOWN_REVISION = ids.Revision(0)
"""Revision of an object that does not tell its own."""

NOT_EXECUTED_STATUSES = frozenset({429, 503})
"""Statuses with which the store has not executed a write."""


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
        """Return all objects of a kind.

        The list ends where the store says so. One that makes no progress, as
        a page has no name after which it could go on, raises
        ``PlatformUnavailable``: what follows is not known to be absent.
        """
        path = names.PATHS_BY_KIND[kind]
        objects: list[store.StoredObject] = []
        revision = ids.Revision(0)
        former_names = {FIRST_PAGE}
        after = FIRST_PAGE
        while True:
            query = f"?after={_escape(after)}" if after else ""
            response = await self._async_get(path + query)
            page = records.decode_page(kind, response.body)
            revision = revision or page.revision
            objects.extend(page.objects)
            if not page.has_more:
                break
            after = page.objects[-1].name if page.objects else after
            if after in former_names:
                raise errors.PlatformUnavailable(
                    f"the list makes no progress after the name {after!r}",
                    peer=self._config.address,
                )
            former_names.add(after)
        return store.KindListed(
            kind=kind,
            revision=revision,
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
        decoded = records.decode_changes(kind, response.body, since)
        return store.KindChanged(
            kind=kind,
            revision=decoded.revision,
            changes=decoded.changes,
            confirmed_at=sent_at,
            since=since,
        )

    async def async_write(
        self, write: grantor.WriteControl, sent_at: ids.Instant
    ) -> grantor.ControlWriteCompleted:
        """Create a control object or replace its expected revision.

        The conflict of a creation need not contain the object, so that it is
        read then: the former response to the same creation may be lost.

        Raises ``PlatformUnavailable`` without a response, as the outcome
        is unknown then, or for an unexpected status, and ``InvalidObject``
        if the current object cannot be decoded.
        """
        path = names.PATHS_BY_KIND[store.ObjectKind.CONTROL]
        object_path = f"{path}/{_escape(write.name)}"
        body: dict[str, Any] = {
            "Metadata": {"Name": write.name},
            "Spec": control.to_builtins(write.value),
        }
        method = "POST"
        if write.expected_revision:
            method = "PUT"
            path = object_path
            body["Metadata"]["Revision"] = write.expected_revision
        response = await self._async_call(
            method, path, write.timeout, msgspec.json.encode(body)
        )
        is_conflict = response.status in CONFLICT_STATUSES
        if is_conflict and not write.expected_revision:
            response = await self._async_get(object_path)
            current = _decode_current(response.body)
            return grantor.ControlWriteCompleted(
                write=write,
                outcome=store.WriteOutcome.CONFLICT,
                sent_at=sent_at,
                current=current,
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
            f"{path}/{_escape(write.name)}/status",
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


def _escape(name: ids.ObjectName) -> str:
    """Return a name as it is written in a path or query."""
    return urllib.parse.quote(name, safe="")


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
    stored = records.decode_object(
        store.ObjectKind.CONTROL, body, UNKNOWN_REVISION
    )
    if stored is None or stored.revision == UNKNOWN_REVISION:
        return None
    return grantor.ControlObserved(
        name=stored.name,
        revision=stored.revision,
        value=control.decode(stored.spec),
    )
