"""From the head of a request to its service, key and shard."""

import xxhash

from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core import states

HEADER_KEY = b"x-key"
HEADER_WORKSPACE = b"x-workspace"
NO_SHARD = ids.ShardId(-1)


def split_target(target: bytes) -> tuple[ids.ServiceName, bytes]:
    """Return the service and the key of ``/SERVICE/KEY/...``."""
    path, _, _ = target.partition(b"?")
    parts = path.split(b"/", 3)
    name = parts[1].decode("ascii", "replace") if len(parts) > 1 else ""
    key = parts[2] if len(parts) > 2 else b""
    return ids.ServiceName(name), key


def shard_of(
    service: objects.Service,
    path_key: bytes,
    headers: tuple[messages.Header, ...],
) -> ids.ShardId:
    """Return the shard of a request; ``NO_SHARD`` without a key."""
    if service.key_source is states.KeySource.NONE:
        return NO_SHARD
    key = path_key
    if service.key_source is states.KeySource.HEADER:
        key = header(headers, HEADER_KEY)
    if not key:
        raise errors.BadRequest("the service needs a key")
    return ids.ShardId(xxhash.xxh3_64_intdigest(key) % service.shards)


def private_workspace(
    head: messages.RequestHead, service: objects.Service
) -> ids.WorkspaceId | None:
    """Return the workspace that a private route names, else None."""
    if service.access is not states.Access.PRIVATE or not head.private:
        return None
    name = header(head.headers, HEADER_WORKSPACE)
    return ids.WorkspaceId(name.decode("ascii", "replace"))


def header(headers: tuple[messages.Header, ...], name: bytes) -> bytes:
    """Return the value of a header, empty if it is missing."""
    for one in headers:
        if one.name == name:
            return one.value
    return b""
