"""Messages by which instances obtain slots of upstreams.

Their fields are mapped to those of ``codec/relay.capnp``.
"""

import dataclasses
from typing import Any, Final

from dragonflyshelf.core import ids
from dragonflyshelf.core.upstreams import objects
from dragonflyshelf.core.upstreams import state

Link = Any
"""Identifies the connection of an instance; the runtime uses its inbox."""

NO_UPSTREAM: Final = ids.UpstreamIncarnation("")
"""Assigned if no upstream of the data centre has a free slot."""

NO_SHARD_KEY: Final = ids.ShardKey(-1)
"""Shard key of a request for a slot of an undivided service."""

CAPABILITY_QUERY_NUMBER: Final = 0
"""Number of a request that only asks whether holders are served.

Exchanges are numbered from 1.
"""

NO_REPORT: Final = objects.LoadReport(running=0, waiting=0, slots=0)
"""Load report of an attempt that ended without one."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SlotKey:
    """Identifies a slot request, and its slot, at the broker."""

    link: Link
    number: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SlotRequest:
    """Request of an instance for a slot of a service's upstreams.

    ``number`` identifies it among the requests of that instance;
    ``objective`` and ``remaining``, the time to the request's deadline, are
    in seconds. The other fields are of a divided service, where the request
    waits for the holder of its key: it is to start within ``patience``
    seconds, and its objective ends in ``objective_left`` seconds.
    """

    number: int
    service: ids.ServiceName
    objective: float
    remaining: float
    shard_key: ids.ShardKey = NO_SHARD_KEY
    priority: int = 0
    workspace: ids.WorkspaceId = ids.WorkspaceId("")
    patience: float = 0.0
    objective_left: float = 0.0


CAPABILITY_QUERY: Final = SlotRequest(
    number=CAPABILITY_QUERY_NUMBER,
    service=ids.ServiceName(""),
    objective=0.0,
    remaining=0.0,
)
"""Request to which any broker responds that it has no slot."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SlotAssignment:
    """Response to a slot request, ``NO_UPSTREAM`` if none is free.

    A request that ``is_queued`` gets another response later. One with a
    ``retry_after`` in seconds has no place in the queue. A broker that
    ``serves_holders`` says so in each response.
    """

    number: int
    incarnation: ids.UpstreamIncarnation
    serves_holders: bool = False
    is_queued: bool = False
    retry_after: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SlotReport:
    """The attempt in an assigned slot has ended after some seconds.

    A request that still waits for a slot is withdrawn by a report, too.
    """

    number: int
    result: state.AttemptResult
    seconds: float
    report: objects.LoadReport = NO_REPORT
    is_turned_away: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SlotInUse:
    """An attempt was under way before this broker was selected.

    ``remaining`` is the time to the request's deadline in seconds.
    """

    number: int
    service: ids.ServiceName
    incarnation: ids.UpstreamIncarnation
    remaining: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SlotRequested:
    """Event: an instance has requested a slot."""

    link: Link
    request: SlotRequest


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SlotReported:
    """Event: an instance has reported the end of an attempt."""

    link: Link
    report: SlotReport


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SlotInUseReported:
    """Event: an instance has reported an attempt that is under way."""

    link: Link
    slot: SlotInUse


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LinkClosed:
    """Event: the connection of an instance is closed."""

    link: Link


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BrokerChanged:
    """Event: whether there is an instance that assigns slots to this one."""

    is_available: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AssignSlot:
    """Effect: send an assignment to the instance that requested it."""

    link: Link
    assignment: SlotAssignment
