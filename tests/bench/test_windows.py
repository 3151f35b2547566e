"""Tests of the worst window."""

import hypothesis
from hypothesis import strategies

from bench import windows

INSTANTS = strategies.integers(min_value=0, max_value=20).map(float)
INTERVALS = strategies.tuples(INSTANTS, INSTANTS).map(
    lambda pair: windows.Interval(earliest=min(pair), latest=max(pair))
)


def slowly(
    rate: float, burst: float, admitted: list[windows.Interval]
) -> float:
    """Try every window."""
    starts = [one.earliest for one in admitted]
    ends = [one.latest for one in admitted]
    return max(
        [0.0]
        + [
            sum(
                1
                for one in admitted
                if one.earliest >= start and one.latest <= end
            )
            - rate * (end - start)
            - burst
            for start in starts
            for end in ends
            if end >= start
        ]
    )


class TestMostOver:
    """The fast answer is that of trying every window."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(
        strategies.lists(INTERVALS, max_size=12),
        strategies.sampled_from([0.25, 1.0, 3.0]),
        strategies.sampled_from([0.0, 2.0]),
    )
    def test_same_as_slow(
        self,
        admitted: list[windows.Interval],
        rate: float,
        burst: float,
    ) -> None:
        """Both give the same excess."""
        expected = slowly(rate, burst, admitted)
        assert abs(windows.most_over(rate, burst, admitted) - expected) < 1e-6
