"""The worst window of a token bucket, over uncertain instants."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Interval:
    """An admission happened between these instants, in seconds."""

    earliest: float
    latest: float


class _SuffixMaximum:
    """Maximum over j of ``base[j]`` plus what was added at or after j.

    A position counts once something was added at it: the worst window
    starts with an admission that it holds.
    """

    def __init__(self, base: list[float]) -> None:
        """Create a tree over the bases."""
        self._size = 1
        while self._size < len(base):
            self._size *= 2
        self._sums = [0.0] * (2 * self._size)
        self._best = [float("-inf")] * (2 * self._size)
        self._base = base

    def add_one(self, position: int) -> None:
        """Add one at a position."""
        node = position + self._size
        self._sums[node] += 1
        self._best[node] = self._base[position] + self._sums[node]
        while node > 1:
            node //= 2
            self._join(node)

    @property
    def maximum(self) -> float:
        """Return the present maximum."""
        return self._best[1]

    def _join(self, node: int) -> None:
        left, right = 2 * node, 2 * node + 1
        self._sums[node] = self._sums[left] + self._sums[right]
        self._best[node] = max(
            self._best[right], self._best[left] + self._sums[right]
        )


def most_over(rate: float, burst: float, admitted: list[Interval]) -> float:
    """Return by how much the worst window exceeds rate x t + burst.

    An admission counts for a window only if it lies in it for certain,
    so a positive result is a proof.
    """
    starts = sorted({one.earliest for one in admitted})
    if not starts:
        return 0.0
    positions = {start: number for number, start in enumerate(starts)}
    tree = _SuffixMaximum([rate * (one - starts[0]) for one in starts])
    worst = 0.0
    for one in sorted(admitted, key=lambda one: one.latest):
        tree.add_one(positions[one.earliest])
        elapsed = one.latest - starts[0]
        worst = max(worst, tree.maximum - rate * elapsed - burst)
    return worst
