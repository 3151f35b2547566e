"""Upstreams as they register themselves, and what they report."""

import dataclasses

from dragonflyshelf.core import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Registration:
    """An upstream's entry in the registry.

    ``born`` is the Unix millisecond of its start: an upstream that
    starts again under its id is another holder of shards.
    ``warmup_left`` is how many seconds it stays cold.
    """

    id: ids.UpstreamId
    service: ids.ServiceName
    host: str
    port: int
    data_centre: ids.DataCentreId
    slots: int
    is_draining: bool
    warmup_left: float
    born: int

    @property
    def life(self) -> ids.UpstreamIncarnation:
        """Return what names this one start of the upstream."""
        return ids.UpstreamIncarnation(f"{self.id}@{self.born}")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """What an upstream says of its load in an answer.

    ``slowness`` is how long work takes there at this moment, as a
    factor of the usual time.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0
