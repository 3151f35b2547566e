"""How long keys are unserved when instances, upstreams or more are lost.

Each fault has real processes of its own. ``python -m bench.ownership``
prints JSON: the longest time without an answer of the worst key for each
fault, owners that overlapped, the part of the shards that changed owner,
the imbalance at the end and the platform's calls each second before.
"""

import asyncio
import collections
from collections import abc
import dataclasses
import itertools
import json
import time

import defopt
import xxhash

from bench import cluster as clusters
from bench import demo
from dragonflyshelf.codec import objects as objects_codec
from dragonflyshelf.codec import platform as codec
from dragonflyshelf.core.ownership import objects
from dragonflyshelf.core import registry
from dragonflyshelf.core import states
from dragonflyshelf.runtime import http_client
from stand_ins import platform_faults

PROBE_INTERVAL = 0.1
PROBE_TIMEOUT = 0.5
PROBED_SHARDS = 32
SETTLE_SECONDS = 3.0
SHARDS = 64
STATUS_OK = 200
WATCHED_SECONDS = 8.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """What a fault may hit, chosen before it."""

    leader: str
    upstream: str
    data_centre: str
    outage: float


Fault = abc.Callable[[clusters.Cluster, Target], abc.Awaitable[set[str]]]
FAULTS: registry.Registry[str, Fault] = registry.Registry("faults")


@FAULTS.register("none")
async def async_nothing(cluster: clusters.Cluster, target: Target) -> set[str]:
    """Change nothing, for the baseline."""
    return set()


@FAULTS.register("leader_killed")
async def async_kill_leader(
    cluster: clusters.Cluster, target: Target
) -> set[str]:
    """End the instance that leads the upstream."""
    cluster.kill(target.leader)
    return {target.leader}


@FAULTS.register("upstream_killed")
async def async_kill_upstream(
    cluster: clusters.Cluster, target: Target
) -> set[str]:
    """End an upstream."""
    cluster.kill(target.upstream)
    return set()


@FAULTS.register("leader_and_upstream_killed")
async def async_kill_both(
    cluster: clusters.Cluster, target: Target
) -> set[str]:
    """End an upstream and its leader at once."""
    cluster.kill(target.leader)
    cluster.kill(target.upstream)
    return {target.leader}


@FAULTS.register("data_centre_killed")
async def async_kill_data_centre(
    cluster: clusters.Cluster, target: Target
) -> set[str]:
    """End every instance and upstream of a data centre."""
    lost = _names_in(cluster, target.data_centre)
    for name in lost:
        cluster.kill(name)
    return lost


@FAULTS.register("leader_paused")
async def async_pause_leader(
    cluster: clusters.Cluster, target: Target
) -> set[str]:
    """Pause the leader for five seconds and let it go on."""
    cluster.pause(target.leader)
    loop = asyncio.get_running_loop()
    loop.call_later(5.0, cluster.resume, target.leader)
    return {target.leader}


@FAULTS.register("upstream_frozen")
async def async_freeze_upstream(
    cluster: clusters.Cluster, target: Target
) -> set[str]:
    """Freeze an upstream for five seconds and let it go on."""
    cluster.pause(target.upstream)
    loop = asyncio.get_running_loop()
    loop.call_later(5.0, cluster.resume, target.upstream)
    return set()


@FAULTS.register("platform_out")
async def async_platform_out(
    cluster: clusters.Cluster, target: Target
) -> set[str]:
    """Take the platform away for a while."""
    out = platform_faults.Faults(out=True)
    await clusters.async_set_platform_faults(cluster, out)
    await asyncio.sleep(target.outage)
    back = platform_faults.Faults()
    await clusters.async_set_platform_faults(cluster, back)
    return set()


@FAULTS.register("data_centre_without_platform")
async def async_cut_data_centre(
    cluster: clusters.Cluster, target: Target
) -> set[str]:
    """Cut the instances of a data centre off from the platform."""
    names = {
        one.name
        for one in cluster.instances
        if one.data_centre == target.data_centre
    }
    cut = platform_faults.Faults(cut=tuple(sorted(names)))
    await clusters.async_set_platform_faults(cluster, cut)
    return set()


def _names_in(cluster: clusters.Cluster, data_centre: str) -> set[str]:
    return {
        one.name
        for one in (*cluster.instances, *cluster.upstreams)
        if one.data_centre == data_centre
    }


def keys_by_shard() -> dict[int, str]:
    """Return a key of each shard that is probed."""
    found: dict[int, str] = {}
    for number in itertools.count():
        key = f"key-{number}"
        shard = xxhash.xxh3_64_intdigest(key.encode()) % SHARDS
        if shard < PROBED_SHARDS:
            found.setdefault(shard, key)
        if len(found) == PROBED_SHARDS:
            return found
    raise AssertionError


class Prober:
    """Asks for one key of each shard again and again."""

    def __init__(self, cluster: clusters.Cluster, caller_key: str) -> None:
        """Create a prober that does not run yet."""
        self._cluster = cluster
        self._caller_key = caller_key
        self.avoided: set[str] = set()
        self.answered_at: dict[int, list[float]] = collections.defaultdict(
            list
        )

    async def async_probe(self, shard: int, key: str) -> None:
        """Probe one shard until cancelled, through all instances."""
        instances = itertools.cycle(self._cluster.instances)
        for _ in range(shard):
            next(instances)
        while True:
            instance = next(instances)
            if instance.name in self.avoided:
                continue
            if await self._async_ask(instance.caller_port, key):
                self.answered_at[shard].append(time.monotonic())
            await asyncio.sleep(PROBE_INTERVAL)

    async def _async_ask(self, port: int, key: str) -> bool:
        headers = (("x-caller-key", self._caller_key),)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT):
                async with http_client.async_open(
                    clusters.HOST, port
                ) as client:
                    answer = await client.async_call(
                        "GET", f"/{demo.SERVICE}/{key}", headers=headers
                    )
            return answer.status == STATUS_OK
        except (OSError, TimeoutError):
            return False

    def longest_gap(self, start: float, end: float) -> float:
        """Return the longest time without an answer of any shard."""
        gaps = []
        for shard in range(PROBED_SHARDS):
            inside = [
                one for one in self.answered_at[shard] if start <= one < end
            ]
            times = [start, *inside, end]
            gaps += [after - one for one, after in itertools.pairwise(times)]
        return max(gaps)


async def async_segment(cluster: clusters.Cluster) -> objects.Segment:
    """Return the assignment as the platform has it."""
    target = f"{codec.PATH_OBJECTS}/segment/{demo.SERVICE}"
    async with http_client.async_open(
        clusters.HOST, cluster.platform_port
    ) as client:
        answer = await client.async_call("GET", target)
    record = codec.decode_record(answer.body)
    return objects_codec.from_plain(states.ObjectKind.SEGMENT, record.value)


async def async_calls(cluster: clusters.Cluster) -> dict[str, float]:
    """Return the calls that the platform has counted so far."""
    async with http_client.async_open(
        clusters.HOST, cluster.platform_port
    ) as client:
        answer = await client.async_call("GET", "/calls")
    return json.loads(answer.body)


def overlaps(runs: list[dict[str, object]]) -> int:
    """Count runs on an epoch that was over, and epochs of two owners."""
    count = 0
    owner_by_epoch: dict[tuple[object, object], object] = {}
    highest: dict[object, int] = {}
    for run in sorted(runs, key=lambda one: one["at"]):
        key = (run["shard"], run["epoch"])
        owner = owner_by_epoch.setdefault(key, run["upstream"])
        last = highest.get(run["shard"], 0)
        count += owner != run["upstream"] or run["epoch"] < last
        highest[run["shard"]] = max(last, run["epoch"])
    return count


def target_of(
    cluster: clusters.Cluster, segment: objects.Segment, outage: float
) -> Target:
    """Return an upstream in the first data centre, and its leader."""
    leader = segment.leaders[0]
    homes = {one.name: one.data_centre for one in cluster.instances}
    return Target(
        leader=leader.instance,
        upstream=leader.upstream,
        data_centre=homes[leader.instance],
        outage=outage,
    )


async def async_runs(cluster: clusters.Cluster) -> list[dict[str, object]]:
    """Return the runs of every upstream that still answers."""
    runs = []
    for one in cluster.upstreams:
        try:
            async with http_client.async_open(
                clusters.HOST, one.port
            ) as client:
                answer = await client.async_call("GET", "/_account")
        except OSError:
            continue
        for run in json.loads(answer.body):
            runs.append({**run, "upstream": one.name})
    return runs


async def async_measure(
    cluster: clusters.Cluster, fault: str, outage: float
) -> dict[str, object]:
    """Bring one fault about and return its figures."""
    await cluster.async_wait_ready()
    caller_key = await demo.async_configure(cluster)
    await demo.async_settle(cluster, caller_key)
    prober = Prober(cluster, caller_key)
    probes = [
        asyncio.create_task(prober.async_probe(shard, key))
        for shard, key in keys_by_shard().items()
    ]
    await asyncio.sleep(SETTLE_SECONDS)
    calls = await async_calls(cluster)
    before = await async_segment(cluster)
    started = time.monotonic()
    await asyncio.sleep(SETTLE_SECONDS)
    later = await async_calls(cluster)
    steady = time.monotonic() - started
    target = target_of(cluster, before, outage)
    if fault != "platform_out":
        prober.avoided = await FAULTS.get(fault)(cluster, target)
        start = time.monotonic()
    else:
        start = time.monotonic()
        await FAULTS.get(fault)(cluster, target)
    await asyncio.sleep(WATCHED_SECONDS)
    end = time.monotonic()
    for one in probes:
        one.cancel()
    await asyncio.gather(*probes, return_exceptions=True)
    after = await async_segment(cluster)
    return {
        "unavailable_s": round(prober.longest_gap(start, end), 3),
        "owners_overlap": overlaps(await async_runs(cluster)),
        **shape(before, after),
        "platform_per_s": {
            name: round((later[name] - calls[name]) / steady, 1)
            for name in ("reads", "writes", "watches")
        },
    }


def shape(before: objects.Segment, after: objects.Segment) -> dict[str, float]:
    """Return the part of the shards that moved, and the imbalance."""
    owners = {one.shard: one.upstream for one in before.assignments}
    moved = sum(
        1 for one in after.assignments if owners[one.shard] != one.upstream
    )
    counts = collections.Counter(one.upstream for one in after.assignments)
    mean = len(after.assignments) / len(counts)
    return {
        "churn_fraction": round(moved / len(after.assignments), 3),
        "imbalance": round(max(counts.values()) / mean, 3),
    }


def main(*faults: str, instances: int = 8, outage: float = 20.0) -> None:
    """Measure each fault in processes of its own.

    :param faults: names of faults, all if none is given
    :param instances: number of instances
    :param outage: time for which the platform is out, in seconds
    """
    found = {}
    for fault in faults or tuple(FAULTS):
        description = clusters.ClusterDescription(instances=instances)
        with clusters.running(description) as cluster:
            found[fault] = asyncio.run(async_measure(cluster, fault, outage))
        print(json.dumps({fault: found[fault]}), flush=True)


if __name__ == "__main__":
    defopt.run(main)
