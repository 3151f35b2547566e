"""Messages between instances about replicated objects and tokens.

Field names are mapped to those of ``codec/relay.capnp``.
"""

import dataclasses
from typing import Final

from dragonflyshelf.core import addresses
from dragonflyshelf.core.grantor import messages as grantor
from dragonflyshelf.core import ids
from dragonflyshelf.core.quota import messages as quota
from dragonflyshelf.core.rollouts import outcomes as rollout_outcomes
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.core.upstreams import service_times

UNKNOWN_AGE: Final = float("inf")
"""Age of an update from an instance that doesn't state it."""

NOT_COUNTED: Final = -1
"""Number of received updates from an instance that doesn't count them."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KnownRevision:
    """Revision of a kind that a follower already has."""

    kind: store.ObjectKind
    revision: ids.Revision


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpdateRequest:
    """Request of a follower for updates, with a report of its load.

    ``number`` increases with each request of an instance. ``address`` is
    where the follower serves others as a relay, and ``members`` are the
    instances that currently follow it. ``loads`` and ``paces``, measured
    since the last report, include those of the members. ``received_count``
    is the number of updates received on the connection of the request. An
    instance of an older build does not set it, ``accepts_compressed`` or
    ``accepts_deltas``. ``is_small`` is set if it should not be a relay, and
    ``news`` has the lease if the follower knows a newer one than the
    recipient has shown. ``outcomes`` are those of attempts for services
    that are rolled out, since the last request.
    """

    instance: ids.InstanceId
    data_centre: ids.DataCentreId
    address: addresses.Address
    number: int
    known: tuple[KnownRevision, ...]
    loads: tuple[grantor.RangeLoad, ...]
    members: tuple[ids.InstanceId, ...] = ()
    paces: service_times.ServiceTimeSums = ()
    accepts_compressed: bool = False
    received_count: int = NOT_COUNTED
    accepts_deltas: bool = False
    news: "tuple[RelayedChange, ...]" = ()
    is_small: bool = False
    outcomes: rollout_outcomes.OutcomeSums = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RelayedChange:
    """Changed or removed object; ``spec`` is its encoded value.

    It is ``compressed``, and a delta, only between the encoding of a frame
    and its decoding.
    """

    name: ids.ObjectName
    revision: ids.Revision
    removed: bool
    spec: bytes
    compressed: bool = False
    is_delta: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RelayedKind:
    """Changes of one kind.

    ``age`` is the time in seconds from the confirmation of the sender's
    replica to the arrival of the request; it is negative if the replica
    was confirmed after that. If ``whole`` is set, the changes are a full
    list of the objects, otherwise all after revision ``since``.
    """

    kind: store.ObjectKind
    revision: ids.Revision
    age: float
    whole: bool
    changes: tuple[RelayedChange, ...]
    since: ids.Revision = ids.Revision(0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Update:
    """Response to an update request, or changes since that response.

    ``instances`` are those that the leader considers alive, empty if
    unchanged since the last update. ``relay`` is the address for further
    requests, ``NO_ADDRESS`` to stay with the sender. ``age`` is the time in
    seconds up to the arrival of the request since the sender's replica was
    complete; it is negative if that was after the arrival. ``serves_slots``
    is set by a relay that assigns slots to its followers.
    """

    number: int
    kinds: tuple[RelayedKind, ...]
    instances: tuple[ids.InstanceId, ...]
    relay: addresses.Address = addresses.NO_ADDRESS
    age: float = UNKNOWN_AGE
    serves_slots: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TokenRequests:
    """Request of a follower for tokens of workspaces."""

    borrowings: tuple[quota.TokenRequest, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TokenAllocations:
    """Response to ``TokenRequests``."""

    lendings: tuple[quota.TokenAllocation, ...]
