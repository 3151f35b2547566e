"""Replay of a roll-out over many instances in virtual time.

Load pattern: 62 instances that each see a few of 228 requests per second,
15 upstreams of 4 slots for either version with service speeds from 0.7 to
1.6, and 0.1% errors of their own. ``python -m tests.core.rollouts.replay
SEEDS SERVICE`` prints how often the judge errs.
"""

import collections
import dataclasses
import enum
import heapq
import random
import sys
from typing import Any

from dragonflyshelf.core.grantor import messages as grantor
from dragonflyshelf.core import ids
from dragonflyshelf.core.rollouts import coordinator
from dragonflyshelf.core.rollouts import gate
from dragonflyshelf.core.rollouts import messages
from dragonflyshelf.core.rollouts import objects
from dragonflyshelf.core.rollouts import outcomes
from dragonflyshelf.core.routing import objects as routing
from dragonflyshelf.core import settings
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.core.upstreams import messages as upstream_events
from dragonflyshelf.core.upstreams import objects as upstreams
from dragonflyshelf.core.upstreams import state

SERVICE = ids.ServiceName("templates")
PRESENT = ids.UpstreamVersion("v1")
TARGET = ids.UpstreamVersion("v2")
DURATION_SECONDS = 16.0
EPOCH_SECONDS = 1_700_000_000.0
PLAN_NAME = objects.plan_name(SERVICE)
ROUTE_WEIGHTS = {"main": 0.5, "second": 0.3, "third": 0.2}
BAD_RESPONSES_OF_THE_PROMISE = 50


class Kind(enum.Enum):
    """What is wrong with the new version."""

    GOOD = "good"
    ERRORS = "30% errors at once"
    SLOW = "40% of responses 4 times slower"
    LATER = "30% errors from 7 s on"
    LOAD = "40% errors with 3 or more of 4 slots in use"
    ROUTE = "50% errors on a route with a fifth of the requests"
    SUBTLE = "5% errors"


@dataclasses.dataclass(kw_only=True)
class Site:
    """Sizes of the site, and the faults beside the version's."""

    kind: Kind = Kind.GOOD
    instance_count: int = 62
    rate: float = 228.0
    work_seconds: float = 0.12
    spread: float = 0.3
    upstream_count: int = 15
    slots: int = 4
    speeds: tuple[float, ...] = (0.7, 0.7, 1.6)
    own_errors: float = 0.001
    common_errors: float = 0.0
    lost_data_centre: str = ""
    lost_from: float = 6.0
    leader_lost_at: float = 0.0
    present_from: float = 1.2
    warmup_seconds: float = 3.0


SITES: dict[str, dict[str, Any]] = {
    "templates": {},
    "orders": {
        "rate": 235.0,
        "work_seconds": 0.16,
        "spread": 0.8,
        "upstream_count": 20,
        "speeds": (0.5, 1.0, 1.0, 1.5),
    },
}
"""What differs at the site's services from the default."""


@dataclasses.dataclass(kw_only=True)
class Upstream:
    """An upstream with the requests that run and wait."""

    registration: upstreams.Registration
    speed: float
    running: int = 0
    waiting: collections.deque[Any] = dataclasses.field(
        default_factory=collections.deque
    )

    @property
    def load(self) -> int:
        """Return the requests that run or wait."""
        return self.running + len(self.waiting)


@dataclasses.dataclass(kw_only=True)
class Result:
    """What became of a roll-out, as callers and operators see it."""

    step: objects.RolloutStep
    requests: int
    exposed: int
    late_exposed: int
    completed_at: float
    bad_count: int

    def keeps_exposure(self, promises: settings.PromiseSettings) -> bool:
        """Return whether a bad version got no more than is promised."""
        allowance = promises.exposure_share * self.requests
        return (
            self.exposed <= allowance + promises.exposure_slack
            and not self.late_exposed
        )


def make_settings(name: str = "i1") -> settings.Settings:
    """Return the settings of an instance of the site."""
    return settings.Settings(
        instance=settings.InstanceSettings(
            name=ids.InstanceId(name), data_centre=ids.DataCentreId("a")
        ),
        promises=settings.PromiseSettings(
            exposure_share=0.1, exposure_slack=50.0, rollback=5.0
        ),
    )


def make_order(revision: int = 5, **values: Any) -> objects.RolloutOrder:
    """Return the order of the site's roll-out."""
    fields: dict[str, Any] = {
        "service": SERVICE,
        "target": TARGET,
        "duration": DURATION_SECONDS,
        **values,
    }
    return objects.RolloutOrder(
        name=ids.ObjectName(fields["service"]),
        revision=ids.Revision(revision),
        **fields,
    )


def make_registration(
    name: str, version: ids.UpstreamVersion, **values: Any
) -> upstreams.Registration:
    """Return the registration of a warm upstream with four slots."""
    fields: dict[str, Any] = {
        "data_centre": ids.DataCentreId("a"),
        "slots": 4,
        "warmup_left_seconds": 0.0,
        "is_draining": False,
        **values,
    }
    return upstreams.Registration(
        id=ids.UpstreamId(name),
        service=SERVICE,
        host="10.0.0.1",
        port=80,
        started_at_ms=1,
        version=version,
        **fields,
    )


def make_services(is_sharded: bool = False) -> grantor.ServicesChanged:
    """Return a configuration with the site's service."""
    return grantor.ServicesChanged(
        services=(
            routing.Service(
                name=SERVICE,
                health_path="/healthz",
                max_connections=430,
                warmup_seconds=3.0,
                warmup_rate=5.3,
                is_sharded=is_sharded,
            ),
        )
    )


class Replay:
    """One roll-out, by events in virtual time."""

    def __init__(self, site: Site, seed: int) -> None:
        """Prepare a roll-out that is ordered at 0 seconds."""
        self._site = site
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, Any, tuple[Any, ...]]] = []
        self._event_count = 0
        self.now = ids.Instant(0.0)
        self._settings = make_settings()
        self._revision = 10
        self.plan: objects.RolloutPlan | None = None
        self.statuses: list[objects.RolloutState] = []
        self._leader = self._make_leader()
        self._gates = [
            gate.VersionGate(make_settings(f"i{seed}-{number}"))
            for number in range(site.instance_count)
        ]
        self._tallies = [outcomes.OutcomeTally() for _ in self._gates]
        self._relay_tally = outcomes.OutcomeTally()
        self._revisions_by_gate: dict[gate.VersionGate, int] = {}
        self._upstreams: list[Upstream] = []
        self._bad_times: list[float] = []
        self._requests = 0
        self._exposed: list[float] = []
        self._completed_at = 0.0

    def _make_leader(self) -> coordinator.RolloutCoordinator:
        leader = coordinator.RolloutCoordinator(self._settings)
        leader.handle(make_services(), self.now)
        leader.handle(grantor.LeadershipChanged(is_leading=True), self.now)
        leader.handle(messages.OrdersChanged(orders=(make_order(),)), self.now)
        return leader

    def _at(self, seconds: float, action: Any, *arguments: Any) -> None:
        self._event_count += 1
        heapq.heappush(
            self._events, (seconds, self._event_count, action, arguments)
        )

    def run(self) -> Result:
        """Play until the deadline has passed; return the result."""
        self._register(PRESENT, 0.0)
        self._at(
            self._site.present_from,
            self._register,
            TARGET,
            self._site.warmup_seconds,
        )
        self._at(0.01, self._tick)
        self._at(0.0, self._arrive)
        for number in range(self._site.instance_count):
            self._at(0.4 * self._random.random(), self._report, number)
        self._at(0.3, self._relay)
        if self._site.leader_lost_at:
            self._at(self._site.leader_lost_at, self._lose_leader)
        while self._events[0][0] <= DURATION_SECONDS:
            seconds, _, action, arguments = heapq.heappop(self._events)
            self.now = ids.Instant(seconds)
            action(*arguments)
        return self._make_result()

    def _make_result(self) -> Result:
        assert self.plan is not None
        late_from = float("inf")
        if len(self._bad_times) >= BAD_RESPONSES_OF_THE_PROMISE:
            bad_at = sorted(self._bad_times)[BAD_RESPONSES_OF_THE_PROMISE - 1]
            late_from = bad_at + self._settings.promises.rollback
        return Result(
            step=self.plan.step,
            requests=self._requests,
            exposed=len(self._exposed),
            late_exposed=sum(sent > late_from for sent in self._exposed),
            completed_at=self._completed_at,
            bad_count=len(self._bad_times),
        )

    def _register(
        self, version: ids.UpstreamVersion, warmup_seconds: float
    ) -> None:
        for number in range(self._site.upstream_count):
            registration = make_registration(
                f"{version}-{number}",
                version,
                data_centre=ids.DataCentreId("abc"[number % 3]),
                slots=self._site.slots,
                warmup_left_seconds=warmup_seconds,
            )
            self._upstreams.append(
                Upstream(
                    registration=registration,
                    speed=self._random.choice(self._site.speeds),
                )
            )
        self._publish_registrations()
        if warmup_seconds:
            self._at(self.now + warmup_seconds, self._end_warmup)

    def _end_warmup(self) -> None:
        for upstream in self._upstreams:
            upstream.registration = dataclasses.replace(
                upstream.registration, warmup_left_seconds=0.0
            )
        self._publish_registrations()

    def _publish_registrations(self) -> None:
        self._leader.handle(
            upstream_events.RegistrationsChanged(
                registrations=tuple(
                    upstream.registration for upstream in self._upstreams
                )
            ),
            self.now,
        )

    def _lose_leader(self) -> None:
        """Have another instance lead, which knows only the store."""
        self._leader = coordinator.RolloutCoordinator(self._settings)
        self._relay_tally.take_report()
        self._at(self.now + 1.8, self._take_over)

    def _take_over(self) -> None:
        self._leader = self._make_leader()
        self._publish_registrations()
        if self.plan is not None:
            self._leader.handle(self._observed(self.plan), self.now)

    def _observed(self, plan: objects.RolloutPlan) -> grantor.ControlObserved:
        return grantor.ControlObserved(
            name=PLAN_NAME, revision=ids.Revision(self._revision), value=plan
        )

    def _tick(self) -> None:
        self._at(self.now + 0.1, self._tick)
        effects = self._leader.handle(
            messages.TimePassed(
                unix_time=EPOCH_SECONDS + self.now,
                orders_confirmed_at=self.now,
            ),
            self.now,
        )
        for effect in effects:
            if isinstance(effect, grantor.WriteControl):
                self._write_plan(effect)
            elif isinstance(effect, messages.WriteStatus):
                self.statuses.append(effect.status.state)
                self._leader.handle(
                    messages.StatusWriteCompleted(
                        write=effect, outcome=store.WriteOutcome.DONE
                    ),
                    self.now,
                )

    def _write_plan(self, effect: grantor.WriteControl) -> None:
        plan: Any = effect.value
        self._revision += 1
        self.plan = plan
        if plan.step is objects.RolloutStep.COMPLETED:
            self._completed_at = self._completed_at or self.now
        for version_gate in self._gates:
            delay = 0.02 + 0.3 * self._random.random()
            self._at(
                self.now + delay,
                self._apply_plan,
                version_gate,
                plan,
                self._revision,
            )
        self._leader.handle(
            grantor.ControlWriteCompleted(
                write=effect,
                outcome=store.WriteOutcome.DONE,
                sent_at=self.now,
                current=self._observed(plan),
            ),
            self.now,
        )

    def _apply_plan(
        self,
        version_gate: gate.VersionGate,
        plan: objects.RolloutPlan,
        revision: int,
    ) -> None:
        """Apply a plan unless a newer one has arrived before."""
        if revision > self._revisions_by_gate.get(version_gate, 0):
            self._revisions_by_gate[version_gate] = revision
            version_gate.set_plan(plan)

    def _report(self, number: int) -> None:
        self._at(self.now + 0.4, self._report, number)
        self._gates[number].confirm(self.now)
        self._relay_tally.add(self._tallies[number].take_report())

    def _relay(self) -> None:
        self._at(self.now + 0.4, self._relay)
        sums = self._relay_tally.take_report()
        self._leader.handle(messages.OutcomesReported(sums=sums), self.now)

    def _arrive(self) -> None:
        rate = self._site.rate
        self._at(self.now + self._random.expovariate(rate), self._arrive)
        number = self._random.randrange(self._site.instance_count)
        route = ids.RouteName(
            self._random.choices(
                list(ROUTE_WEIGHTS), list(ROUTE_WEIGHTS.values())
            )[0]
        )
        version_gate = self._gates[number]
        version_gate.count_request(SERVICE)
        canaries = version_gate.canaries(SERVICE, self.now)
        if canaries:
            version_gate.take(SERVICE)
        candidates = [
            upstream
            for upstream in self._upstreams
            if upstream.registration.incarnation in canaries
        ] or [
            upstream
            for upstream in self._upstreams
            if not version_gate.excludes(upstream.registration)
        ]
        some = self._random.sample(candidates, min(3, len(candidates)))
        self._send(number, route, min(some, key=lambda each: each.load))

    def _send(
        self, number: int, route: ids.RouteName, upstream: Upstream
    ) -> None:
        registration = upstream.registration
        self._requests += 1
        if registration.version == TARGET:
            self._exposed.append(self.now)
        if self._gates[number].is_counted(SERVICE):
            self._tallies[number].record_sent(
                SERVICE, route, registration.incarnation
            )
        upstream.waiting.append((number, route))
        self._start_next(upstream)

    def _start_next(self, upstream: Upstream) -> None:
        if not upstream.waiting or upstream.running >= self._site.slots:
            return
        upstream.running += 1
        number, route = upstream.waiting.popleft()
        site = self._site
        seconds = site.work_seconds * self._random.lognormvariate(
            -(site.spread**2) / 2, site.spread
        )
        seconds *= 3.0 if self._random.random() < 0.01 else 1.0
        seconds /= upstream.speed
        is_failure, slowdown = self._misbehave(upstream, route)
        seconds *= slowdown
        noise = 3.0 if self._random.random() < 0.2 else 1.0
        self._at(
            self.now + seconds * noise,
            self._finish,
            upstream,
            number,
            route,
            seconds,
            is_failure,
            is_failure or slowdown > 1.0,
        )

    def _misbehave(
        self, upstream: Upstream, route: ids.RouteName
    ) -> tuple[bool, float]:
        """Return whether a request fails, and how much slower it is."""
        site = self._site
        chance = self._random.random()
        data_centre = upstream.registration.data_centre
        if data_centre == site.lost_data_centre and self.now > site.lost_from:
            return True, 1.0
        if chance < site.own_errors + site.common_errors:
            return True, 1.0
        if upstream.registration.version != TARGET:
            return False, 1.0
        ratios = {
            Kind.ERRORS: 0.3,
            Kind.LATER: 0.3 if self.now > 7.0 else 0.0,
            Kind.LOAD: 0.4 if upstream.running >= 3 else 0.0,
            Kind.ROUTE: 0.5 if route == "third" else 0.0,
            Kind.SUBTLE: 0.05,
        }
        if site.kind is Kind.SLOW:
            return False, 4.0 if chance < 0.4 else 1.0
        return chance < ratios.get(site.kind, 0.0), 1.0

    def _finish(
        self,
        upstream: Upstream,
        number: int,
        route: ids.RouteName,
        seconds: float,
        is_failure: bool,
        is_bad: bool,
    ) -> None:
        upstream.running -= 1
        registration = upstream.registration
        if is_bad and registration.version == TARGET:
            self._bad_times.append(self.now)
        if self._gates[number].is_counted(SERVICE):
            known_noise = self._random.lognormvariate(0.0, 0.15)
            unknown = 3.0 if self._random.random() < 0.02 else 1.0
            self._tallies[number].record_result(
                SERVICE,
                route,
                registration.incarnation,
                (
                    state.AttemptResult.FAILED
                    if is_failure
                    else state.AttemptResult.RESPONDED
                ),
                seconds * known_noise * unknown,
            )
        self._start_next(upstream)


def print_errors(site: Site, seeds: range) -> None:
    """Print the share of roll-outs that end as they should."""
    promises = make_settings().promises
    results = [Replay(site, seed).run() for seed in seeds]
    steps = collections.Counter(result.step.value for result in results)
    kept = sum(result.keeps_exposure(promises) for result in results)
    last = max(result.completed_at for result in results)
    print(
        f"{site.kind.value}: {dict(steps)}, exposure kept in {kept},"
        f" exposed at most {max(result.exposed for result in results)},"
        f" bad at most {max(result.bad_count for result in results)},"
        f" completed at {last:.1f} s at the latest"
    )


def main() -> None:
    """Print the error rates for each kind of version."""
    values = SITES[sys.argv[2]]
    for kind in Kind:
        print_errors(Site(kind=kind, **values), range(int(sys.argv[1])))


if __name__ == "__main__":
    main()
