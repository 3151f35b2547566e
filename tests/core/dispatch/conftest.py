"""A dispatch core with a small configuration."""

import dataclasses

import pytest

from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core.configuration import view
from dragonflyshelf.core.dispatch import coordinator
from dragonflyshelf.core.dispatch import messages as dispatch
from dragonflyshelf.core import ids
from dragonflyshelf.core.membership import objects as membership
from dragonflyshelf.core import messages
from dragonflyshelf.core.ownership import objects as ownership
from dragonflyshelf.core.platform import messages as platform
from dragonflyshelf.core import settings
from dragonflyshelf.core import states

DIGEST = ids.KeyDigest("d" * 64)
OWN = ids.InstanceId("i1")
OTHER = ids.InstanceId("i2")
KINDS = states.ObjectKind
START = 100.0


class Router:
    """One instance's dispatch core on a virtual clock."""

    def __init__(self, instance: ids.InstanceId = OWN) -> None:
        """Create the core with its configuration in force."""
        config = settings.Settings(
            instance=settings.InstanceSettings(
                name=instance, data_centre=ids.DataCentreId("a")
            ),
            limits=settings.LimitSettings(policy="local"),
        )
        self.now = START
        self.core = coordinator.DispatchCoordinator(config, ids.Incarnation(1))
        self.objects = view.ObjectView()
        self._version = 0
        self._exchanges = 0
        self._configure()
        self.handle(dispatch.LeaseChanged(until=ids.Instant(START + 1000)))
        self.hold("u1", "u2", "k1")

    def _configure(self) -> None:
        self.put(
            KINDS.WORKSPACE,
            objects.Workspace(
                name=ids.WorkspaceId("w"), rate=1000, burst=1000
            ),
        )
        self.put(
            KINDS.CALLER_KEY,
            objects.CallerKey(
                key_id=ids.CallerKeyId("key"),
                digest=DIGEST,
                workspace=ids.WorkspaceId("w"),
            ),
        )
        self.put(KINDS.SERVICE, objects.Service(name=ids.ServiceName("open")))
        self.put(
            KINDS.SERVICE,
            objects.Service(
                name=ids.ServiceName("keyed"),
                key_source=states.KeySource.PATH,
                shards=1,
            ),
        )
        for name, service in (("u1", "open"), ("u2", "open"), ("k1", "keyed")):
            self.put(KINDS.UPSTREAM, self.upstream(name, service))
        self.put(
            KINDS.ROSTER,
            membership.Roster(
                data_centre=ids.DataCentreId("a"),
                members=tuple(
                    membership.Member(
                        instance=one,
                        incarnation=ids.Incarnation(1),
                        host="127.0.0.1",
                        peer_port=1,
                        operator_port=1,
                    )
                    for one in (OWN, OTHER)
                ),
            ),
        )
        self.lead(OWN)

    @staticmethod
    def upstream(name: str, service: str) -> objects.Upstream:
        """Return an upstream with two slots."""
        return objects.Upstream(
            name=ids.UpstreamId(name),
            service=ids.ServiceName(service),
            host="127.0.0.1",
            port=1,
            data_centre=ids.DataCentreId("a"),
            slots=2,
        )

    def lead(self, instance: ids.InstanceId, term: int = 1) -> None:
        """Let an instance lead everything, by the segments."""
        for service, names in (("open", ("u1", "u2")), ("keyed", ("k1",))):
            leaders = tuple(
                ownership.Leadership(
                    upstream=ids.UpstreamId(name),
                    instance=instance,
                    incarnation=ids.Incarnation(1),
                    term=ids.Term(term),
                )
                for name in names
            )
            assignments: tuple[ownership.Assignment, ...] = ()
            if service == "keyed":
                owner = ownership.Assignment(
                    shard=ids.ShardId(0),
                    upstream=ids.UpstreamId("k1"),
                    epoch=ids.Epoch(term),
                )
                assignments = (owner,)
            self.put(
                KINDS.SEGMENT,
                ownership.Segment(
                    service=ids.ServiceName(service),
                    leaders=leaders,
                    assignments=assignments,
                ),
            )

    def hold(self, *names: str, term: int = 1) -> None:
        """Let this instance use leaderships."""
        held = tuple(
            dispatch.HeldLeadership(
                upstream=ids.UpstreamId(name),
                term=ids.Term(term),
                not_before=ids.Instant(0.0),
            )
            for name in names
        )
        self.handle(dispatch.LeadershipsHeld(held=held))

    def put(self, kind: states.ObjectKind, value: object) -> None:
        """Change an object and take over the view."""
        self._version += 1
        name = str(
            getattr(value, "name", None)
            or getattr(value, "key_id", None)
            or getattr(value, "service", None)
            or getattr(value, "data_centre", None)
        )
        self.objects.apply(
            platform.ObjectChanged(
                key=platform.ObjectKey(kind=kind, name=ids.ObjectName(name)),
                version=ids.Version(self._version),
                write_id=ids.WriteId(f"w{self._version}"),
                value=value,
            )
        )
        self.core.on_view(self.objects, ids.Instant(self.now))

    def handle(self, event: dispatch.Event) -> list[dispatch.Effect]:
        """Let the core handle an event now."""
        return self.core.handle(event, ids.Instant(self.now))

    def wait(self, seconds: float) -> list[dispatch.Effect]:
        """Let time pass and collect what is done meanwhile."""
        effects = []
        for _ in range(round(seconds / 0.01)):
            self.now += 0.01
            effects.extend(self.handle(dispatch.TimePassed()))
        return effects

    def request(
        self,
        method: bytes = b"GET",
        target: bytes = b"/open/x",
        digest: ids.KeyDigest = DIGEST,
        seconds: float = 10.0,
        body_length: int = -1,
        has_body: bool = False,
    ) -> tuple[ids.ExchangeId, list[dispatch.Effect]]:
        """Let a caller send a request."""
        self._exchanges += 1
        exchange = ids.ExchangeId(self._exchanges)
        head = messages.RequestHead(
            request_id=ids.RequestId(f"r{exchange}"),
            method=method,
            target=target,
            headers=(),
            key_digest=digest,
            deadline=ids.Instant(self.now + seconds),
            has_body=has_body,
            body_length=body_length,
        )
        event = dispatch.RequestArrived(exchange=exchange, head=head)
        return exchange, self.handle(event)

    def forward(
        self, admitted: messages.Admitted
    ) -> tuple[ids.ExchangeId, list[dispatch.Effect]]:
        """Let another instance forward a request."""
        exchange, _ = self.request(digest=ids.KeyDigest("none"))
        head = messages.RequestHead(
            request_id=ids.RequestId(f"r{exchange}"),
            method=b"GET",
            target=b"/open/x",
            headers=(),
            key_digest=ids.KeyDigest(""),
            deadline=ids.Instant(self.now + 10),
        )
        event = dispatch.ForwardArrived(
            exchange=exchange, head=head, admitted=admitted
        )
        return exchange, self.handle(event)

    def finish(
        self, exchange: ids.ExchangeId, **changes: object
    ) -> list[dispatch.Effect]:
        """Let the present attempt end, whole unless changes say else."""
        event = dispatch.AttemptFinished(
            exchange=exchange,
            upstream=ids.UpstreamId(""),
            error=None,
            answered=True,
            status=200,
        )
        return self.handle(dataclasses.replace(event, **changes))

    def end(self, exchange: ids.ExchangeId) -> list[dispatch.Effect]:
        """Let the origin be done with an exchange."""
        event = dispatch.ExchangeFinished(exchange=exchange, cancelled=False)
        return self.handle(event)


@pytest.fixture
def router() -> Router:
    """Return an instance that leads everything."""
    return Router()
