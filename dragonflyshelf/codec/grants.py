"""The protocol by which an upstream takes grants, as JSON.

``POST /_router/grants`` with a ``GrantBody`` renews the grants of one
upstream; it answers 200 with a ``GrantAnswer``, or 409 when it has seen
a higher term.
"""

import dataclasses

import msgspec

from dragonflyshelf.core import ids
from dragonflyshelf.core.ownership import messages

MILLISECONDS = 1000
PATH_GRANTS = "/_router/grants"
PATH_RELEASE = "/_router/release"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantBody:
    """What a leader grants, for ``ttl_ms`` from receipt."""

    service: ids.ServiceName
    instance: ids.InstanceId
    term: ids.Term
    ttl_ms: int
    shards: tuple[messages.ShardEpoch, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReleaseBody:
    """Which shards an upstream owns no longer."""

    service: ids.ServiceName
    instance: ids.InstanceId
    term: ids.Term
    shards: tuple[ids.ShardId, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantAnswer:
    """The upstream's start and the highest term it has seen."""

    start_id: ids.StartId
    term: ids.Term


def encode_grant(grant: messages.SendGrant, instance: ids.InstanceId) -> bytes:
    """Return the body of a grant."""
    return msgspec.json.encode(
        GrantBody(
            service=grant.service,
            instance=instance,
            term=grant.term,
            ttl_ms=int(grant.ttl * MILLISECONDS),
            shards=grant.shards,
        )
    )


def encode_release(
    release: messages.SendRelease, instance: ids.InstanceId
) -> bytes:
    """Return the body of a release."""
    return msgspec.json.encode(
        ReleaseBody(
            service=release.service,
            instance=instance,
            term=release.term,
            shards=tuple(one.shard for one in release.shards),
        )
    )


decode_answer = msgspec.json.Decoder(GrantAnswer).decode
