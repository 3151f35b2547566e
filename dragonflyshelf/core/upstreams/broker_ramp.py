"""Rate limit of a broker on holders that are warming up.

Load pattern: holders come back cold under load. If a few of many instances
were the senders, nearly all requests for these keys would reach an instance
that may send none. All of them meet at the brokers, one in each data
centre, which share the rate.
"""

from dragonflyshelf.core import ids
from dragonflyshelf.core.quota import bucket
from dragonflyshelf.core.upstreams import ramp


class BrokerRamp:
    """Token bucket of this broker for each holder in warm-up."""

    def __init__(self) -> None:
        """Create a ramp without buckets."""
        self._buckets_by_incarnation: dict[
            ids.UpstreamIncarnation, ramp.SenderBucket
        ] = {}

    def has_token(
        self,
        incarnation: ids.UpstreamIncarnation,
        broker_rate: float,
        now: ids.Instant,
    ) -> bool:
        """Return whether a request may be sent now."""
        return self._bucket(incarnation, broker_rate, now).has_token(now)

    def take(
        self,
        incarnation: ids.UpstreamIncarnation,
        broker_rate: float,
        now: ids.Instant,
    ) -> None:
        """Take a token for a request that is sent."""
        self._bucket(incarnation, broker_rate, now).take(now)

    def remove_others(
        self, incarnations: frozenset[ids.UpstreamIncarnation]
    ) -> None:
        """Remove the buckets of all but the given upstreams."""
        for incarnation in list(self._buckets_by_incarnation):
            if incarnation not in incarnations:
                del self._buckets_by_incarnation[incarnation]

    def _bucket(
        self,
        incarnation: ids.UpstreamIncarnation,
        broker_rate: float,
        now: ids.Instant,
    ) -> bucket.TokenBucket:
        """Return the bucket of a holder; a new one has no token.

        A former broker of the data centre may just have sent a request.
        """
        sender_bucket = self._buckets_by_incarnation.get(incarnation)
        if sender_bucket is None or sender_bucket.rate != broker_rate:
            sender_bucket = ramp.SenderBucket(
                rate=broker_rate,
                tokens=bucket.TokenBucket(
                    rate=broker_rate,
                    burst=ramp.WARMUP_BURST_COUNT,
                    now=now,
                    tokens=0.0,
                ),
            )
            self._buckets_by_incarnation[incarnation] = sender_bucket
        return sender_bucket.tokens
