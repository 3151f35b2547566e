"""Changes sent to followers, and their conversion to store events."""

from dragonflyshelf.core import ids
from dragonflyshelf.core.relay import messages
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.core.store import replica


def relayed_kinds(
    copies: replica.Replica,
    known: tuple[messages.KnownRevision, ...],
    asked_at: ids.Instant,
) -> tuple[messages.RelayedKind, ...]:
    """Return the changes since the revisions that a follower has.

    ``asked_at`` is when its request arrived. Kinds that this instance
    has never listed are omitted.
    """
    found = []
    for one in known:
        copy = copies.copy(one.kind)
        if copy.confirmed_at == replica.NEVER:
            continue
        whole = one.revision < copy.complete_from
        found.append(
            messages.RelayedKind(
                kind=one.kind,
                revision=copy.revision,
                age=asked_at - copy.confirmed_at,
                whole=whole,
                changes=_changes(copy, -1 if whole else one.revision),
            )
        )
    return tuple(found)


def _changes(
    copy: replica.KindCopy, since: int
) -> tuple[messages.RelayedChange, ...]:
    changed = [
        messages.RelayedChange(
            name=one.name,
            revision=one.revision,
            removed=False,
            spec=one.spec,
        )
        for one in copy.objects_by_name.values()
        if one.revision > since
    ]
    if since >= 0:
        changed.extend(
            messages.RelayedChange(
                name=name, revision=revision, removed=True, spec=b""
            )
            for name, revision in copy.removed_by_name.items()
            if revision > since
        )
    return tuple(changed)


def to_event(
    relayed: messages.RelayedKind, asked_at: ids.Instant
) -> store.KindChanged | store.KindListed:
    """Convert a relayed kind into the store event that it represents.

    ``asked_at`` is when this follower sent its request. Counting the age
    from the sending never makes the replica look too fresh.
    """
    confirmed_at = ids.Instant(asked_at - relayed.age)
    changes = tuple(_to_change(relayed.kind, one) for one in relayed.changes)
    if relayed.whole:
        return store.KindListed(
            kind=relayed.kind,
            revision=relayed.revision,
            objects=tuple(
                one for one in changes if isinstance(one, store.StoredObject)
            ),
            sent_at=confirmed_at,
        )
    return store.KindChanged(
        kind=relayed.kind,
        revision=relayed.revision,
        changes=changes,
        confirmed_at=confirmed_at,
    )


def _to_change(
    kind: store.ObjectKind, one: messages.RelayedChange
) -> store.Change:
    if one.removed:
        return store.ObjectRemoved(
            kind=kind, name=one.name, revision=one.revision
        )
    return store.StoredObject(
        kind=kind, name=one.name, revision=one.revision, spec=one.spec
    )
