"""Runs one episode of faults per seed and checks the guarantees."""

import asyncio
import contextlib
import pathlib
import random
import sys
import tempfile
import time
from typing import Final

import defopt
import tabulate

from bench import processes
from bench.soak import checks
from bench.soak import faults
from bench.soak import proxy
from bench.soak import record
from bench.soak import traffic
from dragonflyshelf.runtime import http_client
from stand_ins import store
from stand_ins import upstream

CALLERS: Final = 12

FAULT_PAUSE: Final = (0.1, 2.0)
"""Minimum and maximum time between the starts of two faults."""

SETTLE_SECONDS: Final = 3.0
"""Time from readiness to the first fault, for the initial grants."""

STALL_CHECK_SECONDS: Final = 0.1
"""Interval at which stalls of this process are detected."""

STALL_SECONDS: Final = 0.5
"""Delay of a timer from which it counts as a stall."""

SHOWN: Final = 10
"""Maximum number of violations printed per check."""


async def async_play(
    seed: int, seconds: float, count: int, folder: pathlib.Path
) -> record.Record:
    """Run one episode and return its record."""
    chance = random.Random(seed)
    found = record.Record(rate=faults.LEAST_RATE * 2)
    async with contextlib.AsyncExitStack() as stack:
        world = await _async_world(stack, chance, found, count, folder)
        await asyncio.gather(
            *(one.async_wait_ready() for one in world.instances)
        )
        await asyncio.sleep(SETTLE_SECONDS)
        async with asyncio.TaskGroup() as group:
            callers = [
                group.create_task(
                    traffic.Caller(
                        f"s{seed}-{number}",
                        world.instances,
                        found,
                        random.Random(chance.random()),
                    ).async_call_forever()
                )
                for number in range(CALLERS)
            ]
            watching = group.create_task(_async_watch_stalls(world))
            await _async_cause_faults(world, seconds)
            for one in (*callers, watching):
                one.cancel()
        found.recovered_after = await _async_recover(world)
    return found


async def _async_world(
    stack: contextlib.AsyncExitStack,
    chance: random.Random,
    found: record.Record,
    count: int,
    folder: pathlib.Path,
) -> faults.World:
    """Start store, upstreams, proxies and instances."""
    served = await stack.enter_async_context(store.async_run_store())
    keys = [traffic.KEYS_BY_WORKSPACE[traffic.SECOND]]
    served.objects.create(
        "config", "main", faults.configuration_of(1, keys, faults.LEAST_RATE)
    )
    upstreams = [
        await _async_upstream(stack, number, found) for number in range(6)
    ]
    for one in upstreams:
        served.objects.create("servers", one.server.name, one.entry())
    links = [
        await stack.enter_async_context(proxy.async_proxy(served.port))
        for _ in range(count)
    ]
    instances = stack.enter_context(
        processes.run_instances([one.port for one in links], folder)
    )
    return faults.World(
        chance=chance,
        found=found,
        instances=instances,
        store=served,
        store_proxies=links,
        upstreams=upstreams,
    )


async def _async_upstream(
    stack: contextlib.AsyncExitStack, number: int, found: record.Record
) -> faults.Upstream:
    sharded = number % 2 == 1
    service = "archive" if sharded else "letters"
    server = await stack.enter_async_context(
        upstream.async_run_upstream(f"u{number}", service, sharded=sharded)
    )
    server.on_grant = lambda buckets, until: _note_grant(
        found, server, buckets, until
    )
    found.upstreams.append(server)
    link = await stack.enter_async_context(proxy.async_proxy(server.port))
    centre = processes.DATA_CENTRES[number % len(processes.DATA_CENTRES)]
    return faults.Upstream(server=server, proxy=link, data_centre=centre)


def _note_grant(
    found: record.Record,
    server: upstream.UpstreamServer,
    buckets: range,
    until: float,
) -> None:
    """Record buckets that another upstream still holds."""
    now = time.monotonic()
    for other in found.upstreams:
        if other is server or other.service != server.service:
            continue
        for one in buckets:
            hold = other.grants_by_bucket.get(one)
            if hold is not None and hold.expires_at > now:
                found.held_twice.append(
                    f"bucket {one}: held by {other.name} for another"
                    f" {hold.expires_at - now:.2f} s, granted to"
                    f" {server.name} for {until - now:.2f} s"
                )


async def _async_cause_faults(world: faults.World, seconds: float) -> None:
    """Start random faults, which may overlap."""
    begun = time.monotonic()
    names = sorted(faults.FAULTS)
    has_withdrawn = False
    async with asyncio.TaskGroup() as group:
        while time.monotonic() - begun < seconds:
            name = world.chance.choice(names)
            print(f"{time.monotonic() - begun:7.2f} {name}", flush=True)
            group.create_task(faults.FAULTS.get(name)(world))
            await asyncio.sleep(world.chance.uniform(*FAULT_PAUSE))
            if not has_withdrawn and time.monotonic() - begun > seconds / 2:
                has_withdrawn = True
                world.withdraw()


async def _async_watch_stalls(world: faults.World) -> None:
    """Record stalls of this process as disruptions of all instances.

    It runs the store, the upstreams and the callers, so the behaviour of
    the instances during a stall is not meaningful.
    """
    while True:
        begin = time.monotonic()
        await asyncio.sleep(STALL_CHECK_SECONDS)
        end = time.monotonic()
        late = end - begin - STALL_CHECK_SECONDS
        if late < STALL_SECONDS:
            continue
        print(f"the soak process stalled for {late:.1f} s", flush=True)
        for one in world.instances:
            world.found.disturbed.append(
                record.Disturbed(instance=one.name, begin=begin, end=end)
            )


async def _async_recover(world: faults.World) -> float | None:
    """Return the time until every instance serves every kind of request."""
    begun = time.monotonic()
    number = 0
    while time.monotonic() - begun < checks.RECOVERY_SECONDS:
        wrong = 0
        for one in world.instances:
            for kind in record.Kind:
                number += 1
                async with http_client.async_open(
                    processes.HOST, one.ports.callers
                ) as client:
                    status, _ = await traffic.async_send(
                        client, f"recovery-{number}", kind, traffic.FIRST
                    )
                wrong += status != "200"
        if not wrong:
            return time.monotonic() - begun
        await asyncio.sleep(0.2)
    return None


def report(found: record.Record) -> int:
    """Print the results and return the number of violations."""
    counts: dict[tuple[str, str], int] = {}
    for one in found.seen:
        key = (one.kind.value, one.status)
        counts[key] = counts.get(key, 0) + 1
    rows = [(*key, count) for key, count in sorted(counts.items())]
    print(tabulate.tabulate(rows, headers=("kind", "status", "requests")))
    violations = 0
    for name in checks.CHECKS:
        wrong = list(checks.CHECKS.get(name)(found))
        violations += len(wrong)
        print(f"{name}: {len(wrong) or 'passed'}")
        for one in wrong[:SHOWN]:
            print(f"    {one}")
    return violations


def soak(
    *,
    first: int = 0,
    count: int = 1,
    seconds: float = 20.0,
    instances: int = 5,
    logs: pathlib.Path | None = None,
) -> None:
    """Run episodes and exit with 1 if a guarantee was violated.

    :param first: the first seed
    :param count: number of consecutive seeds
    :param seconds: duration of fault injection in an episode
    :param instances: number of instances in an episode
    :param logs: folder for the instances' logs, kept after the run
    """
    broken: list[int] = []
    not_played: list[int] = []
    for seed in range(first, first + count):
        print(f"seed {seed}")
        with tempfile.TemporaryDirectory() as temporary:
            folder = pathlib.Path(temporary)
            if logs is not None:
                folder = logs / f"seed-{seed}"
                folder.mkdir(parents=True, exist_ok=True)
            try:
                found = asyncio.run(
                    async_play(seed, seconds, instances, folder)
                )
            except TimeoutError as error:
                print(f"not run: {error}")
                not_played.append(seed)
                continue
        if report(found):
            broken.append(seed)
    print(
        f"{count} episodes, failed: {broken or 'none'},"
        f" not run: {not_played or 'none'}"
    )
    sys.exit(1 if broken or not_played else 0)


if __name__ == "__main__":
    defopt.run(soak)
