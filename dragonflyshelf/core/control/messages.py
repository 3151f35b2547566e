"""Events and effects of the control core."""

import dataclasses
from typing import Any

from dragonflyshelf.core import ids
from dragonflyshelf.core.membership import objects


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tick:
    """Event: time to look at what is due."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerMessage:
    """Event: a control message came from another instance."""

    sender: ids.InstanceId
    message: Any


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DrainWanted:
    """Event: hand over what is led and leave the roster."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DrainEnded:
    """Effect: nothing is led any more and the roster is left."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ViewChanged:
    """Effect: objects other than renewals of leases have changed."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MembersChanged:
    """Effect: the rosters have these members now."""

    members: tuple[objects.Member, ...]
