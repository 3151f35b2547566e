"""Tests of the service times measured by all instances."""

import pytest

from dragonflyshelf.core import ids
from dragonflyshelf.core.upstreams import paces

LIFE = ids.UpstreamLife("u1@1")


def at(seconds: float) -> ids.Instant:
    """Return an instant."""
    return ids.Instant(seconds)


class TestTally:
    """Sums that an instance reports, also for its members."""

    def test_sums_until_taken(self) -> None:
        """Responses are reported once, including those of members."""
        tally = paces.PaceTally()
        tally.count(LIFE, 0.2)
        tally.add((paces.UpstreamPace(life=LIFE, seconds=0.4, answers=2.0),))
        (found,) = tally.take()
        assert (found.answers, found.seconds) == (3.0, pytest.approx(0.6))
        assert tally.take() == ()


class TestMap:
    """Decaying sums at the leader."""

    def test_few_answers_of_many_instances(self) -> None:
        """One response from each of 60 instances gives a good estimate."""
        known = paces.PaceMap()
        for _ in range(60):
            one = paces.UpstreamPace(life=LIFE, seconds=0.4, answers=1.0)
            known.add((one,), at(1.0))
        (found,) = known.known(at(1.0))
        assert found.service_time(0.2) == pytest.approx(0.4, rel=0.05)

    def test_old_answers_fade(self) -> None:
        """The estimate follows an upstream that becomes slow."""
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
        """An upstream without recent responses is dropped."""
        known = paces.PaceMap()
        one = paces.UpstreamPace(life=LIFE, seconds=0.4, answers=1.0)
        known.add((one,), at(1.0))
        assert known.known(at(1.0 + 4 * paces.MEMORY)) == ()


class TestPrior:
    """The prior dominates few responses."""

    def test_one_slow_answer(self) -> None:
        """One slow response moves the estimate only part of the way."""
        one = paces.UpstreamPace(life=LIFE, seconds=1.0, answers=1.0)
        assert 0.2 < one.service_time(0.2) < 0.6
