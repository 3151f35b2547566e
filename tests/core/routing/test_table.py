"""Tests of route lookup and of weighted traffic splits."""

import collections
import dataclasses

import pytest

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.routing import objects
from dragonflyshelf.core.routing import split
from dragonflyshelf.core.routing import table
from dragonflyshelf.core import states
from tests.core.scheduling import world

NO_KEY = ids.KeyDigest("")


def table_with_prefixes(*names: str) -> table.RouteTable:
    """Return a table with public routes for these path prefixes."""
    routes = tuple(
        world.route(name, "letters", is_public=True) for name in names
    )
    return table.RouteTable(world.configuration(routes=routes))


class TestMatch:
    """The host and the longest path prefix select the route."""

    def test_longest_prefix(self) -> None:
        """The longer of two prefixes is selected."""
        routes = table_with_prefixes("a", "a/b")
        assert routes.match(world.HOST, "/a/b/c", NO_KEY).route.name == "a/b"
        assert routes.match(world.HOST, "/a/c", NO_KEY).route.name == "a"

    def test_prefix_ends_at_a_slash(self) -> None:
        """A prefix does not match a longer path segment."""
        with pytest.raises(errors.ServiceNotFound):
            table_with_prefixes("a").match(world.HOST, "/ab/c", NO_KEY)

    def test_other_host(self) -> None:
        """A route does not match another host."""
        with pytest.raises(errors.ServiceNotFound):
            table_with_prefixes("a").match("other.example", "/a/c", NO_KEY)

    def test_public_route_needs_no_key(self) -> None:
        """A public route accepts a request without a key."""
        assert (
            table_with_prefixes("a").match(world.HOST, "/a/", NO_KEY).workspace
            is None
        )

    def test_no_workspace(self) -> None:
        """ROUTE: withdrawing the last workspace let everybody in."""
        routes = table.RouteTable(world.configuration(workspaces=()))
        for digest in (NO_KEY, world.DIGEST):
            with pytest.raises(errors.CallerKeyRefused):
                routes.match(world.HOST, "/read/1", digest)

    def test_open_configuration(self) -> None:
        """Without caller keys of any workspace every route is open."""
        config = dataclasses.replace(
            world.configuration(workspaces=()), access=states.Access.OPEN
        )
        match = table.RouteTable(config).match(world.HOST, "/read/1", NO_KEY)
        assert match.workspace is None

    def test_workspace_priority(self) -> None:
        """The priority of the workspace overrides that of the route."""
        config = world.configuration(workspaces=(world.workspace(priority=0),))
        match = table.RouteTable(config).match(
            world.HOST, "/read/1", world.DIGEST
        )
        assert match.priority == 0


def make_split_route(*weights: float) -> objects.Route:
    """Return a route to the services x, y and so on with weights."""
    return objects.Route(
        name=ids.RouteName("r"),
        host="h",
        path_prefix="/",
        kind=objects.RequestKind.IDEMPOTENT,
        timeout=1.0,
        latency_objective=1.0,
        priority=0,
        traffic_split=tuple(
            objects.WeightedService(
                service=ids.ServiceName(name), weight=weight
            )
            for name, weight in zip("xyz", weights)
        ),
        max_attempts=2,
        is_public=True,
    )


class TestWeightedSplit:
    """Weighted traffic split."""

    def test_weights(self) -> None:
        """Weights 90 and 10 give exact, evenly spread shares."""
        route = make_split_route(90, 10)
        traffic_split = split.WeightedSplit(ids.InstanceId("i1"))
        chosen = [traffic_split.choose(route) for _ in range(100)]
        assert collections.Counter(chosen) == {"x": 90, "y": 10}
        assert "y" in chosen[:10]

    @pytest.mark.parametrize("weights", [(80, 20), (70, 30), (0.5, 0.3, 0.2)])
    @pytest.mark.parametrize("request_count", [1, 2, 4])
    def test_first_requests_of_many_instances(
        self, weights: tuple[float, ...], request_count: int
    ) -> None:
        """The first requests of all instances went to the same service."""
        route = make_split_route(*weights)
        chosen: collections.Counter[ids.ServiceName] = collections.Counter()
        for number in range(200):
            traffic_split = split.WeightedSplit(ids.InstanceId(f"i{number}"))
            chosen.update(
                traffic_split.choose(route) for _ in range(request_count)
            )
        for name, weight in zip("xyz", weights):
            share = chosen[ids.ServiceName(name)] / chosen.total()
            assert abs(share - weight / sum(weights)) < 0.1
