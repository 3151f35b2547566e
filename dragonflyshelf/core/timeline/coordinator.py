"""Time line of one instance: a ring of stamped events.

The ring is bounded by a number of entries and of characters. What falls
out is counted by kind, so that a reader knows what is missing.
"""

import collections
import dataclasses
from typing import Final

from dragonflyshelf.core import ids
from dragonflyshelf.core import invariants
from dragonflyshelf.core.timeline import events

DEFAULT_ENTRIES: Final = 20000
LONGEST_DETAIL: Final = 500


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """An event with its place in the order of all instances."""

    stamp: ids.HybridTimestamp
    instance: ids.InstanceId
    incarnation: ids.Incarnation
    sequence: int
    event: events.TimelineEvent

    @property
    def order(self) -> tuple[int, str, int, int]:
        """Return the key of the merged order."""
        return self.stamp, self.instance, self.incarnation, self.sequence


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StampedEvent:
    """Event: something happened, with the stamp of that moment."""

    stamp: ids.HybridTimestamp
    event: events.TimelineEvent


class TimelineCoordinator:
    """Keeps the latest events of one instance."""

    def __init__(
        self,
        instance: ids.InstanceId,
        incarnation: ids.Incarnation,
        entries: int = DEFAULT_ENTRIES,
    ) -> None:
        """Create an empty time line of so many entries."""
        self._instance = instance
        self._incarnation = incarnation
        self._entries: collections.deque[Entry] = collections.deque()
        self._limit = entries
        self._sequence = 0
        self.dropped_by_kind: collections.Counter[events.EventKind] = (
            collections.Counter()
        )
        self.recorded_by_kind: collections.Counter[events.EventKind] = (
            collections.Counter()
        )

    def handle(self, message: StampedEvent) -> None:
        """Append an event, and drop the oldest over the bound."""
        latest = self._entries[-1].stamp if self._entries else 0
        invariants.check(
            message.stamp > latest,
            "stamp %d does not follow %d",
            message.stamp,
            latest,
        )
        event = message.event
        if len(event.detail) > LONGEST_DETAIL:
            event = dataclasses.replace(
                event, detail=event.detail[:LONGEST_DETAIL]
            )
        self._sequence += 1
        self._entries.append(
            Entry(
                stamp=message.stamp,
                instance=self._instance,
                incarnation=self._incarnation,
                sequence=self._sequence,
                event=event,
            )
        )
        self.recorded_by_kind[event.kind] += 1
        if len(self._entries) > self._limit:
            dropped = self._entries.popleft()
            self.dropped_by_kind[dropped.event.kind] += 1

    @property
    def entries(self) -> tuple[Entry, ...]:
        """Return the kept entries, oldest first."""
        return tuple(self._entries)


def merge(entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
    """Return entries of any instances in the one order of all."""
    return tuple(sorted(entries, key=lambda one: one.order))
