"""Messages between tasks that carry inboxes of this process."""

import dataclasses

from dragonflyshelf.core import diagnostics
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core import states
from dragonflyshelf.runtime import inbox


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Fence:
    """What a fenced upstream checks before it runs a request."""

    instance: ids.InstanceId
    term: ids.Term
    shard: ids.ShardId
    epoch: ids.Epoch


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ArriveExchange:
    """A caller's request asks the router for a decision."""

    exchange: ids.ExchangeId
    head: messages.RequestHead
    origin: inbox.Inbox


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ForwardedExchange:
    """A request that another instance admitted and forwarded."""

    exchange: ids.ExchangeId
    head: messages.RequestHead
    admitted: messages.Admitted
    origin: inbox.Inbox


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StartExchange:
    """The router gives an attempt to a target."""

    exchange: ids.ExchangeId
    head: messages.RequestHead
    admitted: messages.Admitted
    origin: inbox.Inbox
    fence: Fence | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Attached:
    """The target tells the origin where to send the body and credit."""

    exchange: ids.ExchangeId
    target: inbox.Inbox
    priority: states.Priority | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptEnded:
    """A target reports the end of an attempt to the router.

    ``error`` is None after a whole answer. ``answered`` tells whether
    the head of an answer has gone to the origin.
    """

    exchange: ids.ExchangeId
    upstream: ids.UpstreamId
    error: errors.RouterError | None
    answered: bool
    status: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExchangeEnded:
    """The origin has finished with the exchange."""

    exchange: ids.ExchangeId
    cancelled: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TableWanted:
    """Ask the task that owns a table for its rows."""

    table: str
    reply_to: inbox.Inbox


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TableAnswer:
    """The rows of a table as of now, typed."""

    table: str
    rows: diagnostics.Rows
