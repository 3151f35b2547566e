"""How long a change takes until it is in force on every instance.

Changes are made one after the other through an instance in turn while
callers send requests, the store answers slowly and loses some answers,
and one instance is restarted half-way. Prints JSON.
"""

import asyncio
import dataclasses
import json
import time

import defopt

from bench import cluster as clusters
from bench import demo
from dragonflyshelf.core import errors
from dragonflyshelf.runtime import http_client
from dragonflyshelf.runtime.operators import client
from stand_ins import platform_faults

CALLERS_PER_INSTANCE = 2
DECIMALS = 3
LOSE_EVERY = 50
RESTART_SECONDS = 3.0
STORE_DELAY = 0.05
WAIT_SECONDS = 60


@dataclasses.dataclass(kw_only=True)
class Measured:
    """Seconds of each change, and what went wrong; JSON has these names."""

    changes: int = 0
    conflicts: int = 0
    unknown: int = 0
    refused: int = 0
    not_in_force: int = 0
    reverted: int = 0
    requests: int = 0
    requests_failed: int = 0
    in_force_s: float = 0.0
    in_force_p50_s: float = 0.0
    accepted_p50_s: float = 0.0
    store_delay_s: float = STORE_DELAY
    instances: int = 0


async def async_load(port: int, caller_key: str, measured: Measured) -> None:
    """Send requests on one connection until cancelled."""
    number = 0
    while True:
        async with http_client.async_open(clusters.HOST, port) as http:
            try:
                while True:
                    number += 1
                    answer = await http.async_call(
                        "GET",
                        f"/{demo.SERVICE}/child-{number}",
                        headers=(("x-caller-key", caller_key),),
                    )
                    measured.requests += 1
                    if answer.status != clusters.STATUS_OK:
                        measured.requests_failed += 1
                    await asyncio.sleep(0.01)
            except OSError:
                await asyncio.sleep(0.2)


async def async_restart(cluster: clusters.Cluster) -> None:
    """Replace the last instance while changes go on."""
    instance = cluster.instances[-1]
    await asyncio.to_thread(cluster.terminate, instance.name)
    await asyncio.sleep(RESTART_SECONDS)
    cluster.start_instance(instance)


async def async_change(
    cluster: clusters.Cluster,
    number: int,
    measured: Measured,
    accepted: list[float],
    in_force: list[float],
) -> None:
    """Make one change and wait until it is in force everywhere."""
    usable = cluster.instances[:-1]
    port = usable[number % len(usable)].operator_port
    weight = 1 + number / 1000
    started_at = time.monotonic()
    async with client.async_open(clusters.HOST, port) as operator:
        try:
            answer = await operator.async_command(
                f"alter workspace {demo.WORKSPACE} weight {weight}"
            )
        except client.StatementFailed as error:
            _count_refusal(error.answer.code, measured)
            return
        accepted.append(time.monotonic() - started_at)
        measured.changes += 1
        try:
            await operator.async_query(
                f"wait for workspace {demo.WORKSPACE}"
                f" version {answer.version} timeout {WAIT_SECONDS}"
            )
        except client.StatementFailed:
            measured.not_in_force += 1
        in_force.append(time.monotonic() - started_at)
        shown = await operator.async_query(
            f"show workspaces everywhere where name = {demo.WORKSPACE}"
            " columns version"
        )
        old = [row for row in shown.rows if row[0] < answer.version]
        measured.reverted += len(old)


def _count_refusal(code: str, measured: Measured) -> None:
    if code == errors.VersionConflict.code:
        measured.conflicts += 1
    elif code == errors.ResultUnknown.code:
        measured.unknown += 1
    else:
        measured.refused += 1


async def async_main(cluster: clusters.Cluster, changes: int) -> Measured:
    """Run the experiment and return what was measured."""
    measured = Measured(instances=len(cluster.instances))
    await cluster.async_wait_ready()
    caller_key = await demo.async_configure(cluster)
    await demo.async_settle(cluster, caller_key)
    await clusters.async_set_platform_faults(
        cluster,
        platform_faults.Faults(delay=STORE_DELAY, lose_every=LOSE_EVERY),
    )
    callers = [
        asyncio.create_task(
            async_load(instance.caller_port, caller_key, measured)
        )
        for instance in cluster.instances
        for _ in range(CALLERS_PER_INSTANCE)
    ]
    accepted: list[float] = []
    in_force: list[float] = []
    restarting: asyncio.Task[None] | None = None
    attempts = 0
    while measured.changes < changes and attempts < 2 * changes:
        if attempts == changes // 2:
            restarting = asyncio.create_task(async_restart(cluster))
        attempts += 1
        await async_change(cluster, attempts, measured, accepted, in_force)
    for one in callers:
        one.cancel()
    if restarting is not None:
        await restarting
    measured.in_force_s = round(max(in_force), DECIMALS)
    measured.in_force_p50_s = round(_middle(in_force), DECIMALS)
    measured.accepted_p50_s = round(_middle(accepted), DECIMALS)
    return measured


def _middle(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]


def main(*, changes: int = 200, instances: int = 8) -> None:
    """Measure how long changes take to be in force everywhere.

    :param changes: changes that must be accepted
    :param instances: instances of the cluster
    """
    description = clusters.ClusterDescription(instances=instances)
    with clusters.running(description) as cluster:
        measured = asyncio.run(async_main(cluster, changes))
    print(json.dumps(dataclasses.asdict(measured)))


if __name__ == "__main__":
    defopt.run(main)
