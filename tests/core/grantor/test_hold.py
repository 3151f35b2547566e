"""Tests of the length of grants."""

import pytest

from dragonflyshelf.core.grantor import hold
from dragonflyshelf.core import ids
from dragonflyshelf.core import promises
from dragonflyshelf.core import settings
from dragonflyshelf.core.upstreams import service_times

GRANTS = settings.GrantSettings()


def make_sums(mean: float) -> service_times.ServiceTimeSums:
    """Return the sums of upstreams with different service times."""
    return tuple(
        service_times.ServiceTimeSum(
            life=ids.UpstreamIncarnation(f"u{number}@1"),
            seconds=mean * factor * 20.0,
            answers=20.0,
        )
        for number, factor in enumerate((0.5, 1.0, 1.5))
    )


class TestWorkThatOutlastsItsGrant:
    """A third of the requests to a divided service ended with 500.

    Upstreams ended work of 1.2 s in the mean when the grant of 2.4 s under
    which it had begun ran out, though it had been renewed three times.
    """

    def test_long_work(self) -> None:
        """Grants outlast nearly all work of a service."""
        assert hold.find_hold(GRANTS, make_sums(1.2)) == pytest.approx(7.2)

    @pytest.mark.parametrize("mean", [0.0, 0.05, 0.3])
    def test_short_work(self, mean: float) -> None:
        """Else they stay short, so that a loss is felt for a short time."""
        assert hold.find_hold(GRANTS, make_sums(mean)) == GRANTS.hold

    def test_unknown_work(self) -> None:
        """Without a response they are short."""
        assert hold.find_hold(GRANTS, ()) == GRANTS.hold

    @pytest.mark.parametrize("promised", [2.0, 5.0, 10.0])
    def test_longest_grant(self, promised: float) -> None:
        """What upstreams accept, and the settings, are a limit."""
        config = promises.limit(
            settings.Settings(
                instance=settings.InstanceSettings(
                    name=ids.InstanceId("i1"),
                    data_centre=ids.DataCentreId("a"),
                ),
                promises=settings.PromiseSettings(hold=promised),
            )
        )
        longest = hold.find_hold(config.grants, make_sums(60.0))
        assert longest == min(promised, GRANTS.max_hold)
