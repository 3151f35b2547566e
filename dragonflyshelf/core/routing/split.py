"""Weighted traffic split of a route among services."""

from typing import Final

from dragonflyshelf.core import ids
from dragonflyshelf.core.routing import objects
from dragonflyshelf.core import stagger

MAX_START_COUNT: Final = 64
"""Number of places in the sequence of services at which instances start."""

CreditByService = dict[ids.ServiceName, float]


class WeightedSplit:
    """Smooth weighted round robin over the services of each route.

    Each request goes to the service with the highest credit, so that the
    shares are exact over a few requests on each instance independently.
    Instances start at different places, so that the shares are right in
    sum too while each of many instances has seen few requests.
    """

    def __init__(self, instance: ids.InstanceId) -> None:
        """Create a split without accumulated credit."""
        self._instance = instance
        self._credit_by_route: dict[ids.RouteName, CreditByService] = {}

    def choose(self, route: objects.Route) -> ids.ServiceName:
        """Return the service for the next request of a route."""
        if len(route.traffic_split) == 1:
            return route.traffic_split[0].service
        credit = self._credit_by_route.get(route.name)
        if credit is None:
            credit = self._start(route)
            self._credit_by_route[route.name] = credit
        return _choose_next(route, credit)

    def _start(self, route: objects.Route) -> CreditByService:
        """Return the credit at this instance's place in the sequence."""
        credit: CreditByService = {}
        ratio = stagger.find_ratio(f"{self._instance}/{route.name}")
        for _ in range(int(MAX_START_COUNT * ratio)):
            _choose_next(route, credit)
        return credit


def _choose_next(
    route: objects.Route, credit: CreditByService
) -> ids.ServiceName:
    total_weight = 0.0
    for target in route.traffic_split:
        credit[target.service] = (
            credit.get(target.service, 0.0) + target.weight
        )
        total_weight += target.weight
    chosen = max(
        route.traffic_split, key=lambda target: credit[target.service]
    )
    credit[chosen.service] -= total_weight
    return chosen.service
