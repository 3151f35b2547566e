"""Typed objects of the operator's configuration."""

import dataclasses
import enum

from dragonflyshelf.core import ids
from dragonflyshelf.core import states


class RequestKind(enum.Enum):
    """Whether a request may be executed more than once, and its bodies.

    An ``UPLOAD`` is a non-idempotent request with a large body, and a
    ``DOWNLOAD`` an idempotent one with a large response.
    """

    DOWNLOAD = "download"
    IDEMPOTENT = "safe"
    NON_IDEMPOTENT = "unsafe"
    UPLOAD = "upload"

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may be executed more than once."""
        return self in (RequestKind.DOWNLOAD, RequestKind.IDEMPOTENT)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WeightedService:
    """One service of a route's traffic split, with its weight."""

    service: ids.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Mapping of a host and path prefix to one or more services.

    ``timeout`` and ``latency_objective`` are in seconds. Priority 0 is
    the highest. ``traffic_split`` has a single entry if the traffic is
    not split. ``max_attempts`` bounds the attempts of one request,
    without those known not to have run.
    """

    name: ids.RouteName
    host: str
    path_prefix: str
    kind: RequestKind
    timeout: float
    latency_objective: float
    priority: int
    traffic_split: tuple[WeightedService, ...]
    max_attempts: int
    is_public: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A group of upstreams that serve the same requests.

    ``max_connections`` bounds the connections to one upstream. For
    ``warmup_seconds`` after its start an upstream receives at most
    ``warmup_rate`` requests per second. With ``is_sharded`` a request is
    sent only to the upstream that holds its shard key.
    """

    name: ids.ServiceName
    health_path: str
    max_connections: int
    warmup_seconds: float
    warmup_rate: float
    is_sharded: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Workspace:
    """Workspace of a customer, with the digests of its caller keys.

    ``rate`` is in requests per second and ``burst`` in requests; a rate
    of 0 means no limit. ``priority`` overrides that of the route.
    """

    name: ids.WorkspaceId
    key_digests: tuple[ids.KeyDigest, ...]
    priority: int | None
    rate: float
    burst: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Limits for requests of callers; timeouts are in seconds."""

    head_bytes: int
    body_bytes: int
    head_timeout: float
    idle_timeout: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """One version of the operator's configuration.

    With ``PRIVATE`` access a request needs the caller key of a workspace,
    except on public routes; without any workspace nobody has one.
    """

    version: ids.ConfigurationVersion
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    workspaces: tuple[Workspace, ...]
    limits: Limits
    access: states.Access = states.Access.PRIVATE
