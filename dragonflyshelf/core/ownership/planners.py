"""Which instances plan for a service, and when one stands in."""

from typing import Final

from dragonflyshelf.core import ids
from dragonflyshelf.core.ownership import placement
from dragonflyshelf.core.ownership import topology

MOST_PLANNERS: Final = 3


def ranked(
    service: ids.ServiceName, known: topology.Topology
) -> tuple[ids.InstanceId, ...]:
    """Return the planners of a service, by rank.

    They are of different data centres where there are enough, since a
    data centre may lose the platform and still renew through others.
    """
    candidates = known.serving or known.members
    by_weight = sorted(
        (one.instance for one in candidates),
        key=lambda one: (placement.weight(one, f"plan/{service}"), one),
        reverse=True,
    )
    homes = known.homes_by_instance
    first_by_home: dict[ids.DataCentreId, ids.InstanceId] = {}
    for one in by_weight:
        first_by_home.setdefault(homes[one], one)
    firsts = list(first_by_home.values())
    others = [one for one in by_weight if one not in firsts]
    return tuple([*firsts, *others][:MOST_PLANNERS])


class StandIns:
    """How long a change has been due that the first planner leaves."""

    def __init__(self, patience: float) -> None:
        """Create; each rank waits so many seconds longer."""
        self._patience = patience
        self._due_since_by_service: dict[ids.ServiceName, ids.Instant] = {}

    def may_plan(
        self, service: ids.ServiceName, rank: int, due: bool, now: ids.Instant
    ) -> bool:
        """Tell whether a planner of a rank writes the plan now."""
        if rank == 0:
            return True
        if not due:
            self._due_since_by_service.pop(service, None)
            return False
        since = self._due_since_by_service.setdefault(service, now)
        return now - since >= rank * self._patience
