"""Stand-in of an upstream: slots, grants, fencing and response seal."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import enum
import json
import time

from dragonflyshelf.runtime import http_server

BUCKET_KEYS = 64
"""Adjacent keys that form a bucket and are always granted together."""

QUEUE_ENTRIES = 24
"""Requests that may wait for a slot; further ones are declined."""


class Fault(enum.Enum):
    """Fault that an upstream injects into requests."""

    NONE = "none"
    NO_SEAL = "no_seal"
    REFUSE = "refuse"
    SERVER_ERROR = "server_error"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Hold:
    """Grant of a bucket until an instant of the monotonic clock."""

    fence: int
    until: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """A request that the upstream started to run."""

    request_id: str
    tenant: str
    had_key: bool
    started_at: float = 0.0


class UpstreamServer:
    """Runs requests in its slots and records them in ``runs``."""

    def __init__(
        self,
        name: str,
        service: str,
        sharded: bool = False,
        seconds: float = 0.005,
        slots: int = 6,
    ) -> None:
        """Create an upstream; ``seconds`` is the run time of a request."""
        self.name = name
        self.service = service
        self.sharded = sharded
        self.seconds = seconds
        self.slots = slots
        self.fault = Fault.NONE
        self.born = int(time.time() * 1000)
        self.runs: list[Run] = []
        self.holds_by_bucket: dict[int, Hold] = {}
        self.on_grant: abc.Callable[[range, float], None] = _ignore
        self._free = asyncio.Semaphore(slots)
        self._running = 0
        self._waiting = 0
        self._server = http_server.HttpServer(self._async_handle)

    @property
    def port(self) -> int:
        """Return the bound port."""
        return self._server.port

    async def async_listen(self, host: str, port: int = 0) -> None:
        """Listen on an address."""
        await self._server.async_listen(host, port)

    def close(self) -> None:
        """Stop accepting connections."""
        self._server.close()

    def crash(self) -> None:
        """Drop all grants and begin an incarnation with a later start."""
        self.holds_by_bucket.clear()
        self.born = max(int(time.time() * 1000), self.born + 1)

    def entry(self, host: str, data_centre: str) -> dict[str, object]:
        """Return the upstream's registration in the platform's store."""
        return {
            "Service": self.service,
            "Address": f"{host}:{self.port}",
            "Zone": data_centre,
            "Version": "v1",
            "Slots": self.slots,
            "State": "ready",
            "WarmupLeftS": 0,
            "Sequence": 1,
            "born": self.born,
        }

    async def _async_handle(
        self, request: http_server.ServerRequest
    ) -> http_server.ServerAnswer:
        expected = request.headers.get("expect-instance", self.name)
        if expected != self.name:
            return self._answer(421)
        if request.path == "/-/grant":
            return self._grant(json.loads(request.body))
        if request.path == "/-/release":
            return self._release(json.loads(request.body))
        if self.sharded and not self._holds(request):
            return self._answer(421)
        if self._waiting >= QUEUE_ENTRIES or self.fault is Fault.REFUSE:
            return self._answer(503, ("not-executed", "1"))
        return await self._async_run(request)

    async def _async_run(
        self, request: http_server.ServerRequest
    ) -> http_server.ServerAnswer:
        self._waiting += 1
        async with self._free:
            self._waiting -= 1
            self._running += 1
            try:
                return await self._async_work(request)
            finally:
                self._running -= 1

    async def _async_work(
        self, request: http_server.ServerRequest
    ) -> http_server.ServerAnswer:
        request_id = request.headers.get("request-id", "")
        self.runs.append(
            Run(
                request_id=request_id,
                tenant=request.headers.get("tenant", ""),
                had_key="x-api-key" in request.headers,
                started_at=time.monotonic(),
            )
        )
        await asyncio.sleep(self.seconds)
        if self.fault is Fault.SILENT:
            await asyncio.Event().wait()
        headers = [("request-id", request_id)]
        if self.fault is not Fault.NO_SEAL:
            headers.append(("response-seal", f"seal-{request_id}"))
        status = 500 if self.fault is Fault.SERVER_ERROR else 200
        return self._answer(status, *headers, body=request_id.encode())

    def _answer(
        self, status: int, *headers: tuple[str, str], body: bytes = b""
    ) -> http_server.ServerAnswer:
        load = f"{self._running},{self._waiting},{self.slots},100"
        return http_server.ServerAnswer(
            status=status,
            body=body,
            headers=(
                ("instance-id", self.name),
                ("load-report", load),
                *headers,
            ),
        )

    def _holds(self, request: http_server.ServerRequest) -> bool:
        key = int(request.headers.get("shard-key", "-1"))
        hold = self.holds_by_bucket.get(key // BUCKET_KEYS)
        return hold is not None and hold.until > time.monotonic()

    def _grant(self, body: dict[str, float]) -> http_server.ServerAnswer:
        buckets = _buckets(body)
        fence = int(body["fence"])
        if self._newest_fence(buckets) > fence:
            return self._answer(409)
        until = time.monotonic() + body["HoldS"]
        for one in buckets:
            self.holds_by_bucket[one] = Hold(fence=fence, until=until)
        self.on_grant(buckets, until)
        return self._answer(200)

    def _release(self, body: dict[str, float]) -> http_server.ServerAnswer:
        buckets = _buckets(body)
        fence = max(int(body["fence"]), self._newest_fence(buckets))
        for one in buckets:
            self.holds_by_bucket[one] = Hold(fence=fence, until=0.0)
        return self._answer(200, ("handover", f"h{fence}"))

    def _newest_fence(self, buckets: range) -> int:
        known = (self.holds_by_bucket.get(one) for one in buckets)
        return max((one.fence for one in known if one is not None), default=0)


def _buckets(body: dict[str, float]) -> range:
    """Return the buckets that the key range of a call covers."""
    first, last = int(body["From"]), int(body["Target"])
    return range(first // BUCKET_KEYS, last // BUCKET_KEYS + 1)


def _ignore(buckets: range, until: float) -> None:
    """Default observer of grants, which does nothing."""


@contextlib.asynccontextmanager
async def async_upstream(
    name: str, service: str, host: str = "127.0.0.1", **values: object
) -> abc.AsyncIterator[UpstreamServer]:
    """Context manager that runs an upstream."""
    server = UpstreamServer(name, service, **values)  # type: ignore[arg-type]
    await server.async_listen(host)
    try:
        yield server
    finally:
        server.close()
