"""Diagnostic tables of the timeline."""

from collections import abc
import dataclasses

from dragonflyshelf.core import diagnostics
from dragonflyshelf.core import ids
from dragonflyshelf.core.timeline import clock
from dragonflyshelf.core.timeline import coordinator


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TimelineRow:
    """An event; ``time`` is the wall-clock time in Unix seconds."""

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
    """Number of events of a kind that were recorded and dropped."""

    kind: str
    recorded: int
    dropped: int


@diagnostics.table("timeline", diagnostics.Owner.TIMELINE)
def timeline_rows(
    sources: coordinator.TimelineCoordinator, now: ids.Instant
) -> abc.Iterator[TimelineRow]:
    """Yield the retained events of this instance, oldest first."""
    for entry in sources.entries:
        event = entry.event
        yield TimelineRow(
            stamp=entry.stamp,
            time=clock.wall_clock_seconds(entry.stamp),
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
    """Yield the event counts of this instance."""
    for kind, recorded in sources.recorded_by_kind.items():
        yield TimelineCountRow(
            kind=kind.value,
            recorded=recorded,
            dropped=sources.dropped_by_kind[kind],
        )
