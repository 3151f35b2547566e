"""Rate limit on requests to an upstream that is warming up.

The limit holds over all instances: a few of them share the rate, the
others send nothing during the warm-up. These senders are selected by
rendezvous hashing of the names, so no message is needed.
"""

from collections import abc
import dataclasses

import xxhash

from dragonflyshelf.core import ids
from dragonflyshelf.core.quota import bucket

SPONSORS = 3
"""Instances that may send to one upstream during its warm-up."""

SPONSOR_BURST = 1.0
"""Requests that a sender may send at once.

A new sender starts without tokens, as a former one may just have sent.
"""


@dataclasses.dataclass(kw_only=True, slots=True)
class SponsorBucket:
    """Token bucket of this instance for one upstream."""

    rate: float
    tokens: bucket.TokenBucket


def sponsors(
    life: ids.UpstreamLife, instances: abc.Iterable[ids.InstanceId]
) -> list[ids.InstanceId]:
    """Return the instances that may send during a warm-up."""
    ranked = sorted(
        instances,
        key=lambda one: xxhash.xxh64_intdigest(f"{life}/{one}".encode()),
    )
    return ranked[:SPONSORS]


class ColdRamp:
    """Limits the requests of this instance to upstreams in warm-up."""

    def __init__(self, instance: ids.InstanceId) -> None:
        """Create a ramp without a list of instances.

        Until the list is set nothing is sent during a warm-up, as this
        instance may not be one of the senders.
        """
        self._instance = instance
        self._instances: tuple[ids.InstanceId, ...] = ()
        self._buckets_by_life: dict[ids.UpstreamLife, SponsorBucket] = {}

    def set_instances(self, instances: tuple[ids.InstanceId, ...]) -> None:
        """Set the names of all instances."""
        self._instances = instances
        for life in list(self._buckets_by_life):
            if self._instance not in sponsors(life, instances):
                del self._buckets_by_life[life]

    def has_token(
        self, life: ids.UpstreamLife, rate: float, now: ids.Instant
    ) -> bool:
        """Return whether a request may be sent now."""
        found = self._bucket(life, rate, now)
        return found is not None and found.tokens.has_token(now)

    def take(
        self, life: ids.UpstreamLife, rate: float, now: ids.Instant
    ) -> None:
        """Take a token for a request that is sent."""
        found = self._bucket(life, rate, now)
        if found is not None:
            found.tokens.take(now)

    def _bucket(
        self, life: ids.UpstreamLife, rate: float, now: ids.Instant
    ) -> SponsorBucket | None:
        found = self._buckets_by_life.get(life)
        if found is not None and found.rate == rate:
            return found
        names = sponsors(life, self._instances)
        if self._instance not in names:
            return None
        share = rate / len(names)
        found = SponsorBucket(
            rate=rate,
            tokens=bucket.TokenBucket(
                rate=share, burst=SPONSOR_BURST, now=now, tokens=0.0
            ),
        )
        self._buckets_by_life[life] = found
        return found
