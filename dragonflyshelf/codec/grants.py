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
    """What a leader grants, for at most ``ttl_ms`` from receipt.

    It ends earlier at ``until_ms`` of the upstream's own clock, and has
    no effect but for the term on a process with another start id.
    """

    service: ids.ServiceName
    instance: ids.InstanceId
    term: ids.Term
    ttl_ms: int
    shards: tuple[messages.ShardEpoch, ...]
    start_id: ids.StartId = ids.StartId("")
    until_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReleaseBody:
    """Which shards an upstream owns no longer."""

    service: ids.ServiceName
    instance: ids.InstanceId
    term: ids.Term
    shards: tuple[ids.ShardId, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantAnswer:
    """The upstream's start, the highest term it has seen, its clock."""

    start_id: ids.StartId
    term: ids.Term
    clock_ms: int = 0


def encode_grant(grant: messages.SendGrant, instance: ids.InstanceId) -> bytes:
    """Return the body of a grant."""
    return msgspec.json.encode(
        GrantBody(
            service=grant.service,
            instance=instance,
            term=grant.term,
            ttl_ms=int(grant.ttl * MILLISECONDS),
            shards=grant.shards,
            start_id=grant.start_id,
            until_ms=grant.until_ms,
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
