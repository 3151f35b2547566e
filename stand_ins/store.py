"""Stand-in of the platform's store, with fault injection."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import enum
import json
import urllib.parse

from dragonflyshelf.runtime import http_server
from stand_ins import objects
from stand_ins import server

PATH_PREFIX = "/-/objects/"
STATUS_SUFFIX = "/status"
MAX_PAGE_OBJECT_COUNT = 50


class Fault(enum.Enum):
    """Fault that the store injects into calls."""

    BUSY = "busy"
    LOSE_RESPONSES = "lose_answers"
    NONE = "none"
    SILENT = "silent"


@dataclasses.dataclass(kw_only=True)
class FaultInjection:
    """Injected fault, and delay per call."""

    fault: Fault = Fault.NONE
    delay_seconds: float = 0.0


class StoreServer(server.StandInServer):
    """Serves objects over HTTP and counts the calls.

    A conflict contains the object, except one with a creation.
    """

    def __init__(self) -> None:
        """Create an empty store without an injected fault."""
        super().__init__(self._async_handle)
        self.objects = objects.ObjectStore()
        self.injection = FaultInjection()
        self.call_count = 0
        self._changed = asyncio.Event()

    def notify_watches(self) -> None:
        """Wake the pending watches after a change of ``objects``."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def _async_handle(
        self, request: http_server.ServerRequest
    ) -> http_server.ServerResponse:
        self.call_count += 1
        injection = self.injection
        await asyncio.sleep(injection.delay_seconds)
        if injection.fault is Fault.BUSY:
            return http_server.ServerResponse(status=503)
        if injection.fault is Fault.SILENT:
            await asyncio.Event().wait()
        response = await self._async_serve(request)
        if injection.fault is Fault.LOSE_RESPONSES and request.method != "GET":
            await asyncio.Event().wait()
        return response

    async def _async_serve(
        self, request: http_server.ServerRequest
    ) -> http_server.ServerResponse:
        if not request.path.startswith(PATH_PREFIX):
            return http_server.ServerResponse(status=404)
        kind, _, name = request.path.removeprefix(PATH_PREFIX).partition("/")
        query = dict(urllib.parse.parse_qsl(request.query))
        try:
            if request.method == "GET" and "Watch" in query:
                return await self._async_watch(kind, query)
            if request.method == "GET" and name:
                return self._get(kind, urllib.parse.unquote(name))
            if request.method == "GET":
                return self._list(kind, query.get("after", ""))
            return self._write(request, kind, name)
        except objects.RevisionConflict as conflict:
            if conflict.current is None:
                return _json(404, {})
            is_creation = request.method == "POST"
            return _json(409, {} if is_creation else conflict.current)
        except objects.HistoryExpired:
            return _json(410, {})

    def _get(self, kind: str, name: str) -> http_server.ServerResponse:
        for stored in self.objects.list_objects(kind):
            if stored["Metadata"]["Name"] == name:
                return _json(200, stored)
        return _json(404, {})

    def _list(self, kind: str, after: str) -> http_server.ServerResponse:
        remaining = [
            stored
            for stored in self.objects.list_objects(kind)
            if stored["Metadata"]["Name"] > after
        ]
        page = {
            "items": remaining[:MAX_PAGE_OBJECT_COUNT],
            "More": len(remaining) > MAX_PAGE_OBJECT_COUNT,
            "StoreRevision": self.objects.revision,
        }
        return _json(200, page)

    async def _async_watch(
        self, kind: str, query: dict[str, str]
    ) -> http_server.ServerResponse:
        since_revision = int(query["Watch"])
        wait_seconds = int(query.get("WaitMs", "0")) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_seconds):
                while not self.objects.list_changes(kind, since_revision):
                    await self._changed.wait()
        events = [
            {"Removed": change.removed, "Object": change.object}
            for change in self.objects.list_changes(kind, since_revision)
        ]
        return _json(
            200, {"events": events, "StoreRevision": self.objects.revision}
        )

    def _write(
        self, request: http_server.ServerRequest, kind: str, name: str
    ) -> http_server.ServerResponse:
        if request.method == "DELETE":
            self.objects.remove(kind, name)
            self.notify_watches()
            return _json(200, {})
        body = json.loads(request.body)
        metadata = body["Metadata"]
        if request.method == "POST":
            stored = self.objects.create(kind, metadata["Name"], body["Spec"])
        elif name.endswith(STATUS_SUFFIX):
            stored = self.objects.replace_status(
                kind,
                name.removesuffix(STATUS_SUFFIX),
                body["Status"],
                metadata.get("Revision"),
            )
        else:
            stored = self.objects.replace(
                kind, name, body["Spec"], metadata.get("Revision")
            )
        self.notify_watches()
        return _json(200, stored)


def _json(status: int, body: object) -> http_server.ServerResponse:
    return http_server.ServerResponse(
        status=status, body=json.dumps(body).encode()
    )


@contextlib.asynccontextmanager
async def async_run_store(
    host: str = "127.0.0.1",
) -> abc.AsyncIterator[StoreServer]:
    """Context manager that runs a store."""
    server = StoreServer()
    await server.async_listen(host)
    try:
        yield server
    finally:
        server.close()
