"""Values of the platform objects that operators change."""

import dataclasses

from dragonflyshelf.core import ids
from dragonflyshelf.core import states


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A service and how requests to it are treated."""

    name: ids.ServiceName
    access: states.Access = states.Access.OPEN
    key_source: states.KeySource = states.KeySource.NONE
    priority: states.Priority = states.Priority.URGENT
    shards: int = 128


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Workspace:
    """A customer; rate in requests a second, burst in requests."""

    name: ids.WorkspaceId
    rate: float
    burst: float
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerKey:
    """A granted caller key, kept as a digest only."""

    key_id: ids.CallerKeyId
    digest: ids.KeyDigest
    workspace: ids.WorkspaceId
    withdrawn: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DataCentre:
    """State of a data centre."""

    name: ids.DataCentreId
    state: states.AdminState = states.AdminState.IN_SERVICE


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Instance:
    """State that operators give an instance."""

    name: ids.InstanceId
    state: states.AdminState = states.AdminState.IN_SERVICE


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Upstream:
    """A server of one service; ``fenced`` if it checks grants."""

    name: ids.UpstreamId
    service: ids.ServiceName
    host: str
    port: int
    data_centre: ids.DataCentreId
    fenced: bool = True
    slots: int = 6
    connections: int = 110
    state: states.AdminState = states.AdminState.IN_SERVICE
