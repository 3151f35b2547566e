"""Time line events for objects that came into force here."""

from collections import abc
from typing import Any, Final

from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core import ids
from dragonflyshelf.core import states
from dragonflyshelf.core.timeline import events

CONFIGURATION_KINDS: Final = frozenset(
    {
        states.ObjectKind.CALLER_KEY,
        states.ObjectKind.DATA_CENTRE,
        states.ObjectKind.INSTANCE,
        states.ObjectKind.SERVICE,
        states.ObjectKind.UPSTREAM,
        states.ObjectKind.WORKSPACE,
    }
)


def in_force(
    kind: states.ObjectKind, name: str, version: ids.Version, value: Any
) -> abc.Iterator[events.RecordEvent]:
    """Yield the events for one object that changed in the view."""
    if kind not in CONFIGURATION_KINDS:
        return
    what = "dropped" if value is None else "set"
    yield events.RecordEvent(
        event=events.TimelineEvent(
            kind=events.EventKind.CONFIGURATION_IN_FORCE,
            version=version,
            detail=f"{kind.value} {name} {what}",
        )
    )
    if isinstance(value, objects.CallerKey) and value.withdrawn:
        yield events.RecordEvent(
            event=events.TimelineEvent(
                kind=events.EventKind.KEY_WITHDRAWN,
                workspace=value.workspace,
                version=version,
                detail=f"key {name}",
            )
        )
