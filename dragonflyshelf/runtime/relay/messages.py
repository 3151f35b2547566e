"""Messages between the control task and the relay tasks."""

import dataclasses

from dragonflyshelf.core import addresses
from dragonflyshelf.core.relay import messages as relay
from dragonflyshelf.runtime import inbox


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpdateRequestReceived:
    """A follower has requested updates, to be sent to ``reply_to``."""

    request: relay.UpdateRequest
    reply_to: inbox.Inbox


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TokenRequestsReceived:
    """A follower has requested tokens."""

    requests: relay.TokenRequests
    reply_to: inbox.Inbox


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FollowerDisconnected:
    """The connection of a follower is closed."""

    reply_to: inbox.Inbox


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpdateNotSent:
    """The connection of a follower took no more data than before."""

    update: relay.Update
    reply_to: inbox.Inbox


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FollowerWritable:
    """A connection that took no data takes some again."""

    reply_to: inbox.Inbox


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SetUpdateSource:
    """Request updates from this address; None to request from no instance."""

    address: addresses.Address | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpdateReceived:
    """The update source has sent an update."""

    update: relay.Update


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpdateSourceLost:
    """The connection to the update source failed or was closed."""

    address: addresses.Address
    reason: str
