"""``make soak``: long randomised runs of the core and of processes.

The seed decides the load and the faults. When a promise is broken, the
faults are made fewer while it still breaks, and the shortest list that
was seen to break it is printed.
"""

import asyncio
from collections import abc
import dataclasses
import sys
import time

import defopt

from bench import answers
from bench import checker
from bench import cluster as clusters
from bench import experiments
from bench import faults
from bench import load
from bench import outcome
from bench import plans
from bench import workloads

CORE_SHARE = 0.25
EPISODE_SECONDS = 45.0
SHORTEN_RUNS = 6


@dataclasses.dataclass(frozen=True, kw_only=True)
class Episode:
    """One run of real processes."""

    seed: int
    seconds: float
    faults: tuple[faults.Fault, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class EpisodeReport:
    """What an episode has shown."""

    findings: tuple[checker.Finding, ...]
    requests: int
    by_status: dict[str, int]


async def async_episode(episode: Episode) -> EpisodeReport:
    """Run the processes of one episode and check the accounts."""
    description = clusters.ClusterDescription(
        services=(outcome.ORDERS, outcome.ARCHIVE),
        upstreams_per_service=outcome.UPSTREAMS,
        upstream_delay=0.002,
        seed=episode.seed,
    )
    with clusters.running(description) as cluster:
        await cluster.async_wait_ready()
        await workloads.async_configure(cluster, outcome.configuration())
        await workloads.async_settle(
            cluster,
            outcome.SERVICES,
            outcome.WORKSPACES[0],
            outcome.SETTLE_SECONDS,
        )
        plan = plans.LoadPlan(
            name="soak",
            streams=outcome.streams(),
            ports=tuple(one.caller_port for one in cluster.instances),
            weights=outcome.UNEVEN,
            seconds=episode.seconds,
            seed=episode.seed,
        )
        found, _ = await asyncio.gather(
            load.async_run(plan, workers=2),
            faults.async_carry_out(cluster, episode.faults),
        )
        accounts = outcome.accounts(found, cluster.runs())
    return EpisodeReport(
        findings=tuple(checker.check(accounts)),
        requests=len(found),
        by_status=answers.summarise(found).by_status,
    )


def shorten(
    episode: Episode, breaks: abc.Callable[[Episode], bool], runs: int
) -> Episode:
    """Drop faults while the episode still breaks, in so many runs."""
    size = max(1, len(episode.faults) // 2)
    while runs and size:
        start = 0
        while runs and start < len(episode.faults):
            kept = episode.faults[:start] + episode.faults[start + size :]
            shorter = dataclasses.replace(episode, faults=kept)
            runs -= 1
            if breaks(shorter):
                episode = shorter
                continue
            start += size
        size //= 2
    return episode


def run_core(seed: int, seconds: float) -> int:
    """Run the core with growing seeds; return the number of runs."""
    until = time.monotonic() + seconds
    count = 0
    names = tuple(experiments.CORE_RUNS)
    while names and time.monotonic() < until:
        for name in names:
            try:
                experiments.CORE_RUNS.get(name)(seed + count)
            except Exception:
                print(f"soak: core run {name} broke with seed {seed + count}")
                raise
        count += 1
    return count * len(names)


def run_processes(seed: int, seconds: float) -> bool:
    """Run episodes for so long; return whether every promise held."""
    until = time.monotonic() + seconds
    held = True
    while time.monotonic() < until:
        length = min(EPISODE_SECONDS, max(until - time.monotonic(), 10.0))
        episode = Episode(
            seed=seed, seconds=length, faults=faults.draw(seed, length)
        )
        report = asyncio.run(async_episode(episode))
        counts = checker.counts(list(report.findings))
        print(
            f"soak: seed={seed} seconds={length:.0f}"
            f" faults={len(episode.faults)} requests={report.requests}"
            f" statuses={report.by_status} violations={counts}",
            flush=True,
        )
        if report.findings:
            held = False
            _report_broken(episode, report)
        seed += 1
    return held


def _report_broken(episode: Episode, report: EpisodeReport) -> None:
    wanted = {one.violation for one in report.findings}
    for finding in report.findings[:10]:
        print(f"soak: {finding}", flush=True)

    def breaks(shorter: Episode) -> bool:
        again = asyncio.run(async_episode(shorter))
        return any(one.violation in wanted for one in again.findings)

    shortest = shorten(episode, breaks, SHORTEN_RUNS)
    print(f"soak: broken with seed {episode.seed}, shortest list seen:")
    for fault in shortest.faults:
        print(f"soak:   {fault}", flush=True)


def main(*, seconds: float = 60.0, seed: int = 1) -> None:
    """Soak the core and real processes.

    :param seconds: how long to go on, before a failing list is shortened
    :param seed: first seed; each further run takes the next one
    """
    experiments.import_all()
    count = run_core(seed, seconds * CORE_SHARE)
    print(f"soak: {count} runs of the core from seed {seed}", flush=True)
    held = run_processes(seed, seconds * (1 - CORE_SHARE))
    print(f"soak: {'ok' if held else 'broken'} seed={seed}")
    sys.exit(0 if held else 1)


if __name__ == "__main__":
    defopt.run(main)
