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
    """Effect: renew the grants of one upstream; ``ttl`` in seconds."""

    upstream: ids.UpstreamId
    service: ids.ServiceName
    host: str
    port: int
    term: ids.Term
    ttl: float
    shards: tuple[ShardEpoch, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantAnswered:
    """Event: an upstream answered a grant, or did not.

    ``term`` is the highest that the upstream has seen; ``sent_at`` is
    the instant at which the grant was sent.
    """

    upstream: ids.UpstreamId
    accepted: bool
    start_id: ids.StartId
    term: ids.Term
    sent_at: ids.Instant
    error: str = ""
