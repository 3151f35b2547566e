"""Stand-in of a target, as the pages describe a sound one."""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import time

KEY_COUNT = 65536
QUEUE_COUNT = 24


class Closed(Exception):
    """The peer has closed the connection."""


@dataclasses.dataclass(kw_only=True)
class Request:
    """A request as it arrived."""

    method: str
    path: str
    headers: dict
    body: bytes

    @property
    def id(self):
        """Return the request id."""
        return self.headers.get("request-id", "")


@dataclasses.dataclass(kw_only=True)
class Run:
    """Work on a request; times are monotonic."""

    target: str
    id: str
    key: int | None
    path: str
    body: bytes
    headers: dict
    started_at: float
    ended_at: float = float("inf")
    hold_until: float = float("inf")


@dataclasses.dataclass(kw_only=True)
class RangeCall:
    """A grant or release that the target has accepted."""

    target: str
    kind: str
    first: int
    last: int
    fence: int
    hold: float
    at: float


async def read_message(reader):
    """Return start line, headers and body of a message."""
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        raise Closed
    headers = {}
    while True:
        field = await reader.readline()
        if not field.endswith(b"\n"):
            raise Closed
        if field in (b"\r\n", b"\n"):
            break
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return line.decode("latin-1").strip(), headers


async def read_body(reader, headers):
    """Return the body of a message with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return body
            body += piece[:-2]
    size = int(headers.get("content-length", 0))
    return await reader.readexactly(size) if size else b""


def encode(status, headers, body=b""):
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Target:
    """A target with slots, a queue, grants and fencing."""

    def __init__(self, name, service, zone, *, work, slots=6, sharded=False):
        """Create a target; ``work`` returns the seconds of a request."""
        self.name = name
        self.service = service
        self.zone = zone
        self.work = work
        self.slots = slots
        self.sharded = sharded
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.runs = []
        self.running = {}
        self.calls = []
        self.fences = [0] * KEY_COUNT
        self.expiries = [0.0] * KEY_COUNT
        self.answer_count = 0
        self.waiting = 0
        self.numbers = itertools.count(1)
        self.free = asyncio.Semaphore(slots)
        self.changed = asyncio.Event()
        self.server = None
        self.writers = set()

    async def listen(self, host, port=0):
        """Listen on an address."""
        self.server = await asyncio.start_server(self.serve, host, port)
        self.host, self.port = self.server.sockets[0].getsockname()[:2]

    def close(self):
        """End: close the listener and all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self):
        """Return the entry of the target in the platform's store."""
        return {
            "Service": self.service,
            "Address": f"{self.host}:{self.port}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "WarmupLeftS": 0,
            "Sequence": next(self.numbers),
            "born": self.born,
        }

    async def serve(self, reader, writer):
        """Serve one connection, one request at a time."""
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_message(reader)
                method, path, _ = line.split(" ")
                request = Request(
                    method=method, path=path, headers=headers, body=b""
                )
                await self.serve_request(request, reader, writer)
        except (Closed, OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def serve_request(self, request, reader, writer):
        """Answer a request whose head has arrived."""
        request.body = await read_body(reader, request.headers)
        data = await self.answer(request, writer)
        self.answer_count += 1
        await self.send(request, data, writer)

    async def send(self, request, data, writer):
        """Send the bytes of an answer."""
        writer.write(data)
        await writer.drain()

    async def answer(self, request, writer):
        """Return the bytes of the answer to a request."""
        expected = request.headers.get("expect-instance", self.name)
        if expected != self.name:
            return self.make(request, 421, {"Not-Executed": "1"})
        if request.path == "/-/grant":
            return self.grant(json.loads(request.body))
        if request.path == "/-/release":
            return await self.release(json.loads(request.body))
        if request.path == "/healthz":
            status = 200 if self.state == "ready" else 503
            return encode(status, {"Instance-Id": self.name})
        if not request.id:
            return self.make(request, 400, {"Not-Executed": "1"})
        return await self.run(request, writer)

    def make(self, request, status, headers=None, body=b""):
        """Return an answer to a request."""
        fields = {
            "Request-Id": request.id,
            "Load-Report": f"{len(self.running)},{self.waiting},{self.slots}",
        }
        if self.state == "draining":
            fields["Server-Leaving"] = "1"
        fields.update(headers or {})
        return encode(status, fields, body)

    def holds(self, key):
        """Return whether the target holds a key now."""
        return self.expiries[key] > time.monotonic()

    async def run(self, request, writer):
        """Run a request in a slot, unless there is no room."""
        key = None
        if self.sharded:
            key = int(request.headers["shard-key"])
            if not self.holds(key):
                return self.make(request, 421, {"Not-Executed": "1"})
        if self.waiting >= QUEUE_COUNT:
            return self.make(request, 503, {"Not-Executed": "1"})
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        try:
            if key is not None and not self.holds(key):
                return self.make(request, 421, {"Not-Executed": "1"})
            return await self.work_on(request, key, writer)
        finally:
            self.free.release()

    async def work_on(self, request, key, writer):
        """Work on a request; stop when its connection closes."""
        run = Run(
            target=self.name,
            id=request.id,
            key=key,
            path=request.path,
            body=request.body,
            headers=request.headers,
            started_at=time.monotonic(),
        )
        hold_until = self.expiries[key] if key is not None else float("inf")
        run.hold_until = hold_until
        self.runs.append(run)
        self.running[run.id] = run
        ends_at = run.started_at + self.work(request)
        is_late = ends_at > hold_until
        ends_at = min(ends_at, hold_until)
        try:
            while time.monotonic() < ends_at:
                if writer.transport.is_closing():
                    raise Closed
                left = ends_at - time.monotonic()
                await asyncio.sleep(max(min(0.02, left), 0.0))
        finally:
            run.ended_at = time.monotonic()
            self.running.pop(run.id, None)
            self.changed.set()
            self.changed = asyncio.Event()
        seal = {"Response-Seal": f"seal-{run.id}"}
        if is_late:
            return self.make(request, 500, seal)
        return self.make(request, 200, seal, run.id.encode())

    def grant(self, body):
        """Take keys, unless a higher fencing token was seen."""
        first, last = int(body["From"]), int(body["Target"])
        fence = int(body["fence"])
        span = slice(first, last + 1)
        if max(self.fences[span]) > fence:
            return encode(409, {})
        now = time.monotonic()
        count = last + 1 - first
        self.fences[span] = [fence] * count
        self.expiries[span] = [now + body["HoldS"]] * count
        self.calls.append(
            RangeCall(
                target=self.name,
                kind="grant",
                first=first,
                last=last,
                fence=fence,
                hold=body["HoldS"],
                at=now,
            )
        )
        return encode(200, {})

    async def release(self, body):
        """Stop new work on keys; answer when the running work has ended."""
        first, last = int(body["From"]), int(body["Target"])
        span = slice(first, last + 1)
        fence = int(body["fence"])
        count = last + 1 - first
        self.fences[span] = [max(old, fence) for old in self.fences[span]]
        self.expiries[span] = [0.0] * count
        self.calls.append(
            RangeCall(
                target=self.name,
                kind="release",
                first=first,
                last=last,
                fence=fence,
                hold=0.0,
                at=time.monotonic(),
            )
        )
        while any(
            run.key is not None and first <= run.key <= last
            for run in self.running.values()
        ):
            await self.changed.wait()
        return encode(200, {"Handover": f"h{first}-{fence}"})


@dataclasses.dataclass(kw_only=True)
class Answer:
    """What a client has got; status 0 stands for no answer."""

    id: str
    status: int
    headers: dict
    body: bytes
    sent_at: float
    ended_at: float
    error: str = ""


async def call(address, request_id, path, **options):
    """Send one request on a new connection and return the answer."""
    started_at = time.monotonic()
    status, headers, body, error = 0, {}, b"", ""
    writer = None
    try:
        async with asyncio.timeout(options.get("seconds", 6.0)):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(make_request(request_id, path, **options))
            line, headers = await read_message(reader)
            body = await read_body(reader, headers)
            status = int(line.split(" ")[1])
    except (OSError, Closed, TimeoutError, asyncio.IncompleteReadError) as e:
        error = type(e).__name__
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
    return Answer(
        id=request_id,
        status=status,
        headers=headers,
        body=body,
        sent_at=started_at,
        ended_at=time.monotonic(),
        error=error,
    )


def make_request(request_id, path, **options):
    """Return the bytes of a request."""
    body = options.get("body", b"")
    method = options.get("method", "GET")
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {options.get('host', 'a.example')}",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {options.get('deadline_ms', 5000)}",
    ]
    if "key" in options:
        lines.append(f"Shard-Key: {options['key']}")
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
