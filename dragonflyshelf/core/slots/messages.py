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

NO_REPORT: Final = objects.LoadReport(running=0, waiting=0, slots=0)
"""Load report of an attempt that ended without one."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SlotRequest:
    """Request of an instance for a slot of a service's upstreams.

    ``number`` identifies it among the requests of that instance;
    ``objective`` and ``remaining``, the time to the request's deadline, are
    in seconds.
    """

    number: int
    service: ids.ServiceName
    objective: float
    remaining: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SlotAssignment:
    """Response to a slot request, ``NO_UPSTREAM`` if none is free."""

    number: int
    incarnation: ids.UpstreamIncarnation


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SlotReport:
    """The attempt in an assigned slot has ended after some seconds."""

    number: int
    result: state.AttemptResult
    seconds: float
    report: objects.LoadReport = NO_REPORT


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
class BrokerChanged:
    """Event: whether there is an instance that assigns slots to this one."""

    is_available: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AssignSlot:
    """Effect: send an assignment to the instance that requested it."""

    link: Link
    assignment: SlotAssignment
