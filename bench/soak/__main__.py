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
from bench.soak import crowd
from bench.soak import faults
from bench.soak import planned
from bench.soak import proxy
from bench.soak import record
from bench.soak import traffic
from dragonflyshelf.runtime import http_client
from stand_ins import store
from stand_ins import upstream

CALLER_COUNT: Final = 12

FAULT_INTERVAL_SECONDS: Final = (0.1, 2.0)
"""Minimum and maximum time between the starts of two faults."""

SETTLE_SECONDS: Final = 3.0
"""Time from readiness to the first fault, for the initial grants."""

STALL_CHECK_INTERVAL_SECONDS: Final = 0.1
"""Interval at which stalls of this process are detected."""

MIN_STALL_SECONDS: Final = 0.5
"""Delay of a timer from which it counts as a stall."""

MAX_PRINTED_VIOLATION_COUNT: Final = 10
"""Maximum number of violations printed per check."""


async def async_run_episode(
    seed: int, fault_seconds: float, instance_count: int, folder: pathlib.Path
) -> record.EpisodeRecord:
    """Run one episode and return its record."""
    rng = random.Random(seed)
    episode = record.EpisodeRecord(
        max_requests_per_second=faults.MIN_REQUESTS_PER_SECOND * 2
    )
    async with contextlib.AsyncExitStack() as stack:
        deployment = await _async_deploy(
            stack, rng, episode, instance_count, folder
        )
        await asyncio.gather(
            *(instance.async_wait_ready() for instance in deployment.instances)
        )
        await asyncio.sleep(SETTLE_SECONDS)
        async with asyncio.TaskGroup() as group:
            callers = [
                group.create_task(
                    traffic.Caller(
                        f"s{seed}-{number}",
                        deployment.instances,
                        episode,
                        random.Random(rng.random()),
                    ).async_call_forever()
                )
                for number in range(CALLER_COUNT)
            ]
            crowd_members = [
                group.create_task(
                    crowd.CrowdMember(
                        deployment.instances,
                        random.Random(f"{seed}-crowd-{number}"),
                    ).async_send_forever()
                )
                for number in range(crowd.MEMBER_COUNT)
            ]
            stall_monitor = group.create_task(
                _async_monitor_stalls(deployment)
            )
            planned_work = [
                group.create_task(
                    planned.PLANNED.get(name)(
                        deployment, random.Random(f"{seed}-{name}")
                    )
                )
                for name in planned.PLANNED
            ]
            await _async_inject_faults(deployment, fault_seconds)
            for background_task in (
                *callers,
                *crowd_members,
                *planned_work,
                stall_monitor,
            ):
                background_task.cancel()
        episode.recovery_seconds = await _async_recover(deployment)
    return episode


async def _async_deploy(
    stack: contextlib.AsyncExitStack,
    rng: random.Random,
    episode: record.EpisodeRecord,
    instance_count: int,
    folder: pathlib.Path,
) -> faults.Deployment:
    """Start store, upstreams, proxies and instances."""
    store_server = await stack.enter_async_context(store.async_run_store())
    second_keys = [traffic.KEYS_BY_WORKSPACE[traffic.SECOND_WORKSPACE]]
    store_server.objects.create(
        "config",
        "main",
        faults.make_configuration(
            1, second_keys, faults.MIN_REQUESTS_PER_SECOND
        ),
    )
    upstreams = [
        await _async_start_upstream(stack, number, episode)
        for number in range(6)
    ]
    for proxied_upstream in upstreams:
        store_server.objects.create(
            "servers",
            proxied_upstream.server.name,
            proxied_upstream.make_registration(),
        )
    store_proxies = [
        await stack.enter_async_context(
            proxy.async_run_proxy(store_server.port)
        )
        for _ in range(instance_count)
    ]
    instances = stack.enter_context(
        processes.run_instances(
            [store_proxy.port for store_proxy in store_proxies], folder
        )
    )
    return faults.Deployment(
        rng=rng,
        episode=episode,
        instances=instances,
        store=store_server,
        store_proxies=store_proxies,
        upstreams=upstreams,
    )


async def _async_start_upstream(
    stack: contextlib.AsyncExitStack,
    number: int,
    episode: record.EpisodeRecord,
) -> faults.ProxiedUpstream:
    sharded = number % 2 == 1
    service = "archive" if sharded else "letters"
    server = await stack.enter_async_context(
        upstream.async_run_upstream(f"u{number}", service, sharded=sharded)
    )
    server.on_grant = lambda buckets, expires_at: _record_double_grants(
        episode, server, buckets, expires_at
    )
    episode.upstreams.append(server)
    upstream_proxy = await stack.enter_async_context(
        proxy.async_run_proxy(server.port)
    )
    data_centre = processes.DATA_CENTRES[number % len(processes.DATA_CENTRES)]
    return faults.ProxiedUpstream(
        server=server, proxy=upstream_proxy, data_centre=data_centre
    )


def _record_double_grants(
    episode: record.EpisodeRecord,
    server: upstream.UpstreamServer,
    buckets: range,
    expires_at: float,
) -> None:
    """Record buckets that another upstream still holds."""
    now = time.monotonic()
    for other_server in episode.upstreams:
        if other_server is server or other_server.service != server.service:
            continue
        for bucket in buckets:
            grant = other_server.grants_by_bucket.get(bucket)
            if grant is not None and grant.expires_at > now:
                episode.double_grants.append(
                    f"bucket {bucket}: held by {other_server.name} for another"
                    f" {grant.expires_at - now:.2f} s, granted to"
                    f" {server.name} for {expires_at - now:.2f} s"
                )


async def _async_inject_faults(
    deployment: faults.Deployment, duration_seconds: float
) -> None:
    """Start random faults, which may overlap."""
    started_at = time.monotonic()
    fault_names = sorted(faults.FAULTS)
    is_key_withdrawn = False
    async with asyncio.TaskGroup() as group:
        while time.monotonic() - started_at < duration_seconds:
            name = deployment.rng.choice(fault_names)
            print(f"{time.monotonic() - started_at:7.2f} {name}", flush=True)
            group.create_task(faults.FAULTS.get(name)(deployment))
            await asyncio.sleep(
                deployment.rng.uniform(*FAULT_INTERVAL_SECONDS)
            )
            if (
                not is_key_withdrawn
                and time.monotonic() - started_at > duration_seconds / 2
            ):
                is_key_withdrawn = True
                deployment.withdraw_key()


async def _async_monitor_stalls(deployment: faults.Deployment) -> None:
    """Record stalls of this process as disruptions of all instances.

    It runs the store, the upstreams and the callers, so the behaviour of
    the instances during a stall is not meaningful.
    """
    while True:
        started_at = time.monotonic()
        await asyncio.sleep(STALL_CHECK_INTERVAL_SECONDS)
        ended_at = time.monotonic()
        delay = ended_at - started_at - STALL_CHECK_INTERVAL_SECONDS
        if delay < MIN_STALL_SECONDS:
            continue
        print(f"the soak process stalled for {delay:.1f} s", flush=True)
        for instance in deployment.instances:
            deployment.episode.disruptions.append(
                record.Disruption(
                    name=instance.name,
                    started_at=started_at,
                    ended_at=ended_at,
                )
            )


async def _async_recover(deployment: faults.Deployment) -> float | None:
    """Return the time until every instance serves every kind of request."""
    started_at = time.monotonic()
    request_number = 0
    while time.monotonic() - started_at < checks.MAX_RECOVERY_SECONDS:
        failure_count = 0
        for instance in deployment.instances:
            for kind in record.Kind:
                request_number += 1
                async with http_client.async_open(
                    processes.HOST, instance.ports.callers
                ) as client:
                    status, _ = await traffic.async_send(
                        client,
                        f"recovery-{request_number}",
                        kind,
                        traffic.FIRST_WORKSPACE,
                    )
                failure_count += status != "200"
        if not failure_count:
            return time.monotonic() - started_at
        await asyncio.sleep(0.2)
    return None


def report(episode: record.EpisodeRecord) -> int:
    """Print the results and return the number of violations."""
    counts_by_kind_and_status: dict[tuple[str, str], int] = {}
    for request in episode.observed_requests:
        key = (request.kind.value, request.status)
        counts_by_kind_and_status[key] = (
            counts_by_kind_and_status.get(key, 0) + 1
        )
    rows = [
        (*key, count)
        for key, count in sorted(counts_by_kind_and_status.items())
    ]
    print(tabulate.tabulate(rows, headers=("kind", "status", "requests")))
    violation_count = 0
    for name in checks.CHECKS:
        violations = list(checks.CHECKS.get(name)(episode))
        violation_count += len(violations)
        print(f"{name}: {len(violations) or 'passed'}")
        for violation in violations[:MAX_PRINTED_VIOLATION_COUNT]:
            print(f"    {violation}")
    return violation_count


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
    failed_seeds: list[int] = []
    not_run_seeds: list[int] = []
    for seed in range(first, first + count):
        print(f"seed {seed}")
        with tempfile.TemporaryDirectory() as temporary:
            folder = pathlib.Path(temporary)
            if logs is not None:
                folder = logs / f"seed-{seed}"
                folder.mkdir(parents=True, exist_ok=True)
            try:
                episode = asyncio.run(
                    async_run_episode(seed, seconds, instances, folder)
                )
            except TimeoutError as error:
                print(f"not run: {error}")
                not_run_seeds.append(seed)
                continue
        if report(episode):
            failed_seeds.append(seed)
    print(
        f"{count} episodes, failed: {failed_seeds or 'none'},"
        f" not run: {not_run_seeds or 'none'}"
    )
    sys.exit(1 if failed_seeds or not_run_seeds else 0)


if __name__ == "__main__":
    defopt.run(soak)
