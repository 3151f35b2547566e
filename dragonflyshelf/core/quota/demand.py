"""Estimated demand for the tokens of one workspace."""

import dataclasses
import math

from dragonflyshelf.core import ids
from dragonflyshelf.core.quota import const


@dataclasses.dataclass(kw_only=True, slots=True)
class DemandEstimate:
    """Exponentially weighted moving average of the tokens needed a second."""

    mean: float = 0.0
    updated_at: ids.Instant = ids.Instant(0.0)

    def add(self, tokens: int, now: ids.Instant) -> None:
        """Add tokens that are needed now."""
        self.mean = self.rate(now) + tokens / const.DEMAND_AVERAGING_SECONDS
        self.updated_at = now

    def rate(self, now: ids.Instant) -> float:
        """Return the tokens needed a second."""
        elapsed = max(now - self.updated_at, 0.0)
        return self.mean * math.exp(-elapsed / const.DEMAND_AVERAGING_SECONDS)

    def prefetch_count(self, now: ids.Instant) -> int:
        """Return the number of tokens to prefetch.

        Prefetched tokens that stay unused are lost to all instances, so
        the number is rounded down, to 0 if the demand is low.
        """
        return math.floor(self.rate(now) * const.PREFETCH_SECONDS)
