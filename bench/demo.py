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

KEY: Final = "key-of-one"
SETTLE_SECONDS: Final = 4.0
WORKERS: Final = 16


@dataclasses.dataclass(kw_only=True)
class Account:
    """Responses that the callers received."""

    statuses: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    answered_orders: set[str] = dataclasses.field(default_factory=set)


async def async_work(
    worker: str,
    running: list[processes.Instance],
    requests: int,
    account: Account,
) -> None:
    """Send requests, cycling through the kinds, to the instances."""
    for number in range(requests):
        name = f"{worker}-{number}"
        place = zlib.crc32(name.encode())
        one = running[place % len(running)]
        headers = {
            "x-api-key": KEY,
            "request-id": name,
            "deadline-ms": str(processes.DEADLINE_MS),
            "shard-key": str(place % 65536),
        }
        kind = ("read", "order", "old")[number % 3]
        method = "POST" if kind == "order" else "GET"
        answer = await processes.async_call(
            one.ports.callers, f"/{kind}/{number}", headers, method
        )
        account.statuses[f"{kind} {answer.status}"] += 1
        if kind == "order" and answer.status == "200":
            account.answered_orders.add(name)


def audit(
    upstreams: list[upstream.UpstreamServer], account: Account
) -> list[str]:
    """Return descriptions of the violations found."""
    runs = collections.Counter(
        run.request_id for one in upstreams for run in one.executed_requests
    )
    found = []
    for name in account.answered_orders:
        if runs[name] != 1:
            found.append(f"order {name} was executed {runs[name]} times")
    for one in upstreams:
        if any(run.had_caller_key for run in one.executed_requests):
            found.append(f"{one.name} received a caller key")
        if any(run.tenant != "one" for run in one.executed_requests):
            found.append(
                f"{one.name} executed a request with a wrong workspace"
            )
    return found


async def async_demo(count: int, requests: int) -> int:
    """Run the demo and return the exit status."""
    account = Account()
    async with contextlib.AsyncExitStack() as stack:
        served = await stack.enter_async_context(store.async_run_store())
        served.objects.create(
            "config", "main", configuration.build_configuration(1, [KEY])
        )
        upstreams = []
        for number in range(6):
            sharded = number % 2 == 1
            service = "archive" if sharded else "letters"
            one = await stack.enter_async_context(
                upstream.async_run_upstream(
                    f"u{number}", service, sharded=sharded
                )
            )
            entry = one.make_registration(
                processes.HOST, processes.DATA_CENTRES[number % 3]
            )
            served.objects.create("servers", one.name, entry)
            upstreams.append(one)
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        running = stack.enter_context(
            processes.running([served.port] * count, folder)
        )
        await asyncio.gather(*(one.async_wait_ready() for one in running))
        await asyncio.sleep(SETTLE_SECONDS)
        await _async_load("before", running, requests // 2, account)
        running[0].send(signal.SIGKILL)
        await _async_load("after", running[1:], requests // 2, account)
        wrong = audit(upstreams, account)
        print(
            tabulate.tabulate(
                sorted(account.statuses.items()),
                headers=("kind and status", "requests"),
            )
        )
        print(f"store calls: {served.call_count}")
        print(f"audit: {'; '.join(wrong) or 'nothing wrong'}")
    return 1 if wrong else 0


async def _async_load(
    name: str,
    running: list[processes.Instance],
    requests: int,
    account: Account,
) -> None:
    share = max(requests // WORKERS, 1)
    await asyncio.gather(
        *(
            async_work(f"{name}-{worker}", running, share, account)
            for worker in range(WORKERS)
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
