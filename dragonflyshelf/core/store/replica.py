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

DISTANT_PAST = ids.Instant(float("-inf"))
"""Confirmation time of a replica that was never confirmed."""


@dataclasses.dataclass(kw_only=True, slots=True)
class KindReplica:
    """Objects of one kind, and the revisions of removed ones.

    All removals since the revision ``removals_known_from`` are known.
    """

    revision: ids.Revision = ids.Revision(0)
    removals_known_from: ids.Revision = ids.Revision(0)
    confirmed_at: ids.Instant = DISTANT_PAST
    objects_by_name: dict[ids.ObjectName, messages.StoredObject] = (
        dataclasses.field(default_factory=dict)
    )
    removed_revision_by_name: dict[ids.ObjectName, ids.Revision] = (
        dataclasses.field(default_factory=dict)
    )


class Replica:
    """Replicas of all kinds."""

    def __init__(self) -> None:
        """Create empty replicas that were never confirmed."""
        self._replicas_by_kind = {
            kind: KindReplica() for kind in messages.ObjectKind
        }

    def by_kind(self, kind: messages.ObjectKind) -> KindReplica:
        """Return the replica of a kind; callers must not modify it."""
        return self._replicas_by_kind[kind]

    def objects(
        self, kind: messages.ObjectKind
    ) -> abc.Collection[messages.StoredObject]:
        """Return all objects of a kind."""
        return self._replicas_by_kind[kind].objects_by_name.values()

    def apply_list(
        self, event: messages.KindListed
    ) -> tuple[messages.Change, ...]:
        """Apply a full list; return the resulting changes."""
        kind_replica = self._replicas_by_kind[event.kind]
        listed_names = {stored.name for stored in event.objects}
        removals = tuple(
            messages.ObjectRemoved(
                kind=event.kind, name=name, revision=event.revision
            )
            for name, stored in kind_replica.objects_by_name.items()
            if name not in listed_names and stored.revision <= event.revision
        )
        if not kind_replica.removals_known_from:
            kind_replica.removals_known_from = event.revision
        return self._apply_batch(
            kind_replica,
            (*event.objects, *removals),
            event.revision,
            event.sent_at,
        )

    def apply_changes(
        self, event: messages.KindChanged
    ) -> tuple[messages.Change, ...]:
        """Apply changes; return those that took effect.

        Changes that don't follow on the replica's revision are ignored:
        those in between got lost and are requested again.
        """
        kind_replica = self._replicas_by_kind[event.kind]
        if event.since > kind_replica.revision:
            return ()
        return self._apply_batch(
            kind_replica, event.changes, event.revision, event.confirmed_at
        )

    def apply_object(
        self, stored: messages.StoredObject
    ) -> tuple[messages.Change, ...]:
        """Apply one object whose kind is not confirmed by it.

        Changes of other objects before it may be unknown.
        """
        kind_replica = self._replicas_by_kind[stored.kind]
        is_applied = self._apply_change(kind_replica, stored)
        return (stored,) if is_applied else ()

    def _apply_batch(
        self,
        kind_replica: KindReplica,
        changes: tuple[messages.Change, ...],
        revision: ids.Revision,
        confirmed_at: ids.Instant,
    ) -> tuple[messages.Change, ...]:
        applied = tuple(
            change
            for change in changes
            if self._apply_change(kind_replica, change)
        )
        if revision >= kind_replica.revision:
            kind_replica.revision = revision
            kind_replica.confirmed_at = max(
                kind_replica.confirmed_at, confirmed_at
            )
        return applied

    def _apply_change(
        self, kind_replica: KindReplica, change: messages.Change
    ) -> bool:
        current = kind_replica.objects_by_name.get(change.name)
        if current is not None and current.revision >= change.revision:
            return False
        if (
            kind_replica.removed_revision_by_name.get(change.name, 0)
            >= change.revision
        ):
            return False
        if isinstance(change, messages.ObjectRemoved):
            if current is None:
                return False
            del kind_replica.objects_by_name[change.name]
            kind_replica.removed_revision_by_name[change.name] = (
                change.revision
            )
            return True
        kind_replica.removed_revision_by_name.pop(change.name, None)
        kind_replica.objects_by_name[change.name] = change
        return True
