"""Randomized fault simulations of leader election and shard ranges."""

import pytest

from tests.core.grantor import world as worlds

SEED_COUNT = 40
SEEDS_BY_CAUSE = {
    "a restarted leader ignored the detached leader before it": 2066,
}
KEYS = range(0, 65536, 8192)


class TestOneHolder:
    """A key never has two holders, whatever faults occur."""

    @pytest.mark.parametrize("seed", range(SEED_COUNT))
    def test_random_history(self, seed: int) -> None:
        """No key has two holders, and each has one after the faults end."""
        world = worlds.World(seed)
        world.run(6.0)
        world.cause_trouble(40.0)
        assert world.held_twice == []
        world.run(75.0)
        assert world.held_twice == []
        for key in KEYS:
            assert len(world.holders(key)) == 1, key


class TestRegressions:
    """Seeds of simulations that have failed before, by cause."""

    @pytest.mark.parametrize("cause", SEEDS_BY_CAUSE)
    def test_history(self, cause: str) -> None:
        """No key has two holders."""
        world = worlds.World(SEEDS_BY_CAUSE[cause])
        world.run(6.0)
        world.cause_trouble(40.0)
        world.run(75.0)
        assert world.held_twice == []

    def test_leader_that_starts_again(self) -> None:
        """A restarted leader waits for the detached leader before it.

        The second leader is restarted while the grants of the first,
        which has lost the store, may still be renewed.
        """
        world = worlds.World(5)
        world.run(8.0)
        detached = world.leaders()[0]
        detached.cut_until = 30.0
        world.run(12.0)
        (second_leader,) = [
            candidate
            for candidate in world.leaders()
            if candidate is not detached
        ]
        index = world.candidates.index(second_leader)
        second_leader.is_up = False
        restarted = world.candidates[index] = world.candidate(index)
        world.run(13.5)
        assert restarted in world.leaders()
        assert restarted.core.lease.predecessor_until > 16.0


class TestRecovery:
    """Time until every key has a holder again."""

    def test_lost_upstream(self) -> None:
        """The keys of a lost upstream have a new holder within 3 s."""
        world = worlds.World(1)
        world.run(8.0)
        lost = world.upstreams[0]
        keys = [key for key in KEYS if world.holders(key) == [lost.name]]
        assert keys
        lost.is_up = False
        world.run(11.0)
        for key in keys:
            assert len(world.holders(key)) == 1, key

    def test_lost_leader(self) -> None:
        """Every key keeps its holder when the leader is killed."""
        world = worlds.World(2)
        world.run(8.0)
        world.leaders()[0].is_up = False
        while world.now < 14.0:
            world.run(world.now + 0.1)
            for key in KEYS:
                assert len(world.holders(key)) == 1, (world.now, key)

    def test_store_outage(self) -> None:
        """Every key keeps its holder while no instance reaches the store."""
        world = worlds.World(3)
        world.run(8.0)
        for candidate in world.candidates:
            candidate.cut_until = 16.0
        while world.now < 20.0:
            world.run(world.now + 0.1)
            for key in KEYS:
                assert len(world.holders(key)) == 1, (world.now, key)

    def test_store_loses_the_leader_only(self) -> None:
        """Every key keeps its holder when another instance takes over."""
        world = worlds.World(4)
        world.run(8.0)
        world.leaders()[0].cut_until = 16.0
        while world.now < 24.0:
            world.run(world.now + 0.1)
            for key in KEYS:
                assert len(world.holders(key)) == 1, (world.now, key)
