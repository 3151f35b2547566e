"""What the control task does for each effect of its core."""

from collections import abc
from typing import Any

from dragonflyshelf.core.control import messages as control
from dragonflyshelf.core.dispatch import messages as dispatch
from dragonflyshelf.core.membership import messages as leases
from dragonflyshelf.core.ownership import messages as ownership
from dragonflyshelf.core.platform import messages as platform
from dragonflyshelf.core.platform import relay
from dragonflyshelf.core import registry
from dragonflyshelf.core.timeline import events
from dragonflyshelf.runtime.control import messages
from dragonflyshelf.runtime.peers import coordinator as peers
from dragonflyshelf.runtime.platform import coordinator as platform_tasks
from dragonflyshelf.runtime.router import coordinator as router

Runner = abc.Callable[[Any, Any], None]

EFFECTS: registry.Registry[type, Runner] = registry.Registry("control effects")


@EFFECTS.register(dispatch.LeadershipsHeld)
@EFFECTS.register(dispatch.LeaseChanged)
@EFFECTS.register(dispatch.SealShard)
@EFFECTS.register(dispatch.UnsealShard)
def tell_router(task: Any, effect: Any) -> None:
    """Pass a decision on to the task that sends requests."""
    task.router_inbox.post(effect)


@EFFECTS.register(ownership.SendGrant)
@EFFECTS.register(ownership.SendRelease)
def tell_upstream(task: Any, effect: Any) -> None:
    """Let the grants task call an upstream."""
    if task.grants_inbox is not None:
        task.grants_inbox.post(effect)


@EFFECTS.register(leases.SendToInstance)
@EFFECTS.register(relay.SendToInstance)
def tell_instance(task: Any, effect: Any) -> None:
    """Send a control message to another instance."""
    if task.peers_inbox is not None:
        task.peers_inbox.post(
            peers.SendToPeer(instance=effect.instance, message=effect.message)
        )


@EFFECTS.register(platform.WriteObject)
def write_object(task: Any, effect: platform.WriteObject) -> None:
    """Start a conditional update."""
    task.writes_inbox.post(
        platform_tasks.WriteRequest(write=effect, reply_to=task.inbox)
    )


@EFFECTS.register(relay.SwitchWatch)
def switch_watch(task: Any, effect: relay.SwitchWatch) -> None:
    """Start or stop the watch of the platform."""
    task.watch_inbox.post(effect)


@EFFECTS.register(events.RecordEvent)
def record_event(task: Any, effect: events.RecordEvent) -> None:
    """Put an event on the time line."""
    if task.timeline_inbox is not None:
        task.timeline_inbox.post(effect)


@EFFECTS.register(control.ViewChanged)
def publish_view(task: Any, effect: control.ViewChanged) -> None:
    """Let the router take over the changed objects."""
    task.router_inbox.post(router.ViewChanged(view=task.view))


@EFFECTS.register(control.MembersChanged)
def publish_members(task: Any, effect: control.MembersChanged) -> None:
    """Let the links follow the rosters."""
    if task.peers_inbox is not None:
        task.peers_inbox.post(peers.MembersChanged(members=effect.members))


@EFFECTS.register(control.DrainEnded)
def report_drained(task: Any, effect: control.DrainEnded) -> None:
    """Tell the shutdown that everything is handed over."""
    for reply_to in task.drain_waiters:
        reply_to.post(messages.Drained())


@EFFECTS.register(ownership.UpstreamStarted)
def report_start(task: Any, effect: ownership.UpstreamStarted) -> None:
    """Tell the router that an upstream runs under a new start id."""
    if type(effect) in router.RouterTask.handlers_by_type:
        task.router_inbox.post(effect)
