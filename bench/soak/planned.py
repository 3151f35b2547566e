"""Registry of the planned work that goes on during the faults of an episode.

It has random numbers of its own, so that a seed injects the same faults.
"""

import asyncio
from collections import abc
import random
import time
from typing import Final

from bench import processes
from bench.soak import faults
from bench.soak import record
from bench.soak import traffic
from dragonflyshelf.core import registry
from stand_ins import upstream

Work = abc.Callable[
    [faults.Deployment, random.Random], abc.Coroutine[None, None, None]
]

PLANNED: Final[registry.Registry[str, Work]] = registry.Registry(
    "planned work"
)

LEAVING_SECONDS: Final = (3.0, 5.0)
"""Minimum and maximum time for which an upstream is leaving."""

REGISTERED_LEAVING_RATIO: Final = 0.7
"""Share of the leaving upstreams that also say so in the registry."""

BUSY_SECONDS: Final = (0.5, 2.0)
"""Minimum and maximum time for which an upstream declines requests."""

BACKOFF_SECONDS: Final = (0.6, 2.5)
"""Minimum and maximum time that a busy upstream asks for."""

PAUSE_SECONDS: Final = (0.5, 2.0)
"""Minimum and maximum time between two changes."""


@PLANNED.register("drains")
async def async_drain_upstreams(
    deployment: faults.Deployment, rng: random.Random
) -> None:
    """Let one upstream after the other leave and start again."""
    while True:
        await asyncio.sleep(rng.uniform(*PAUSE_SECONDS))
        proxied_upstream = rng.choice(deployment.upstreams)
        name = proxied_upstream.server.name
        if name in deployment.reserved_names:
            continue
        deployment.reserved_names.add(name)
        proxied_upstream.server.is_leaving = True
        is_registered = rng.random() < REGISTERED_LEAVING_RATIO
        if is_registered:
            deployment.register(proxied_upstream, State="draining")
        started_at = time.monotonic()
        await asyncio.sleep(rng.uniform(*LEAVING_SECONDS))
        if is_registered:
            deployment.episode.leavings.append(
                record.Leaving(
                    upstream=name,
                    started_at=started_at,
                    ended_at=time.monotonic(),
                )
            )
        proxied_upstream.server.crash()
        deployment.register(proxied_upstream)
        deployment.reserved_names.discard(name)


@PLANNED.register("busy upstreams")
async def async_decline_requests(
    deployment: faults.Deployment, rng: random.Random
) -> None:
    """Let one upstream after the other decline all requests for a time."""
    while True:
        await asyncio.sleep(rng.uniform(*PAUSE_SECONDS))
        proxied_upstream = rng.choice(deployment.upstreams)
        server = proxied_upstream.server
        if server.name in deployment.reserved_names:
            continue
        deployment.reserved_names.add(server.name)
        server.fault = upstream.Fault.DECLINE
        server.backoff_seconds = round(rng.uniform(*BACKOFF_SECONDS), 2)
        try:
            await asyncio.sleep(rng.uniform(*BUSY_SECONDS))
        finally:
            server.fault = upstream.Fault.NONE
            server.backoff_seconds = 0.0
            deployment.reserved_names.discard(server.name)


@PLANNED.register("routes")
async def async_change_routes(
    deployment: faults.Deployment, rng: random.Random
) -> None:
    """Replace a route again and again, and probe both at all instances."""
    number = 0
    while True:
        await asyncio.sleep(rng.uniform(*PAUSE_SECONDS))
        removed_prefixes = deployment.other_prefixes
        number += 1
        deployment.other_prefixes = (f"/added-{number}/",)
        deployment.write_configuration()
        changed_at = time.monotonic()
        await asyncio.sleep(processes.PROMISED_CHANGE_SECONDS)
        async with asyncio.TaskGroup() as group:
            for instance in deployment.instances:
                for prefix in (*deployment.other_prefixes, *removed_prefixes):
                    group.create_task(
                        _async_probe(deployment, instance, prefix, changed_at)
                    )


async def _async_probe(
    deployment: faults.Deployment,
    instance: processes.Instance,
    prefix: str,
    changed_at: float,
) -> None:
    """Send a request on a route and record whether it is in force."""
    sent_at = time.monotonic()
    request_id = f"probe{prefix.replace('/', '-')}{instance.name}"
    response = await processes.async_call(
        instance.ports.callers,
        f"{prefix}{request_id}",
        {
            "request-id": request_id,
            "x-api-key": traffic.KEYS_BY_WORKSPACE[traffic.FIRST_WORKSPACE],
            "deadline-ms": str(processes.DEADLINE_MS),
        },
    )
    deployment.episode.route_probes.append(
        record.RouteProbe(
            instance=instance.name,
            prefix=prefix,
            is_added=prefix in deployment.other_prefixes,
            changed_at=changed_at,
            sent_at=sent_at,
            status=response.status,
        )
    )
