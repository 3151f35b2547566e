"""Stand-in of an upstream: slots, grants, fencing and response seal."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import enum
import json
import time

from dragonflyshelf.runtime import http_server
from stand_ins import server

BUCKET_KEY_COUNT = 64
"""Adjacent keys that form a bucket and are always granted together."""

MAX_QUEUED_REQUEST_COUNT = 24
"""Requests that may wait for a slot; further ones are declined."""


class Fault(enum.Enum):
    """Fault that an upstream injects into requests."""

    NONE = "none"
    NO_SEAL = "no_seal"
    DECLINE = "refuse"
    SERVER_ERROR = "server_error"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True, kw_only=True)
class BucketGrant:
    """Grant of a bucket until an instant of the monotonic clock."""

    fence: int
    expires_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ExecutedRequest:
    """A request that the upstream started to run; times are monotonic."""

    request_id: str
    tenant: str
    had_caller_key: bool
    arrived_at: float = 0.0
    started_at: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Notice:
    """What a response said about further requests; times are monotonic.

    ``backoff_seconds`` is 0 if the upstream said that it leaves. ``start``
    is the incarnation of the upstream, its start in Unix milliseconds.
    """

    request_id: str
    responded_at: float
    start: int
    backoff_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """Arrival of a caller's request, whether it is executed or declined."""

    request_id: str
    arrived_at: float
    start: int


class UpstreamServer(server.StandInServer):
    """Runs requests in its slots and records them in ``executed_requests``."""

    def __init__(
        self,
        name: str,
        service: str,
        sharded: bool = False,
        run_seconds: float = 0.005,
        slots: int = 6,
    ) -> None:
        """Create an upstream; ``run_seconds`` is the run time of requests."""
        super().__init__(self._async_handle)
        self.name = name
        self.service = service
        self.sharded = sharded
        self.run_seconds = run_seconds
        self.slots = slots
        self.fault = Fault.NONE
        self.started_at_ms = int(time.time() * 1000)
        self.executed_requests: list[ExecutedRequest] = []
        self.arrivals: list[Arrival] = []
        self.notices: list[Notice] = []
        self.is_leaving = False
        self.backoff_seconds = 0.0
        self.grants_by_bucket: dict[int, BucketGrant] = {}
        self.on_grant: abc.Callable[[range, float], None] = _ignore_grant
        self._free_slots = asyncio.Semaphore(slots)
        self._running_count = 0
        self._queued_count = 0

    def crash(self) -> None:
        """Drop all grants and begin an incarnation with a later start."""
        self.grants_by_bucket.clear()
        self.is_leaving = False
        self.started_at_ms = max(
            int(time.time() * 1000), self.started_at_ms + 1
        )

    def make_registration(
        self, host: str, data_centre: str
    ) -> dict[str, object]:
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
            "born": self.started_at_ms,
        }

    async def _async_handle(
        self, request: http_server.ServerRequest
    ) -> http_server.ServerResponse:
        request_id = request.headers.get("request-id")
        if request_id is None:
            return await self._async_respond(request)
        start = self.started_at_ms
        self.arrivals.append(
            Arrival(
                request_id=request_id, arrived_at=time.monotonic(), start=start
            )
        )
        response = await self._async_respond(request)
        headers = (
            *response.headers,
            ("request-id", request_id),
            *self._give_notices(request_id, response.status, start),
        )
        return dataclasses.replace(response, headers=headers)

    def _give_notices(
        self, request_id: str, status: int, start: int
    ) -> abc.Iterator[tuple[str, str]]:
        """Yield the headers about further requests, and record them."""
        now = time.monotonic()
        if self.is_leaving:
            self.notices.append(
                Notice(request_id=request_id, responded_at=now, start=start)
            )
            yield ("server-leaving", "1")
        if self.backoff_seconds and status == 503:
            self.notices.append(
                Notice(
                    request_id=request_id,
                    responded_at=now,
                    start=start,
                    backoff_seconds=self.backoff_seconds,
                )
            )
            yield ("retry-after", str(self.backoff_seconds))

    async def _async_respond(
        self, request: http_server.ServerRequest
    ) -> http_server.ServerResponse:
        expected_name = request.headers.get("expect-instance", self.name)
        if expected_name != self.name:
            return self._make_response(421)
        if request.path == "/-/grant":
            return self._grant(json.loads(request.body))
        if request.path == "/-/release":
            return self._release(json.loads(request.body))
        if self.sharded and not self._holds_key(request):
            return self._make_response(421)
        if (
            self._queued_count >= MAX_QUEUED_REQUEST_COUNT
            or self.fault is Fault.DECLINE
        ):
            return self._make_response(503, ("not-executed", "1"))
        return await self._async_run(request)

    async def _async_run(
        self, request: http_server.ServerRequest
    ) -> http_server.ServerResponse:
        self._queued_count += 1
        arrived_at = time.monotonic()
        async with self._free_slots:
            self._queued_count -= 1
            self._running_count += 1
            try:
                return await self._async_work(request, arrived_at)
            finally:
                self._running_count -= 1

    async def _async_work(
        self, request: http_server.ServerRequest, arrived_at: float
    ) -> http_server.ServerResponse:
        request_id = request.headers.get("request-id", "")
        self.executed_requests.append(
            ExecutedRequest(
                request_id=request_id,
                tenant=request.headers.get("tenant", ""),
                had_caller_key="x-api-key" in request.headers,
                arrived_at=arrived_at,
                started_at=time.monotonic(),
            )
        )
        await asyncio.sleep(self.run_seconds)
        if self.fault is Fault.SILENT:
            await asyncio.Event().wait()
        headers = []
        if self.fault is not Fault.NO_SEAL:
            headers.append(("response-seal", f"seal-{request_id}"))
        status = 500 if self.fault is Fault.SERVER_ERROR else 200
        return self._make_response(status, *headers, body=request_id.encode())

    def _make_response(
        self, status: int, *headers: tuple[str, str], body: bytes = b""
    ) -> http_server.ServerResponse:
        load_report = (
            f"{self._running_count},{self._queued_count},{self.slots},100"
        )
        return http_server.ServerResponse(
            status=status,
            body=body,
            headers=(
                ("instance-id", self.name),
                ("load-report", load_report),
                *headers,
            ),
        )

    def _holds_key(self, request: http_server.ServerRequest) -> bool:
        key = int(request.headers.get("shard-key", "-1"))
        grant = self.grants_by_bucket.get(key // BUCKET_KEY_COUNT)
        return grant is not None and grant.expires_at > time.monotonic()

    def _grant(self, body: dict[str, float]) -> http_server.ServerResponse:
        buckets = _covered_buckets(body)
        fence = int(body["fence"])
        if self._newest_fence(buckets) > fence:
            return self._make_response(409)
        expires_at = time.monotonic() + body["HoldS"]
        for bucket in buckets:
            self.grants_by_bucket[bucket] = BucketGrant(
                fence=fence, expires_at=expires_at
            )
        self.on_grant(buckets, expires_at)
        return self._make_response(200)

    def _release(self, body: dict[str, float]) -> http_server.ServerResponse:
        buckets = _covered_buckets(body)
        fence = max(int(body["fence"]), self._newest_fence(buckets))
        for bucket in buckets:
            self.grants_by_bucket[bucket] = BucketGrant(
                fence=fence, expires_at=0.0
            )
        return self._make_response(200, ("handover", f"h{fence}"))

    def _newest_fence(self, buckets: range) -> int:
        grants = (self.grants_by_bucket.get(bucket) for bucket in buckets)
        return max(
            (grant.fence for grant in grants if grant is not None), default=0
        )


def _covered_buckets(body: dict[str, float]) -> range:
    """Return the buckets that the key range of a call covers."""
    first, last = int(body["From"]), int(body["Target"])
    return range(first // BUCKET_KEY_COUNT, last // BUCKET_KEY_COUNT + 1)


def _ignore_grant(buckets: range, expires_at: float) -> None:
    """Default observer of grants, which does nothing."""


@contextlib.asynccontextmanager
async def async_run_upstream(
    name: str, service: str, host: str = "127.0.0.1", **options: object
) -> abc.AsyncIterator[UpstreamServer]:
    """Context manager that runs an upstream."""
    server = UpstreamServer(name, service, **options)  # type: ignore[arg-type]
    await server.async_listen(host)
    try:
        yield server
    finally:
        server.close()
