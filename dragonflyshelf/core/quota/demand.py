"""Mean demand for the tokens of one workspace."""

import dataclasses
import math

from dragonflyshelf.core import ids
from dragonflyshelf.core.quota import const


@dataclasses.dataclass(kw_only=True, slots=True)
class Demand:
    """Exponential mean of the tokens that are wanted a second."""

    mean: float = 0.0
    counted_at: ids.Instant = ids.Instant(0.0)

    def count(self, tokens: int, now: ids.Instant) -> None:
        """Count tokens that are wanted."""
        self.mean = self.rate(now) + tokens / const.DEMAND_MEMORY
        self.counted_at = now

    def rate(self, now: ids.Instant) -> float:
        """Return the tokens that are wanted a second."""
        passed = max(now - self.counted_at, 0.0)
        return self.mean * math.exp(-passed / const.DEMAND_MEMORY)

    def ahead(self, now: ids.Instant) -> int:
        """Return how many whole tokens to borrow ahead of demand.

        Tokens that are not used are lost to all, so a demand of less
        than one in the time of a batch borrows none.
        """
        return math.floor(self.rate(now) * const.BATCH)
