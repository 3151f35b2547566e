"""Tests of the object store."""

import pytest

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.platform import store
from dragonflyshelf.core import states

KIND = states.ObjectKind.SERVICE
NAME = ids.ObjectName("letters")
NEW = ids.Version(0)


def put(
    objects: store.ObjectStore, expected: int, value: object
) -> store.StoredObject:
    """Change the one object of these tests."""
    return objects.put(
        KIND, NAME, ids.Version(expected), ids.WriteId("w"), value
    )


class TestConditionalUpdate:
    """An update needs the version that the object has."""

    def test_grows_versions(self) -> None:
        """Each change has a higher version."""
        objects = store.ObjectStore()
        first = put(objects, 0, "a")
        second = put(objects, first.version, "b")
        assert second.version > first.version

    def test_refuses_stale(self) -> None:
        """An update with an old version changes nothing."""
        objects = store.ObjectStore()
        put(objects, 0, "a")
        with pytest.raises(errors.VersionConflict):
            put(objects, 0, "b")
        stored = objects.get(KIND, NAME)
        assert stored is not None
        assert stored.value == "a"

    def test_deletes(self) -> None:
        """The value None deletes, and the log shows it."""
        objects = store.ObjectStore()
        first = put(objects, 0, "a")
        put(objects, first.version, None)
        assert objects.get(KIND, NAME) is None
        changes = objects.changes_since(first.version, frozenset({KIND}))
        assert [one.value for one in changes] == [None]


class TestChangeLog:
    """A watch finds its place or learns that it is lost."""

    def test_loses_place(self) -> None:
        """A version older than the log is refused."""
        objects = store.ObjectStore(log_changes=2)
        version = NEW
        for number in range(5):
            version = put(objects, version, number).version
        with pytest.raises(errors.WatchLost):
            objects.changes_since(ids.Version(1), frozenset({KIND}))
        last = objects.changes_since(
            ids.Version(version - 1), frozenset({KIND})
        )
        assert [one.value for one in last] == [4]
