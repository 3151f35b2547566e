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

WARMUP_SENDER_COUNT = 3
"""Instances that may send to one upstream during its warm-up."""

WARMUP_BURST_COUNT = 1.0
"""Requests that a sender may send at once.

A new sender starts without tokens, as a former one may just have sent.
"""


@dataclasses.dataclass(kw_only=True, slots=True)
class SenderBucket:
    """Token bucket of this instance for one upstream.

    ``rate`` is the warm-up rate over all senders, of which the bucket
    has an equal part.
    """

    rate: float
    tokens: bucket.TokenBucket


def warmup_senders(
    incarnation: ids.UpstreamIncarnation,
    instances: abc.Iterable[ids.InstanceId],
) -> list[ids.InstanceId]:
    """Return the instances that may send during a warm-up."""
    ranked = sorted(
        instances,
        key=lambda instance: xxhash.xxh64_intdigest(
            f"{incarnation}/{instance}".encode()
        ),
    )
    return ranked[:WARMUP_SENDER_COUNT]


class WarmupRamp:
    """Limits the requests of this instance to upstreams in warm-up."""

    def __init__(self, instance: ids.InstanceId) -> None:
        """Create a ramp without a list of instances.

        Until the list is set nothing is sent during a warm-up, as this
        instance may not be one of the senders.
        """
        self._instance = instance
        self._instances: tuple[ids.InstanceId, ...] = ()
        self._buckets_by_incarnation: dict[
            ids.UpstreamIncarnation, SenderBucket
        ] = {}

    def set_instances(self, instances: tuple[ids.InstanceId, ...]) -> None:
        """Set the names of all instances."""
        self._instances = instances
        for incarnation in list(self._buckets_by_incarnation):
            if self._instance not in warmup_senders(incarnation, instances):
                del self._buckets_by_incarnation[incarnation]

    def has_token(
        self,
        incarnation: ids.UpstreamIncarnation,
        rate: float,
        now: ids.Instant,
    ) -> bool:
        """Return whether a request may be sent now."""
        sender_bucket = self._bucket(incarnation, rate, now)
        return sender_bucket is not None and sender_bucket.tokens.has_token(
            now
        )

    def take(
        self,
        incarnation: ids.UpstreamIncarnation,
        rate: float,
        now: ids.Instant,
    ) -> None:
        """Take a token for a request that is sent."""
        sender_bucket = self._bucket(incarnation, rate, now)
        if sender_bucket is not None:
            sender_bucket.tokens.take(now)

    def _bucket(
        self,
        incarnation: ids.UpstreamIncarnation,
        rate: float,
        now: ids.Instant,
    ) -> SenderBucket | None:
        sender_bucket = self._buckets_by_incarnation.get(incarnation)
        if sender_bucket is not None and sender_bucket.rate == rate:
            return sender_bucket
        senders = warmup_senders(incarnation, self._instances)
        if self._instance not in senders:
            return None
        sender_rate = rate / len(senders)
        sender_bucket = SenderBucket(
            rate=rate,
            tokens=bucket.TokenBucket(
                rate=sender_rate, burst=WARMUP_BURST_COUNT, now=now, tokens=0.0
            ),
        )
        self._buckets_by_incarnation[incarnation] = sender_bucket
        return sender_bucket
