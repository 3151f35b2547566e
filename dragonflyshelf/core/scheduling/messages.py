"""Events and effects of request scheduling."""

import dataclasses

from dragonflyshelf.core import errors
from dragonflyshelf.core.grantor import objects as grantor
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core.quota import messages as quota
from dragonflyshelf.core.rollouts import objects as rollouts
from dragonflyshelf.core.routing import objects as routing
from dragonflyshelf.core import settings
from dragonflyshelf.core.slots import messages as slots
from dragonflyshelf.core.upstreams import messages as upstream_events
from dragonflyshelf.core.upstreams import objects as upstreams
from dragonflyshelf.core.upstreams import state


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestArrived:
    """The head of a request has been received from a caller."""

    exchange: ids.ExchangeId
    head: messages.RequestHead


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptFinished:
    """An attempt at an upstream has ended.

    ``error`` is None after a complete response. ``response_started`` is
    true once any part of the response has been sent to the caller.
    ``is_turned_away`` is set if the connection was reset without any byte of
    a response, as upstreams do that are full; the request may have run.
    """

    exchange: ids.ExchangeId
    upstream: ids.UpstreamId
    result: state.AttemptResult
    error: errors.RouterError | None
    response_started: bool
    report: upstreams.LoadReport | None = None
    is_turned_away: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExchangeFinished:
    """The exchange with the caller has ended."""

    exchange: ids.ExchangeId
    cancelled: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationChanged:
    """A configuration has been received."""

    configuration: routing.Configuration


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AssignmentsChanged:
    """The shard plan of a service has changed."""

    plan: grantor.ShardPlan


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RolloutPlanChanged:
    """The roll-out plan of a service has changed."""

    plan: rollouts.RolloutPlan


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlansConfirmed:
    """The plans were confirmed to be current at an instant."""

    confirmed_at: ids.Instant


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationConfirmed:
    """The configuration was confirmed to be current at an instant."""

    confirmed_at: ids.Instant


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InstancesChanged:
    """The leader has announced the set of active instances."""

    instances: tuple[ids.InstanceId, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TimePassed:
    """The instant returned by ``wake_at`` has been reached."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refuse:
    """Effect: refuse the request with an error."""

    exchange: ids.ExchangeId
    error: errors.RouterError


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendUpstream:
    """Effect: send the request to an upstream.

    With ``withhold_server_errors`` a server error of the upstream is
    reported to the scheduler and not forwarded to the caller, because
    the request would be retried. Unless ``is_idempotent`` is set, a refusal
    of the upstream is forwarded only if it says that the request was not
    executed.
    """

    exchange: ids.ExchangeId
    registration: upstreams.Registration
    workspace: ids.WorkspaceId | None
    deadline: ids.Instant
    withhold_server_errors: bool
    is_idempotent: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CancelAttempt:
    """Effect: cancel the attempt in progress."""

    exchange: ids.ExchangeId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReturnUnsent:
    """Effect: return what has not been sent to an upstream yet."""

    incarnation: ids.UpstreamIncarnation


Effect = (
    slots.AssignSlot
    | CancelAttempt
    | Refuse
    | ReturnUnsent
    | SendUpstream
    | slots.SlotInUse
    | slots.SlotReport
    | slots.SlotRequest
    | quota.TokenRequest
)
Event = (
    AssignmentsChanged
    | AttemptFinished
    | ConfigurationChanged
    | ConfigurationConfirmed
    | upstream_events.EvacuationsChanged
    | slots.BrokerChanged
    | ExchangeFinished
    | InstancesChanged
    | slots.LinkClosed
    | PlansConfirmed
    | upstream_events.RegistrationsChanged
    | RequestArrived
    | RolloutPlanChanged
    | settings.SettingsChanged
    | slots.SlotAssignment
    | slots.SlotInUseReported
    | slots.SlotReported
    | slots.SlotRequested
    | TimePassed
    | quota.TokenAllocation
    | upstream_events.UpstreamNotice
)
