"""Tests of the strict limits over several instances."""

import dataclasses

import pytest

from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core import ids
from tests.core.limits import conftest

TOLERANCE = 1e-6


def settled(
    workspace: objects.Workspace, instances: int = 8, seed: int = 1
) -> conftest.LimitNetwork:
    """Return a network whose home has filled its burst."""
    network = conftest.LimitNetwork(workspace, instances, seed)
    network.run(4.0)
    return network


def small() -> objects.Workspace:
    """Return a workspace of two requests a second."""
    return objects.Workspace(name=ids.WorkspaceId("small"), rate=2, burst=5)


class TestWithinRate:
    """A workspace within its rate is not refused."""

    def test_uneven_load(self, workspace: objects.Workspace) -> None:
        """Load that shifts between instances is admitted."""
        network = settled(workspace)
        names = list(network.nodes_by_name)
        for step in range(1500):
            first = names[(step // 300) % len(names)]
            other = network.random.choice(names)
            network.ask(first if step % 4 else other)
            network.run(0.01 if step % 2 else 0.0)
        network.run(0.2)
        assert not network.open
        assert not network.refused

    def test_small_rate(self) -> None:
        """Two requests a second from changing instances are admitted."""
        network = settled(small())
        names = list(network.nodes_by_name)
        for _ in range(60):
            network.ask(network.random.choice(names))
            network.run(0.51)
        assert not network.refused

    def test_small_burst(self) -> None:
        """A whole small burst is admitted at once."""
        network = settled(small())
        names = list(network.nodes_by_name)
        for name in names[:5]:
            network.ask(name)
        network.run(0.2)
        assert len(network.admitted) == 5

    def test_one_instance(self, workspace: objects.Workspace) -> None:
        """One instance alone is its own home and sends nothing."""
        network = settled(workspace, instances=1)
        network.loss = 1.0
        for _ in range(50):
            network.ask(ids.InstanceId("i0"))
        assert len(network.admitted) == 50


class TestOverRate:
    """A workspace over its rate gets its rate and no more."""

    def test_five_times(self, workspace: objects.Workspace) -> None:
        """Five times the rate over eight uneven instances."""
        network = settled(workspace)
        names = list(network.nodes_by_name)
        for _ in range(1000):
            for _ in range(10):
                network.ask(names[int(network.random.random() ** 2 * 8)])
            network.run(0.01)
        network.run(0.2)
        assert not network.open
        over = network.over_admitted(workspace.rate, workspace.burst)
        assert over <= TOLERANCE
        due = workspace.rate * 10
        assert len(network.admitted) >= 0.95 * due

    def test_small_rate(self) -> None:
        """A small rate is not exceeded either."""
        network = settled(small())
        names = list(network.nodes_by_name)
        for _ in range(2000):
            network.ask(network.random.choice(names))
            network.run(0.01)
        assert network.over_admitted(2, 5) <= TOLERANCE
        assert len(network.admitted) >= 0.9 * 40


class TestChangeOfRate:
    """A change neither doubles nor loses tokens."""

    def test_up_and_down(self, workspace: objects.Workspace) -> None:
        """After each change the new rate is used in full."""
        network = settled(workspace)
        names = list(network.nodes_by_name)
        for rate in (400.0, 100.0, 200.0):
            changed = dataclasses.replace(workspace, rate=rate)
            network.change(changed)
            network.run(0.1)
            start = len(network.admitted)
            for _ in range(300):
                for _ in range(8):
                    network.ask(network.random.choice(names))
                network.run(0.01)
            admitted = len(network.admitted) - start
            assert admitted <= 3.0 * rate + workspace.burst + 1
            assert admitted >= 0.95 * 3.0 * rate - 1

    def test_smaller_burst(self, workspace: objects.Workspace) -> None:
        """Tokens over a smaller burst are gone."""
        network = settled(workspace)
        network.change(dataclasses.replace(workspace, rate=1.0, burst=3.0))
        network.run(0.1)
        for name in list(network.nodes_by_name) * 2:
            network.ask(name)
        network.run(0.2)
        assert len(network.admitted) == 3


class TestFaults:
    """No fault admits more than rate and burst."""

    @pytest.mark.parametrize("seed", range(16))
    def test_random(self, seed: int, workspace: objects.Workspace) -> None:
        """Loss, late and doubled messages, pauses, cuts, replacements."""
        network = conftest.LimitNetwork(
            workspace, 2 + seed % 5, seed, loss=0.05, late=0.1
        )
        network.view_delay = 2.0
        network.run(3.0)
        names = list(network.nodes_by_name)
        for step in range(1500):
            for _ in range((0, 1, 2, 12)[step // 40 % 4]):
                network.ask(network.random.choice(names))
            chance = network.random.random()
            node = network.nodes_by_name[network.random.choice(names)]
            span = network.random.choice((0.3, 1.4, 1.6, 3.0, 6.0))
            if chance < 0.005:
                node.paused_until = network.now + span
            elif chance < 0.010:
                node.cut_until = network.now + span
            network.run(0.01)
        over = network.over_admitted(workspace.rate, workspace.burst)
        assert over <= TOLERANCE
        assert len(network.admitted) > 100

    def test_home_lost(self, workspace: objects.Workspace) -> None:
        """Another home serves again once the former is removed."""
        network = settled(workspace, instances=4)
        home = network.nodes_by_name[ids.InstanceId("i0")].policy
        place = home._places_by_workspace[workspace.name]
        lost = network.nodes_by_name[place]
        lost.paused_until = network.now + 60
        network.run(conftest.LEASE + 1.5)
        names = [one for one in network.nodes_by_name if one != place]
        start = len(network.admitted)
        for _ in range(200):
            network.ask(network.random.choice(names))
            network.run(0.01)
        assert len(network.admitted) - start == 200

    def test_local_counters_exceed(self, workspace: objects.Workspace) -> None:
        """The baseline of one counter each does exceed the rate."""
        network = conftest.LimitNetwork(workspace, 8, 1, policy="local")
        network.run(0.1)
        for _ in range(300):
            for name in network.nodes_by_name:
                network.ask(name)
            network.run(0.01)
        over = network.over_admitted(workspace.rate, workspace.burst)
        assert over > workspace.burst
