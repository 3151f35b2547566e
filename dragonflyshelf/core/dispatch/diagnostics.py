"""Rows about what runs at the upstreams for operators."""

from collections import abc
import dataclasses

from dragonflyshelf.core import diagnostics
from dragonflyshelf.core import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InFlightRow:
    """What this leader has under way at one upstream."""

    upstream: ids.UpstreamId
    in_flight: int
    slots: int
    latency_ms: float
    ramping: bool
    ejected: bool


@diagnostics.table("in_flight", diagnostics.Owner.ROUTER)
def in_flight_rows(
    sources: diagnostics.RouterSources, now: ids.Instant
) -> abc.Iterator[InFlightRow]:
    """Yield a row for each upstream that this instance has led."""
    found = sources.dispatch.leader.gates_by_upstream
    for name, gate in sorted(found.items()):
        yield InFlightRow(
            upstream=name,
            in_flight=gate.in_flight,
            slots=gate.slots,
            latency_ms=round(gate.latency * 1000, 3),
            ramping=gate.ramp is not None,
            ejected=gate.ejected_until > now,
        )
