"""Decoding of what the operator and the upstreams write.

Field names here are the platform's; some say little of what they hold.
"""

from typing import Annotated, Any

import msgspec

from dragonflyshelf.codec import http
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.routing import objects as routing
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.core.upstreams import objects as upstreams

READY = "ready"
DRAINING = "draining"
VERSION_PREFIX = "r"
WHOLE = Annotated[int, msgspec.Meta(ge=0)]


class Table(msgspec.Struct, rename="pascal"):
    """Rows of values in the order of the named columns."""

    columns: list[str]
    rows: list[list[Any]]

    def records(self) -> list[dict[str, Any]]:
        """Return the rows by column; null values are left out."""
        return [
            {
                name: value
                for name, value in zip(self.columns, row)
                if value is not None
            }
            for row in self.rows
        ]


class Part(msgspec.Struct, rename="pascal"):
    """One part of a traffic split."""

    service: str
    weight: float


class RouteRecord(msgspec.Struct, rename="pascal"):
    """A route; ``timeout_s`` is how long a request may be kept."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_s: float
    max_attempts: int
    slo_latency_s: float = 1.0
    priority: int = 0
    traffic_split: list[Part] | None = None
    public: bool = False
    service: str = ""


class ServiceRecord(msgspec.Struct, rename="pascal"):
    """A service; ``warmup_per_s`` is what one cold upstream bears."""

    name: str
    health_path: str = "/"
    max_connections: int = 100
    warmup_s: float = 0.0
    warmup_per_s: float = 1.0
    sharded: bool = False


class WorkspaceRecord(msgspec.Struct, rename="pascal"):
    """A workspace; the platform calls it a tenant."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class LimitsRecord(msgspec.Struct, rename="pascal"):
    """Bounds on what callers send."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 67108864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class ConfigurationRecord(msgspec.Struct, rename="pascal"):
    """The operator's configuration."""

    version: str
    routes: Table
    services: Table
    tenants: Table = msgspec.field(
        default_factory=lambda: Table(columns=[], rows=[])
    )
    limits: LimitsRecord = msgspec.field(default_factory=LimitsRecord)


class RegistrationRecord(msgspec.Struct, rename="pascal"):
    """An upstream's entry; the upstream's id is the object's name.

    ``born`` keeps its own spelling; entries of other writers lack it.
    """

    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: str
    warmup_left_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    born: WHOLE = msgspec.field(name="born", default=0)


def configuration(spec: bytes) -> routing.Configuration:
    """Return the operator's configuration.

    Raises ``BadObject`` if it cannot be read.
    """
    try:
        record = msgspec.json.decode(spec, type=ConfigurationRecord)
        return routing.Configuration(
            version=_version(record.version),
            routes=tuple(
                _route(msgspec.convert(one, RouteRecord))
                for one in record.routes.records()
            ),
            services=tuple(
                _service(msgspec.convert(one, ServiceRecord))
                for one in record.services.records()
            ),
            workspaces=tuple(
                _workspace(msgspec.convert(one, WorkspaceRecord))
                for one in record.tenants.records()
            ),
            limits=_limits(record.limits),
        )
    except (msgspec.MsgspecError, ValueError) as error:
        raise errors.BadObject(f"configuration: {error}") from error


def registration(stored: store.StoredObject) -> upstreams.Registration:
    """Return an upstream's entry.

    Raises ``BadObject`` for an entry that names no upstream to use.
    """
    try:
        record = msgspec.json.decode(stored.spec, type=RegistrationRecord)
        host, _, port = record.address.rpartition(":")
        if not host or record.state not in (READY, DRAINING):
            raise ValueError("address or state is not one")
        return upstreams.Registration(
            id=ids.UpstreamId(stored.name),
            service=ids.ServiceName(record.service),
            host=host,
            port=int(port),
            data_centre=ids.DataCentreId(record.zone),
            slots=record.slots,
            is_draining=record.state == DRAINING,
            warmup_left=record.warmup_left_s,
            born=record.born,
        )
    except (msgspec.MsgspecError, ValueError) as error:
        raise errors.BadObject(f"{stored.name}: {error}") from error


def _version(text: str) -> ids.ConfigurationVersion:
    return ids.ConfigurationVersion(int(text.removeprefix(VERSION_PREFIX)))


def _route(record: RouteRecord) -> routing.Route:
    parts = record.traffic_split or [Part(service=record.service, weight=1.0)]
    return routing.Route(
        name=ids.RouteName(record.name),
        host=record.host.lower(),
        path_prefix=record.path_prefix,
        kind=routing.RequestKind(record.kind),
        timeout=record.timeout_s,
        latency_objective=record.slo_latency_s,
        priority=record.priority,
        traffic_split=tuple(
            routing.WeightedService(
                service=ids.ServiceName(one.service), weight=one.weight
            )
            for one in parts
        ),
        max_attempts=record.max_attempts,
        is_public=record.public,
    )


def _service(record: ServiceRecord) -> routing.Service:
    return routing.Service(
        name=ids.ServiceName(record.name),
        health_path=record.health_path,
        max_connections=record.max_connections,
        warmup_seconds=record.warmup_s,
        warmup_rate=record.warmup_per_s,
        is_sharded=record.sharded,
    )


def _workspace(record: WorkspaceRecord) -> routing.Workspace:
    return routing.Workspace(
        name=ids.WorkspaceId(record.name),
        key_digests=tuple(
            http.digest_key(one.encode()) for one in record.api_keys
        ),
        priority=record.priority,
        rate=record.rate_per_s,
        burst=record.burst,
    )


def _limits(record: LimitsRecord) -> routing.Limits:
    return routing.Limits(
        head_bytes=record.max_header_bytes,
        body_bytes=record.max_body_bytes,
        head_timeout=record.header_timeout_s,
        idle_timeout=record.idle_timeout_s,
    )
