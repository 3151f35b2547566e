"""Messages between tasks that carry inboxes of this process."""

import dataclasses

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core.upstreams import objects as upstreams
from dragonflyshelf.core.upstreams import state
from dragonflyshelf.runtime import inbox


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ArriveExchange:
    """A caller's request asks the router for a decision."""

    exchange: ids.ExchangeId
    head: messages.RequestHead
    origin: inbox.Inbox


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StartExchange:
    """The router gives an attempt to an upstream.

    The upstream stops work at ``deadline``. With ``withhold_server_errors`` a
    server error is reported to the router and not passed on.
    """

    exchange: ids.ExchangeId
    head: messages.RequestHead
    origin: inbox.Inbox
    registration: upstreams.Registration
    workspace: ids.WorkspaceId | None
    deadline: ids.Instant
    withhold_server_errors: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Attached:
    """The target tells the origin where to send the body and credit."""

    exchange: ids.ExchangeId
    target: inbox.Inbox


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptEnded:
    """A target reports the end of an attempt to the router.

    ``error`` is None after a whole answer. ``response_started`` tells whether
    the head of an answer has gone to the origin.
    """

    exchange: ids.ExchangeId
    upstream: ids.UpstreamId
    result: state.AttemptResult
    error: errors.RouterError | None
    response_started: bool
    status: int = 0
    report: upstreams.LoadReport | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExchangeEnded:
    """The origin has finished with the exchange."""

    exchange: ids.ExchangeId
    cancelled: bool
