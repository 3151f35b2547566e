"""Tests of the stand-in of the platform's store."""

import pytest

from stand_ins import objects


class TestConditions:
    """A write fails unless it names the current revision."""

    def test_create_twice(self) -> None:
        """The second creation conflicts and returns the object."""
        store = objects.ObjectStore()
        first = store.create("k", "a", 1)
        with pytest.raises(objects.RevisionConflict) as caught:
            store.create("k", "a", 2)
        assert caught.value.current == first

    def test_stale_replace(self) -> None:
        """A replacement with an outdated revision conflicts."""
        store = objects.ObjectStore()
        first = store.create("k", "a", 1)["Metadata"]["Revision"]
        store.replace("k", "a", 2, first)
        with pytest.raises(objects.RevisionConflict):
            store.replace("k", "a", 3, first)

    def test_same_value(self) -> None:
        """A replacement with the same spec keeps the revision."""
        store = objects.ObjectStore()
        store.create("k", "a", 1)
        before = store.revision
        store.replace("k", "a", 1, None)
        assert store.revision == before


class TestStatus:
    """The status of an object is replaced by itself."""

    def test_replaced(self) -> None:
        """The spec stays, and the revision is a new one."""
        store = objects.ObjectStore()
        first = store.create("k", "a", 1)["Metadata"]["Revision"]
        stored = store.replace_status("k", "a", "done", first)
        assert (stored["Spec"], stored["Status"]) == (1, "done")
        assert stored["Metadata"]["Revision"] > first
        with pytest.raises(objects.RevisionConflict):
            store.replace_status("k", "a", "other", first)

    def test_same_status(self) -> None:
        """The same status again changes nothing."""
        store = objects.ObjectStore()
        store.create("k", "a", 1)
        store.replace_status("k", "a", "done", None)
        before = store.revision
        store.replace_status("k", "a", "done", None)
        assert store.revision == before

    def test_new_spec(self) -> None:
        """A new spec leaves the status."""
        store = objects.ObjectStore()
        store.create("k", "a", 1)
        store.replace_status("k", "a", "done", None)
        assert store.replace("k", "a", 2, None)["Status"] == "done"


class TestHistory:
    """Changes that are retained for watches."""

    def test_changes(self) -> None:
        """Changes of a kind, removals included, are in order."""
        store = objects.ObjectStore()
        since_revision = store.revision
        store.create("k", "a", 1)
        store.create("other", "a", 1)
        store.remove("k", "a")
        changes = store.list_changes("k", since_revision)
        assert [change.removed for change in changes] == [False, True]

    def test_compacted_history(self) -> None:
        """A compacted history gives an error, not an empty list."""
        store = objects.ObjectStore()
        since_revision = store.revision
        store.create("k", "a", 1)
        store.compact()
        with pytest.raises(objects.HistoryExpired):
            store.list_changes("k", since_revision)
