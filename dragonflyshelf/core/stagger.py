"""Spreading of what all instances do in response to one event."""

from typing import Final

import xxhash

STEP_COUNT: Final = 1000
"""Number of different ratios."""


def find_ratio(text: str) -> float:
    """Return a ratio from 0 to less than 1 that a text determines."""
    digest = xxhash.xxh64_intdigest(text.encode())
    return (digest % STEP_COUNT) / STEP_COUNT
