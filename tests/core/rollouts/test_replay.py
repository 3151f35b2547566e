"""Replays of whole roll-outs over the instances of a site."""

import pytest

from dragonflyshelf.core.rollouts import objects
from tests.core.rollouts import replay

SEEDS = (1, 2, 3)
BAD_KINDS = [kind for kind in replay.Kind if kind is not replay.Kind.GOOD]
PROMISES = replay.make_settings().promises


class TestBadVersions:
    """Each kind of bad version is taken back within its exposure."""

    @pytest.mark.parametrize("kind", BAD_KINDS, ids=lambda kind: kind.name)
    @pytest.mark.parametrize("seed", SEEDS)
    def test_taken_back(self, kind: replay.Kind, seed: int) -> None:
        """It is rolled back, and callers met no more of it than promised."""
        result = replay.Replay(replay.Site(kind=kind), seed).run()
        assert result.step is objects.RolloutStep.ROLLED_BACK
        assert result.keeps_exposure(PROMISES)

    @pytest.mark.parametrize("seed", SEEDS)
    def test_slow_part_of_varied_work(self, seed: int) -> None:
        """It is taken back though the work differs much in length."""
        site = replay.Site(kind=replay.Kind.SLOW, **replay.SITES["orders"])
        result = replay.Replay(site, seed).run()
        assert result.step is objects.RolloutStep.ROLLED_BACK

    @pytest.mark.parametrize("seed", (*SEEDS, 0, 5, 7))
    def test_exposure_to_varied_work(self, seed: int) -> None:
        """Callers met no more of it than promised."""
        site = replay.Site(kind=replay.Kind.SLOW, **replay.SITES["orders"])
        result = replay.Replay(site, seed).run()
        assert result.keeps_exposure(PROMISES)

    @pytest.mark.parametrize("seed", SEEDS)
    def test_leader_lost_meanwhile(self, seed: int) -> None:
        """A successor that knows only the store keeps to the exposure."""
        site = replay.Site(kind=replay.Kind.ERRORS, leader_lost_at=4.6)
        result = replay.Replay(site, seed).run()
        assert result.step is objects.RolloutStep.ROLLED_BACK
        assert result.keeps_exposure(PROMISES)


class TestGoodVersions:
    """A good version is completed in time, whatever else fails."""

    def play(self, seed: int, **values: object) -> replay.Result:
        """Play a good version on a site with other sizes or faults."""
        site = replay.Site(**values)  # type: ignore[arg-type]
        return replay.Replay(site, seed).run()

    @pytest.mark.parametrize("seed", SEEDS)
    def test_completed(self, seed: int) -> None:
        """It is complete before its deadline."""
        result = self.play(seed)
        assert result.step is objects.RolloutStep.COMPLETED
        assert result.completed_at < replay.DURATION_SECONDS

    @pytest.mark.parametrize("seed", SEEDS)
    def test_fault_of_both_versions(self, seed: int) -> None:
        """Failures that both versions have are not the new one's."""
        result = self.play(seed, common_errors=0.05)
        assert result.step is objects.RolloutStep.COMPLETED

    @pytest.mark.parametrize("seed", SEEDS)
    def test_loss_of_a_data_centre(self, seed: int) -> None:
        """Failures in a lost data centre are not the new version's."""
        result = self.play(seed, lost_data_centre="b")
        assert result.step is objects.RolloutStep.COMPLETED

    @pytest.mark.parametrize("lost_at", [1.0, 3.0, 6.0, 8.3, 9.9])
    def test_leader_lost(self, lost_at: float) -> None:
        """A successor ends what a leader lost at any step has begun."""
        result = self.play(1, leader_lost_at=lost_at)
        assert result.step is objects.RolloutStep.COMPLETED
        assert result.completed_at < replay.DURATION_SECONDS

    @pytest.mark.parametrize("seed", SEEDS)
    def test_orders(self, seed: int) -> None:
        """A service with longer and more varied work is no exception."""
        result = self.play(seed, **replay.SITES["orders"])
        assert result.step is objects.RolloutStep.COMPLETED
