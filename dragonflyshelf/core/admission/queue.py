"""Bounded queue: urgent before patient, fair among workspaces.

Within a class the workspaces take turns by weighted deficit round
robin. Patient work is served before urgent work only as far as its
floor goes.
"""

import collections
from collections import abc
import dataclasses
from typing import Final

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import invariants
from dragonflyshelf.core import settings
from dragonflyshelf.core import states

LEAST_WEIGHT: Final = 0.05
MOST_WEIGHT: Final = 20.0
PATIENT: Final = states.Priority.PATIENT
ROUNDING: Final = 1e-9
URGENT: Final = states.Priority.URGENT


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """A request that waits for a slot."""

    exchange: ids.ExchangeId
    workspace: ids.WorkspaceId
    weight: float
    priority: states.Priority
    deadline: ids.Instant
    queued_at: ids.Instant


class ClassQueue:
    """Entries of one priority by workspace."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self.size = 0
        self._entries_by_workspace: dict[
            ids.WorkspaceId, collections.deque[Entry]
        ] = {}
        self._deficits_by_workspace: dict[ids.WorkspaceId, float] = {}
        self._turns: collections.deque[ids.WorkspaceId] = collections.deque()

    def push(self, entry: Entry) -> None:
        """Append an entry to those of its workspace."""
        entries = self._entries_by_workspace.get(entry.workspace)
        if entries is None:
            entries = collections.deque()
            self._entries_by_workspace[entry.workspace] = entries
            self._deficits_by_workspace[entry.workspace] = 0.0
            self._turns.append(entry.workspace)
        entries.append(entry)
        self.size += 1

    def pop(self) -> Entry:
        """Remove the entry whose turn it is."""
        while True:
            name = self._turns[0]
            entries = self._entries_by_workspace[name]
            if self._deficits_by_workspace[name] >= 1.0:
                self._deficits_by_workspace[name] -= 1.0
                entry = entries.popleft()
                self._forget_if_empty(name)
                self.size -= 1
                return entry
            weight = min(max(entries[0].weight, LEAST_WEIGHT), MOST_WEIGHT)
            self._deficits_by_workspace[name] += weight
            if self._deficits_by_workspace[name] < 1.0:
                self._turns.rotate(-1)

    def drop_newest_of_longest(self) -> Entry:
        """Remove the newest entry of the workspace with most for its due."""
        name = max(self._entries_by_workspace, key=self._excess)
        entry = self._entries_by_workspace[name].pop()
        self._forget_if_empty(name)
        self.size -= 1
        return entry

    def _excess(self, name: ids.WorkspaceId) -> float:
        entries = self._entries_by_workspace[name]
        return len(entries) / max(entries[0].weight, LEAST_WEIGHT)

    def remove(self, exchange: ids.ExchangeId) -> bool:
        """Remove an entry that is no longer wanted."""
        return bool(self.take(lambda one: one.exchange == exchange))

    def take(self, wanted: abc.Callable[[Entry], bool]) -> list[Entry]:
        """Remove and return the entries for which ``wanted`` is true."""
        taken = []
        for name in list(self._entries_by_workspace):
            entries = self._entries_by_workspace[name]
            found = [one for one in entries if wanted(one)]
            for one in found:
                entries.remove(one)
            taken.extend(found)
            self._forget_if_empty(name)
        self.size -= len(taken)
        return taken

    def _forget_if_empty(self, name: ids.WorkspaceId) -> None:
        if self._entries_by_workspace[name]:
            if self._deficits_by_workspace[name] < 1.0:
                self._next_turn(name)
            return
        del self._entries_by_workspace[name]
        del self._deficits_by_workspace[name]
        self._turns.remove(name)

    def _next_turn(self, name: ids.WorkspaceId) -> None:
        if self._turns and self._turns[0] == name:
            self._turns.rotate(-1)


class WorkQueue:
    """Everything that waits for one upstream or one service."""

    def __init__(self, config: settings.AdmissionSettings) -> None:
        """Create an empty queue."""
        self._config = config
        self._credit = 0.0
        self.classes_by_priority = {
            URGENT: ClassQueue(),
            PATIENT: ClassQueue(),
        }

    def __len__(self) -> int:
        """Return the number of entries."""
        return sum(one.size for one in self.classes_by_priority.values())

    def push(self, entry: Entry, rate: float) -> list[Entry]:
        """Append an entry and return those that are shed for it.

        ``rate`` is how many requests a second the slots finish, 0 if it
        is not known. Raises ``Overloaded`` if the deadline would pass
        before the turn of the entry.
        """
        entries = self.classes_by_priority[entry.priority]
        remaining = entry.deadline - entry.queued_at
        if rate > 0 and self._ahead(entry.priority) / rate > remaining:
            raise errors.Overloaded("the queue is longer than the deadline")
        entries.push(entry)
        if entries.size <= self._config.queue_entries:
            return []
        return [entries.drop_newest_of_longest()]

    def _ahead(self, priority: states.Priority) -> int:
        if priority is URGENT:
            return self.classes_by_priority[URGENT].size
        return len(self)

    def pop(self) -> Entry:
        """Remove the entry that is next."""
        urgent = self.classes_by_priority[URGENT]
        patient = self.classes_by_priority[PATIENT]
        if not urgent.size:
            return patient.pop()
        if not patient.size:
            self._credit = 0.0
            return urgent.pop()
        self._credit += self._config.patient_floor
        if self._credit < 1.0 - ROUNDING:
            return urgent.pop()
        invariants.check(self._credit < 2.0, "floor ran to %s", self._credit)
        self._credit -= 1.0
        return patient.pop()

    def remove(self, exchange: ids.ExchangeId) -> bool:
        """Remove an entry that is no longer wanted."""
        classes = self.classes_by_priority.values()
        return any(one.remove(exchange) for one in classes)

    def take_expired(self, now: ids.Instant) -> list[Entry]:
        """Remove and return the entries whose deadline has passed."""
        return [
            entry
            for one in self.classes_by_priority.values()
            for entry in one.take(lambda entry: entry.deadline <= now)
        ]

    def take_all(self) -> list[Entry]:
        """Remove and return every entry."""
        return [
            entry
            for one in self.classes_by_priority.values()
            for entry in one.take(lambda entry: True)
        ]
