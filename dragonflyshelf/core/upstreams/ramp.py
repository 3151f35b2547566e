"""Bound on the requests to a cold upstream, summed over instances.

A few sponsors among the instances share the rate that the upstream
bears; the others send it nothing while it is cold. The sponsors follow
from the names alone, so no message is needed.
"""

from collections import abc
import dataclasses

import xxhash

from dragonflyshelf.core import ids
from dragonflyshelf.core.quota import bucket

SPONSORS = 3
"""Instances that may send to one cold upstream."""

SPONSOR_BURST = 1.0
"""Requests that a sponsor may send at once.

A new sponsor begins with none, as a former one may just have sent some.
"""


@dataclasses.dataclass(kw_only=True, slots=True)
class SponsorBucket:
    """Tokens of this instance for one cold upstream."""

    rate: float
    tokens: bucket.TokenBucket


def sponsors(
    life: ids.UpstreamIncarnation, instances: abc.Iterable[ids.InstanceId]
) -> list[ids.InstanceId]:
    """Return the instances that share a cold upstream's rate."""
    ranked = sorted(
        instances,
        key=lambda one: xxhash.xxh64_intdigest(f"{life}/{one}".encode()),
    )
    return ranked[:SPONSORS]


class ColdRamp:
    """Admits requests to cold upstreams at this instance."""

    def __init__(self, instance: ids.InstanceId) -> None:
        """Create the ramp of an instance that knows of nobody yet.

        It sends nothing to a cold upstream, as it may not be a sponsor.
        """
        self._instance = instance
        self._instances: tuple[ids.InstanceId, ...] = ()
        self._buckets_by_life: dict[ids.UpstreamIncarnation, SponsorBucket] = (
            {}
        )

    def set_instances(self, instances: tuple[ids.InstanceId, ...]) -> None:
        """Take over the names of all instances."""
        self._instances = instances
        for life in list(self._buckets_by_life):
            if self._instance not in sponsors(life, instances):
                del self._buckets_by_life[life]

    def has_token(
        self, life: ids.UpstreamIncarnation, rate: float, now: ids.Instant
    ) -> bool:
        """Tell whether a request may be sent to a cold upstream now."""
        found = self._bucket(life, rate, now)
        return found is not None and found.tokens.has_token(now)

    def take(
        self, life: ids.UpstreamIncarnation, rate: float, now: ids.Instant
    ) -> None:
        """Count a request that is sent to a cold upstream."""
        found = self._bucket(life, rate, now)
        if found is not None:
            found.tokens.take(now)

    def _bucket(
        self, life: ids.UpstreamIncarnation, rate: float, now: ids.Instant
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
