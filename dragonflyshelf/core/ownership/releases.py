"""Shards that this instance takes away from upstreams it leads."""

import dataclasses

from dragonflyshelf.core.dispatch import fences
from dragonflyshelf.core.dispatch import messages as dispatch
from dragonflyshelf.core import ids
from dragonflyshelf.core.ownership import leading
from dragonflyshelf.core.ownership import messages

Effects = list[dispatch.SealShard | dispatch.UnsealShard]


@dataclasses.dataclass(kw_only=True, slots=True)
class ShardRelease:
    """How far the release of one shard has come."""

    upstream: ids.UpstreamId
    fenced: bool
    sealed_at: ids.Instant
    quiet: bool = False
    acknowledged: bool = False
    next_send: ids.Instant = ids.Instant(0.0)


class ShardReleases:
    """Seals shards and waits until nobody can run their requests."""

    def __init__(
        self, led: leading.LedUpstreams, retry_interval: float
    ) -> None:
        """Create without releases; the interval is in seconds."""
        self._led = led
        self._retry_interval = retry_interval
        self._by_key: dict[fences.ShardKey, ShardRelease] = {}

    def follow(
        self,
        wanted: dict[fences.ShardKey, tuple[ids.UpstreamId, bool]],
        now: ids.Instant,
    ) -> Effects:
        """Seal what is new and unseal what is no longer released."""
        effects: Effects = []
        for key in [one for one in self._by_key if one not in wanted]:
            del self._by_key[key]
            effects.append(dispatch.UnsealShard(key=key))
        for key, (upstream, fenced) in wanted.items():
            if key in self._by_key:
                continue
            self._by_key[key] = ShardRelease(
                upstream=upstream, fenced=fenced, sealed_at=now
            )
            effects.append(dispatch.SealShard(key=key))
        return effects

    def __contains__(self, key: fences.ShardKey) -> bool:
        """Tell whether a shard is sealed under an epoch."""
        return key in self._by_key

    def on_quiet(self, key: fences.ShardKey) -> None:
        """Take in that nothing is under way on a sealed shard."""
        release = self._by_key.get(key)
        if release is not None:
            release.quiet = True

    def on_acknowledged(self, answer: messages.ReleaseAnswered) -> None:
        """Take in that an upstream has forgotten some shards."""
        if not answer.accepted:
            return
        for one in answer.shards:
            key = fences.ShardKey(
                service=answer.service, shard=one.shard, epoch=one.epoch
            )
            release = self._by_key.get(key)
            if release is not None and release.quiet:
                release.acknowledged = True

    def due(self, now: ids.Instant) -> dict[
        tuple[ids.UpstreamId, ids.ServiceName],
        tuple[messages.ShardEpoch, ...],
    ]:
        """Return the releases that are to be sent now, and count them."""
        found: dict[
            tuple[ids.UpstreamId, ids.ServiceName],
            tuple[messages.ShardEpoch, ...],
        ] = {}
        for key, release in self._by_key.items():
            ready = release.fenced and release.quiet
            if not ready or release.acknowledged or now < release.next_send:
                continue
            release.next_send = ids.Instant(now + self._retry_interval)
            group = (release.upstream, key.service)
            one = messages.ShardEpoch(shard=key.shard, epoch=key.epoch)
            found[group] = (*found.get(group, ()), one)
        return found

    def is_over(self, key: fences.ShardKey, now: ids.Instant) -> bool:
        """Tell whether the next owner may be granted the shard."""
        release = self._by_key.get(key)
        if release is None or self._led.unproven(release.upstream):
            return False
        if release.fenced:
            return release.acknowledged or self._expired(release, now)
        if not self._led.predecessor_over(release.upstream, now):
            return False
        return release.quiet or self._led.sends_over(
            release.upstream, release.sealed_at, now
        )

    def _expired(self, release: ShardRelease, now: ids.Instant) -> bool:
        return self._led.expired_since(
            release.upstream, release.sealed_at, now
        )
