"""Queue of requests that wait for an upstream with capacity.

Entries are ordered by priority, then by fair queueing among workspaces,
then by arrival. Every ``OLDEST_FIRST_INTERVAL_COUNT``-th entry is the
oldest one, so that no workspace or priority is starved.
"""

from collections import abc
import dataclasses
import heapq

from dragonflyshelf.core import ids
from dragonflyshelf.core.scheduling import const


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """A queued request; it expires at ``latest_start``."""

    exchange: ids.ExchangeId
    priority: int
    workspace: ids.WorkspaceId | None
    queued_at: ids.Instant
    latest_start: ids.Instant


class FairQueue:
    """Requests queued for one service or one shard holder."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._entries_by_exchange: dict[ids.ExchangeId, Entry] = {}
        self._heap: list[tuple[int, float, ids.ExchangeId]] = []
        self._finish_tag_by_workspace: dict[ids.WorkspaceId | None, float] = {}
        self._virtual_time = 0.0
        self._pop_count = 0

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries_by_exchange)

    def __iter__(self) -> abc.Iterator[Entry]:
        """Iterate over the entries in order of arrival."""
        return iter(self._entries_by_exchange.values())

    def count_ahead(self, priority: int) -> int:
        """Return the number of entries ahead of a new one by priority."""
        return sum(entry.priority <= priority for entry in self)

    def push(self, entry: Entry) -> None:
        """Add an entry."""
        last_tag = self._finish_tag_by_workspace.get(entry.workspace, 0.0)
        finish_tag = max(self._virtual_time, last_tag) + 1.0
        self._finish_tag_by_workspace[entry.workspace] = finish_tag
        self._entries_by_exchange[entry.exchange] = entry
        heapq.heappush(
            self._heap, (entry.priority, finish_tag, entry.exchange)
        )

    def pop(self) -> Entry:
        """Remove and return the next entry of a non-empty queue."""
        self._pop_count += 1
        if self._pop_count % const.OLDEST_FIRST_INTERVAL_COUNT == 0:
            oldest = next(iter(self._entries_by_exchange))
            return self._entries_by_exchange.pop(oldest)
        while True:
            _, finish_tag, exchange = heapq.heappop(self._heap)
            entry = self._entries_by_exchange.pop(exchange, None)
            if entry is not None:
                self._virtual_time = max(self._virtual_time, finish_tag - 1.0)
                return entry

    def remove(self, exchange: ids.ExchangeId) -> bool:
        """Remove an entry and return whether it was queued."""
        return self._entries_by_exchange.pop(exchange, None) is not None

    def remove_expired(self, now: ids.Instant) -> list[Entry]:
        """Remove and return the entries past their latest start."""
        expired = [entry for entry in self if entry.latest_start <= now]
        for entry in expired:
            del self._entries_by_exchange[entry.exchange]
        return expired

    def remove_all(self) -> list[Entry]:
        """Remove and return every entry."""
        entries = list(self)
        self._entries_by_exchange.clear()
        self._heap.clear()
        return entries
