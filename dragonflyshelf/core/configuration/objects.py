"""Configuration objects that operators manage."""

import dataclasses

from dragonflyshelf.core import ids
from dragonflyshelf.core import states


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """Service and the handling of its requests."""

    name: ids.ServiceName
    access: states.Access = states.Access.OPEN
    key_source: states.KeySource = states.KeySource.NONE
    priority: states.Priority = states.Priority.URGENT
    shards: int = 128


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Workspace:
    """Customer; rate in requests per second, burst in requests."""

    name: ids.WorkspaceId
    rate: float
    burst: float
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerKey:
    """Caller key of a workspace, stored as a digest only."""

    key_id: ids.CallerKeyId
    digest: ids.KeyDigest
    workspace: ids.WorkspaceId
    withdrawn: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DataCentre:
    """Administrative state of a data centre."""

    name: ids.DataCentreId
    state: states.AdminState = states.AdminState.IN_SERVICE


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Instance:
    """Administrative state of an instance."""

    name: ids.InstanceId
    state: states.AdminState = states.AdminState.IN_SERVICE


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Upstream:
    """Server of one service; ``fenced`` if it validates grants."""

    name: ids.UpstreamId
    service: ids.ServiceName
    host: str
    port: int
    data_centre: ids.DataCentreId
    fenced: bool = True
    slots: int = 6
    connections: int = 110
    state: states.AdminState = states.AdminState.IN_SERVICE
