"""Values of the roster objects, one for each data centre."""

import dataclasses

from dragonflyshelf.core import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """One instance in a roster.

    ``renewal`` counts renewals, so that a watcher sees the lease run on
    without comparing clocks.
    """

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    host: str
    peer_port: int
    operator_port: int
    renewal: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Roster:
    """The instances of one data centre, sorted by name."""

    data_centre: ids.DataCentreId
    members: tuple[Member, ...] = ()
