"""Changes sent to followers, and their conversion to store events."""

from dragonflyshelf.core import ids
from dragonflyshelf.core.relay import messages
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.core.store import replica


def relayed_kinds(
    store_replica: replica.Replica,
    known: tuple[messages.KnownRevision, ...],
    requested_at: ids.Instant,
) -> tuple[messages.RelayedKind, ...]:
    """Return the changes since the revisions that a follower has.

    ``requested_at`` is when its request arrived. Kinds that this instance
    has never listed are omitted.
    """
    kinds = []
    for known_revision in known:
        kind_replica = store_replica.by_kind(known_revision.kind)
        if kind_replica.confirmed_at == replica.DISTANT_PAST:
            continue
        is_full = known_revision.revision < kind_replica.removals_known_from
        since = ids.Revision(0) if is_full else known_revision.revision
        kinds.append(
            messages.RelayedKind(
                kind=known_revision.kind,
                revision=kind_replica.revision,
                age=requested_at - kind_replica.confirmed_at,
                whole=is_full,
                changes=_changes_since(kind_replica, -1 if is_full else since),
                since=since,
            )
        )
    return tuple(kinds)


def _changes_since(
    kind_replica: replica.KindReplica, since: int
) -> tuple[messages.RelayedChange, ...]:
    changes = [
        messages.RelayedChange(
            name=stored.name,
            revision=stored.revision,
            removed=False,
            spec=stored.spec,
        )
        for stored in kind_replica.objects_by_name.values()
        if stored.revision > since
    ]
    if since >= 0:
        changes.extend(
            messages.RelayedChange(
                name=name, revision=revision, removed=True, spec=b""
            )
            for name, revision in kind_replica.removed_revision_by_name.items()
            if revision > since
        )
    return tuple(changes)


def to_event(
    relayed: messages.RelayedKind, requested_at: ids.Instant
) -> store.KindChanged | store.KindListed:
    """Convert a relayed kind into the store event that it represents.

    ``requested_at`` is when this follower sent its request. Counting the age
    from the sending never makes the replica look too fresh.
    """
    confirmed_at = ids.Instant(requested_at - relayed.age)
    changes = tuple(
        _to_change(relayed.kind, change) for change in relayed.changes
    )
    if relayed.whole:
        return store.KindListed(
            kind=relayed.kind,
            revision=relayed.revision,
            objects=tuple(
                change
                for change in changes
                if isinstance(change, store.StoredObject)
            ),
            sent_at=confirmed_at,
        )
    return store.KindChanged(
        kind=relayed.kind,
        revision=relayed.revision,
        changes=changes,
        confirmed_at=confirmed_at,
        since=relayed.since,
    )


def _to_change(
    kind: store.ObjectKind, change: messages.RelayedChange
) -> store.Change:
    if change.removed:
        return store.ObjectRemoved(
            kind=kind, name=change.name, revision=change.revision
        )
    return store.StoredObject(
        kind=kind, name=change.name, revision=change.revision, spec=change.spec
    )
