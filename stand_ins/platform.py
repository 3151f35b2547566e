"""Stand-in for the platform's object API over HTTP + JSON.

Besides the API it answers, on every listener:

* ``POST /faults`` sets the switches of ``Faults``; those that the JSON
  does not name are off;
* ``GET /calls`` returns counted calls, ``GET /calls/seconds`` by second;
* ``GET /v1/instances`` returns the lagging ``InstanceList`` and
  ``POST /instances`` changes it.
"""

import asyncio
import functools
import time
import urllib.parse

import defopt
import msgspec

from dragonflyshelf.codec import platform as codec
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.platform import store
from dragonflyshelf.core import states
from dragonflyshelf.runtime import http_server
from dragonflyshelf.runtime.platform import memory
from stand_ins import platform_faults

MAIN_LISTENER = "main"
PATH_INSTANCES = "/v1/instances"
STATUS_CONFLICT = 409
STATUS_GONE = 410
STATUS_NOT_FOUND = 404
STATUS_OK = 200
STATUS_TOO_MANY = 429
VALUE_BYTES = 1024 * 1024
BODY_BYTES = VALUE_BYTES + 4096


class PlatformStandIn:
    """The object API with switches for its faults."""

    def __init__(self) -> None:
        """Create an empty platform without faults."""
        self._shared = memory.SharedStore()
        self._calls = 0
        self.faults = platform_faults.Faults()
        self.counter = platform_faults.CallCounter()
        self.instances = platform_faults.LaggingList()

    async def async_handle(
        self, listener: str, request: http_server.ServerRequest
    ) -> http_server.ServerAnswer:
        """Answer one call, or drop the connection for a fault."""
        control = self._control(request)
        if control is not None:
            return control
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        self._check_reachable(listener)
        self._calls += 1
        number = self._calls
        answer = await self._async_call(listener, request)
        self._check_reachable(listener)
        every = self.faults.lose_every
        if self.faults.lose_answers or (every and number % every == 0):
            raise ConnectionAbortedError("answer is lost")
        return answer

    def _control(
        self, request: http_server.ServerRequest
    ) -> http_server.ServerAnswer | None:
        if request.path == "/faults":
            self.faults = msgspec.json.decode(
                request.body, type=platform_faults.Faults
            )
            self._shared.wake()
            return _answer(STATUS_OK, self.faults)
        if request.path == "/calls":
            return _answer(STATUS_OK, self.counter.calls)
        if request.path == "/calls/seconds":
            return _answer(STATUS_OK, self.counter.by_second())
        if request.path == "/instances":
            changed = msgspec.json.decode(
                request.body, type=platform_faults.InstanceList
            )
            self.instances.change(changed, time.monotonic())
            return _answer(STATUS_OK, changed)
        return None

    def _check_reachable(self, listener: str) -> None:
        if self.faults.out or listener in self.faults.cut:
            raise ConnectionAbortedError("platform is out of reach")

    async def _async_call(
        self, listener: str, request: http_server.ServerRequest
    ) -> http_server.ServerAnswer:
        query = dict(urllib.parse.parse_qsl(request.query))
        if request.path == codec.PATH_CHANGES:
            return await self._async_watch(query)
        now = time.monotonic()
        if request.method == "PUT":
            limit = self.faults.writes_per_second
            allowed = self.counter.write(now, limit)
        else:
            limit = self.faults.reads_per_second
            allowed = self.counter.read(now, limit)
        if not allowed:
            return _answer(STATUS_TOO_MANY, None)
        return self._object_call(request, query)

    def _object_call(
        self, request: http_server.ServerRequest, query: dict[str, str]
    ) -> http_server.ServerAnswer:
        objects = self._shared.objects
        if request.path == PATH_INSTANCES:
            wanted = time.monotonic() - self.faults.list_lag
            return _answer(STATUS_OK, self.instances.as_of(wanted))
        if request.path == codec.PATH_OBJECTS:
            found = objects.list(_kinds(query))
            return _listing(objects.version, found)
        kind_text, _, name = request.path.removeprefix(
            codec.PATH_OBJECTS + "/"
        ).partition("/")
        kind = states.ObjectKind(kind_text)
        name = ids.ObjectName(urllib.parse.unquote(name))
        if request.method == "PUT":
            return self._put(kind, name, request.body)
        stored = objects.get(kind, name)
        if stored is None:
            return _answer(STATUS_NOT_FOUND, None)
        return _answer(STATUS_OK, codec.record(stored))

    def _put(
        self, kind: states.ObjectKind, name: ids.ObjectName, body: bytes
    ) -> http_server.ServerAnswer:
        call = codec.decode_put_call(body)
        try:
            stored = self._shared.objects.put(
                kind, name, call.expected, call.write_id, call.value
            )
        except errors.VersionConflict:
            present = self._shared.objects.get(kind, name)
            version = present.version if present else ids.Version(0)
            return _answer(STATUS_CONFLICT, codec.PutAnswer(version=version))
        self._shared.wake()
        return _answer(STATUS_OK, codec.PutAnswer(version=stored.version))

    async def _async_watch(
        self, query: dict[str, str]
    ) -> http_server.ServerAnswer:
        self.counter.start_watch(time.monotonic())
        try:
            return await self._async_changes(query)
        finally:
            self.counter.end_watch()

    async def _async_changes(
        self, query: dict[str, str]
    ) -> http_server.ServerAnswer:
        objects = self._shared.objects
        since = ids.Version(int(query["since"]))
        kinds = _kinds(query)
        try:
            found = objects.changes_since(since, kinds)
            if not found and not self.faults.watch_lost:
                await self._shared.async_wait_change(float(query["wait"]))
                found = objects.changes_since(since, kinds)
        except errors.WatchLost:
            return _answer(STATUS_GONE, None)
        if self.faults.watch_lost:
            return _answer(STATUS_GONE, None)
        return _listing(objects.version, found)


def _kinds(query: dict[str, str]) -> frozenset[states.ObjectKind]:
    names = query["kinds"].split(",")
    return frozenset(states.ObjectKind(name) for name in names)


def _listing(
    version: ids.Version, found: tuple[store.StoredObject, ...]
) -> http_server.ServerAnswer:
    records = tuple(codec.record(one) for one in found)
    return _answer(STATUS_OK, codec.Listing(version=version, objects=records))


def _answer(status: int, value: object) -> http_server.ServerAnswer:
    return http_server.ServerAnswer(status=status, body=codec.encode(value))


async def async_main(host: str, ports_by_listener: dict[str, int]) -> None:
    """Serve until the process is ended."""
    stand_in = PlatformStandIn()
    for name, port in ports_by_listener.items():
        handler = functools.partial(stand_in.async_handle, name)
        server = http_server.HttpServer(handler, BODY_BYTES)
        await server.async_listen(host, port)
    print(f"platform stand-in listens on {ports_by_listener}", flush=True)
    await asyncio.Event().wait()


def main(
    *, host: str = "127.0.0.1", port: int = 8090, listeners: str = "{}"
) -> None:
    """Run the platform stand-in.

    :param host: address to bind
    :param port: port of the main listener
    :param listeners: JSON object of the names and ports of others, so
        that their callers can be cut off one by one
    """
    others = msgspec.json.decode(listeners, type=dict[str, int])
    asyncio.run(async_main(host, {MAIN_LISTENER: port, **others}))


if __name__ == "__main__":
    defopt.run(main)
