"""Open-loop load: requests are sent when they are due, come what may.

A latency runs from the instant at which its request was meant to be
sent. ``python -m bench.load PLAN.json OUT.json`` is one worker process;
``async_run`` starts several and joins what they have seen.
"""

import asyncio
import json
import pathlib
import sys
import tempfile
import time

import defopt
import msgspec

from bench import answers
from bench import client
from bench import plans

DRAIN_POLL_SECONDS = 0.02
HOST = "127.0.0.1"
PACE_SECONDS = 0.001
START_SECONDS = 0.7
WORKERS = 3


class LoadWorker:
    """Sends the arrivals of one process and keeps every answer."""

    def __init__(self, plan: plans.LoadPlan) -> None:
        """Create a worker with idle pools."""
        self._plan = plan
        self._pools_by_port = {
            port: client.PortPool(
                HOST, port, plan.connections_per_port, plan.timeout
            )
            for port in plan.ports
        }
        self._pending = 0
        self._started = 0.0
        self.answers: list[answers.Answer] = []

    async def async_run(
        self, found: list[plans.Arrival], start_at: float
    ) -> None:
        """Send all arrivals; ``start_at`` is wall-clock time."""
        await asyncio.sleep(max(0.0, start_at - time.time()))
        loop = asyncio.get_running_loop()
        self._started = loop.time()
        for one in found:
            due = self._started + one.at + self._plan.one_way
            wait = due - loop.time()
            if wait > 0:
                await asyncio.sleep(max(wait, PACE_SECONDS))
            self._send(one)
        while self._pending:
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    def _send(self, arrival: plans.Arrival) -> None:
        stream = self._plan.streams[arrival.stream]
        headers = [
            (b"x-caller-key", stream.caller_key.encode()),
            (b"x-request-id", arrival.request_id.encode()),
        ]
        if stream.deadline_ms:
            headers.append((b"x-deadline-ms", b"%d" % stream.deadline_ms))
        self._pending += 1
        self._pools_by_port[arrival.port].call(
            client.Call(
                data=client.encode(
                    stream.method, arrival.target, headers, stream.body_bytes
                ),
                method=stream.method.encode(),
                done=lambda reply: self._note(arrival, reply),
            )
        )

    def _note(self, arrival: plans.Arrival, reply: client.Reply) -> None:
        self._pending -= 1
        stream = self._plan.streams[arrival.stream]
        elapsed = asyncio.get_running_loop().time() - self._started
        latency = elapsed - arrival.at + self._plan.one_way
        body = _body(reply.body)
        self.answers.append(
            answers.Answer(
                request_id=arrival.request_id,
                workspace=stream.workspace,
                service=stream.service,
                target=arrival.target,
                idempotent=stream.idempotent,
                priority=stream.priority,
                port=arrival.port,
                status=reply.status,
                at=time.time() - elapsed + arrival.at,
                latency=latency,
                outcome=_header(reply, b"x-outcome"),
                code=str(body.get("code", "")),
                body_request_id=str(body.get("request_id", "")),
                upstream=str(body.get("upstream", "")),
                error=reply.error,
            )
        )


def _header(reply: client.Reply, name: bytes) -> str:
    return dict(reply.headers).get(name, b"").decode("latin-1")


def _body(body: bytes) -> dict[str, object]:
    try:
        value = json.loads(body)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


async def async_run(
    plan: plans.LoadPlan, workers: int = WORKERS
) -> list[answers.Answer]:
    """Run a plan in several processes and return every answer."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "plan.json"
        path.write_bytes(msgspec.json.encode(plan))
        start_at = time.time() + START_SECONDS
        outs = [pathlib.Path(folder) / f"{n}.json" for n in range(workers)]
        await asyncio.gather(
            *(
                _async_worker(path, out, number, workers, start_at)
                for number, out in enumerate(outs)
            )
        )
        found: list[answers.Answer] = []
        for out in outs:
            found.extend(
                msgspec.json.decode(
                    out.read_bytes(), type=list[answers.Answer]
                )
            )
    return found


async def _async_worker(
    path: pathlib.Path,
    out: pathlib.Path,
    number: int,
    workers: int,
    start_at: float,
) -> None:
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "bench.load", str(path), str(out)),
        *("--worker", str(number), "--workers", str(workers)),
        *("--start-at", repr(start_at)),
    )
    if await process.wait() != 0:
        raise RuntimeError(f"load worker {number} failed")


def main(
    plan: pathlib.Path,
    out: pathlib.Path,
    *,
    worker: int = 0,
    workers: int = 1,
    start_at: float = 0.0,
) -> None:
    """Run one worker process.

    :param plan: JSON file of the plan
    :param out: JSON file for the answers
    :param worker: number of this process
    :param workers: number of processes
    :param start_at: wall-clock time of the start, in seconds
    """
    decoded = msgspec.json.decode(plan.read_bytes(), type=plans.LoadPlan)
    runner = LoadWorker(decoded)
    found = plans.arrivals(decoded, worker, workers)
    asyncio.run(runner.async_run(found, start_at))
    out.write_bytes(msgspec.json.encode(runner.answers))


if __name__ == "__main__":
    defopt.run(main)
