"""Registrations and load reports of upstreams."""

import dataclasses

from dragonflyshelf.core import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Registration:
    """An upstream's entry in the registry.

    ``started_at_ms`` is the Unix time of its start in milliseconds. An
    upstream that restarts under the same id is another holder of shards.
    ``warmup_left_seconds`` is the rest of its warm-up, and ``version`` that
    of its software, empty if it does not say.
    """

    id: ids.UpstreamId
    service: ids.ServiceName
    host: str
    port: int
    data_centre: ids.DataCentreId
    slots: int
    is_draining: bool
    warmup_left_seconds: float
    started_at_ms: int
    version: ids.UpstreamVersion = ids.UpstreamVersion("")

    @property
    def incarnation(self) -> ids.UpstreamIncarnation:
        """Return the identifier of this start of the upstream."""
        return ids.UpstreamIncarnation(f"{self.id}@{self.started_at_ms}")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """Load that an upstream reports with a response.

    ``slowdown`` is the present service time as a factor of the usual
    one.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0
