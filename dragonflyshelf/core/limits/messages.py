"""Events, effects and peer messages of the rate limits.

Tokens are whole numbers once they have left their home. ``Borrow``,
``Lend``, ``GiveBack``, ``ClaimHomes`` and ``HomesClaimed`` travel
between instances and may be lost, late or repeated.
"""

import dataclasses

from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AskToken:
    """Event: an exchange needs one token of its workspace."""

    exchange: ids.ExchangeId
    workspace: objects.Workspace


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReturnToken:
    """Event: an exchange that had a token provably did not run."""

    exchange: ids.ExchangeId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ForgetToken:
    """Event: an exchange is over; its token is spent or not wanted."""

    exchange: ids.ExchangeId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LimitsChanged:
    """Event: the instances and workspaces that there are now.

    The own instance is among them only from the view on that has its
    present incarnation, so that a claim asks all who may be a home.
    """

    instances: tuple[ids.InstanceId, ...]
    version: ids.Version
    workspaces: tuple[objects.Workspace, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseMoved:
    """Event: until when this instance may spend and lend tokens.

    An instant that is past tells that the instance was removed from the
    roster. A lease that lapsed and was renewed without that changes
    nothing, for no other instance could claim in between.
    """

    until: ids.Instant


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TimePassed:
    """Event: the instant that ``wake_at`` named has come."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BatchLeft:
    """How many tokens of a batch are not spent."""

    batch: int
    left: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Borrow:
    """A holder asks the home of a workspace for tokens.

    ``needed`` tokens are for requests that wait, ``standing`` ones for
    requests that are expected. ``closed`` batches will not be spent
    from again; what is left of them goes back. ``claim`` is that of
    the home which lent them, 0 if none has.
    """

    workspace: ids.WorkspaceId
    ask: int
    needed: int
    standing: int
    claim: ids.ClaimId
    closed: tuple[BatchLeft, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Lend:
    """A home answers ``Borrow``; ``wait`` in seconds if it lent too few."""

    workspace: ids.WorkspaceId
    ask: int
    batch: int
    tokens: int
    wait: float
    claim: ids.ClaimId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GiveBack:
    """A holder closes batches and gives back what is left of them."""

    workspace: ids.WorkspaceId
    claim: ids.ClaimId
    closed: tuple[BatchLeft, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimHomes:
    """An instance asks to be the home of workspaces.

    ``version`` is that of the view by which it asks. Only instances
    whose view is at least as new answer, so that each later claim of
    theirs asks this instance, or follows its removal.
    """

    claim: ids.ClaimId
    version: ids.Version
    workspaces: tuple[ids.WorkspaceId, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeldTokens:
    """Tokens that an instance may still spend of earlier homes."""

    workspace: ids.WorkspaceId
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HomesClaimed:
    """An instance accepts a claim and takes no other home's tokens."""

    claim: ids.ClaimId
    held: tuple[HeldTokens, ...]


PeerMessage = Borrow | ClaimHomes | GiveBack | HomesClaimed | Lend


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LimitReceived:
    """Event: a message came from another instance."""

    sender: ids.InstanceId
    message: PeerMessage


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendLimit:
    """Effect: a message goes to another instance and may be lost."""

    instance: ids.InstanceId
    message: PeerMessage


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TokenGranted:
    """Effect: the exchange has its token."""

    exchange: ids.ExchangeId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TokenRefused:
    """Effect: the exchange gets no token.

    ``wait`` is the time in seconds after which tokens may be there, 0
    if the home of the workspace has not answered.
    """

    exchange: ids.ExchangeId
    wait: float


Event = (
    AskToken
    | ForgetToken
    | LeaseMoved
    | LimitReceived
    | LimitsChanged
    | ReturnToken
    | TimePassed
)
Effect = SendLimit | TokenGranted | TokenRefused
