"""Events and effects of leader election and shard ranges."""

import dataclasses
import enum

from dragonflyshelf.core.grantor import objects
from dragonflyshelf.core import ids
from dragonflyshelf.core.rollouts import objects as rollouts
from dragonflyshelf.core.routing import objects as routing
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.core.upstreams import messages as upstream_events
from dragonflyshelf.core.upstreams import objects as upstreams

ControlValue = objects.Lease | objects.ShardPlan | rollouts.RolloutPlan


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ControlObserved:
    """Event: a control object as read from the store."""

    name: ids.ObjectName
    revision: ids.Revision
    value: ControlValue


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ControlListed:
    """Event: all control objects have been listed."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WriteControl:
    """Effect: write a control object conditionally.

    ``expected_revision`` is the revision that the object must have, 0 if
    it must not exist. ``timeout`` limits the call, in seconds.
    """

    name: ids.ObjectName
    expected_revision: ids.Revision
    value: ControlValue
    timeout: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ControlWriteCompleted:
    """Event: a write has ended.

    ``current`` is the object after the write, if the response had it.
    """

    write: WriteControl
    outcome: store.WriteOutcome
    sent_at: ids.Instant
    current: ControlObserved | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServicesChanged:
    """Event: the services in the configuration have changed."""

    services: tuple[routing.Service, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RangeLoad:
    """Load of a bucket of a service's keys, in requests per second.

    ``first`` is the bucket's first key, or ``TOTAL_LOAD_KEY`` for the load
    of the whole service.
    """

    service: ids.ServiceName
    first: ids.ShardKey
    rate: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadReported:
    """Event: an instance has reported its load by bucket of keys."""

    instance: ids.InstanceId
    loads: tuple[RangeLoad, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InstanceCountChanged:
    """Event: the number of instances that compete for the lease."""

    count: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TimePassed:
    """Event: the instant returned by ``wake_at`` has been reached."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Resign:
    """Event: the process is stopping and has to release the lease."""


class CallOutcome(enum.Enum):
    """Outcome of a call to an upstream about a range.

    A ``LOST`` call may have arrived, an ``UNSENT`` one has not. ``GONE``
    means that the address now belongs to another upstream.
    """

    DONE = "done"
    FENCED = "fenced"
    GONE = "gone"
    LOST = "lost"
    UNSENT = "unsent"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantRange:
    """Effect: grant a range to an upstream for ``hold`` seconds.

    The call must not be sent after ``send_deadline``: the process may have
    been suspended since the grant was decided.
    """

    service: ids.ServiceName
    registration: upstreams.Registration
    assignment: objects.Assignment
    hold: float
    send_deadline: ids.Instant
    handover: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReleaseRange:
    """Effect: release a range from an upstream and fence older epochs."""

    service: ids.ServiceName
    registration: upstreams.Registration
    assignment: objects.Assignment
    epoch: ids.Epoch


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RangeCallCompleted:
    """Event: a grant or release call has ended."""

    call: GrantRange | ReleaseRange
    outcome: CallOutcome
    sent_at: ids.Instant
    handover: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeadershipChanged:
    """Effect: this instance has become the leader or is no longer it."""

    is_leading: bool


Effect = GrantRange | LeadershipChanged | ReleaseRange | WriteControl
Event = (
    ControlListed
    | ControlObserved
    | ControlWriteCompleted
    | upstream_events.EvacuationsChanged
    | InstanceCountChanged
    | LoadReported
    | upstream_events.ServiceTimesChanged
    | RangeCallCompleted
    | upstream_events.RegistrationsChanged
    | Resign
    | ServicesChanged
    | TimePassed
)
