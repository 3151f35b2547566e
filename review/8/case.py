"""A machine is stopped as planned while clients read responses slowly."""

import asyncio
import pathlib
import signal
import socket
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [
    str(FOLDER.parents[1]),
    str(FOLDER.parents[1] / "target" / "deps"),
    str(FOLDER.parent / "support-2"),
]

import frame  # noqa: E402
import targets  # noqa: E402

RESPONSE_BYTES = 400_000
"""Size of a response; the pages' largest download has 540,000 bytes."""

BYTES_PER_SECOND = 85_000
READ_SECONDS = 0.1
RECEIVE_BUFFER_BYTES = 32 * 1024
CLIENT_COUNT = 4
DEADLINE_SECONDS = 8.0
HEAD_START_SECONDS = 0.1
"""Time by which the requests are sent before the signal."""

WORK_SECONDS = 0.3
GRACE_SECONDS = 6.0

ROUTES = [
    {
        "Name": "episode-download",
        "Host": "a.example",
        "PathPrefix": "/episodes/",
        "Kind": "download",
        "TimeoutS": 8,
        "SloLatencyS": 1.5,
        "Priority": 2,
        "MaxAttempts": 2,
        "Service": "audio-vault",
    }
]
SERVICES = [
    {
        "Name": "audio-vault",
        "HealthPath": "/healthz",
        "MaxConnections": 110,
        "WarmupPerS": 6.6,
        "WarmupS": 3,
    }
]


class Vault(targets.Target):
    """A target with large responses to some requests."""

    def make(self, request, status, headers=None, body=b""):
        """Return an answer; a successful one to a large path is long."""
        if status == 200 and request.path.endswith("/large"):
            body = body.ljust(RESPONSE_BYTES, b".")
        return super().make(request, status, headers, body)


class SlowClient:
    """A client on a slow line, which keeps its connection open."""

    def __init__(self, case, number):
        """Create a client without a connection."""
        self._case = case
        self._number = number
        self.received = b""
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.end = "complete"

    async def connect(self):
        """Connect with a small receive buffer, and send a small request."""
        loop = asyncio.get_running_loop()
        self._socket = socket.socket()
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._socket.setblocking(False)
        await loop.sock_connect(self._socket, self._case.nodes[0].front)
        await self._send("small")
        await loop.sock_recv(self._socket, 65536)

    async def _send(self, size):
        data = targets.make_request(
            f"{size}{self._number}",
            f"/episodes/{size}",
            deadline_ms=int(DEADLINE_SECONDS * 1000),
        )
        await asyncio.get_running_loop().sock_sendall(self._socket, data)

    async def download(self):
        """Read a large response at the rate of the line."""
        self.sent_at = time.monotonic()
        await self._send("large")
        try:
            async with asyncio.timeout(DEADLINE_SECONDS):
                await self._read()
        except (OSError, TimeoutError) as error:
            self.end = type(error).__name__
        self.ended_at = time.monotonic()
        self._socket.close()

    async def _read(self):
        loop = asyncio.get_running_loop()
        size = int(BYTES_PER_SECOND * READ_SECONDS)
        next_at = time.monotonic()
        while not self.is_complete:
            data = await loop.sock_recv(self._socket, size)
            if not data:
                self.end = "closed"
                return
            self.received += data
            next_at += READ_SECONDS * len(data) / size
            await asyncio.sleep(max(next_at - time.monotonic(), 0.0))

    @property
    def is_complete(self):
        """Return whether the whole response was received."""
        head, separator, body = self.received.partition(b"\r\n\r\n")
        return bool(separator) and len(body) >= RESPONSE_BYTES


async def run(case, folder):
    """Stop the machine in the midst of the downloads."""
    clients = []
    async with case.running(1, folder):
        case.configure(ROUTES, SERVICES)
        target = Vault(
            "i-1", "audio-vault", "zone-a", work=lambda request: WORK_SECONDS
        )
        await target.listen("127.0.0.1")
        case.targets.append(target)
        case.register(target)
        await case.wait_ready()
        await asyncio.sleep(4.0)
        for number in range(CLIENT_COUNT):
            clients.append(SlowClient(case, number))
            await clients[-1].connect()
        downloads = [
            asyncio.create_task(client.download()) for client in clients
        ]
        await asyncio.sleep(HEAD_START_SECONDS)
        signalled_at = time.monotonic()
        if case.has_trouble:
            case.nodes[0].signal(signal.SIGTERM)
            case.note("SIGTERM")
        await asyncio.gather(*downloads)
        log = case.nodes[0].read_log()
    for line in log.splitlines():
        if "shutdown" in line:
            case.note(line)
    return judge(case, clients, signalled_at)


def judge(case, clients, signalled_at):
    """Write what was seen and return the result."""
    lost_count = 0
    for number, client in enumerate(clients):
        seconds = client.ended_at - signalled_at
        case.event(client.sent_at, f"sent large{number}")
        case.event(
            client.ended_at,
            f"answered large{number}: {len(client.received)} bytes,"
            f" {client.end}",
        )
        case.note(
            f"client {number}: {client.end},"
            f" {len(client.received)} bytes, sent"
            f" {client.sent_at - signalled_at:.2f} s and ended"
            f" {seconds:.2f} s after the signal"
        )
        if not client.is_complete and seconds < GRACE_SECONDS:
            lost_count += 1
    ran = [run_.id for target in case.targets for run_ in target.runs]
    case.note(f"run: {', '.join(ran)}")
    if lost_count:
        case.note(f"LOST: {lost_count} responses were cut")
    if len(ran) < 2 * len(clients):
        return frame.COULD_NOT_RUN
    return frame.BROKEN if lost_count else frame.HELD


if __name__ == "__main__":
    frame.main(FOLDER, run)
