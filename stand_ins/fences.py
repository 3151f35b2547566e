"""Grants that an upstream stand-in has taken in."""

import dataclasses
import secrets

from stand_ins import account

START_ID_BYTES = 8


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShardEpoch:
    """The epoch of one shard."""

    shard: int
    epoch: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Grant:
    """A leader's right to send, for some shards, for ``ttl_ms``.

    With a start id it ends at ``until_ms`` of that process's clock at
    the latest, however late it arrives.
    """

    service: str
    instance: str
    term: int
    ttl_ms: int
    shards: tuple[ShardEpoch, ...] = ()
    start_id: str = ""
    until_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Release:
    """The end of the grants of some shards."""

    instance: str
    term: int
    shards: tuple[int, ...] = ()


@dataclasses.dataclass(kw_only=True)
class Granted:
    """The epoch of a shard and until when it may be served."""

    epoch: int
    until: float


class Fences:
    """Term, grants and start id; forgotten by a cold start."""

    def __init__(self, enabled: bool) -> None:
        """Create fences without grants; disabled ones allow all."""
        self.enabled = enabled
        self.reset()

    def reset(self) -> None:
        """Forget everything, as a new start does."""
        self.start_id = secrets.token_hex(START_ID_BYTES)
        self.term = 0
        self.until = 0.0
        self.granted_by_shard: dict[int, Granted] = {}

    def grant(self, grant: Grant, now: float) -> bool:
        """Take in a grant; return False for an old term."""
        if grant.term < self.term:
            return False
        self.term = grant.term
        if grant.start_id and grant.start_id != self.start_id:
            return True
        self.until = now + grant.ttl_ms / 1000
        if grant.until_ms:
            self.until = min(self.until, grant.until_ms / 1000)
        for one in grant.shards:
            present = self.granted_by_shard.get(one.shard)
            if present is None or present.epoch <= one.epoch:
                self.granted_by_shard[one.shard] = Granted(
                    epoch=one.epoch, until=self.until
                )
        return True

    def release(self, release: Release) -> bool:
        """Forget shards; return False for an old term."""
        if release.term < self.term:
            return False
        for shard in release.shards:
            self.granted_by_shard.pop(shard, None)
        return True

    def allows(self, run: account.Run, now: float) -> bool:
        """Tell whether the fence of a request is valid."""
        if not self.enabled:
            return True
        if run.term < self.term or now > self.until:
            return False
        if run.shard < 0:
            return True
        granted = self.granted_by_shard.get(run.shard)
        if granted is None or granted.epoch != run.epoch:
            return False
        return now <= granted.until
