"""Messages between instances, and within one, about relayed objects."""

import dataclasses

from dragonflyshelf.core import addresses
from dragonflyshelf.core.grantor import messages as grantor
from dragonflyshelf.core import ids
from dragonflyshelf.core.quota import messages as quota
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.core.upstreams import service_times


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KnownRevision:
    """Up to which revision a follower knows a kind."""

    kind: store.ObjectKind
    revision: ids.Revision


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ask:
    """A follower asks for what is new, and reports its load.

    ``number`` grows with each ask of one connection. ``address`` is
    where others may ask the follower in turn. ``members`` are the
    instances that asked it of late; ``loads`` and ``paces``, what was
    measured since the last report, have theirs too.
    """

    instance: ids.InstanceId
    data_centre: ids.DataCentreId
    address: addresses.Address
    number: int
    known: tuple[KnownRevision, ...]
    loads: tuple[grantor.RangeLoad, ...]
    members: tuple[ids.InstanceId, ...] = ()
    paces: service_times.ServiceTimeSums = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RelayedChange:
    """A changed or removed object; ``spec`` is its encoded value."""

    name: ids.ObjectName
    revision: ids.Revision
    removed: bool
    spec: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RelayedKind:
    """What is new of one kind.

    ``age`` is how many seconds before the arrival of the ask the copy
    was confirmed; it is negative when it was confirmed later. With
    ``whole`` the changes are all objects that there are.
    """

    kind: store.ObjectKind
    revision: ids.Revision
    age: float
    whole: bool
    changes: tuple[RelayedChange, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Update:
    """The answer to an ask, or news since then.

    ``instances`` are those that the leading instance reckons with. They
    are left out when they are those of the update before. ``relay`` is
    whom to ask from now on, ``NOWHERE`` for the sender itself.
    """

    number: int
    kinds: tuple[RelayedKind, ...]
    instances: tuple[ids.InstanceId, ...]
    relay: addresses.Address = addresses.NOWHERE


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Borrow:
    """A follower asks for tokens of workspaces."""

    borrowings: tuple[quota.TokenRequest, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Lend:
    """The answer to ``Borrow``."""

    lendings: tuple[quota.TokenAllocation, ...]
