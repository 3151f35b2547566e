"""Stand-in for the platform's object API over HTTP + JSON.

``POST /faults`` with the JSON of ``Faults`` sets its faults;
``GET /calls`` returns how many calls it has counted.
"""

import asyncio
import dataclasses
import json
import urllib.parse

import defopt

from dragonflyshelf.codec import platform as codec
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.platform import store
from dragonflyshelf.core import states
from dragonflyshelf.runtime import http_server
from dragonflyshelf.runtime.platform import memory


@dataclasses.dataclass(kw_only=True)
class Faults:
    """Faults that are switched on; the delay is in seconds."""

    out: bool = False
    delay: float = 0.0
    lose_answers: bool = False


@dataclasses.dataclass(kw_only=True)
class Calls:
    """Counted calls by type; a waiting watch counts as one."""

    reads: int = 0
    writes: int = 0
    watches: int = 0


class PlatformStandIn:
    """The object API with switches for its faults."""

    def __init__(self) -> None:
        """Create an empty platform without faults."""
        self._shared = memory.SharedStore()
        self.faults = Faults()
        self.calls = Calls()

    async def async_handle(
        self, request: http_server.ServerRequest
    ) -> http_server.ServerAnswer:
        """Answer one call, or drop the connection for a fault."""
        if request.path == "/faults":
            self.faults = Faults(**json.loads(request.body))
            self._shared.wake()
            return _answer(200, self.faults)
        if request.path == "/calls":
            return _answer(200, self.calls)
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        if self.faults.out:
            raise ConnectionAbortedError("platform is out")
        answer = await self._async_call(request)
        if self.faults.out or self.faults.lose_answers:
            raise ConnectionAbortedError("answer is lost")
        return answer

    async def _async_call(
        self, request: http_server.ServerRequest
    ) -> http_server.ServerAnswer:
        query = dict(urllib.parse.parse_qsl(request.query))
        if request.path == codec.PATH_CHANGES:
            self.calls.watches += 1
            return await self._async_changes(query)
        if request.path == codec.PATH_OBJECTS:
            self.calls.reads += 1
            objects = self._shared.objects
            found = objects.list(_kinds(query))
            return _listing(objects.version, found)
        kind_text, _, name = request.path.removeprefix(
            codec.PATH_OBJECTS + "/"
        ).partition("/")
        kind = states.ObjectKind(kind_text)
        name = ids.ObjectName(urllib.parse.unquote(name))
        if request.method == "PUT":
            self.calls.writes += 1
            return self._put(kind, name, request.body)
        self.calls.reads += 1
        stored = self._shared.objects.get(kind, name)
        if stored is None:
            return _answer(404, None)
        return _answer(200, codec.record(stored))

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
            return _answer(409, codec.PutAnswer(version=version))
        self._shared.wake()
        return _answer(200, codec.PutAnswer(version=stored.version))

    async def _async_changes(
        self, query: dict[str, str]
    ) -> http_server.ServerAnswer:
        objects = self._shared.objects
        since = ids.Version(int(query["since"]))
        kinds = _kinds(query)
        try:
            found = objects.changes_since(since, kinds)
            if not found:
                await self._shared.async_wait_change(float(query["wait"]))
                found = objects.changes_since(since, kinds)
        except errors.WatchLost:
            return _answer(410, None)
        return _listing(objects.version, found)


def _kinds(query: dict[str, str]) -> frozenset[states.ObjectKind]:
    names = query["kinds"].split(",")
    return frozenset(states.ObjectKind(name) for name in names)


def _listing(
    version: ids.Version, found: tuple[store.StoredObject, ...]
) -> http_server.ServerAnswer:
    records = tuple(codec.record(one) for one in found)
    return _answer(200, codec.Listing(version=version, objects=records))


def _answer(status: int, value: object) -> http_server.ServerAnswer:
    return http_server.ServerAnswer(status=status, body=codec.encode(value))


async def async_main(host: str, port: int) -> None:
    """Serve until the process is ended."""
    stand_in = PlatformStandIn()
    server = http_server.HttpServer(stand_in.async_handle)
    await server.async_listen(host, port)
    print(f"platform stand-in listens on {server.port}", flush=True)
    await asyncio.Event().wait()


def main(*, host: str = "127.0.0.1", port: int = 8090) -> None:
    """Run the platform stand-in.

    :param host: address to bind
    :param port: port to bind
    """
    asyncio.run(async_main(host, port))


if __name__ == "__main__":
    defopt.run(main)
