"""A scheduling core with a configuration, upstreams and a clock."""

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
ONE = ids.WorkspaceId("one")

LIMITS = routing.Limits(
    head_bytes=16384, body_bytes=1000000, head_timeout=3.0, idle_timeout=15.0
)


def route(name: str, service: str, **values: object) -> routing.Route:
    """Return a route of the test's host."""
    fields = {
        "kind": routing.RequestKind.SAFE,
        "timeout": 2.0,
        "objective": 0.5,
        "priority": 2,
        "attempts": 2,
        "is_public": False,
    }
    fields.update(values)
    return routing.Route(
        name=ids.RouteName(name),
        host=HOST,
        prefix=f"/{name}/",
        split=(
            routing.WeightedService(
                service=ids.ServiceName(service), weight=1.0
            ),
        ),
        **fields,  # type: ignore[arg-type]
    )


def service(name: str, sharded: bool = False) -> routing.Service:
    """Return a service whose upstreams are cold for three seconds."""
    return routing.Service(
        name=ids.ServiceName(name),
        health_path="/healthz",
        connections=110,
        warmup=3.0,
        warmup_rate=6.0,
        sharded=sharded,
    )


def workspace(rate: float = 0.0, **values: object) -> routing.Workspace:
    """Return the workspace of the test's key."""
    fields: dict[str, object] = {"priority": None, "keys": (DIGEST,)}
    fields.update(values)
    return routing.Workspace(
        name=ONE, rate=rate, burst=rate, **fields  # type: ignore[arg-type]
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
            route("order", "letters", kind=routing.RequestKind.UNSAFE),
            route("old", "archive"),
        )
    return routing.Configuration(
        version=ids.ConfigurationVersion(version),
        routes=routes,
        services=(service("letters"), service("archive", sharded=True)),
        workspaces=(workspace(),) if workspaces is None else workspaces,
        limits=LIMITS,
    )


def upstream(
    name: str, of: str = "letters", **values: object
) -> upstreams.Registration:
    """Return the entry of a warm upstream with two slots."""
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
        service=ids.ServiceName(of),
        **fields,  # type: ignore[arg-type]
    )


def settings_of(instance: str = "one") -> settings.Settings:
    """Return settings of an instance in data centre a."""
    return settings.Settings(
        instance=settings.InstanceSettings(
            name=ids.InstanceId(instance), data_centre=ids.DataCentreId("a")
        ),
        retries=settings.RetrySettings(share=0.2, reserve=56.0, window=10.0),
    )


@dataclasses.dataclass(kw_only=True)
class World:
    """The core and the effects it has asked for."""

    core: coordinator.SchedulingCoordinator
    now: ids.Instant = ids.Instant(100.0)
    effects: list[scheduling.Effect] = dataclasses.field(default_factory=list)
    numbers: "itertools.count[int]" = dataclasses.field(
        default_factory=lambda: itertools.count(1)
    )

    def run(self, event: scheduling.Event) -> list[scheduling.Effect]:
        """Give the core an event; return and keep its effects."""
        found = self.core.handle(event, self.now)
        self.effects.extend(found)
        return found

    def advance(self, seconds: float) -> None:
        """Let time pass, with every timer that the core asks for."""
        until = ids.Instant(self.now + seconds)
        while self.core.wake_at(self.now) <= until:
            wake = self.core.wake_at(self.now)
            self.now = max(self.now, wake)
            self.run(scheduling.TimePassed())
            if wake <= self.now and self.core.wake_at(self.now) <= self.now:
                break
        self.now = until
        self.run(scheduling.TimePassed())

    def confirm(self) -> None:
        """Confirm the configuration as of now."""
        self.run(scheduling.ConfigurationConfirmed(at=self.now))

    def request(
        self, path: str = "/read/1", **values: object
    ) -> ids.ExchangeId:
        """Let a request arrive; return its number."""
        exchange = ids.ExchangeId(next(self.numbers))
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
        self.run(scheduling.RequestArrived(exchange=exchange, head=head))
        return exchange

    def finish(
        self,
        exchange: ids.ExchangeId,
        result: state.AttemptResult = state.AttemptResult.RESPONDED,
        **values: object,
    ) -> list[scheduling.Effect]:
        """End the attempt of an exchange."""
        sent = self.sent_to(exchange)
        fields: dict[str, object] = {"error": None, "answered": False}
        fields.update(values)
        return self.run(
            scheduling.AttemptFinished(
                exchange=exchange,
                upstream=sent[-1],
                result=result,
                **fields,  # type: ignore[arg-type]
            )
        )

    def sent_to(self, exchange: ids.ExchangeId) -> list[ids.UpstreamId]:
        """Return the upstreams that an exchange was sent to."""
        return [
            one.registration.id
            for one in self.effects
            if isinstance(one, scheduling.SendUpstream)
            and one.exchange == exchange
        ]

    def refusal(self, exchange: ids.ExchangeId) -> scheduling.Refuse | None:
        """Return the refusal of an exchange, if there is one."""
        for one in self.effects:
            if isinstance(one, scheduling.Refuse):
                if one.exchange == exchange:
                    return one
        return None

    def borrowings(self) -> list[quota.TokenRequest]:
        """Return the tokens that were asked for."""
        return [
            one for one in self.effects if isinstance(one, quota.TokenRequest)
        ]

    def register(self, *registrations: upstreams.Registration) -> None:
        """Replace the registry."""
        self.run(
            upstream_events.RegistrationsChanged(registrations=registrations)
        )


def world(
    *registrations: upstreams.Registration,
    config: routing.Configuration | None = None,
) -> World:
    """Return a core with a fresh configuration and these upstreams."""
    made = World(core=coordinator.SchedulingCoordinator(settings_of()))
    made.run(
        scheduling.ConfigurationChanged(
            configuration=config or configuration()
        )
    )
    made.confirm()
    made.register(*registrations)
    return made


def plan(
    life: ids.UpstreamLife, upstream_id: str, is_settled: bool = True
) -> grantor.ShardPlan:
    """Return a plan in which one upstream holds every key."""
    return grantor.ShardPlan(
        service=ARCHIVE,
        assignments=(
            grantor.Assignment(
                first=ids.ShardKey(0),
                last=ids.ShardKey(65535),
                upstream=ids.UpstreamId(upstream_id),
                life=life,
                epoch=ids.Epoch(2),
                is_settled=is_settled,
            ),
        ),
    )
