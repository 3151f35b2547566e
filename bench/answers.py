"""What the load tool has seen, and its summary by class."""

import collections
from collections import abc
import dataclasses

from hdrh import histogram

from dragonflyshelf.core import states

LARGEST_US = 120_000_000
MICROSECONDS = 1_000_000
MILLISECONDS = 1000
SIGNIFICANT_DIGITS = 3
STATUS_NONE = 0
STATUS_OK = 200
STATUS_RATE = 429


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """One request and what became of it.

    ``status`` is 0 when no whole answer came; ``error`` says why. ``at``
    is the wall-clock time at which it was meant to be sent, and
    ``latency`` the seconds from then to the end of the answer.
    """

    request_id: str
    workspace: str
    service: str
    target: str
    idempotent: bool
    priority: states.Priority
    port: int
    status: int
    at: float
    latency: float
    outcome: str = ""
    code: str = ""
    body_request_id: str = ""
    upstream: str = ""
    error: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Summary:
    """Counts and latencies, in milliseconds, of some answers."""

    requests: int
    answered: int
    by_status: dict[str, int]
    p50_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


def summarise(found: abc.Iterable[Answer]) -> Summary:
    """Return the summary of some answers; latencies of status 200."""
    latencies = histogram.HdrHistogram(1, LARGEST_US, SIGNIFICANT_DIGITS)
    by_status: collections.Counter[str] = collections.Counter()
    answered = 0
    for one in found:
        by_status[str(one.status)] += 1
        if one.status == STATUS_OK:
            answered += 1
            latencies.record_value(max(1, int(one.latency * MICROSECONDS)))
    return Summary(
        requests=sum(by_status.values()),
        answered=answered,
        by_status=dict(sorted(by_status.items())),
        p50_ms=_percentile(latencies, 50),
        p99_ms=_percentile(latencies, 99),
        p999_ms=_percentile(latencies, 99.9),
        max_ms=_percentile(latencies, 100),
    )


def summarise_by_priority(found: list[Answer]) -> dict[str, Summary]:
    """Return a summary for each class and one of all."""
    result = {"all": summarise(found)}
    for priority in states.Priority:
        result[priority.value] = summarise(
            one for one in found if one.priority is priority
        )
    return result


def _percentile(latencies: histogram.HdrHistogram, share: float) -> float:
    microseconds = latencies.get_value_at_percentile(share)
    return round(microseconds / MILLISECONDS, 3)
