"""Probability that a version's failures or slow responses are chance."""

import math
from typing import Final

from dragonflyshelf.core.rollouts import tables

MIN_COMPARED_RESPONSES: Final = 30
"""Responses of the present versions from which on they are compared.

With fewer only the normal ratio of failures counts.
"""

SPREAD_TOLERANCE_RATIO: Final = 1.1
"""Ratio of the present version's variance up to which more is normal."""

SPREAD_FACTOR: Final = 2.5
"""Variance of the logarithm of a variance, for one response.

It would be 2 without the few responses that are much slower than others.
"""

NEGLIGIBLE_RATIO: Final = 1e-9
"""Term of a sum, relative to it, from which on the rest is left out."""


def find_excess_chance(
    new: tables.Ratio, present: tables.Ratio, normal: float, tolerance: float
) -> float:
    """Return the probability of so many cases of the new version by chance.

    That is the higher one of two: that the ratio is the ``normal`` one, and
    that it is up to ``tolerance`` times that of the present version, given
    how many cases both have together.
    """
    chance = _find_tail(new.count, new.total, new.total * normal)
    if present.total < MIN_COMPARED_RESPONSES:
        return chance
    both = new.count + present.count
    weight = new.total * tolerance
    expected = both * weight / (weight + present.total)
    return max(chance, _find_tail(new.count, both, expected))


def find_spread_chance(new: tables.Spread, present: tables.Spread) -> float:
    """Return the probability of the new version's wider spread by chance.

    The logarithm of a ratio of variances is normally distributed, if both
    have enough responses.
    """
    if min(new.total, present.total) < MIN_COMPARED_RESPONSES:
        return 1.0
    excess = math.log(new.variance / present.variance / SPREAD_TOLERANCE_RATIO)
    deviation = math.sqrt(SPREAD_FACTOR * (1 / new.total + 1 / present.total))
    return 0.5 * math.erfc(excess / deviation / math.sqrt(2.0))


def _find_tail(count: int, total: int, expected: float) -> float:
    """Return the probability of ``count`` or more of ``total`` by chance."""
    if count <= expected or not total:
        return 1.0
    ratio = min(expected / total, 1.0 - 1e-9)
    log_ratio = math.log(ratio)
    log_rest = math.log1p(-ratio)
    log_total = math.lgamma(total + 1)
    chance = 0.0
    for number in range(count, total + 1):
        term = math.exp(
            log_total
            - math.lgamma(number + 1)
            - math.lgamma(total - number + 1)
            + number * log_ratio
            + (total - number) * log_rest
        )
        chance += term
        if term < NEGLIGIBLE_RATIO * chance:
            break
    return min(chance, 1.0)
