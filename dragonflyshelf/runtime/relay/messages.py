"""Messages between the control task and the tasks of the relay."""

import dataclasses

from dragonflyshelf.core import addresses
from dragonflyshelf.core.relay import messages as relay
from dragonflyshelf.runtime import inbox


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AskReceived:
    """Another instance asks; updates go to ``reply_to``."""

    ask: relay.UpdateRequest
    reply_to: inbox.Inbox


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BorrowReceived:
    """Another instance asks for tokens."""

    borrow: relay.TokenRequests
    reply_to: inbox.Inbox


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FollowerGone:
    """The connection of a follower has ended."""

    reply_to: inbox.Inbox


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Follow:
    """Ask the instance at this address from now on, None for nobody."""

    address: addresses.Address | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpdateReceived:
    """The instance that is followed has answered or told news."""

    update: relay.Update


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LinkLost:
    """The connection to the followed instance has ended or never opened."""

    address: addresses.Address
    reason: str
