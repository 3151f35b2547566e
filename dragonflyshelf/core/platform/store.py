"""Object store with versions, conditional updates and a change log.

One counter numbers all changes; the version of an object is the number
of its last change. The memory platform and the stand-in both use it.
"""

import collections
import dataclasses
from typing import Any

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import states

DEFAULT_LOG_CHANGES = 10000
KEPT_WRITE_IDS = 8


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredObject:
    """An object as stored; ``value`` is None once it is deleted.

    ``write_ids`` has the last few updates, newest first, so that a
    writer whose answer was lost finds its update again.
    """

    kind: states.ObjectKind
    name: ids.ObjectName
    version: ids.Version
    write_ids: tuple[ids.WriteId, ...]
    value: Any


class ObjectStore:
    """Versioned objects by kind and name."""

    def __init__(self, log_changes: int = DEFAULT_LOG_CHANGES) -> None:
        """Create an empty store that remembers so many changes."""
        self.version = ids.Version(0)
        self._by_key: dict[
            tuple[states.ObjectKind, ids.ObjectName], StoredObject
        ] = {}
        self._log: collections.deque[StoredObject] = collections.deque(
            maxlen=log_changes
        )

    def list(
        self, kinds: frozenset[states.ObjectKind]
    ) -> tuple[StoredObject, ...]:
        """Return all objects of these kinds."""
        return tuple(one for one in self._by_key.values() if one.kind in kinds)

    def get(
        self, kind: states.ObjectKind, name: ids.ObjectName
    ) -> StoredObject | None:
        """Return an object, or None if there is none."""
        return self._by_key.get((kind, name))

    def put(
        self,
        kind: states.ObjectKind,
        name: ids.ObjectName,
        expected: ids.Version,
        write_id: ids.WriteId,
        value: Any,
    ) -> StoredObject:
        """Change an object that has the expected version.

        The value None deletes the object. Raises ``VersionConflict``.
        """
        present = self._by_key.get((kind, name))
        version = present.version if present else ids.Version(0)
        if version != expected:
            raise errors.VersionConflict(
                f"{kind.value} {name} has version {version},"
                f" not {expected}"
            )
        previous = present.write_ids if present else ()
        self.version = ids.Version(self.version + 1)
        stored = StoredObject(
            kind=kind,
            name=name,
            version=self.version,
            write_ids=(write_id, *previous)[:KEPT_WRITE_IDS],
            value=value,
        )
        self._by_key[(kind, name)] = stored
        if value is None:
            del self._by_key[(kind, name)]
        self._log.append(stored)
        return stored

    def changes_since(
        self, version: ids.Version, kinds: frozenset[states.ObjectKind]
    ) -> tuple[StoredObject, ...]:
        """Return the changes after a version, oldest first.

        Raises ``WatchLost`` when the log no longer reaches back so far.
        """
        if version > self.version:
            raise errors.WatchLost("version is in the future")
        oldest = self._log[0].version if self._log else self.version + 1
        if version + 1 < oldest:
            raise errors.WatchLost("version is older than the log")
        return tuple(
            one
            for one in self._log
            if one.version > version and one.kind in kinds
        )
