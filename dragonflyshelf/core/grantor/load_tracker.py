"""Load of a service by bucket of keys, as instances report it."""

from collections import abc
import dataclasses

from dragonflyshelf.core.grantor import const
from dragonflyshelf.core.grantor import messages
from dragonflyshelf.core import ids

MIN_BUCKET_REQUESTS_PER_SECOND = 0.05
"""Average load below which a bucket is no longer tracked."""


@dataclasses.dataclass(kw_only=True, slots=True)
class InstanceLoad:
    """Moving average of one instance's load by bucket."""

    rates_by_bucket: dict[ids.ShardKey, float]
    reported_at: ids.Instant


class LoadTracker:
    """Load of one service by bucket of keys, from all instances' reports."""

    def __init__(self) -> None:
        """Create a tracker without reports."""
        self._loads_by_instance: dict[ids.InstanceId, InstanceLoad] = {}

    def add_report(
        self,
        instance: ids.InstanceId,
        loads: abc.Iterable[messages.RangeLoad],
        now: ids.Instant,
    ) -> None:
        """Add an instance's report to its moving averages."""
        new_rates = {load.first: load.rate for load in loads}
        instance_load = self._loads_by_instance.get(instance)
        if instance_load is None:
            self._loads_by_instance[instance] = InstanceLoad(
                rates_by_bucket=new_rates, reported_at=now
            )
            return
        rates = {
            first: rate * (1.0 - const.LOAD_SMOOTHING_RATIO)
            for first, rate in instance_load.rates_by_bucket.items()
            if rate > MIN_BUCKET_REQUESTS_PER_SECOND
        }
        for first, rate in new_rates.items():
            rates[first] = (
                rates.get(first, 0.0) + rate * const.LOAD_SMOOTHING_RATIO
            )
        instance_load.rates_by_bucket = rates
        instance_load.reported_at = now

    def load_by_bucket(self, now: ids.Instant) -> dict[ids.ShardKey, float]:
        """Return the load of each bucket, in requests per second."""
        rates: dict[ids.ShardKey, float] = {}
        for instance_load in self._loads_by_instance.values():
            if (
                now - instance_load.reported_at
                > const.MAX_LOAD_REPORT_AGE_SECONDS
            ):
                continue
            for first, rate in instance_load.rates_by_bucket.items():
                rates[first] = rates.get(first, 0.0) + rate
        return rates
