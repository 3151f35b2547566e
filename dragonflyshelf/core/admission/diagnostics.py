"""Rows about queues for operators."""

from collections import abc
import dataclasses

from dragonflyshelf.core.admission import queue as queues
from dragonflyshelf.core import diagnostics
from dragonflyshelf.core import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AdmissionRow:
    """Requests that wait at this instance; ``queue`` names for what."""

    queue: str
    urgent: int
    patient: int


@diagnostics.table("admissions", diagnostics.Owner.ROUTER)
def admission_rows(
    sources: diagnostics.RouterSources, now: ids.Instant
) -> abc.Iterator[AdmissionRow]:
    """Yield a row for each queue of this leader."""
    found = sources.dispatch.leader.queues_by_name
    for name, one in sorted(found.items()):
        classes = one.classes_by_priority
        yield AdmissionRow(
            queue=name,
            urgent=classes[queues.URGENT].size,
            patient=classes[queues.PATIENT].size,
        )
