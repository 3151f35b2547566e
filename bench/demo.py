"""Demo: instances as real processes, under load, with one crash.

The first instance is killed half-way. Every order that got a successful
response must have been executed exactly once.
"""

import asyncio
import collections
import contextlib
import dataclasses
import pathlib
import signal
import tempfile
from typing import Final
import zlib

import defopt
import tabulate

from bench import processes
from stand_ins import configuration
from stand_ins import store
from stand_ins import upstream

CALLER_KEY: Final = "key-of-one"
SETTLE_SECONDS: Final = 4.0
WORKER_COUNT: Final = 16


@dataclasses.dataclass(kw_only=True)
class CallerResults:
    """Responses that the callers received."""

    request_counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    successful_orders: set[str] = dataclasses.field(default_factory=set)


async def async_send_requests(
    worker_name: str,
    instances: list[processes.Instance],
    request_count: int,
    results: CallerResults,
) -> None:
    """Send requests, cycling through the kinds, to the instances."""
    for number in range(request_count):
        request_id = f"{worker_name}-{number}"
        request_hash = zlib.crc32(request_id.encode())
        instance = instances[request_hash % len(instances)]
        headers = {
            "x-api-key": CALLER_KEY,
            "request-id": request_id,
            "deadline-ms": str(processes.DEADLINE_MS),
            "shard-key": str(request_hash % 65536),
        }
        kind = ("read", "order", "old")[number % 3]
        method = "POST" if kind == "order" else "GET"
        response = await processes.async_call(
            instance.ports.callers, f"/{kind}/{number}", headers, method
        )
        results.request_counts[f"{kind} {response.status}"] += 1
        if kind == "order" and response.status == "200":
            results.successful_orders.add(request_id)


def audit(
    upstreams: list[upstream.UpstreamServer], results: CallerResults
) -> list[str]:
    """Return descriptions of the violations found."""
    execution_counts = collections.Counter(
        request.request_id
        for server in upstreams
        for request in server.executed_requests
    )
    violations = []
    for request_id in results.successful_orders:
        if execution_counts[request_id] != 1:
            violations.append(
                f"order {request_id} was executed"
                f" {execution_counts[request_id]} times"
            )
    for server in upstreams:
        if any(request.had_caller_key for request in server.executed_requests):
            violations.append(f"{server.name} received a caller key")
        if any(
            request.tenant != "one" for request in server.executed_requests
        ):
            violations.append(
                f"{server.name} executed a request with a wrong workspace"
            )
    return violations


async def async_demo(instance_count: int, request_count: int) -> int:
    """Run the demo and return the exit status."""
    results = CallerResults()
    async with contextlib.AsyncExitStack() as stack:
        store_server = await stack.enter_async_context(store.async_run_store())
        store_server.objects.create(
            "config",
            "main",
            configuration.build_configuration(1, [CALLER_KEY]),
        )
        upstreams = []
        for number in range(6):
            sharded = number % 2 == 1
            service = "archive" if sharded else "letters"
            server = await stack.enter_async_context(
                upstream.async_run_upstream(
                    f"u{number}", service, sharded=sharded
                )
            )
            registration = server.make_registration(
                processes.HOST, processes.DATA_CENTRES[number % 3]
            )
            store_server.objects.create("servers", server.name, registration)
            upstreams.append(server)
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        instances = stack.enter_context(
            processes.run_instances(
                [store_server.port] * instance_count, folder
            )
        )
        await asyncio.gather(
            *(instance.async_wait_ready() for instance in instances)
        )
        await asyncio.sleep(SETTLE_SECONDS)
        await _async_run_load("before", instances, request_count // 2, results)
        instances[0].send_signal(signal.SIGKILL)
        await _async_run_load(
            "after", instances[1:], request_count // 2, results
        )
        violations = audit(upstreams, results)
        print(
            tabulate.tabulate(
                sorted(results.request_counts.items()),
                headers=("kind and status", "requests"),
            )
        )
        print(f"store calls: {store_server.call_count}")
        print(f"audit: {'; '.join(violations) or 'nothing wrong'}")
    return 1 if violations else 0


async def _async_run_load(
    phase: str,
    instances: list[processes.Instance],
    request_count: int,
    results: CallerResults,
) -> None:
    requests_per_worker = max(request_count // WORKER_COUNT, 1)
    await asyncio.gather(
        *(
            async_send_requests(
                f"{phase}-{worker}", instances, requests_per_worker, results
            )
            for worker in range(WORKER_COUNT)
        )
    )


def demo(*, count: int = 8, requests: int = 1600) -> None:
    """Run instances with stand-ins on loopback and print the results.

    :param count: number of instances
    :param requests: total number of requests
    """
    raise SystemExit(asyncio.run(async_demo(count, requests)))


if __name__ == "__main__":
    defopt.run(demo)
