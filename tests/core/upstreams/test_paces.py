"""Tests of how fast upstreams answer all instances together."""

import collections

import pytest
import xxhash

from dragonflyshelf.core import ids
from dragonflyshelf.core.upstreams import choice
from dragonflyshelf.core.upstreams import const
from dragonflyshelf.core.upstreams import paces
from dragonflyshelf.core.upstreams import state
from tests.core.scheduling import world

LIFE = ids.UpstreamLife("u1@1")


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


class TestChoice:
    """What an instance expects of an upstream."""

    def test_told_pace_goes_before_own(self) -> None:
        """One own answer says less than those of all instances."""
        one = state.UpstreamState(world.upstream("u1"), at(1.0))
        one.start()
        one.finish(state.AttemptResult.ANSWERED, 2.0, None, at(1.0))
        one.pace = paces.UpstreamPace(life=LIFE, seconds=5.0, answers=50.0)
        assert one.told_time(at(1.0), 0.1) == pytest.approx(0.1, rel=0.1)

    def test_many_instances_do_not_meet(self) -> None:
        """With the same measurements the best gets a bounded part."""
        upstreams = [
            state.UpstreamState(world.upstream(f"u{number}"), at(1.0))
            for number in range(20)
        ]
        for place, one in enumerate(upstreams):
            one.pace = paces.UpstreamPace(
                life=one.registration.life,
                seconds=50.0 * (0.1 + 0.01 * place),
                answers=50.0,
            )
        chosen = collections.Counter(
            choice.choose_best_of_few(upstreams, self.choosing(number))
            for number in range(2000)
        )
        most = const.DRAWN / len(upstreams)
        assert max(chosen.values()) <= 2000 * most * 1.25
        fast = sum(chosen[one] for one in upstreams[:10])
        assert fast >= 2000 * 0.8

    def choosing(self, number: int) -> choice.Choosing:
        """Return what an instance goes by for its next request."""
        return choice.Choosing(
            now=at(1.0),
            data_centre=ids.DataCentreId("a"),
            mean_service_time=0.2,
            objective=0.5,
            draw=xxhash.xxh64_intdigest(str(number).encode()),
        )
