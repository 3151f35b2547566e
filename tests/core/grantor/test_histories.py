"""Randomized fault simulations of leader election and shard ranges."""

import pytest

from dragonflyshelf.core.grantor import lease
from dragonflyshelf.core.grantor import messages
from dragonflyshelf.core.grantor import objects
from dragonflyshelf.core import ids
from dragonflyshelf.core import settings
from tests.core.grantor import simulation as simulations

SEED_COUNT = 40
HOT_KEYS_SEED_COUNT = 12
SEEDS_BY_CAUSE = {
    "a restarted leader ignored the detached leader before it": 2066,
}
"""Seed of a simulation that failed, by what was wrong in the code."""

KEYS = range(0, 65536, 8192)


class TestOneHolder:
    """A key never has two holders, whatever faults occur."""

    @pytest.mark.parametrize("seed", range(SEED_COUNT))
    def test_random_history(self, seed: int) -> None:
        """No key has two holders, and each has one after the faults end."""
        simulation = simulations.Simulation(seed)
        simulation.run(6.0)
        simulation.inject_faults(40.0)
        assert simulation.double_grants == []
        simulation.run(75.0)
        assert simulation.double_grants == []
        for key in KEYS:
            assert len(simulation.holders(key)) == 1, key


class TestRangesThatChange:
    """A changing load splits, moves and merges ranges amid the faults."""

    @pytest.mark.parametrize("seed", range(HOT_KEYS_SEED_COUNT))
    def test_random_history(self, seed: int) -> None:
        """No key has two holders, and each has one after the faults end."""
        simulation = simulations.Simulation(
            seed, planned_stops=seed % 2 == 1, hot_keys=True
        )
        simulation.run(6.0)
        simulation.inject_faults(40.0)
        simulation.run(75.0)
        assert simulation.double_grants == []
        for key in KEYS:
            assert len(simulation.holders(key)) == 1, key


class TestRegressions:
    """Seeds of simulations that have failed before, by cause."""

    @pytest.mark.parametrize("cause", SEEDS_BY_CAUSE)
    def test_history(self, cause: str) -> None:
        """No key has two holders."""
        simulation = simulations.Simulation(SEEDS_BY_CAUSE[cause])
        simulation.run(6.0)
        simulation.inject_faults(40.0)
        simulation.run(75.0)
        assert simulation.double_grants == []

    def test_restarted_leader(self) -> None:
        """A restarted leader waits for the detached leader before it.

        The second leader is restarted while the grants of the first,
        which has lost the store, may still be renewed.
        """
        simulation = simulations.Simulation(5)
        simulation.run(8.0)
        detached = simulation.leaders()[0]
        detached.store_unreachable_until = 30.0
        simulation.run(12.0)
        (second_leader,) = [
            candidate
            for candidate in simulation.leaders()
            if candidate is not detached
        ]
        index = simulation.candidates.index(second_leader)
        second_leader.is_up = False
        restarted = simulation.candidates[index] = simulation.candidate(index)
        simulation.run(13.5)
        assert restarted in simulation.leaders()
        assert restarted.core.lease_manager.predecessor_until > 16.0


class TestLeaderThatResigns:
    """OWNER: a grant on its way at a resignation outlived the former one."""

    def test_grant_that_arrives_late(self) -> None:
        """The successor waits for it before it grants the range anew."""
        simulation = simulations.Simulation(6, planned_stops=True)
        simulation.run(8.0)
        (leader,) = simulation.leaders()
        upstream = simulation.upstreams[0]
        send_call = simulation._send_call
        late_calls = []

        def send_late(
            candidate: simulations.Candidate, call: simulations.RangeCall
        ) -> None:
            if isinstance(call, messages.ReleaseRange):
                simulation._lose_release(candidate, call)
            elif candidate is leader and call.registration.id == upstream.name:
                late_calls.append(call)
                simulation.schedule(
                    simulation.config.grants.call_timeout * 1.8,
                    lambda: send_call(candidate, call),
                )
            else:
                send_call(candidate, call)

        simulation._send_call = send_late  # type: ignore[method-assign]
        while not late_calls:
            simulation.run(simulation.now + 0.05)
        simulation.deliver(leader, messages.Resign())
        upstream.is_draining = True
        simulation.run(16.0)
        assert simulation.double_grants == []
        assert leader not in simulation.leaders()


class TestTakeoverBySize:
    """A small instance that took the lease could not serve the others."""

    def make_delays(self, count: int, **values: float) -> list[float]:
        """Return the takeover delays of instances, in order."""
        delays = []
        for number in range(count):
            name = ids.InstanceId(f"i{number}")
            instance = settings.InstanceSettings(
                name=name,
                data_centre=ids.DataCentreId("a"),
                **values,  # type: ignore[arg-type]
            )
            own_lease = objects.Lease(
                holder=name,
                incarnation=ids.Incarnation(1),
                host="h",
                port=1,
                count=0,
            )
            manager = lease.LeaseManager(
                settings.Settings(instance=instance), own_lease
            )
            manager.set_instance_count(count)
            delays.append(manager._takeover_delay)
        return sorted(delays)

    @pytest.mark.parametrize(
        "values", [{"link_mbps": 6.0}, {"core_share": 0.43}]
    )
    def test_small_instances_wait(self, values: dict[str, float]) -> None:
        """They try only when all others have had the time to."""
        assert self.make_delays(195)[-1] <= self.make_delays(195, **values)[0]

    @pytest.mark.parametrize("count", [8, 65, 195])
    def test_small_instances_alone(self, count: int) -> None:
        """Without others one of them tries 1.7 s after the lease's end."""
        first = self.make_delays(count, link_mbps=6.0)[0]
        assert first <= 1.7


class TestRecovery:
    """Time until every key has a holder again."""

    def test_lost_upstream(self) -> None:
        """The keys of a lost upstream have a new holder within 3 s."""
        simulation = simulations.Simulation(1)
        simulation.run(8.0)
        lost = simulation.upstreams[0]
        keys = [key for key in KEYS if simulation.holders(key) == [lost.name]]
        assert keys
        lost.is_up = False
        simulation.run(11.0)
        for key in keys:
            assert len(simulation.holders(key)) == 1, key

    def test_lost_leader(self) -> None:
        """Every key keeps its holder when the leader is killed."""
        simulation = simulations.Simulation(2)
        simulation.run(8.0)
        simulation.leaders()[0].is_up = False
        while simulation.now < 14.0:
            simulation.run(simulation.now + 0.1)
            for key in KEYS:
                assert len(simulation.holders(key)) == 1, (simulation.now, key)

    def test_store_outage(self) -> None:
        """Every key keeps its holder while no instance reaches the store."""
        simulation = simulations.Simulation(3)
        simulation.run(8.0)
        for candidate in simulation.candidates:
            candidate.store_unreachable_until = 16.0
        while simulation.now < 20.0:
            simulation.run(simulation.now + 0.1)
            for key in KEYS:
                assert len(simulation.holders(key)) == 1, (simulation.now, key)

    def test_leader_cut_off_from_store(self) -> None:
        """Every key keeps its holder when another instance takes over."""
        simulation = simulations.Simulation(4)
        simulation.run(8.0)
        simulation.leaders()[0].store_unreachable_until = 16.0
        while simulation.now < 24.0:
            simulation.run(simulation.now + 0.1)
            for key in KEYS:
                assert len(simulation.holders(key)) == 1, (simulation.now, key)
