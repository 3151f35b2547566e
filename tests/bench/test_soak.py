"""Tests of the drawing and shortening of faults."""

from bench import faults
from bench import soak


def episode(seed: int) -> soak.Episode:
    """Return an episode with its faults."""
    return soak.Episode(
        seed=seed, seconds=60.0, faults=faults.draw(seed, 60.0)
    )


class TestDraw:
    """The seed decides the faults."""

    def test_same_seed(self) -> None:
        """The same seed draws the same faults, another one others."""
        assert faults.draw(1, 60.0) == faults.draw(1, 60.0)
        assert faults.draw(1, 60.0) != faults.draw(2, 60.0)

    def test_all_are_carried_out(self) -> None:
        """Each kind has something that brings it about."""
        assert set(faults.CARRIERS) == set(faults.FaultKind)


class TestShorten:
    """Faults that do not matter are dropped."""

    def test_two_matter(self) -> None:
        """The shortest list has the two that break it together."""
        whole = episode(3)
        wanted = {whole.faults[1], whole.faults[-1]}

        def breaks(one: soak.Episode) -> bool:
            return wanted <= set(one.faults)

        shortest = soak.shorten(whole, breaks, runs=1000)
        assert set(shortest.faults) == wanted

    def test_bounded(self) -> None:
        """No more runs are made than allowed."""
        calls = []

        def breaks(one: soak.Episode) -> bool:
            calls.append(one)
            return False

        soak.shorten(episode(3), breaks, runs=4)
        assert len(calls) == 4
