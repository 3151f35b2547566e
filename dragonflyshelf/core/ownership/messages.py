"""Events and effects of ownership."""

import dataclasses

from dragonflyshelf.core import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShardEpoch:
    """A shard and its fencing token."""

    shard: ids.ShardId
    epoch: ids.Epoch


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendGrant:
    """Effect: renew the grants of one upstream; ``ttl`` in seconds.

    ``until_ms`` is the end by the clock of the upstream's process that
    has this start id, so that a grant which arrives late is not longer.
    Both are empty until that clock is known.
    """

    upstream: ids.UpstreamId
    service: ids.ServiceName
    host: str
    port: int
    term: ids.Term
    ttl: float
    shards: tuple[ShardEpoch, ...]
    start_id: ids.StartId = ids.StartId("")
    until_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantAnswered:
    """Event: an upstream answered a grant, or did not.

    ``term`` is the highest that the upstream has seen; ``sent_at`` is
    the instant at which the grant was sent. ``reached`` tells that the
    upstream answered at all, as one that checks no grants may do, and
    ``undelivered`` that the grant surely did not arrive. ``clock_ms``
    is the upstream's own clock, 0 if it tells none.
    """

    upstream: ids.UpstreamId
    accepted: bool
    start_id: ids.StartId
    term: ids.Term
    sent_at: ids.Instant
    error: str = ""
    given_term: ids.Term = ids.Term(0)
    reached: bool = False
    undelivered: bool = False
    clock_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendRelease:
    """Effect: tell an upstream that it owns some shards no longer."""

    upstream: ids.UpstreamId
    service: ids.ServiceName
    host: str
    port: int
    term: ids.Term
    shards: tuple[ShardEpoch, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReleaseAnswered:
    """Event: an upstream acknowledged a release, or did not."""

    upstream: ids.UpstreamId
    service: ids.ServiceName
    accepted: bool
    shards: tuple[ShardEpoch, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamStarted:
    """Effect: an upstream runs under a start id not seen before."""

    upstream: ids.UpstreamId
    start_id: ids.StartId
