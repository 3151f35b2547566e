"""Keeps the view of the platform as of one store version."""

import dataclasses

from dragonflyshelf.core.configuration import view
from dragonflyshelf.core import ids
from dragonflyshelf.core.membership import objects
from dragonflyshelf.core.platform import messages
from dragonflyshelf.core.platform import relay
from dragonflyshelf.core import states

Event = messages.ObjectChanged | messages.ObjectDeleted


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Applied:
    """A batch of events, and what it has changed here.

    ``objects`` is the whole batch, because a receiver may lack what an
    own update has brought here before; ``new`` has what was applied
    here now. ``structural`` tells that more than renewals has changed.
    """

    objects: tuple[relay.RelayedObject, ...]
    new: tuple[relay.RelayedObject, ...]
    changed: bool
    structural: bool


class Replica:
    """Applies lists, watches, relayed batches and own updates."""

    def __init__(self, shared_view: view.ObjectView) -> None:
        """Create a replica of nothing."""
        self._view = shared_view

    def apply_list(self, listed: messages.ObjectsListed) -> Applied:
        """Take in a whole list."""
        missing = self._view.missing_from(listed)
        applied = self.apply((*listed.objects, *missing))
        version = max(self._view.version, listed.version, 1)
        self._view.version = ids.Version(version)
        return applied

    def apply(self, events: tuple[Event, ...]) -> Applied:
        """Take in events in the order of the store."""
        found = []
        new = []
        for event in events:
            relayed = relay.RelayedObject(
                kind=event.key.kind,
                name=event.key.name,
                version=event.version,
                value=getattr(event, "value", None),
                renewal=self._is_renewal(event),
            )
            found.append(relayed)
            if self._view.apply(event):
                new.append(relayed)
        return Applied(
            objects=tuple(found),
            new=tuple(new),
            changed=bool(new),
            structural=any(not one.renewal for one in new),
        )

    def apply_state(self, state: relay.RelayedState) -> Applied:
        """Take in a relayed batch, or the whole state."""
        events = tuple(_event(one) for one in state.objects)
        if state.since > 0:
            return self.apply(events)
        return self.apply_list(
            messages.ObjectsListed(
                kinds=tuple(states.ObjectKind),
                version=state.position,
                objects=events,
            )
        )

    def _is_renewal(self, event: Event) -> bool:
        value = getattr(event, "value", None)
        if not isinstance(value, objects.Roster):
            return False
        known = self._view.get(event.key.kind, event.key.name)
        if known is None or known.version >= event.version:
            return False
        return _structure(known.value) == _structure(value)


def _structure(roster: objects.Roster) -> objects.Roster:
    members = tuple(
        dataclasses.replace(one, renewal=0) for one in roster.members
    )
    return dataclasses.replace(roster, members=members)


def _event(one: relay.RelayedObject) -> Event:
    key = messages.ObjectKey(kind=one.kind, name=one.name)
    if one.value is None:
        return messages.ObjectDeleted(key=key, version=one.version)
    return messages.ObjectChanged(
        key=key,
        version=one.version,
        write_id=ids.WriteId(""),
        value=one.value,
    )
