"""Events about upstreams that several parts of the core handle."""

import dataclasses

from dragonflyshelf.core import ids
from dragonflyshelf.core.upstreams import objects
from dragonflyshelf.core.upstreams import service_times


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RegistrationsChanged:
    """Event: the registry of upstreams has changed."""

    registrations: tuple[objects.Registration, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationsChanged:
    """Event: the set of evacuated data centres has changed."""

    data_centres: frozenset[ids.DataCentreId]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceTimesChanged:
    """Event: new service times, measured by all instances."""

    sums: service_times.ServiceTimeSums
