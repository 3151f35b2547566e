"""Typed objects of the operator's configuration."""

import dataclasses
import enum

from dragonflyshelf.core import ids


class RequestKind(enum.Enum):
    """Whether a request may be executed more than once."""

    SAFE = "safe"
    UNSAFE = "unsafe"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WeightedService:
    """One service of a route's traffic split, with its weight."""

    service: ids.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Mapping of a host and path prefix to one or more services.

    ``timeout`` and ``objective`` are in seconds. Priority 0 is the
    highest. ``split`` has a single entry if the traffic is not split.
    ``attempts`` bounds the attempts of one request, without those known
    not to have run.
    """

    name: ids.RouteName
    host: str
    prefix: str
    kind: RequestKind
    timeout: float
    objective: float
    priority: int
    split: tuple[WeightedService, ...]
    attempts: int
    is_public: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A group of upstreams that serve the same requests.

    ``connections`` is the maximum number of connections to one upstream.
    For ``warmup`` seconds after its start an upstream receives at most
    ``warmup_rate`` requests per second. With ``sharded`` a request is
    sent only to the upstream that holds its shard key.
    """

    name: ids.ServiceName
    health_path: str
    connections: int
    warmup: float
    warmup_rate: float
    sharded: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Workspace:
    """A workspace with the digests of its caller keys.

    ``rate`` is in requests per second and ``burst`` in requests; a rate
    of 0 means no limit. ``priority`` overrides that of the route.
    """

    name: ids.WorkspaceId
    keys: tuple[ids.KeyDigest, ...]
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
    """One version of the operator's configuration."""

    version: ids.ConfigurationVersion
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    workspaces: tuple[Workspace, ...]
    limits: Limits
