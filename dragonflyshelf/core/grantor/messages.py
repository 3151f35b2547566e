"""Events and effects of the lease and of shard ranges."""

import dataclasses
import enum

from dragonflyshelf.core.grantor import objects
from dragonflyshelf.core import ids
from dragonflyshelf.core.routing import objects as routing
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.core.upstreams import messages as upstream_events
from dragonflyshelf.core.upstreams import objects as upstreams

ControlValue = objects.Lease | objects.ShardPlan


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ControlSeen:
    """Event: an object of the system's own kind, as the store has it."""

    name: ids.ObjectName
    revision: ids.Revision
    value: ControlValue


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ControlListed:
    """Event: the system's own objects have been listed."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WriteControl:
    """Effect: a conditional write of an object of the own kind.

    ``expected`` is the revision that the object must have, 0 if it must
    not exist. ``timeout`` bounds the call, in seconds.
    """

    name: ids.ObjectName
    expected: ids.Revision
    value: ControlValue
    timeout: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ControlWritten:
    """Event: what became of a write.

    ``present`` is the object as it now is, where the answer had it.
    """

    write: WriteControl
    outcome: store.WriteOutcome
    sent_at: ids.Instant
    present: ControlSeen | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServicesChanged:
    """Event: the configuration names these services."""

    services: tuple[routing.Service, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RangeLoad:
    """Requests a second for one range of a service."""

    service: ids.ServiceName
    first: ids.ShardKey
    rate: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadReported:
    """Event: what an instance was asked for, by bucket of keys."""

    instance: ids.InstanceId
    loads: tuple[RangeLoad, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InstancesCounted:
    """Event: so many instances may want the lease."""

    count: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TimePassed:
    """Event: the instant that ``wake_at`` named has come."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Resign:
    """Event: the process ends; the lease is to be given up."""


class CallOutcome(enum.Enum):
    """What became of a call to an upstream about a range.

    ``LOST`` calls may have arrived; ``UNSENT`` ones have not. ``GONE``
    means that another upstream has the address now.
    """

    DONE = "done"
    FENCED = "fenced"
    GONE = "gone"
    LOST = "lost"
    UNSENT = "unsent"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantRange:
    """Effect: grant a range to an upstream for ``hold`` seconds.

    It is not sent later than ``send_by``, as the process may have been
    paused in between.
    """

    service: ids.ServiceName
    registration: upstreams.Registration
    assignment: objects.Assignment
    hold: float
    send_by: ids.Instant
    handover: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReleaseRange:
    """Effect: take a range from an upstream, fenced by an epoch."""

    service: ids.ServiceName
    registration: upstreams.Registration
    assignment: objects.Assignment
    epoch: ids.Epoch


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RangeAnswered:
    """Event: the outcome of a grant or a release."""

    call: GrantRange | ReleaseRange
    outcome: CallOutcome
    sent_at: ids.Instant
    handover: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeadershipChanged:
    """Effect: this instance leads from now, or no longer."""

    leads: bool


Effect = GrantRange | LeadershipChanged | ReleaseRange | WriteControl
Event = (
    ControlListed
    | ControlSeen
    | ControlWritten
    | upstream_events.EvacuationsChanged
    | InstancesCounted
    | LoadReported
    | upstream_events.ServiceTimesChanged
    | RangeAnswered
    | upstream_events.RegistrationsChanged
    | Resign
    | ServicesChanged
    | TimePassed
)
