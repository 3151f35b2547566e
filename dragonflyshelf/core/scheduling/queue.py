"""Queue of requests that wait for an upstream with capacity.

Entries are ordered by priority, then by fair queueing among workspaces,
then by arrival. Every ``OLDEST_FIRST_INTERVAL_COUNT``-th entry is the
oldest one, so that no workspace or priority is starved. Entries that can
no longer meet their objective come after those that still can.
"""

from collections import abc
import dataclasses
import heapq
from typing import Final

from dragonflyshelf.core import ids
from dragonflyshelf.core.scheduling import const
from dragonflyshelf.core.scheduling import return_places
from dragonflyshelf.core.slots import messages as slots

NEVER: Final = ids.Instant(float("inf"))

EntryKey = ids.ExchangeId | slots.SlotKey
"""Identifies a request of this instance, or one that waits for a slot."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """A queued request; it expires at ``latest_start``.

    If it starts after ``objective_start``, it misses its objective.
    """

    key: EntryKey
    priority: int
    workspace: ids.WorkspaceId | None
    queued_at: ids.Instant
    latest_start: ids.Instant
    objective_start: ids.Instant = NEVER


class FairQueue:
    """Requests queued for one service or one shard holder."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._entries_by_key: dict[EntryKey, Entry] = {}
        self._heap: list[tuple[int, float, int, EntryKey]] = []
        self._late_heap: list[tuple[int, float, int, EntryKey]] = []
        self._push_count = 0
        self._finish_tag_by_workspace: dict[ids.WorkspaceId | None, float] = {}
        self.return_places = return_places.ReturnPlaces()
        self._virtual_time = 0.0
        self._pop_count = 0

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries_by_key)

    def __iter__(self) -> abc.Iterator[Entry]:
        """Iterate over the entries in order of arrival."""
        return iter(self._entries_by_key.values())

    def count_ahead(self, new_entry: Entry, now: ids.Instant) -> int:
        """Return the number of entries ahead of a new one by priority.

        Those that miss their objective are not ahead of one that meets it.
        """
        is_late = new_entry.objective_start < now
        return sum(
            entry.priority <= new_entry.priority
            and (is_late or entry.objective_start >= now)
            for entry in self
        )

    def push(self, entry: Entry) -> None:
        """Add an entry."""
        last_tag = self._finish_tag_by_workspace.get(entry.workspace, 0.0)
        finish_tag = max(self._virtual_time, last_tag) + 1.0
        self._finish_tag_by_workspace[entry.workspace] = finish_tag
        self._entries_by_key[entry.key] = entry
        self._push_count += 1
        heapq.heappush(
            self._heap,
            (entry.priority, finish_tag, self._push_count, entry.key),
        )

    def pop(self, now: ids.Instant) -> Entry:
        """Remove and return the next entry of a non-empty queue."""
        self._pop_count += 1
        if self._pop_count % const.OLDEST_FIRST_INTERVAL_COUNT == 0:
            return self._entries_by_key.pop(self._find_oldest(now))
        while self._heap:
            item = heapq.heappop(self._heap)
            entry = self._entries_by_key.get(item[-1])
            if entry is None:
                continue
            if entry.objective_start < now:
                heapq.heappush(self._late_heap, item)
                continue
            return self._take(item)
        while self._late_heap[0][-1] not in self._entries_by_key:
            heapq.heappop(self._late_heap)
        return self._take(heapq.heappop(self._late_heap))

    def _find_oldest(self, now: ids.Instant) -> EntryKey:
        """Return the oldest entry, one that meets its objective if any."""
        for key, entry in self._entries_by_key.items():
            if entry.objective_start >= now:
                return key
        return next(iter(self._entries_by_key))

    def _take(self, item: tuple[int, float, int, EntryKey]) -> Entry:
        """Remove and return the entry of a heap item."""
        _, finish_tag, _, key = item
        self._virtual_time = max(self._virtual_time, finish_tag - 1.0)
        return self._entries_by_key.pop(key)

    def remove(self, key: EntryKey) -> bool:
        """Remove an entry and return whether it was queued."""
        return self._entries_by_key.pop(key, None) is not None

    def remove_expired(self, now: ids.Instant) -> list[Entry]:
        """Remove and return the entries past their latest start."""
        expired = [entry for entry in self if entry.latest_start <= now]
        for entry in expired:
            del self._entries_by_key[entry.key]
        return expired

    def remove_all(self) -> list[Entry]:
        """Remove and return every entry."""
        entries = list(self)
        self._entries_by_key.clear()
        self._heap.clear()
        self._late_heap.clear()
        return entries
