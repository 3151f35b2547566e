"""Timeline of one instance: a ring buffer of timestamped events.

The number of entries and the length of a detail text are bounded.
Dropped events are counted by kind, so that readers can see the gaps.
"""

import collections
import dataclasses
from typing import Final

from dragonflyshelf.core import ids
from dragonflyshelf.core import invariants
from dragonflyshelf.core.timeline import events

DEFAULT_ENTRY_COUNT: Final = 20000
"""Default for the maximum number of retained events."""

MAX_DETAIL_CHARACTER_COUNT: Final = 500
"""Length to which the detail text of an event is truncated."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TimelineEntry:
    """An event with the fields that order it over all instances."""

    stamp: ids.HybridTimestamp
    instance: ids.InstanceId
    incarnation: ids.Incarnation
    sequence: int
    event: events.TimelineEvent

    @property
    def sort_key(self) -> tuple[int, str, int, int]:
        """Return the sort key in the merged timeline."""
        return self.stamp, self.instance, self.incarnation, self.sequence


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TimestampedEvent:
    """Event: record an event with its timestamp."""

    stamp: ids.HybridTimestamp
    event: events.TimelineEvent


class TimelineCoordinator:
    """Keeps the latest events of one instance."""

    def __init__(
        self,
        instance: ids.InstanceId,
        incarnation: ids.Incarnation,
        max_entry_count: int = DEFAULT_ENTRY_COUNT,
    ) -> None:
        """Create an empty timeline that retains up to ``max_entry_count``."""
        self._instance = instance
        self._incarnation = incarnation
        self._entries: collections.deque[TimelineEntry] = collections.deque()
        self._max_entry_count = max_entry_count
        self._sequence = 0
        self.dropped_by_kind: collections.Counter[events.EventKind] = (
            collections.Counter()
        )
        self.recorded_by_kind: collections.Counter[events.EventKind] = (
            collections.Counter()
        )

    def handle(self, message: TimestampedEvent) -> None:
        """Append an event; drop the oldest one when the ring is full."""
        latest_stamp = self._entries[-1].stamp if self._entries else 0
        invariants.check(
            message.stamp > latest_stamp,
            "timestamp %d is not above the previous one, %d",
            message.stamp,
            latest_stamp,
        )
        event = message.event
        if len(event.detail) > MAX_DETAIL_CHARACTER_COUNT:
            event = dataclasses.replace(
                event, detail=event.detail[:MAX_DETAIL_CHARACTER_COUNT]
            )
        self._sequence += 1
        self._entries.append(
            TimelineEntry(
                stamp=message.stamp,
                instance=self._instance,
                incarnation=self._incarnation,
                sequence=self._sequence,
                event=event,
            )
        )
        self.recorded_by_kind[event.kind] += 1
        if len(self._entries) > self._max_entry_count:
            dropped = self._entries.popleft()
            self.dropped_by_kind[dropped.event.kind] += 1

    @property
    def entries(self) -> tuple[TimelineEntry, ...]:
        """Return the retained entries, oldest first."""
        return tuple(self._entries)


def merge(entries: tuple[TimelineEntry, ...]) -> tuple[TimelineEntry, ...]:
    """Return entries of several instances in causal order."""
    return tuple(sorted(entries, key=lambda entry: entry.sort_key))
