"""Tests of the replica of the store's objects and of its age."""

from dragonflyshelf.core import ids
from dragonflyshelf.core.store import messages
from dragonflyshelf.core.store import replica

KIND = messages.ObjectKind.REGISTRATION


def stored(
    name: str, revision: int, spec: bytes = b"1"
) -> messages.StoredObject:
    """Return a stored object."""
    return messages.StoredObject(
        kind=KIND,
        name=ids.ObjectName(name),
        revision=ids.Revision(revision),
        spec=spec,
    )


def removal(name: str, revision: int) -> messages.ObjectRemoved:
    """Return a removal."""
    return messages.ObjectRemoved(
        kind=KIND, name=ids.ObjectName(name), revision=ids.Revision(revision)
    )


def list_event(
    revision: int, sent_at: float, *objects: messages.StoredObject
) -> messages.KindListed:
    """Return a list event."""
    return messages.KindListed(
        kind=KIND,
        revision=ids.Revision(revision),
        objects=objects,
        sent_at=ids.Instant(sent_at),
    )


def change_event(
    revision: int, confirmed_at: float, *changes: messages.Change
) -> messages.KindChanged:
    """Return a change event."""
    return messages.KindChanged(
        kind=KIND,
        revision=ids.Revision(revision),
        changes=changes,
        confirmed_at=ids.Instant(confirmed_at),
    )


def object_names(store_replica: replica.Replica) -> list[str]:
    """Return the names of the present objects."""
    return sorted(obj.name for obj in store_replica.objects(KIND))


class TestStaleUpdates:
    """A stale value never replaces a newer one."""

    def test_stale_change(self) -> None:
        """A change of an older revision is ignored."""
        store_replica = replica.Replica()
        store_replica.apply_list(list_event(9, 1.0, stored("a", 9, b"new")))
        assert (
            store_replica.apply_changes(
                change_event(9, 2.0, stored("a", 5, b"old"))
            )
            == ()
        )
        (current,) = store_replica.objects(KIND)
        assert current.spec == b"new"

    def test_stale_list(self) -> None:
        """A list older than a change does not revert the change."""
        store_replica = replica.Replica()
        store_replica.apply_changes(change_event(12, 2.0, stored("b", 12)))
        store_replica.apply_list(list_event(10, 1.0, stored("a", 9)))
        assert object_names(store_replica) == ["a", "b"]

    def test_removed_object_is_not_restored(self) -> None:
        """A late change of a removed object is ignored."""
        store_replica = replica.Replica()
        store_replica.apply_list(list_event(5, 1.0, stored("a", 4)))
        store_replica.apply_changes(change_event(7, 2.0, removal("a", 7)))
        assert (
            store_replica.apply_changes(change_event(7, 2.5, stored("a", 6)))
            == ()
        )
        assert object_names(store_replica) == []

    def test_object_created_again(self) -> None:
        """An object created again under the same name is applied."""
        store_replica = replica.Replica()
        store_replica.apply_changes(
            change_event(7, 2.0, stored("a", 4), removal("a", 7))
        )
        assert store_replica.apply_changes(
            change_event(8, 3.0, stored("a", 8))
        )
        assert object_names(store_replica) == ["a"]


class TestLists:
    """A list removes objects that it lacks."""

    def test_missing_object(self) -> None:
        """An object missing from a newer list is removed."""
        store_replica = replica.Replica()
        store_replica.apply_list(
            list_event(5, 1.0, stored("a", 4), stored("b", 5))
        )
        applied = store_replica.apply_list(list_event(8, 2.0, stored("b", 5)))
        assert applied == (removal("a", 8),)
        assert object_names(store_replica) == ["b"]


class TestAge:
    """The age is counted from the call that confirmed the replica."""

    def test_empty_response_confirms(self) -> None:
        """A response without changes confirms the replica."""
        store_replica = replica.Replica()
        store_replica.apply_list(list_event(5, 1.0))
        store_replica.apply_changes(change_event(5, 4.0))
        assert store_replica.by_kind(KIND).confirmed_at == 4.0

    def test_older_revision_confirms_nothing(self) -> None:
        """A source with an older revision does not confirm the replica."""
        store_replica = replica.Replica()
        store_replica.apply_changes(change_event(9, 1.0, stored("a", 9)))
        store_replica.apply_changes(change_event(7, 8.0))
        assert store_replica.by_kind(KIND).confirmed_at == 1.0

    def test_confirmation_never_decreases(self) -> None:
        """A late response does not increase the age."""
        store_replica = replica.Replica()
        store_replica.apply_changes(change_event(9, 5.0))
        store_replica.apply_changes(change_event(9, 2.0))
        assert store_replica.by_kind(KIND).confirmed_at == 5.0


class TestObjectKnownWithoutThoseBeforeIt:
    """One object alone does not make the replica current."""

    def test_plan_before_the_lease_of_a_failed_takeover(self) -> None:
        """A change before a single newer object is still missing."""
        store_replica = replica.Replica()
        store_replica.apply_list(list_event(5, 1.0, stored("plan", 4)))
        changes = store_replica.apply_object(stored("lease", 9))
        assert changes == (stored("lease", 9),)
        assert store_replica.by_kind(KIND).revision == 5
        assert store_replica.by_kind(KIND).confirmed_at == 1.0
        store_replica.apply_changes(
            change_event(9, 2.0, stored("plan", 7, b"moved"))
        )
        specs = {obj.name: obj.spec for obj in store_replica.objects(KIND)}
        assert specs == {"lease": b"1", "plan": b"moved"}

    def test_older_object(self) -> None:
        """An object that is known in a newer revision stays."""
        store_replica = replica.Replica()
        store_replica.apply_list(list_event(5, 1.0, stored("plan", 4)))
        assert store_replica.apply_object(stored("plan", 3)) == ()
