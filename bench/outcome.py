"""Experiment ``outcome``: every promise on outcome, by the accounts.

Eight instances over three data centres, keyed and unkeyed services,
idempotent requests and others, and a workspace that sends several
times its rate.
"""

import dataclasses

from bench import answers
from bench import checker
from bench import cluster as clusters
from bench import experiments
from bench import load
from bench import plans
from bench import workloads
from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core import ids
from dragonflyshelf.core import states
from stand_ins import account

ORDERS = ids.ServiceName("orders")
ARCHIVE = ids.ServiceName("archive")
SERVICES = (
    objects.Service(name=ORDERS, key_source=states.KeySource.NONE),
    objects.Service(
        name=ARCHIVE,
        key_source=states.KeySource.PATH,
        priority=states.Priority.PATIENT,
    ),
)
FULL_SECONDS = 30.0
GREEDY = ids.WorkspaceId("greedy")
GREEDY_FACTOR = 4.0
RATE = 60.0
SETTLE_SECONDS = 20.0
SHORT_SECONDS = 6.0
UPSTREAMS = 3
WORKSPACES = tuple(ids.WorkspaceId(f"w{number}") for number in range(7))
UNEVEN = (5.0, 3.0, 2.0, 2.0, 1.0, 1.0, 1.0, 1.0)


def configuration() -> workloads.Configuration:
    """Return two services and eight workspaces."""
    return workloads.Configuration(
        services=SERVICES,
        workspaces=tuple(
            objects.Workspace(name=name, rate=RATE, burst=RATE)
            for name in (*WORKSPACES, GREEDY)
        ),
    )


def streams() -> tuple[plans.Stream, ...]:
    """Return lookups, orders and archive reads of every workspace."""
    found = []
    for name in (*WORKSPACES, GREEDY):
        factor = GREEDY_FACTOR if name == GREEDY else 0.5
        base = plans.Stream(
            workspace=name,
            caller_key=workloads.caller_key(name),
            service=ORDERS,
            rate=RATE * factor / 2,
            method="POST",
        )
        found.append(base)
        found.append(
            dataclasses.replace(
                base,
                service=ARCHIVE,
                rate=RATE * factor / 4,
                priority=states.Priority.PATIENT,
                hot_share=0.1,
            )
        )
        found.append(dataclasses.replace(found[-1], method="GET"))
    return tuple(found)


def accounts(
    found: list[answers.Answer],
    runs: list[account.Run],
    missing: frozenset[str] = frozenset(),
) -> checker.Accounts:
    """Join what was seen with the limits of the workspaces."""
    return checker.Accounts(
        runs=tuple(runs),
        answers=tuple(found),
        limits_by_workspace={
            one.name: checker.Limit(rate=one.rate, burst=one.burst)
            for one in configuration().workspaces
        },
        missing=missing,
    )


def refused_within_rate(found: list[answers.Answer]) -> dict[str, int]:
    """Count answers other than 200 to workspaces within their rate."""
    within = [one for one in found if one.workspace != GREEDY]
    refused = [one for one in within if one.status != answers.STATUS_OK]
    return {
        "within_rate_requests": len(within),
        "refused_within_rate": len(refused),
    }


@experiments.EXPERIMENTS.register("outcome")
async def async_outcome(options: experiments.Options) -> experiments.Result:
    """Load a cluster without faults and check every promise."""
    description = clusters.ClusterDescription(
        services=(ORDERS, ARCHIVE),
        upstreams_per_service=UPSTREAMS,
        upstream_delay=0.002,
        seed=options.seed,
    )
    with clusters.running(description) as cluster:
        await cluster.async_wait_ready()
        await workloads.async_configure(cluster, configuration())
        await workloads.async_settle(
            cluster, SERVICES, WORKSPACES[0], SETTLE_SECONDS
        )
        plan = plans.LoadPlan(
            name="outcome",
            streams=streams(),
            ports=tuple(one.caller_port for one in cluster.instances),
            weights=UNEVEN,
            seconds=SHORT_SECONDS if options.short else FULL_SECONDS,
            seed=options.seed,
        )
        found = await load.async_run(plan)
        runs = cluster.runs()
    counts = checker.counts(checker.check(accounts(found, runs)))
    return experiments.Result(
        figures={
            "violations": counts,
            "latency": answers.summarise_by_priority(found),
            **refused_within_rate(found),
        },
        broken=tuple(name for name, count in counts.items() if count),
    )
