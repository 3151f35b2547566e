"""Scheduling coordinator under test with a virtual clock."""

import dataclasses
import itertools

from dragonflyshelf.core.grantor import objects as grantor
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core.quota import messages as quota
from dragonflyshelf.core.routing import objects as routing
from dragonflyshelf.core.scheduling import coordinator
from dragonflyshelf.core.scheduling import messages as scheduling
from dragonflyshelf.core import settings
from dragonflyshelf.core.upstreams import messages as upstream_events
from dragonflyshelf.core.upstreams import objects as upstreams
from dragonflyshelf.core.upstreams import state

DIGEST = ids.KeyDigest("d1")
HOST = "letters.example"
LETTERS = ids.ServiceName("letters")
ARCHIVE = ids.ServiceName("archive")
WORKSPACE = ids.WorkspaceId("one")

LIMITS = routing.Limits(
    head_bytes=16384, body_bytes=1000000, head_timeout=3.0, idle_timeout=15.0
)


def route(name: str, service: str, **values: object) -> routing.Route:
    """Return a route of the test host."""
    fields = {
        "kind": routing.RequestKind.IDEMPOTENT,
        "timeout": 2.0,
        "latency_objective": 0.5,
        "priority": 2,
        "max_attempts": 2,
        "is_public": False,
    }
    fields.update(values)
    return routing.Route(
        name=ids.RouteName(name),
        host=HOST,
        path_prefix=f"/{name}/",
        traffic_split=(
            routing.WeightedService(
                service=ids.ServiceName(service), weight=1.0
            ),
        ),
        **fields,  # type: ignore[arg-type]
    )


def service(name: str, is_sharded: bool = False) -> routing.Service:
    """Return a service whose upstreams warm up for three seconds."""
    return routing.Service(
        name=ids.ServiceName(name),
        health_path="/healthz",
        max_connections=110,
        warmup_seconds=3.0,
        warmup_rate=6.0,
        is_sharded=is_sharded,
    )


def workspace(rate: float = 0.0, **values: object) -> routing.Workspace:
    """Return the workspace of the test key."""
    fields: dict[str, object] = {"priority": None, "key_digests": (DIGEST,)}
    fields.update(values)
    return routing.Workspace(
        name=WORKSPACE,
        rate=rate,
        burst=rate,
        **fields,  # type: ignore[arg-type]
    )


def configuration(
    version: int = 1,
    routes: tuple[routing.Route, ...] | None = None,
    workspaces: tuple[routing.Workspace, ...] | None = None,
) -> routing.Configuration:
    """Return a configuration with two services."""
    if routes is None:
        routes = (
            route("read", "letters"),
            route("order", "letters", kind=routing.RequestKind.NON_IDEMPOTENT),
            route("old", "archive"),
        )
    return routing.Configuration(
        version=ids.ConfigurationVersion(version),
        routes=routes,
        services=(service("letters"), service("archive", is_sharded=True)),
        workspaces=(workspace(),) if workspaces is None else workspaces,
        limits=LIMITS,
    )


def upstream(
    name: str, service_name: str = "letters", **values: object
) -> upstreams.Registration:
    """Return the registration of a warm upstream with two slots."""
    fields: dict[str, object] = {
        "host": "10.0.0.1",
        "port": 80,
        "data_centre": ids.DataCentreId("a"),
        "slots": 2,
        "is_draining": False,
        "warmup_left_seconds": 0.0,
        "started_at_ms": 1,
    }
    fields.update(values)
    return upstreams.Registration(
        id=ids.UpstreamId(name),
        service=ids.ServiceName(service_name),
        **fields,  # type: ignore[arg-type]
    )


def make_settings(instance: str = "one") -> settings.Settings:
    """Return settings of an instance in data centre a."""
    return settings.Settings(
        instance=settings.InstanceSettings(
            name=ids.InstanceId(instance), data_centre=ids.DataCentreId("a")
        ),
        retries=settings.RetrySettings(share=0.2, reserve=56.0, window=10.0),
        slots=settings.SlotSettings(holders=settings.HolderQueue.BROKER),
    )


@dataclasses.dataclass(kw_only=True)
class SchedulerHarness:
    """The coordinator and the effects it has returned."""

    core: coordinator.SchedulingCoordinator
    now: ids.Instant = ids.Instant(100.0)
    effects: list[scheduling.Effect] = dataclasses.field(default_factory=list)
    exchange_numbers: "itertools.count[int]" = dataclasses.field(
        default_factory=lambda: itertools.count(1)
    )

    def handle(self, event: scheduling.Event) -> list[scheduling.Effect]:
        """Handle an event; record and return its effects."""
        effects = self.core.handle(event, self.now)
        self.effects.extend(effects)
        return effects

    def advance(self, seconds: float) -> None:
        """Advance the clock and fire every timer that is due."""
        until = ids.Instant(self.now + seconds)
        while self.core.wake_at(self.now) <= until:
            wake = self.core.wake_at(self.now)
            self.now = max(self.now, wake)
            self.handle(scheduling.TimePassed())
            if wake <= self.now and self.core.wake_at(self.now) <= self.now:
                break
        self.now = until
        self.handle(scheduling.TimePassed())

    def confirm(self) -> None:
        """Confirm the configuration as of now."""
        self.handle(scheduling.ConfigurationConfirmed(confirmed_at=self.now))

    def request(
        self, path: str = "/read/1", **values: object
    ) -> ids.ExchangeId:
        """Send a request; return the id of its exchange."""
        exchange = ids.ExchangeId(next(self.exchange_numbers))
        fields: dict[str, object] = {
            "key_digest": DIGEST,
            "deadline": ids.Instant(self.now + 3.0),
        }
        fields.update(values)
        head = messages.RequestHead(
            request_id=ids.RequestId(f"r{exchange}"),
            method=b"GET",
            target=path.encode(),
            headers=(),
            host=HOST,
            **fields,  # type: ignore[arg-type]
        )
        self.handle(scheduling.RequestArrived(exchange=exchange, head=head))
        return exchange

    def finish(
        self,
        exchange: ids.ExchangeId,
        result: state.AttemptResult = state.AttemptResult.RESPONDED,
        **values: object,
    ) -> list[scheduling.Effect]:
        """End the attempt of an exchange."""
        upstream_ids = self.sent_to(exchange)
        fields: dict[str, object] = {"error": None, "response_started": False}
        fields.update(values)
        return self.handle(
            scheduling.AttemptFinished(
                exchange=exchange,
                upstream=upstream_ids[-1],
                result=result,
                **fields,  # type: ignore[arg-type]
            )
        )

    def sent_to(self, exchange: ids.ExchangeId) -> list[ids.UpstreamId]:
        """Return the upstreams that an exchange was sent to."""
        return [
            effect.registration.id
            for effect in self.effects
            if isinstance(effect, scheduling.SendUpstream)
            and effect.exchange == exchange
        ]

    def refusal(self, exchange: ids.ExchangeId) -> scheduling.Refuse | None:
        """Return the refusal of an exchange, if there is one."""
        for effect in self.effects:
            if isinstance(effect, scheduling.Refuse):
                if effect.exchange == exchange:
                    return effect
        return None

    def token_requests(self) -> list[quota.TokenRequest]:
        """Return the token requests."""
        return [
            effect
            for effect in self.effects
            if isinstance(effect, quota.TokenRequest)
        ]

    def register(self, *registrations: upstreams.Registration) -> None:
        """Replace the registrations."""
        self.handle(
            upstream_events.RegistrationsChanged(registrations=registrations)
        )


def make_harness(
    *registrations: upstreams.Registration,
    config: routing.Configuration | None = None,
    process: settings.Settings | None = None,
) -> SchedulerHarness:
    """Return a harness with a confirmed configuration and upstreams.

    ``process`` are the settings, by default those of ``make_settings``.
    """
    created = SchedulerHarness(
        core=coordinator.SchedulingCoordinator(process or make_settings())
    )
    created.handle(
        scheduling.ConfigurationChanged(
            configuration=config or configuration()
        )
    )
    created.confirm()
    created.register(*registrations)
    return created


def plan(
    incarnation: ids.UpstreamIncarnation,
    upstream_id: str,
    is_settled: bool = True,
) -> grantor.ShardPlan:
    """Return a plan in which one upstream holds every shard key."""
    return grantor.ShardPlan(
        service=ARCHIVE,
        assignments=(
            grantor.Assignment(
                first=ids.ShardKey(0),
                last=ids.ShardKey(65535),
                upstream=ids.UpstreamId(upstream_id),
                life=incarnation,
                epoch=ids.Epoch(2),
                is_settled=is_settled,
            ),
        ),
    )
