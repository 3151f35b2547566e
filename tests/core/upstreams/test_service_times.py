"""Tests of the service times measured by all instances."""

import pytest

from dragonflyshelf.core import ids
from dragonflyshelf.core.upstreams import service_times

INCARNATION = ids.UpstreamIncarnation("u1@1")


def at(seconds: float) -> ids.Instant:
    """Return an instant."""
    return ids.Instant(seconds)


class TestTally:
    """Sums that an instance reports, also for its members."""

    def test_report_resets_sums(self) -> None:
        """Responses are reported once, including those of members."""
        tally = service_times.ServiceTimeTally()
        tally.record_response(INCARNATION, 0.2)
        tally.add(
            (
                service_times.ServiceTimeSum(
                    life=INCARNATION, seconds=0.4, answers=2.0
                ),
            )
        )
        (report,) = tally.take_report()
        assert (report.answers, report.seconds) == (3.0, pytest.approx(0.6))
        assert tally.take_report() == ()


class TestDecayingServiceTimes:
    """Decaying sums at the leader."""

    def test_few_responses_of_many_instances(self) -> None:
        """One response from each of 60 instances gives a good estimate."""
        decaying_sums = service_times.DecayingServiceTimes()
        for _ in range(60):
            upstream_sum = service_times.ServiceTimeSum(
                life=INCARNATION, seconds=0.4, answers=1.0
            )
            decaying_sums.add((upstream_sum,), at(1.0))
        (upstream_sum,) = decaying_sums.snapshot(at(1.0))
        assert upstream_sum.service_time(0.2) == pytest.approx(0.4, rel=0.05)

    def test_old_responses_decay(self) -> None:
        """The estimate follows an upstream that becomes slow."""
        decaying_sums = service_times.DecayingServiceTimes()
        for second in range(30):
            seconds = 0.1 if second < 15 else 0.4
            upstream_sum = service_times.ServiceTimeSum(
                life=INCARNATION, seconds=seconds, answers=5.0
            )
            decaying_sums.add(
                (
                    service_times.ServiceTimeSum(
                        life=INCARNATION,
                        seconds=seconds * 5,
                        answers=upstream_sum.answers,
                    ),
                ),
                at(second),
            )
        (upstream_sum,) = decaying_sums.snapshot(at(30.0))
        assert upstream_sum.service_time(0.2) > 0.3

    def test_drops_upstream_without_responses(self) -> None:
        """An upstream without recent responses is dropped."""
        decaying_sums = service_times.DecayingServiceTimes()
        upstream_sum = service_times.ServiceTimeSum(
            life=INCARNATION, seconds=0.4, answers=1.0
        )
        decaying_sums.add((upstream_sum,), at(1.0))
        assert (
            decaying_sums.snapshot(at(1.0 + 4 * service_times.DECAY_SECONDS))
            == ()
        )


class TestPrior:
    """The prior dominates few responses."""

    def test_one_slow_response(self) -> None:
        """One slow response moves the estimate only part of the way."""
        upstream_sum = service_times.ServiceTimeSum(
            life=INCARNATION, seconds=1.0, answers=1.0
        )
        assert 0.2 < upstream_sum.service_time(0.2) < 0.6
