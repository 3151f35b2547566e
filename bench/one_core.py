"""Experiment ``one_core``: what one instance carries on one core."""

import asyncio
import dataclasses
import pstats
import tempfile
import time

from bench import answers
from bench import cluster as clusters
from bench import experiments
from bench import load
from bench import plans
from bench import processes
from bench import workloads
from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core import ids
from dragonflyshelf.core import settings
from dragonflyshelf.core import states

CALM_RATE = 400.0
CALM_SECONDS = 3.0
CONNECTIONS = 16
COSTLIEST = 12
FLOOD_RATE = 4000.0
FLOOD_SECONDS = 1.0
MEBIBYTE = 1024 * 1024
MICROSECONDS = 1e6
RAMP_SECONDS = settings.AdmissionSettings().ramp
SERVICE = ids.ServiceName("letters")
SERVICES = (
    objects.Service(name=SERVICE, key_source=states.KeySource.PATH, shards=64),
)
SETTLE_SECONDS = 20.0
UNLIMITED = 1e6
UPSTREAMS = 4
WORKSPACE = ids.WorkspaceId("one")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Figures:
    """What one run has shown; ``hops`` is 1 when requests are forwarded.

    ``cpu_us_per_request`` is the processor time of all instances.
    """

    hops: int
    start_seconds: float
    resident_mib: float
    flood_requests_per_second: float
    cpu_us_per_request: float
    calm_p50_ms: float
    calm_p99_ms: float


def configuration() -> workloads.Configuration:
    """Return one keyed service and a workspace without a bound."""
    workspace = objects.Workspace(
        name=WORKSPACE, rate=UNLIMITED, burst=UNLIMITED
    )
    return workloads.Configuration(services=SERVICES, workspaces=(workspace,))


def plan(
    cluster: clusters.Cluster, name: str, rate: float, seconds: float
) -> plans.LoadPlan:
    """Return a plan that sends everything to the first instance."""
    stream = plans.Stream(
        workspace=WORKSPACE,
        caller_key=workloads.caller_key(WORKSPACE),
        service=SERVICE,
        rate=rate,
        method="POST",
    )
    return plans.LoadPlan(
        name=name,
        streams=(stream,),
        ports=(cluster.instances[0].caller_port,),
        seconds=seconds,
        connections_per_port=CONNECTIONS,
    )


def _cpu_seconds(cluster: clusters.Cluster) -> float:
    return sum(
        processes.usage(cluster.processes_by_name[one.name].pid).cpu_seconds
        for one in cluster.instances
    )


async def async_flood(cluster: clusters.Cluster) -> tuple[float, float]:
    """Return answers a second and processor microseconds a request."""
    before = _cpu_seconds(cluster)
    found = await load.async_run(
        plan(cluster, "flood", FLOOD_RATE, FLOOD_SECONDS), workers=2
    )
    spent = _cpu_seconds(cluster) - before
    good = [one for one in found if one.status == answers.STATUS_OK]
    first = min(one.at for one in good)
    last = max(one.at + one.latency for one in good)
    return len(good) / (last - first), spent * MICROSECONDS / len(found)


async def async_measure(
    hops: int, code_folder: str = "", profile_folder: str = ""
) -> Figures:
    """Start one instance, or two for a hop, and load the first."""
    description = clusters.ClusterDescription(
        data_centres=("a",),
        instances=1 + hops,
        upstreams_per_service=UPSTREAMS,
        code_folder=code_folder,
        profile_folder=profile_folder,
    )
    started = time.monotonic()
    with clusters.running(description) as cluster:
        await cluster.async_wait_ready()
        start_seconds = time.monotonic() - started
        await workloads.async_configure(cluster, configuration())
        await workloads.async_settle(
            cluster, SERVICES, WORKSPACE, SETTLE_SECONDS
        )
        await asyncio.sleep(RAMP_SECONDS)
        calm = answers.summarise(
            await load.async_run(
                plan(cluster, "calm", CALM_RATE, CALM_SECONDS), workers=1
            )
        )
        rate, cpu = await async_flood(cluster)
        pid = cluster.processes_by_name[cluster.instances[0].name].pid
        resident = processes.usage(pid).resident_bytes
    return Figures(
        hops=hops,
        start_seconds=round(start_seconds, 2),
        resident_mib=round(resident / MEBIBYTE, 1),
        flood_requests_per_second=round(rate),
        cpu_us_per_request=round(cpu, 1),
        calm_p50_ms=calm.p50_ms,
        calm_p99_ms=calm.p99_ms,
    )


async def async_profile() -> list[str]:
    """Return the functions with the most own time, costliest first."""
    with tempfile.TemporaryDirectory() as folder:
        await async_measure(0, profile_folder=folder)
        stats = pstats.Stats(f"{folder}/instance-0.prof")
    rows = []
    total = sum(row[2] for row in stats.stats.values())
    by_own_time = sorted(stats.stats.items(), key=lambda one: -one[1][2])
    for (path, _, function), row in by_own_time[:COSTLIEST]:
        share = 100 * row[2] / total
        short = "/".join(path.split("/")[-2:])
        rows.append(f"{share:.1f}% {short} {function} calls={row[1]}")
    return rows


@experiments.EXPERIMENTS.register("one_core")
async def async_one_core(options: experiments.Options) -> experiments.Result:
    """Measure one instance alone, a hop, and the costliest functions."""
    alone = await async_measure(0)
    hop = await async_measure(1)
    figures: dict[str, object] = {"alone": alone, "with_a_hop": hop}
    if not options.short:
        figures["costliest"] = await async_profile()
    return experiments.Result(figures=figures)
