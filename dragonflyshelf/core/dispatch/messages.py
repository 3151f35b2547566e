"""Events and effects of the decisions about requests."""

import dataclasses

from dragonflyshelf.core.dispatch import fences
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.limits import messages as limits
from dragonflyshelf.core import messages
from dragonflyshelf.core.ownership import messages as ownership
from dragonflyshelf.core.timeline import events


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestArrived:
    """Event: a caller of this instance sent a request."""

    exchange: ids.ExchangeId
    head: messages.RequestHead


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ForwardArrived:
    """Event: another instance forwarded a request it admitted."""

    exchange: ids.ExchangeId
    head: messages.RequestHead
    admitted: messages.Admitted


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptFinished:
    """Event: an attempt has ended; ``error`` is None for an answer."""

    exchange: ids.ExchangeId
    upstream: ids.UpstreamId
    error: errors.RouterError | None
    answered: bool
    status: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExchangeFinished:
    """Event: the origin is done with an exchange."""

    exchange: ids.ExchangeId
    cancelled: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseChanged:
    """Event: until when this instance may act as a leader."""

    until: ids.Instant


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TimePassed:
    """Event: the instant that ``wake_at`` named has come."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeldLeadership:
    """A leadership that this instance may use from an instant on.

    ``not_before`` lies in the future while a predecessor may still send
    to an upstream that checks no fences.
    """

    upstream: ids.UpstreamId
    term: ids.Term
    not_before: ids.Instant


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeadershipsHeld:
    """Event: all leaderships that this instance may use now."""

    held: tuple[HeldLeadership, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SealShard:
    """Event: send no more to a shard, because it is being moved."""

    key: fences.ShardKey


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UnsealShard:
    """Event: the epoch of a sealed shard is over."""

    key: fences.ShardKey


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShardQuiet:
    """Effect: nothing is under way any more on a sealed shard."""

    key: fences.ShardKey


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refuse:
    """Effect: the origin gets this error."""

    exchange: ids.ExchangeId
    error: errors.RouterError


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Forward:
    """Effect: the request goes to the instance that leads."""

    exchange: ids.ExchangeId
    instance: ids.InstanceId
    admitted: messages.Admitted


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendUpstream:
    """Effect: the request goes to an upstream, with its fence."""

    exchange: ids.ExchangeId
    admitted: messages.Admitted
    term: ids.Term
    epoch: ids.Epoch


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CancelAttempt:
    """Effect: the target of an exchange is told to stop."""

    exchange: ids.ExchangeId


Effect = (
    CancelAttempt
    | Forward
    | Refuse
    | SendUpstream
    | ShardQuiet
    | events.RecordEvent
    | limits.SendLimit
)
Event = (
    AttemptFinished
    | ExchangeFinished
    | ForwardArrived
    | LeadershipsHeld
    | LeaseChanged
    | RequestArrived
    | SealShard
    | TimePassed
    | UnsealShard
    | limits.LimitReceived
    | ownership.UpstreamStarted
)
