"""In-memory objects with revisions, like the platform's store."""

import collections
import dataclasses
from typing import Any

MAX_HISTORY_CHANGE_COUNT = 1000
"""Changes that are retained for watches."""


class RevisionConflict(Exception):
    """The object already exists or has another revision."""

    def __init__(self, current: dict[str, Any] | None) -> None:
        """Create the error with the current object, None if missing."""
        super().__init__("conflict")
        self.current = current


class HistoryExpired(Exception):
    """The changes since the requested revision were compacted."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """Creation, replacement or removal of an object."""

    revision: int
    kind: str
    removed: bool
    object: dict[str, Any]


class ObjectStore:
    """All objects by kind and name, with one revision counter."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.revision = 1
        self._objects_by_kind: dict[str, dict[str, dict[str, Any]]] = {}
        self._changes: collections.deque[Change] = collections.deque()
        self._oldest_revision = 1

    def list_objects(self, kind: str) -> list[dict[str, Any]]:
        """Return all objects of a kind, ordered by name."""
        objects_by_name = self._objects_by_kind.get(kind, {})
        return [objects_by_name[name] for name in sorted(objects_by_name)]

    def create(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Create an object; raises ``RevisionConflict`` if it exists."""
        current = self._objects_by_kind.get(kind, {}).get(name)
        if current is not None:
            raise RevisionConflict(current)
        return self._put(kind, name, spec)

    def replace(
        self, kind: str, name: str, spec: Any, expected_revision: int | None
    ) -> dict[str, Any]:
        """Replace an object; with the same spec its revision stays.

        Raises ``RevisionConflict`` on a revision mismatch.
        """
        current = self._objects_by_kind.get(kind, {}).get(name)
        if current is None:
            raise RevisionConflict(None)
        if expected_revision not in (None, current["Metadata"]["Revision"]):
            raise RevisionConflict(current)
        if current["Spec"] == spec:
            return current
        stored = self._put(kind, name, spec)
        stored["Status"] = current["Status"]
        return stored

    def replace_status(
        self,
        kind: str,
        name: str,
        status: Any,
        expected_revision: int | None,
    ) -> dict[str, Any]:
        """Replace the status of an object; the same one changes nothing.

        Raises ``RevisionConflict`` on a revision mismatch.
        """
        current = self._objects_by_kind.get(kind, {}).get(name)
        if current is None:
            raise RevisionConflict(None)
        if expected_revision not in (None, current["Metadata"]["Revision"]):
            raise RevisionConflict(current)
        if current["Status"] == status:
            return current
        stored = self._put(kind, name, current["Spec"])
        stored["Status"] = status
        return stored

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        current = self._objects_by_kind.get(kind, {}).pop(name, None)
        if current is None:
            return
        self.revision += 1
        tombstone = {
            "Metadata": {"Name": name, "Revision": self.revision},
            "Spec": None,
        }
        self._record(kind, True, tombstone)

    def list_changes(self, kind: str, since_revision: int) -> list[Change]:
        """Return the changes of a kind after a revision.

        Raises ``HistoryExpired`` if some of them were compacted.
        """
        if since_revision < self._oldest_revision - 1:
            raise HistoryExpired
        return [
            change
            for change in self._changes
            if change.revision > since_revision and change.kind == kind
        ]

    def compact(self) -> None:
        """Compact the history: drop all retained changes."""
        self._changes.clear()
        self._oldest_revision = self.revision + 1

    def _put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        self.revision += 1
        stored = {
            "Metadata": {"Name": name, "Revision": self.revision},
            "Spec": spec,
            "Status": None,
        }
        self._objects_by_kind.setdefault(kind, {})[name] = stored
        self._record(kind, False, stored)
        return stored

    def _record(
        self, kind: str, removed: bool, recorded: dict[str, Any]
    ) -> None:
        self._changes.append(
            Change(
                revision=self.revision,
                kind=kind,
                removed=removed,
                object=recorded,
            )
        )
        while len(self._changes) > MAX_HISTORY_CHANGE_COUNT:
            self._oldest_revision = self._changes.popleft().revision + 1
