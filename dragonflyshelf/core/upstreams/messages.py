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
class UpstreamNotice:
    """Event: an upstream has said in a response what it wants.

    It leaves if ``is_leaving`` is set, and wants nothing for
    ``backoff_seconds``, which are 0 if it has not said so.
    """

    incarnation: ids.UpstreamIncarnation
    is_leaving: bool = False
    backoff_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceTimesChanged:
    """Event: new service times, measured by all instances."""

    sums: service_times.ServiceTimeSums
