"""Tests of how fast upstreams answer all instances together."""

import pytest

from dragonflyshelf.core import ids
from dragonflyshelf.core.upstreams import paces

LIFE = ids.UpstreamIncarnation("u1@1")


def at(seconds: float) -> ids.Instant:
    """Return an instant."""
    return ids.Instant(seconds)


class TestTally:
    """What an instance reports, and a relay for its members."""

    def test_sums_until_taken(self) -> None:
        """Answers are reported once, those of members with them."""
        tally = paces.PaceTally()
        tally.count(LIFE, 0.2)
        tally.add((paces.UpstreamPace(life=LIFE, seconds=0.4, answers=2.0),))
        (found,) = tally.take()
        assert (found.answers, found.seconds) == (3.0, pytest.approx(0.6))
        assert tally.take() == ()


class TestMap:
    """What the leading instance knows."""

    def test_few_answers_of_many_instances(self) -> None:
        """Sixty instances with an answer each tell the speed together."""
        known = paces.PaceMap()
        for _ in range(60):
            one = paces.UpstreamPace(life=LIFE, seconds=0.4, answers=1.0)
            known.add((one,), at(1.0))
        (found,) = known.known(at(1.0))
        assert found.service_time(0.2) == pytest.approx(0.4, rel=0.05)

    def test_old_answers_fade(self) -> None:
        """An upstream that has become slow is known as such."""
        known = paces.PaceMap()
        for second in range(30):
            seconds = 0.1 if second < 15 else 0.4
            one = paces.UpstreamPace(life=LIFE, seconds=seconds, answers=5.0)
            known.add(
                (
                    paces.UpstreamPace(
                        life=LIFE, seconds=seconds * 5, answers=one.answers
                    ),
                ),
                at(second),
            )
        (found,) = known.known(at(30.0))
        assert found.service_time(0.2) > 0.3

    def test_forgotten(self) -> None:
        """An upstream without answers is left out in the end."""
        known = paces.PaceMap()
        one = paces.UpstreamPace(life=LIFE, seconds=0.4, answers=1.0)
        known.add((one,), at(1.0))
        assert known.known(at(1.0 + 4 * paces.MEMORY)) == ()


class TestPrior:
    """Few answers say little."""

    def test_one_slow_answer(self) -> None:
        """One answer moves the expected time part of the way."""
        one = paces.UpstreamPace(life=LIFE, seconds=1.0, answers=1.0)
        assert 0.2 < one.service_time(0.2) < 0.6
