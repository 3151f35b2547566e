"""Detection of upstreams that do not respond to the leader's calls."""

import dataclasses

from dragonflyshelf.core.grantor import const
from dragonflyshelf.core.grantor import messages
from dragonflyshelf.core import ids

FAILED_OUTCOMES = frozenset(
    {
        messages.CallOutcome.GONE,
        messages.CallOutcome.LOST,
        messages.CallOutcome.UNSENT,
    }
)
"""Outcomes of calls to which the upstream itself has not responded.

A fenced call was answered, so it does not count as failed.
"""


@dataclasses.dataclass(kw_only=True, slots=True)
class FailureRecord:
    """Consecutive failed calls to one incarnation of an upstream."""

    failure_count: int = 0
    unresponsive_until: ids.Instant = ids.Instant(float("-inf"))


class FailureDetector:
    """Counts failed calls by upstream.

    An upstream counts as unresponsive only for a limited time, after
    which the next call tries it again.
    """

    def __init__(self) -> None:
        """Create a detector without failures."""
        self._records_by_incarnation: dict[
            ids.UpstreamIncarnation, FailureRecord
        ] = {}

    def clear(self) -> None:
        """Discard all recorded failures."""
        self._records_by_incarnation.clear()

    def is_unresponsive(
        self, incarnation: ids.UpstreamIncarnation, now: ids.Instant
    ) -> bool:
        """Return whether an upstream is considered unresponsive."""
        record = self._records_by_incarnation.get(incarnation)
        return record is not None and now < record.unresponsive_until

    def record_outcome(
        self,
        incarnation: ids.UpstreamIncarnation,
        outcome: messages.CallOutcome,
        now: ids.Instant,
    ) -> None:
        """Record the outcome of a call."""
        if outcome not in FAILED_OUTCOMES:
            self._records_by_incarnation.pop(incarnation, None)
            return
        record = self._records_by_incarnation.setdefault(
            incarnation, FailureRecord()
        )
        record.failure_count += 1
        if record.failure_count >= const.UNRESPONSIVE_FAILURE_COUNT:
            record.unresponsive_until = ids.Instant(
                now + const.UNRESPONSIVE_PERIOD_SECONDS
            )
