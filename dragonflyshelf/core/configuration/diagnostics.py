"""Tables of what the platform's objects hold, as this instance knows it."""

from collections import abc
import dataclasses
from typing import Any

from dragonflyshelf.core import diagnostics
from dragonflyshelf.core import ids
from dragonflyshelf.core import states


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceRow:
    """A service with the version of its object."""

    name: ids.ServiceName
    access: str
    key_source: str
    priority: str
    shards: int
    upstreams: int
    version: ids.Version


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkspaceRow:
    """A workspace with the version of its object."""

    name: ids.WorkspaceId
    rate: float
    burst: float
    weight: float
    version: ids.Version


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerKeyRow:
    """A caller key by its id; neither key nor digest is shown."""

    name: ids.CallerKeyId
    workspace: ids.WorkspaceId
    withdrawn: bool
    version: ids.Version


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StateRow:
    """State that operators gave a data centre or an instance."""

    name: str
    state: str
    version: ids.Version


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamRow:
    """An upstream with the version of its object."""

    name: ids.UpstreamId
    service: ids.ServiceName
    host: str
    port: int
    data_centre: ids.DataCentreId
    fenced: bool
    slots: int
    connections: int
    state: str
    version: ids.Version


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberRow:
    """An instance in a roster."""

    instance: ids.InstanceId
    data_centre: ids.DataCentreId
    incarnation: ids.Incarnation
    host: str
    operator_port: int
    renewal: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaderRow:
    """The instance that leads an upstream."""

    upstream: ids.UpstreamId
    service: ids.ServiceName
    instance: ids.InstanceId
    term: ids.Term


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShardRow:
    """Owner and fencing token of a shard."""

    service: ids.ServiceName
    shard: ids.ShardId
    upstream: ids.UpstreamId
    epoch: ids.Epoch
    state: str
    next_upstream: ids.UpstreamId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExchangeRow:
    """Number of requests that this instance has not finished."""

    exchanges: int


def _rows_of(
    sources: diagnostics.ControlSources,
    kind: states.ObjectKind,
    row_type: Any,
) -> abc.Iterator[Any]:
    """Yield rows whose fields the objects have under the same names."""
    fields = [one.name for one in dataclasses.fields(row_type)]
    for value in sources.view.values(kind):
        name = getattr(value, "name", None) or value.key_id
        found: dict[str, Any] = {}
        for field in fields:
            item = getattr(value, field, None)
            found[field] = getattr(item, "value", item)
        found["name"] = name
        found["version"] = sources.view.version_of(kind, name)
        yield row_type(**found)


@diagnostics.table("services", diagnostics.Owner.CONTROL)
def service_rows(
    sources: diagnostics.ControlSources, now: ids.Instant
) -> abc.Iterator[ServiceRow]:
    """Yield the services."""
    upstreams = sources.view.values(states.ObjectKind.UPSTREAM)
    kind = states.ObjectKind.SERVICE
    for row in _rows_of(sources, kind, ServiceRow):
        count = sum(1 for one in upstreams if one.service == row.name)
        yield dataclasses.replace(row, upstreams=count)


@diagnostics.table("workspaces", diagnostics.Owner.CONTROL)
def workspace_rows(
    sources: diagnostics.ControlSources, now: ids.Instant
) -> abc.Iterator[WorkspaceRow]:
    """Yield the workspaces."""
    yield from _rows_of(sources, states.ObjectKind.WORKSPACE, WorkspaceRow)


@diagnostics.table("caller_keys", diagnostics.Owner.CONTROL)
def caller_key_rows(
    sources: diagnostics.ControlSources, now: ids.Instant
) -> abc.Iterator[CallerKeyRow]:
    """Yield the caller keys."""
    yield from _rows_of(sources, states.ObjectKind.CALLER_KEY, CallerKeyRow)


@diagnostics.table("data_centres", diagnostics.Owner.CONTROL)
def data_centre_rows(
    sources: diagnostics.ControlSources, now: ids.Instant
) -> abc.Iterator[StateRow]:
    """Yield the data centres that have an object."""
    yield from _rows_of(sources, states.ObjectKind.DATA_CENTRE, StateRow)


@diagnostics.table("instances", diagnostics.Owner.CONTROL)
def instance_rows(
    sources: diagnostics.ControlSources, now: ids.Instant
) -> abc.Iterator[StateRow]:
    """Yield the instances that have an object."""
    yield from _rows_of(sources, states.ObjectKind.INSTANCE, StateRow)


@diagnostics.table("upstreams", diagnostics.Owner.CONTROL)
def upstream_rows(
    sources: diagnostics.ControlSources, now: ids.Instant
) -> abc.Iterator[UpstreamRow]:
    """Yield the upstreams."""
    yield from _rows_of(sources, states.ObjectKind.UPSTREAM, UpstreamRow)


@diagnostics.table("members", diagnostics.Owner.CONTROL)
def member_rows(
    sources: diagnostics.ControlSources, now: ids.Instant
) -> abc.Iterator[MemberRow]:
    """Yield the instances of all rosters."""
    for roster in sources.view.values(states.ObjectKind.ROSTER):
        for one in roster.members:
            yield MemberRow(
                instance=one.instance,
                data_centre=roster.data_centre,
                incarnation=one.incarnation,
                host=one.host,
                operator_port=one.operator_port,
                renewal=one.renewal,
            )


@diagnostics.table("leaders", diagnostics.Owner.CONTROL)
def leader_rows(
    sources: diagnostics.ControlSources, now: ids.Instant
) -> abc.Iterator[LeaderRow]:
    """Yield the leader of each upstream."""
    for segment in sources.view.values(states.ObjectKind.SEGMENT):
        for one in segment.leaders:
            yield LeaderRow(
                upstream=one.upstream,
                service=segment.service,
                instance=one.instance,
                term=one.term,
            )


@diagnostics.table("shards", diagnostics.Owner.CONTROL)
def shard_rows(
    sources: diagnostics.ControlSources, now: ids.Instant
) -> abc.Iterator[ShardRow]:
    """Yield the owner of each shard."""
    for segment in sources.view.values(states.ObjectKind.SEGMENT):
        for one in segment.assignments:
            yield ShardRow(
                service=segment.service,
                shard=one.shard,
                upstream=one.upstream,
                epoch=one.epoch,
                state=one.state.value,
                next_upstream=one.next_upstream,
            )


@diagnostics.table("exchanges", diagnostics.Owner.ROUTER)
def exchange_rows(
    sources: diagnostics.RouterSources, now: ids.Instant
) -> abc.Iterator[ExchangeRow]:
    """Yield the number of unfinished requests of this instance."""
    yield ExchangeRow(exchanges=sources.exchanges)
