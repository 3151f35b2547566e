"""Replica of the store's objects and the time of its confirmation.

The replica of a kind counts as confirmed when the last call that
confirmed it was *sent*, not when its response arrived. An older revision
never replaces a newer one, so stale reads and late responses are
ignored.
"""

from collections import abc
import dataclasses

from dragonflyshelf.core import ids
from dragonflyshelf.core.store import messages

NEVER = ids.Instant(float("-inf"))


@dataclasses.dataclass(kw_only=True, slots=True)
class KindCopy:
    """Objects of one kind, and the revisions of removed ones.

    All removals since the revision ``complete_from`` are known.
    """

    revision: ids.Revision = ids.Revision(0)
    complete_from: ids.Revision = ids.Revision(0)
    confirmed_at: ids.Instant = NEVER
    objects_by_name: dict[ids.ObjectName, messages.StoredObject] = (
        dataclasses.field(default_factory=dict)
    )
    removed_by_name: dict[ids.ObjectName, ids.Revision] = dataclasses.field(
        default_factory=dict
    )


class Replica:
    """Replicas of all kinds."""

    def __init__(self) -> None:
        """Create empty replicas that were never confirmed."""
        self._copies_by_kind = {
            kind: KindCopy() for kind in messages.ObjectKind
        }

    def copy(self, kind: messages.ObjectKind) -> KindCopy:
        """Return the replica of a kind; callers must not modify it."""
        return self._copies_by_kind[kind]

    def objects(
        self, kind: messages.ObjectKind
    ) -> abc.Collection[messages.StoredObject]:
        """Return all objects of a kind."""
        return self._copies_by_kind[kind].objects_by_name.values()

    def take_list(
        self, event: messages.KindListed
    ) -> tuple[messages.Change, ...]:
        """Apply a full list; return the resulting changes."""
        copy = self._copies_by_kind[event.kind]
        listed = {one.name for one in event.objects}
        gone = tuple(
            messages.ObjectRemoved(
                kind=event.kind, name=name, revision=event.revision
            )
            for name, known in copy.objects_by_name.items()
            if name not in listed and known.revision <= event.revision
        )
        if not copy.complete_from:
            copy.complete_from = event.revision
        return self._take(
            copy, (*event.objects, *gone), event.revision, event.sent_at
        )

    def take_changes(
        self, event: messages.KindChanged
    ) -> tuple[messages.Change, ...]:
        """Apply changes; return those that took effect."""
        copy = self._copies_by_kind[event.kind]
        return self._take(
            copy, event.changes, event.revision, event.confirmed_at
        )

    def _take(
        self,
        copy: KindCopy,
        changes: tuple[messages.Change, ...],
        revision: ids.Revision,
        confirmed_at: ids.Instant,
    ) -> tuple[messages.Change, ...]:
        news = tuple(one for one in changes if self._apply(copy, one))
        if revision >= copy.revision:
            copy.revision = revision
            copy.confirmed_at = max(copy.confirmed_at, confirmed_at)
        return news

    def _apply(self, copy: KindCopy, change: messages.Change) -> bool:
        known = copy.objects_by_name.get(change.name)
        if known is not None and known.revision >= change.revision:
            return False
        if copy.removed_by_name.get(change.name, 0) >= change.revision:
            return False
        if isinstance(change, messages.ObjectRemoved):
            if known is None:
                return False
            del copy.objects_by_name[change.name]
            copy.removed_by_name[change.name] = change.revision
            return True
        copy.removed_by_name.pop(change.name, None)
        copy.objects_by_name[change.name] = change
        return True
