"""Events and effects of the decisions about requests."""

import dataclasses

from dragonflyshelf.core import errors
from dragonflyshelf.core.grantor import objects as grantor
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core.quota import messages as quota
from dragonflyshelf.core.routing import objects as routing
from dragonflyshelf.core import settings
from dragonflyshelf.core.upstreams import messages as upstream_events
from dragonflyshelf.core.upstreams import objects as upstreams
from dragonflyshelf.core.upstreams import state


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestArrived:
    """A caller has sent the head of a request."""

    exchange: ids.ExchangeId
    head: messages.RequestHead


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptFinished:
    """An attempt at an upstream has ended.

    ``error`` is None after a whole answer. ``answered`` tells whether
    part of an answer has gone to the caller.
    """

    exchange: ids.ExchangeId
    upstream: ids.UpstreamId
    result: state.AttemptResult
    error: errors.RouterError | None
    answered: bool
    report: upstreams.LoadReport | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExchangeFinished:
    """The caller's side has ended."""

    exchange: ids.ExchangeId
    cancelled: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationChanged:
    """A newer configuration is known."""

    configuration: routing.Configuration


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AssignmentsChanged:
    """A sharded service's ranges are held as given here."""

    plan: grantor.ShardPlan


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationConfirmed:
    """The configuration was surely the newest at an instant."""

    at: ids.Instant


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InstancesChanged:
    """The leading instance reckons with these instances."""

    instances: tuple[ids.InstanceId, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TimePassed:
    """The instant that ``wake_at`` named has come."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refuse:
    """Effect: the request ends here with an error."""

    exchange: ids.ExchangeId
    error: errors.RouterError


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendUpstream:
    """Effect: the request goes to an upstream.

    ``hold_failures`` asks for a server error of the upstream to be
    reported rather than passed on, as the request will be repeated.
    """

    exchange: ids.ExchangeId
    registration: upstreams.Registration
    workspace: ids.WorkspaceId | None
    deadline: ids.Instant
    hold_failures: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CancelAttempt:
    """Effect: the attempt under way is no longer wanted."""

    exchange: ids.ExchangeId


Effect = CancelAttempt | Refuse | SendUpstream | quota.TokenRequest
Event = (
    AssignmentsChanged
    | AttemptFinished
    | ConfigurationChanged
    | ConfigurationConfirmed
    | upstream_events.EvacuationsChanged
    | ExchangeFinished
    | InstancesChanged
    | upstream_events.RegistrationsChanged
    | RequestArrived
    | settings.SettingsChanged
    | TimePassed
    | quota.TokenAllocation
)
