"""Tables of the time line."""

from collections import abc
import dataclasses

from dragonflyshelf.core import diagnostics
from dragonflyshelf.core import ids
from dragonflyshelf.core.timeline import clock
from dragonflyshelf.core.timeline import coordinator


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TimelineRow:
    """One event; ``time`` is its wall clock in seconds since 1970."""

    stamp: ids.HybridTimestamp
    time: float
    instance: ids.InstanceId
    incarnation: ids.Incarnation
    sequence: int
    kind: str
    service: ids.ServiceName
    workspace: ids.WorkspaceId
    upstream: ids.UpstreamId
    peer: ids.InstanceId
    request_id: ids.RequestId
    shard: ids.ShardId
    epoch: ids.Epoch
    term: ids.Term
    version: ids.Version
    code: str
    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TimelineCountRow:
    """How many events of a kind were recorded and are gone again."""

    kind: str
    recorded: int
    dropped: int


@diagnostics.table("timeline", diagnostics.Owner.TIMELINE)
def timeline_rows(
    sources: coordinator.TimelineCoordinator, now: ids.Instant
) -> abc.Iterator[TimelineRow]:
    """Yield the events of this instance, oldest first."""
    for entry in sources.entries:
        event = entry.event
        yield TimelineRow(
            stamp=entry.stamp,
            time=clock.seconds_of(entry.stamp),
            instance=entry.instance,
            incarnation=entry.incarnation,
            sequence=entry.sequence,
            kind=event.kind.value,
            service=event.service,
            workspace=event.workspace,
            upstream=event.upstream,
            peer=event.peer,
            request_id=event.request_id,
            shard=event.shard,
            epoch=event.epoch,
            term=event.term,
            version=event.version,
            code=event.code,
            detail=event.detail,
        )


@diagnostics.table("timeline_counts", diagnostics.Owner.TIMELINE)
def timeline_count_rows(
    sources: coordinator.TimelineCoordinator, now: ids.Instant
) -> abc.Iterator[TimelineCountRow]:
    """Yield the counts of this instance's events."""
    for kind, recorded in sources.recorded_by_kind.items():
        yield TimelineCountRow(
            kind=kind.value,
            recorded=recorded,
            dropped=sources.dropped_by_kind[kind],
        )
