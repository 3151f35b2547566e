"""Changes of what is known of the upstreams."""

from collections import abc
from typing import Any, Final

from dragonflyshelf.core import ids
from dragonflyshelf.core import registry
from dragonflyshelf.core.scheduling import fleet as fleets
from dragonflyshelf.core.scheduling import messages
from dragonflyshelf.core.upstreams import messages as upstream_events

Effects = list[messages.Effect]
Change = abc.Callable[[fleets.Fleet, Any, ids.Instant], Effects | None]
"""Applies an event to a fleet; returns effects, None without a change."""

CHANGES: Final[registry.Registry[type, Change]] = registry.Registry(
    "changes of upstreams"
)


@CHANGES.register(upstream_events.RegistrationsChanged)
def set_registrations(
    fleet: fleets.Fleet,
    event: upstream_events.RegistrationsChanged,
    now: ids.Instant,
) -> Effects:
    """Replace the registrations."""
    fleet.set_registrations(event.registrations, now)
    return []


@CHANGES.register(upstream_events.EvacuationsChanged)
def set_evacuated(
    fleet: fleets.Fleet,
    event: upstream_events.EvacuationsChanged,
    now: ids.Instant,
) -> Effects:
    """Replace the evacuated data centres."""
    fleet.set_evacuated(event.data_centres, now)
    return []


@CHANGES.register(messages.AssignmentsChanged)
def set_plan(
    fleet: fleets.Fleet, event: messages.AssignmentsChanged, now: ids.Instant
) -> Effects:
    """Replace the shard plan of a service."""
    fleet.service_state(event.plan.service).plan = event.plan
    return []


@CHANGES.register(upstream_events.UpstreamNotice)
def record_notice(
    fleet: fleets.Fleet,
    event: upstream_events.UpstreamNotice,
    now: ids.Instant,
) -> Effects | None:
    """Send nothing more to an upstream that leaves or has no room."""
    incarnation = event.incarnation
    is_new = False
    if event.backoff_seconds > 0:
        fleet.notices.record_backoff(incarnation, event.backoff_seconds, now)
        is_new = True
    if event.is_leaving:
        is_new = fleet.notices.record_leaving(incarnation, now) or is_new
    if not is_new:
        return None
    return [messages.ReturnUnsent(incarnation=incarnation)]
