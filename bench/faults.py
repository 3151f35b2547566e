"""Faults of real processes, drawn from a seed and carried out."""

import asyncio
from collections import abc
import dataclasses
import enum
import random

from bench import cluster as clusters
from dragonflyshelf.core import registry
from stand_ins import platform_faults

FIRST_AT = 1.0
LONGEST_SECONDS = 5.0
MEAN_GAP_SECONDS = 2.0
SHORTEST_SECONDS = 0.3
SLOW_STORE_SECONDS = 0.4


class FaultKind(enum.Enum):
    """What happens to a process."""

    CUT_INSTANCE = "cut_instance"
    DRAIN_UPSTREAM = "drain_upstream"
    FREEZE_UPSTREAM = "freeze_upstream"
    KILL_INSTANCE = "kill_instance"
    KILL_UPSTREAM = "kill_upstream"
    LOSE_ANSWERS = "lose_answers"
    LOSE_WATCHES = "lose_watches"
    PAUSE_INSTANCE = "pause_instance"
    PAUSE_UPSTREAM = "pause_upstream"
    RESTART_INSTANCE = "restart_instance"
    SILENCE_UPSTREAM = "silence_upstream"
    START_COLD = "start_cold"
    STORE_OUT = "store_out"
    STORE_SLOW = "store_slow"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """One fault; ``at`` and ``length`` in seconds.

    ``subject`` is the number of the instance or upstream, taken modulo
    how many there are.
    """

    at: float
    kind: FaultKind
    subject: int
    length: float


Carry = abc.Callable[[clusters.Cluster, Fault], abc.Awaitable[None]]
CARRIERS: registry.Registry[FaultKind, Carry] = registry.Registry("faults")


def draw(seed: int, seconds: float) -> tuple[Fault, ...]:
    """Return the faults of a run; the last ones end before it does."""
    rng = random.Random(f"faults/{seed}")
    found = []
    at = FIRST_AT
    while at < seconds - LONGEST_SECONDS:
        found.append(
            Fault(
                at=round(at, 3),
                kind=rng.choice(list(FaultKind)),
                subject=rng.randrange(1000),
                length=round(
                    rng.uniform(SHORTEST_SECONDS, LONGEST_SECONDS), 3
                ),
            )
        )
        at += rng.expovariate(1 / MEAN_GAP_SECONDS)
    return tuple(found)


async def async_carry_out(
    cluster: clusters.Cluster, faults: tuple[Fault, ...]
) -> None:
    """Carry out all faults, each at its time."""
    async with asyncio.TaskGroup() as group:
        for fault in faults:
            group.create_task(_async_one(cluster, fault))


async def _async_one(cluster: clusters.Cluster, fault: Fault) -> None:
    await asyncio.sleep(fault.at)
    await CARRIERS.get(fault.kind)(cluster, fault)


def _instance(
    cluster: clusters.Cluster, fault: Fault
) -> clusters.InstanceAddress:
    return cluster.instances[fault.subject % len(cluster.instances)]


def _upstream(
    cluster: clusters.Cluster, fault: Fault
) -> clusters.UpstreamAddress:
    return cluster.upstreams[fault.subject % len(cluster.upstreams)]


@CARRIERS.register(FaultKind.KILL_INSTANCE)
async def _async_kill_instance(
    cluster: clusters.Cluster, fault: Fault
) -> None:
    instance = _instance(cluster, fault)
    cluster.kill(instance.name)
    await asyncio.sleep(fault.length)
    cluster.start_instance(instance)


@CARRIERS.register(FaultKind.RESTART_INSTANCE)
async def _async_restart_instance(
    cluster: clusters.Cluster, fault: Fault
) -> None:
    instance = _instance(cluster, fault)
    loop = asyncio.get_running_loop()
    await loop.run_in_executor(None, cluster.terminate, instance.name)
    cluster.start_instance(instance)


@CARRIERS.register(FaultKind.KILL_UPSTREAM)
async def _async_kill_upstream(
    cluster: clusters.Cluster, fault: Fault
) -> None:
    upstream = _upstream(cluster, fault)
    cluster.kill(upstream.name)
    await asyncio.sleep(fault.length)
    cluster.start_upstream(upstream)


async def _async_pause(
    cluster: clusters.Cluster, name: str, length: float
) -> None:
    cluster.pause(name)
    await asyncio.sleep(length)
    cluster.resume(name)


@CARRIERS.register(FaultKind.PAUSE_INSTANCE)
async def _async_pause_instance(
    cluster: clusters.Cluster, fault: Fault
) -> None:
    await _async_pause(cluster, _instance(cluster, fault).name, fault.length)


@CARRIERS.register(FaultKind.PAUSE_UPSTREAM)
async def _async_pause_upstream(
    cluster: clusters.Cluster, fault: Fault
) -> None:
    await _async_pause(cluster, _upstream(cluster, fault).name, fault.length)


async def _async_switch(
    cluster: clusters.Cluster, fault: Fault, switch: str
) -> None:
    upstream = _upstream(cluster, fault)
    await async_try_faults(upstream, **{switch: True})
    await asyncio.sleep(fault.length)
    await async_try_faults(upstream, **{switch: False})


async def async_try_faults(
    upstream: clusters.UpstreamAddress, **switches: object
) -> None:
    """Switch faults of an upstream that may be killed or paused."""
    try:
        async with asyncio.timeout(LONGEST_SECONDS):
            await clusters.async_set_upstream_faults(upstream, **switches)
    except OSError:
        return


@CARRIERS.register(FaultKind.FREEZE_UPSTREAM)
async def _async_freeze(cluster: clusters.Cluster, fault: Fault) -> None:
    await _async_switch(cluster, fault, "frozen")


@CARRIERS.register(FaultKind.DRAIN_UPSTREAM)
async def _async_drain(cluster: clusters.Cluster, fault: Fault) -> None:
    await _async_switch(cluster, fault, "draining")


async def _async_tell(port: int, target: str) -> None:
    try:
        async with asyncio.timeout(LONGEST_SECONDS):
            await clusters.async_post(port, target)
    except OSError:
        return


@CARRIERS.register(FaultKind.SILENCE_UPSTREAM)
async def _async_silence(cluster: clusters.Cluster, fault: Fault) -> None:
    await _async_tell(_upstream(cluster, fault).port, "/_silence")


@CARRIERS.register(FaultKind.START_COLD)
async def _async_cold(cluster: clusters.Cluster, fault: Fault) -> None:
    await _async_tell(_upstream(cluster, fault).port, "/_cold")


async def _async_store(
    cluster: clusters.Cluster, fault: Fault, faults: platform_faults.Faults
) -> None:
    await clusters.async_set_platform_faults(cluster, faults)
    await asyncio.sleep(fault.length)
    await clusters.async_set_platform_faults(cluster, platform_faults.Faults())


@CARRIERS.register(FaultKind.STORE_OUT)
async def _async_store_out(cluster: clusters.Cluster, fault: Fault) -> None:
    await _async_store(cluster, fault, platform_faults.Faults(out=True))


@CARRIERS.register(FaultKind.STORE_SLOW)
async def _async_store_slow(cluster: clusters.Cluster, fault: Fault) -> None:
    slow = platform_faults.Faults(delay=SLOW_STORE_SECONDS)
    await _async_store(cluster, fault, slow)


@CARRIERS.register(FaultKind.LOSE_ANSWERS)
async def _async_lose(cluster: clusters.Cluster, fault: Fault) -> None:
    await _async_store(cluster, fault, platform_faults.Faults(lose_every=3))


@CARRIERS.register(FaultKind.LOSE_WATCHES)
async def _async_lose_watches(cluster: clusters.Cluster, fault: Fault) -> None:
    await _async_store(cluster, fault, platform_faults.Faults(watch_lost=True))


@CARRIERS.register(FaultKind.CUT_INSTANCE)
async def _async_cut(cluster: clusters.Cluster, fault: Fault) -> None:
    name = _instance(cluster, fault).name
    await _async_store(cluster, fault, platform_faults.Faults(cut=(name,)))
