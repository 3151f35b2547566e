"""Events and effects of roll-outs at the leader."""

import dataclasses

from dragonflyshelf.core import errors
from dragonflyshelf.core.grantor import messages as grantor
from dragonflyshelf.core import ids
from dragonflyshelf.core.rollouts import objects
from dragonflyshelf.core.rollouts import outcomes
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.core.upstreams import messages as upstream_events


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OrdersChanged:
    """Event: all orders, as read from the store."""

    orders: tuple[objects.RolloutOrder, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutcomesReported:
    """Event: an instance has reported outcomes of attempts."""

    sums: outcomes.OutcomeSums


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TimePassed:
    """Event: a tick, with the Unix time in seconds.

    ``orders_confirmed_at`` is up to when the orders are known.
    """

    unix_time: float
    orders_confirmed_at: ids.Instant


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WriteStatus:
    """Effect: write the status of an order under its revision."""

    name: ids.ObjectName
    expected_revision: ids.Revision
    status: objects.RolloutStatus
    timeout: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StatusWriteCompleted:
    """Event: the write of a status has ended."""

    write: WriteStatus
    outcome: store.WriteOutcome


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StepChanged:
    """Effect: report a new step, with the figures that led to it."""

    plan: objects.RolloutPlan
    figures: str
    allowance: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RefuseOrder:
    """Effect: report that an order can't be carried out."""

    order: objects.RolloutOrder
    error: errors.RouterError


Effect = grantor.WriteControl | RefuseOrder | StepChanged | WriteStatus
Event = (
    grantor.ControlObserved
    | grantor.ControlWriteCompleted
    | grantor.LeadershipChanged
    | grantor.ServicesChanged
    | OrdersChanged
    | OutcomesReported
    | StatusWriteCompleted
    | TimePassed
    | upstream_events.EvacuationsChanged
    | upstream_events.RegistrationsChanged
)
