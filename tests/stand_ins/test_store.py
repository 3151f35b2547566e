"""Tests of the stand-in of the platform's store."""

import pytest

from stand_ins import objects


class TestConditions:
    """A write fails unless it names the current revision."""

    def test_create_twice(self) -> None:
        """The second creation conflicts and returns the object."""
        made = objects.Objects()
        first = made.create("k", "a", 1)
        with pytest.raises(objects.Conflict) as caught:
            made.create("k", "a", 2)
        assert caught.value.present == first

    def test_stale_replace(self) -> None:
        """A replacement with an outdated revision conflicts."""
        made = objects.Objects()
        first = made.create("k", "a", 1)["Metadata"]["Revision"]
        made.replace("k", "a", 2, first)
        with pytest.raises(objects.Conflict):
            made.replace("k", "a", 3, first)

    def test_same_value(self) -> None:
        """A replacement with the same spec keeps the revision."""
        made = objects.Objects()
        made.create("k", "a", 1)
        before = made.revision
        made.replace("k", "a", 1, None)
        assert made.revision == before


class TestHistory:
    """Changes that are retained for watches."""

    def test_changes(self) -> None:
        """Changes of a kind, removals included, are in order."""
        made = objects.Objects()
        since = made.revision
        made.create("k", "a", 1)
        made.create("other", "a", 1)
        made.remove("k", "a")
        found = made.changes("k", since)
        assert [one.removed for one in found] == [False, True]

    def test_compacted(self) -> None:
        """A compacted history gives an error, not an empty list."""
        made = objects.Objects()
        since = made.revision
        made.create("k", "a", 1)
        made.compact()
        with pytest.raises(objects.HistoryGone):
            made.changes("k", since)
