"""Experiment ``policy``: limits, priority and choice, with baselines.

The two users' workloads run on real processes once for each policy:
first as they are, then with a straggler in each service, a workspace
that sends several times its rate, and, for the first policy, while a
data centre leaves and returns.
"""

import asyncio
import collections
import dataclasses

from bench import answers
from bench import checker
from bench import cluster as clusters
from bench import experiments
from bench import load
from bench import plans
from bench import workloads
from dragonflyshelf.codec import objects as objects_codec
from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core import ids
from dragonflyshelf.core import settings
from dragonflyshelf.core import states
from dragonflyshelf.runtime.platform import http as platform

AWAY = ids.DataCentreId("c")
FULL_SECONDS = 20.0
GREEDY = ids.WorkspaceId("w7")
GREEDY_FACTOR = 5.0
LARGE_RATE = 160.0
LOAD = 0.6
PATIENT = states.Priority.PATIENT
SETTLE_SECONDS = 40.0
SHORT_SECONDS = 6.0
SMALL_RATE = 40.0
UNEVEN = (5.0, 3.0, 2.0, 2.0, 1.0, 1.0, 1.0, 1.0)
UPSTREAMS = 6
UPSTREAM_DELAY = 0.01
WARM_SECONDS = 3.0
WORKSPACES = tuple(ids.WorkspaceId(f"w{number}") for number in range(8))


@dataclasses.dataclass(frozen=True, kw_only=True)
class Workload:
    """The services of one user and the delay to its callers in seconds."""

    name: str
    one_way: float
    services: tuple[objects.Service, ...]
    written: frozenset[str]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Policy:
    """Names of the policies that a run uses."""

    name: str
    choice: str
    limits: str

    @property
    def settings(self) -> str:
        """Return the lines of the settings file."""
        return (
            f"[dispatch]\nchoice = {self.choice}\n"
            f"[limits]\npolicy = {self.limits}\n"
        )


def service(
    name: str,
    keyed: bool = False,
    priority: states.Priority = states.Priority.URGENT,
) -> objects.Service:
    """Return a service, keyed by its path or not at all."""
    source = states.KeySource.PATH if keyed else states.KeySource.NONE
    return objects.Service(
        name=ids.ServiceName(name), key_source=source, priority=priority
    )


WORKLOADS = (
    Workload(
        name="fiacail",
        one_way=0.003,
        services=(
            service("templates"),
            service("orders"),
            service("archive", keyed=True, priority=PATIENT),
            service("tracking", priority=PATIENT),
        ),
        written=frozenset({"orders"}),
    ),
    Workload(
        name="blixtvakt",
        one_way=0.008,
        services=(
            service("kartan", keyed=True),
            service("larmet"),
            service("arkivet", priority=PATIENT),
            service("skadan", priority=PATIENT),
        ),
        written=frozenset({"larmet"}),
    ),
)
POLICIES = (
    Policy(name="policy", choice="least_loaded", limits="home_batches"),
    Policy(name="round_robin", choice="round_robin", limits="static_share"),
    Policy(name="power_of_two", choice="power_of_two", limits="local"),
)


def workspaces() -> tuple[objects.Workspace, ...]:
    """Return eight workspaces, three of them large."""
    return tuple(
        objects.Workspace(name=name, rate=rate, burst=rate)
        for number, name in enumerate(WORKSPACES)
        for rate in [LARGE_RATE if number < 3 else SMALL_RATE]
    )


def streams(workload: Workload, greedy: bool) -> tuple[plans.Stream, ...]:
    """Return what each workspace sends to each service."""
    found = []
    for one in workspaces():
        factor = LOAD
        if greedy and one.name == GREEDY:
            factor = GREEDY_FACTOR
        for target in workload.services:
            found.append(
                plans.Stream(
                    workspace=one.name,
                    caller_key=workloads.caller_key(one.name),
                    service=target.name,
                    rate=one.rate * factor / len(workload.services),
                    method=(
                        "POST" if target.name in workload.written else "GET"
                    ),
                    priority=target.priority,
                )
            )
    return tuple(found)


class Run:
    """One cluster under one policy."""

    def __init__(
        self,
        cluster: clusters.Cluster,
        workload: Workload,
        options: experiments.Options,
    ) -> None:
        """Create the run; the cluster is up."""
        self._cluster = cluster
        self._workload = workload
        self._seed = options.seed
        self.seconds = SHORT_SECONDS if options.short else FULL_SECONDS
        self.found: list[answers.Answer] = []

    async def async_prepare(self) -> None:
        """Create the objects and wait until all is served."""
        await self._cluster.async_wait_ready()
        configuration = workloads.Configuration(
            services=self._workload.services, workspaces=workspaces()
        )
        await workloads.async_configure(self._cluster, configuration)
        await workloads.async_settle(
            self._cluster,
            self._workload.services,
            WORKSPACES[0],
            SETTLE_SECONDS,
        )
        await self._async_load("warm", WARM_SECONDS, greedy=False)

    async def async_plain(self) -> list[answers.Answer]:
        """Load without faults."""
        return await self._async_load("plain", self.seconds, greedy=False)

    async def async_straggler(self) -> list[answers.Answer]:
        """Load with one straggler in each service."""
        slow = [
            one for one in self._cluster.upstreams if one.name.endswith("-0")
        ]
        await self._async_switch(slow, True)
        found = await self._async_load("slow", self.seconds, greedy=False)
        await self._async_switch(slow, False)
        return found

    async def async_greedy(self) -> list[answers.Answer]:
        """Load with one workspace over its rate."""
        return await self._async_load("greedy", self.seconds, greedy=True)

    async def async_centre(self) -> list[answers.Answer]:
        """Load while a data centre leaves and returns."""
        third = self.seconds / 3
        moving = asyncio.create_task(self._async_move(third))
        found = await self._async_load("centre", self.seconds, greedy=False)
        await moving
        return found

    async def _async_switch(
        self, slow: list[clusters.UpstreamAddress], on: bool
    ) -> None:
        for one in slow:
            await clusters.async_set_upstream_faults(one, straggler=on)

    async def _async_move(self, third: float) -> None:
        client = platform.create(
            settings.PlatformSettings(port=self._cluster.platform_port)
        )
        version = ids.Version(0)
        for state in (states.AdminState.OUT, states.AdminState.IN_SERVICE):
            await asyncio.sleep(third)
            version = await client.async_put(
                states.ObjectKind.DATA_CENTRE,
                ids.ObjectName(AWAY),
                version,
                ids.WriteId(f"policy-{state.value}"),
                objects_codec.to_plain(
                    objects.DataCentre(name=AWAY, state=state)
                ),
            )
        client.close()

    async def _async_load(
        self, name: str, seconds: float, greedy: bool
    ) -> list[answers.Answer]:
        plan = plans.LoadPlan(
            name=name,
            streams=streams(self._workload, greedy),
            ports=tuple(one.caller_port for one in self._cluster.instances),
            weights=UNEVEN,
            seconds=seconds,
            seed=self._seed,
            one_way=self._workload.one_way,
        )
        found = await load.async_run(plan)
        self.found.extend(found)
        return found

    def violations(self) -> dict[str, int]:
        """Return every promise that was broken, with its count."""
        limits = {
            one.name: checker.Limit(rate=one.rate, burst=one.burst)
            for one in workspaces()
        }
        accounts = checker.Accounts(
            runs=tuple(self._cluster.runs()),
            answers=tuple(self.found),
            limits_by_workspace=limits,
        )
        return checker.counts(checker.check(accounts))


def refusals(found: list[answers.Answer], greedy: bool) -> dict[str, object]:
    """Count requests within their rate and those not answered."""
    within = [one for one in found if not (greedy and one.workspace == GREEDY)]
    refused = [one for one in within if one.status != answers.STATUS_OK]
    codes = collections.Counter(one.code or one.error for one in refused)
    return {
        "within_rate_requests": len(within),
        "wrongful_refusals": len(refused),
        "refusals_by_code": dict(codes),
    }


def worst_service(
    found: list[answers.Answer], seconds: float
) -> dict[str, float]:
    """Return the least share of its due that a workspace got."""
    sent: collections.Counter[str] = collections.Counter()
    got: collections.Counter[str] = collections.Counter()
    for one in found:
        sent[one.workspace] += 1
        got[one.workspace] += one.status == answers.STATUS_OK
    due = {
        one.name: min(sent[one.name], one.rate * seconds)
        for one in workspaces()
    }
    shares = {name: got[name] / due[name] for name in due if due[name]}
    return {"worst_workspace_service": round(min(shares.values()), 4)}


async def async_measure(
    workload: Workload, policy: Policy, options: experiments.Options
) -> dict[str, object]:
    """Return the figures of one workload under one policy."""
    description = clusters.ClusterDescription(
        services=tuple(one.name for one in workload.services),
        upstreams_per_service=UPSTREAMS,
        upstream_delay=UPSTREAM_DELAY,
        upstream_faults='{"distribution": "exponential", "one_way": 0.0005}',
        extra_settings=policy.settings,
        seed=options.seed,
    )
    with clusters.running(description) as cluster:
        run = Run(cluster, workload, options)
        await run.async_prepare()
        plain = await run.async_plain()
        slow = await run.async_straggler()
        greedy = await run.async_greedy()
        figures: dict[str, object] = {
            "plain": answers.summarise_by_priority(plain),
            "straggler": answers.summarise_by_priority(slow),
            "greedy": answers.summarise_by_priority(
                [one for one in greedy if one.workspace != GREEDY]
            ),
            "refusals": refusals([*plain, *slow], greedy=False),
            "refusals_beside_greedy": refusals(greedy, greedy=True),
            **worst_service(greedy, run.seconds),
        }
        if policy is POLICIES[0]:
            centre = await run.async_centre()
            figures["data_centre"] = refusals(centre, greedy=False)
        figures["violations"] = run.violations()
    return figures


@experiments.EXPERIMENTS.register("policy")
async def async_policy(options: experiments.Options) -> experiments.Result:
    """Run the users' workloads under the policy and its baselines."""
    chosen = WORKLOADS[:1] if options.short else WORKLOADS
    figures: dict[str, object] = {}
    broken = []
    for workload in chosen:
        by_policy = {
            one.name: await async_measure(workload, one, options)
            for one in POLICIES
        }
        figures[workload.name] = by_policy
        violations = by_policy[POLICIES[0].name]["violations"]
        broken.extend(
            f"{workload.name}: {name}"
            for name, count in violations.items()
            if count
        )
    return experiments.Result(figures=figures, broken=tuple(broken))
