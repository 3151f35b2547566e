"""Messages about exchanges between the tasks of a process."""

import dataclasses

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core.upstreams import objects as upstreams
from dragonflyshelf.core.upstreams import state
from dragonflyshelf.runtime import inbox

ResponsePart = (
    messages.ResponseHead | messages.ResponseChunk | messages.ResponseEnd
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestReceived:
    """Sent by the origin to the router: a request head was received."""

    exchange: ids.ExchangeId
    head: messages.RequestHead
    origin: inbox.Inbox


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StartAttempt:
    """Sent by the router to a target: send the request to its upstream.

    The upstream stops processing at ``deadline``. If
    ``withhold_server_errors`` is set, a server error is reported to the
    router and not forwarded to the origin. Unless ``is_idempotent`` is set,
    so is a refusal that does not say that the request was not executed.
    """

    exchange: ids.ExchangeId
    head: messages.RequestHead
    origin: inbox.Inbox
    registration: upstreams.Registration
    workspace: ids.WorkspaceId | None
    deadline: ids.Instant
    withhold_server_errors: bool = False
    is_idempotent: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetAttached:
    """Sent by the target to the origin, which then sends body and credit."""

    exchange: ids.ExchangeId
    target: inbox.Inbox


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptEnded:
    """Sent by a target to the router: an attempt has ended.

    ``error`` is None if a complete response was sent to the origin.
    ``response_started`` is true once the head of a response has been sent
    to the origin. ``withheld_response`` is the complete server error that
    the origin has not got, in the parts in which it would.
    ``is_turned_away`` is set if the connection was reset without any byte of
    a response.
    """

    exchange: ids.ExchangeId
    upstream: ids.UpstreamId
    result: state.AttemptResult
    error: errors.RouterError | None
    response_started: bool
    status: int = 0
    report: upstreams.LoadReport | None = None
    withheld_response: tuple[ResponsePart, ...] = ()
    is_turned_away: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExchangeEnded:
    """Sent by the origin to the router: the exchange has ended."""

    exchange: ids.ExchangeId
    cancelled: bool
