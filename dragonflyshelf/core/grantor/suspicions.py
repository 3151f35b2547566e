"""Upstreams that do not answer the leader's calls."""

import dataclasses

from dragonflyshelf.core.grantor import const
from dragonflyshelf.core.grantor import messages
from dragonflyshelf.core import ids

FAILURES = frozenset(
    {
        messages.CallOutcome.GONE,
        messages.CallOutcome.LOST,
        messages.CallOutcome.UNSENT,
    }
)


@dataclasses.dataclass(kw_only=True, slots=True)
class Record:
    """Failures in a row of one start of an upstream."""

    failures: int = 0
    until: ids.Instant = ids.Instant(float("-inf"))


class Suspicions:
    """Counts failed calls; a suspicion ends by itself after a while."""

    def __init__(self) -> None:
        """Create a count without failures."""
        self._records_by_life: dict[ids.UpstreamIncarnation, Record] = {}

    def clear(self) -> None:
        """Forget every failure."""
        self._records_by_life.clear()

    def is_suspect(
        self, life: ids.UpstreamIncarnation, now: ids.Instant
    ) -> bool:
        """Tell whether an upstream is taken to be lost."""
        record = self._records_by_life.get(life)
        return record is not None and now < record.until

    def count(
        self,
        life: ids.UpstreamIncarnation,
        outcome: messages.CallOutcome,
        now: ids.Instant,
    ) -> None:
        """Count the outcome of a call."""
        if outcome not in FAILURES:
            self._records_by_life.pop(life, None)
            return
        record = self._records_by_life.setdefault(life, Record())
        record.failures += 1
        if record.failures >= const.SUSPECT_AFTER:
            record.until = ids.Instant(now + const.SUSPICION)
