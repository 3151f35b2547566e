"""Weighted traffic split of a route among services."""

import collections

from dragonflyshelf.core import ids
from dragonflyshelf.core.routing import objects


class WeightedSplit:
    """Smooth weighted round robin over the services of each route.

    Each request goes to the service with the highest credit, so that the
    shares are exact over a few requests on each instance independently.
    """

    def __init__(self) -> None:
        """Create a split with no accumulated credit."""
        self._credit_by_target: collections.defaultdict[
            tuple[ids.RouteName, ids.ServiceName], float
        ] = collections.defaultdict(float)

    def choose(self, route: objects.Route) -> ids.ServiceName:
        """Return the service for the next request of a route."""
        if len(route.traffic_split) == 1:
            return route.traffic_split[0].service
        credit = self._credit_by_target
        total_weight = 0.0
        for target in route.traffic_split:
            credit[(route.name, target.service)] += target.weight
            total_weight += target.weight
        chosen = max(
            route.traffic_split,
            key=lambda target: credit[(route.name, target.service)],
        )
        credit[(route.name, chosen.service)] -= total_weight
        return chosen.service
