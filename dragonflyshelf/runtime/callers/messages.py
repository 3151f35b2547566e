"""Messages to and from the caller listener and its connections."""

import dataclasses

from dragonflyshelf.core import errors
from dragonflyshelf.core import settings
from dragonflyshelf.runtime import inbox


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestLimitsChanged:
    """The limits on caller requests have changed."""

    requests: settings.RequestSettings


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallersDrained:
    """The listener is closed and its last connection has ended."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DrainCallers:
    """Stop accepting and close each connection after its exchanges."""

    reply_to: inbox.Inbox


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DisableKeepAlive:
    """Close each connection after its next exchange.

    Callers then send further requests to other instances.
    """


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionEnded:
    """A connection task has ended."""

    inbox: inbox.Inbox


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DrainConnection:
    """Close the connection after the requests that it has begun to read."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DisableConnectionKeepAlive:
    """Close the connection after its next exchange."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RefuseConnection:
    """Send an error on the connection as soon as it is open."""

    error: errors.RouterError


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CloseIfIdle:
    """Close the connection unless it has read the head of a request."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ContinueParsing:
    """Parse more of the bytes that have been received."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TimerFired:
    """The timer of the connection has fired."""
