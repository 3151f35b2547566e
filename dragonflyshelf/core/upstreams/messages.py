"""Events about upstreams, for every core that reckons with them."""

import dataclasses

from dragonflyshelf.core import ids
from dragonflyshelf.core.upstreams import objects
from dragonflyshelf.core.upstreams import paces as pace


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RegistrationsChanged:
    """The registry of upstreams has changed."""

    registrations: tuple[objects.Registration, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationsChanged:
    """Other data centres than before are evacuated."""

    data_centres: frozenset[ids.DataCentreId]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PacesChanged:
    """All instances have measured how fast upstreams answer."""

    paces: pace.Paces
