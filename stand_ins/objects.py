"""In-memory objects with revisions, like the platform's store."""

import collections
import dataclasses
from typing import Any

HISTORY_CHANGES = 1000
"""Changes that are retained for watches."""


class Conflict(Exception):
    """The object already exists or has another revision."""

    def __init__(self, present: dict[str, Any] | None) -> None:
        """Create the error with the current object, None if missing."""
        super().__init__("conflict")
        self.present = present


class HistoryGone(Exception):
    """The changes since the requested revision were compacted."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """Creation, replacement or removal of an object."""

    revision: int
    kind: str
    removed: bool
    object: dict[str, Any]


class Objects:
    """All objects by kind and name, with one revision counter."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.revision = 1
        self._by_kind: dict[str, dict[str, dict[str, Any]]] = {}
        self._changes: collections.deque[Change] = collections.deque()
        self._oldest = 1

    def all_of(self, kind: str) -> list[dict[str, Any]]:
        """Return all objects of a kind, ordered by name."""
        found = self._by_kind.get(kind, {})
        return [found[name] for name in sorted(found)]

    def create(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Create an object; raises ``Conflict`` if it exists."""
        present = self._by_kind.get(kind, {}).get(name)
        if present is not None:
            raise Conflict(present)
        return self._put(kind, name, spec)

    def replace(
        self, kind: str, name: str, spec: Any, expected: int | None
    ) -> dict[str, Any]:
        """Replace an object; raises ``Conflict`` on a revision mismatch.

        With the same spec the revision does not change.
        """
        present = self._by_kind.get(kind, {}).get(name)
        if present is None:
            raise Conflict(None)
        if expected not in (None, present["Metadata"]["Revision"]):
            raise Conflict(present)
        if present["Spec"] == spec:
            return present
        return self._put(kind, name, spec)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        present = self._by_kind.get(kind, {}).pop(name, None)
        if present is None:
            return
        self.revision += 1
        gone = {
            "Metadata": {"Name": name, "Revision": self.revision},
            "Spec": None,
        }
        self._record(kind, True, gone)

    def changes(self, kind: str, since: int) -> list[Change]:
        """Return the changes of a kind after a revision.

        Raises ``HistoryGone`` if some of them were compacted.
        """
        if since < self._oldest - 1:
            raise HistoryGone
        return [
            one
            for one in self._changes
            if one.revision > since and one.kind == kind
        ]

    def compact(self) -> None:
        """Compact the history: drop all retained changes."""
        self._changes.clear()
        self._oldest = self.revision + 1

    def _put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        self.revision += 1
        made = {
            "Metadata": {"Name": name, "Revision": self.revision},
            "Spec": spec,
            "Status": None,
        }
        self._by_kind.setdefault(kind, {})[name] = made
        self._record(kind, False, made)
        return made

    def _record(self, kind: str, removed: bool, one: dict[str, Any]) -> None:
        self._changes.append(
            Change(
                revision=self.revision,
                kind=kind,
                removed=removed,
                object=one,
            )
        )
        while len(self._changes) > HISTORY_CHANGES:
            self._oldest = self._changes.popleft().revision + 1
