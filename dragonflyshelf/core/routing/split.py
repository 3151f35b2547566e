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
        self._credit_by_part: collections.defaultdict[
            tuple[ids.RouteName, ids.ServiceName], float
        ] = collections.defaultdict(float)

    def choose(self, route: objects.Route) -> ids.ServiceName:
        """Return the service for the next request of a route."""
        if len(route.split) == 1:
            return route.split[0].service
        credit = self._credit_by_part
        total = 0.0
        for part in route.split:
            credit[(route.name, part.service)] += part.weight
            total += part.weight
        chosen = max(
            route.split, key=lambda part: credit[(route.name, part.service)]
        )
        credit[(route.name, chosen.service)] -= total
        return chosen.service
