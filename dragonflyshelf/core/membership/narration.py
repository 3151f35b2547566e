"""Events of the time line about members of rosters."""

from dragonflyshelf.core import ids
from dragonflyshelf.core.membership import objects
from dragonflyshelf.core.timeline import events


def event(
    kind: events.EventKind, instance: ids.InstanceId
) -> events.RecordEvent:
    """Return an event about one instance."""
    return events.RecordEvent(
        event=events.TimelineEvent(kind=kind, peer=instance)
    )


def changes(
    before: objects.Roster, after: objects.Roster
) -> list[events.RecordEvent]:
    """Return who was admitted and removed by an update that is done."""
    known = {objects.remover_of(one) for one in before.members}
    present = {objects.remover_of(one) for one in after.members}
    admitted = sorted(one.instance for one in present - known)
    removed = sorted(one.instance for one in known - present)
    kinds = events.EventKind
    return [
        *(event(kinds.INSTANCE_ADMITTED, one) for one in admitted),
        *(event(kinds.INSTANCE_REMOVED, one) for one in removed),
    ]
