"""Tests of the replica of the store's objects and of its age."""

from dragonflyshelf.core import ids
from dragonflyshelf.core.store import messages
from dragonflyshelf.core.store import replica

KIND = messages.ObjectKind.REGISTRATION


def one(name: str, revision: int, spec: bytes = b"1") -> messages.StoredObject:
    """Return a stored object."""
    return messages.StoredObject(
        kind=KIND,
        name=ids.ObjectName(name),
        revision=ids.Revision(revision),
        spec=spec,
    )


def gone(name: str, revision: int) -> messages.ObjectRemoved:
    """Return a removal."""
    return messages.ObjectRemoved(
        kind=KIND, name=ids.ObjectName(name), revision=ids.Revision(revision)
    )


def listed(
    revision: int, sent_at: float, *objects: messages.StoredObject
) -> messages.KindListed:
    """Return a list event."""
    return messages.KindListed(
        kind=KIND,
        revision=ids.Revision(revision),
        objects=objects,
        sent_at=ids.Instant(sent_at),
    )


def changed(
    revision: int, confirmed_at: float, *changes: messages.Change
) -> messages.KindChanged:
    """Return a change event."""
    return messages.KindChanged(
        kind=KIND,
        revision=ids.Revision(revision),
        changes=changes,
        confirmed_at=ids.Instant(confirmed_at),
    )


def names(copies: replica.Replica) -> list[str]:
    """Return the names of the present objects."""
    return sorted(found.name for found in copies.objects(KIND))


class TestNothingReverts:
    """An older value never replaces a newer one."""

    def test_stale_change(self) -> None:
        """A change of an older revision is ignored."""
        copies = replica.Replica()
        copies.take_list(listed(9, 1.0, one("a", 9, b"new")))
        assert copies.take_changes(changed(9, 2.0, one("a", 5, b"old"))) == ()
        (found,) = copies.objects(KIND)
        assert found.spec == b"new"

    def test_stale_list(self) -> None:
        """A list older than a change does not revert the change."""
        copies = replica.Replica()
        copies.take_changes(changed(12, 2.0, one("b", 12)))
        copies.take_list(listed(10, 1.0, one("a", 9)))
        assert names(copies) == ["a", "b"]

    def test_removed_object_does_not_come_back(self) -> None:
        """A late change of a removed object is ignored."""
        copies = replica.Replica()
        copies.take_list(listed(5, 1.0, one("a", 4)))
        copies.take_changes(changed(7, 2.0, gone("a", 7)))
        assert copies.take_changes(changed(7, 2.5, one("a", 6))) == ()
        assert names(copies) == []

    def test_object_that_is_made_again(self) -> None:
        """An object created again under the same name is applied."""
        copies = replica.Replica()
        copies.take_changes(changed(7, 2.0, one("a", 4), gone("a", 7)))
        assert copies.take_changes(changed(8, 3.0, one("a", 8)))
        assert names(copies) == ["a"]


class TestLists:
    """A list removes objects that it lacks."""

    def test_missing_object(self) -> None:
        """An object missing from a newer list is removed."""
        copies = replica.Replica()
        copies.take_list(listed(5, 1.0, one("a", 4), one("b", 5)))
        news = copies.take_list(listed(8, 2.0, one("b", 5)))
        assert news == (gone("a", 8),)
        assert names(copies) == ["b"]


class TestAge:
    """The age is counted from the call that confirmed the replica."""

    def test_empty_answer_confirms(self) -> None:
        """A response without changes confirms the replica."""
        copies = replica.Replica()
        copies.take_list(listed(5, 1.0))
        copies.take_changes(changed(5, 4.0))
        assert copies.copy(KIND).confirmed_at == 4.0

    def test_older_revision_confirms_nothing(self) -> None:
        """A source with an older revision does not confirm the replica."""
        copies = replica.Replica()
        copies.take_changes(changed(9, 1.0, one("a", 9)))
        copies.take_changes(changed(7, 8.0))
        assert copies.copy(KIND).confirmed_at == 1.0

    def test_confirmation_never_falls(self) -> None:
        """A late response does not increase the age."""
        copies = replica.Replica()
        copies.take_changes(changed(9, 5.0))
        copies.take_changes(changed(9, 2.0))
        assert copies.copy(KIND).confirmed_at == 5.0
