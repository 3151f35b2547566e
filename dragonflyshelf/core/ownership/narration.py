"""Events of the time line about leaders and the state of upstreams."""

from dragonflyshelf.core.ownership import objects
from dragonflyshelf.core import states
from dragonflyshelf.core.timeline import events


def changes(
    before: objects.Segment, after: objects.Segment
) -> list[events.RecordEvent]:
    """Return what an update that is done has changed."""
    known_by_upstream = {one.upstream: one for one in before.leaders}
    found = []
    for one in after.leaders:
        kind = _kind(known_by_upstream.get(one.upstream), one)
        if kind is None:
            continue
        event = events.TimelineEvent(
            kind=kind,
            service=after.service,
            upstream=one.upstream,
            peer=one.instance,
            term=one.term,
        )
        found.append(events.RecordEvent(event=event))
    return found


def _kind(
    known: objects.Leadership | None, one: objects.Leadership
) -> events.EventKind | None:
    if known is None or known.term != one.term:
        return events.EventKind.LEADERSHIP_TAKEN
    if known.upstream_state is one.upstream_state:
        return None
    if one.upstream_state is states.UpstreamState.LOST:
        return events.EventKind.UPSTREAM_LOST
    return events.EventKind.UPSTREAM_BACK
