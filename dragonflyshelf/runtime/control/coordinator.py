"""Task that owns membership, ownership and the view of the platform."""

import dataclasses

from absl import logging

from dragonflyshelf.core.configuration import view
from dragonflyshelf.core import diagnostics
from dragonflyshelf.core.dispatch import messages as dispatch
from dragonflyshelf.core import ids
from dragonflyshelf.core.membership import coordinator as membership
from dragonflyshelf.core.membership import objects
from dragonflyshelf.core.ownership import coordinator as ownership
from dragonflyshelf.core.ownership import grants
from dragonflyshelf.core.ownership import messages as ownership_messages
from dragonflyshelf.core.platform import messages as platform
from dragonflyshelf.core import settings
from dragonflyshelf.core import states
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import messages as runtime_messages
from dragonflyshelf.runtime.peers import coordinator as peers
from dragonflyshelf.runtime.peers import link
from dragonflyshelf.runtime.platform import coordinator as platform_tasks
from dragonflyshelf.runtime.router import coordinator as router
from dragonflyshelf.runtime import task

_LOGGER = logging.get_absl_logger()

TICK_INTERVAL = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tick:
    """Time to look at the timers of the core parts."""


class ControlTask(task.Task):
    """Runs the control core and carries out its effects."""

    def __init__(
        self,
        config: settings.Settings,
        own: objects.Member,
        router_inbox: inbox.Inbox,
        writes: inbox.Inbox,
    ) -> None:
        """Create the task; ``peers_inbox`` is set before it starts."""
        super().__init__("control")
        self._view = view.ObjectView()
        self._membership = membership.MembershipCoordinator(
            config, own, self._view
        )
        self._ownership = ownership.OwnershipCoordinator(own, self._view)
        self._grants = grants.GrantCoordinator(config, own, self._view)
        self._router = router_inbox
        self._writes = writes
        self._members: tuple[objects.Member, ...] = ()
        self.grants_inbox: inbox.Inbox | None = None
        self.peers_inbox: inbox.Inbox | None = None
        self.inbox.post(Tick())

    @property
    def ready(self) -> bool:
        """Tell whether this instance has a running lease."""
        return self.now < self._membership.lease_until

    @task.handles(Tick)
    def _on_tick(self, message: Tick) -> None:
        self.post_later(TICK_INTERVAL, message)
        now = self.now
        self._carry_out(self._membership.handle_tick(now))
        if now < self._membership.lease_until:
            members = self._membership.members()
            self._carry_out(self._ownership.handle_tick(members, now))
            self._send_grants(now)

    @task.handles(platform.ObjectsListed)
    def _on_listed(self, message: platform.ObjectsListed) -> None:
        events = [*message.objects, *self._view.missing_from(message)]
        changed = [one for one in events if self._view.apply(one)]
        self._view.version = max(self._view.version, message.version, 1)
        if changed:
            self._publish()

    @task.handles(platform.ObjectChanged)
    def _on_changed(self, message: platform.ObjectChanged) -> None:
        if self._view.apply(message):
            self._publish()

    @task.handles(platform.ObjectDeleted)
    def _on_deleted(self, message: platform.ObjectDeleted) -> None:
        if self._view.apply(message):
            self._publish()

    @task.handles(platform.PlatformReached)
    def _on_reached(self, message: platform.PlatformReached) -> None:
        """Nothing depends on it yet."""

    @task.handles(platform.PlatformLost)
    def _on_lost(self, message: platform.PlatformLost) -> None:
        _LOGGER.warning("platform lost: %s", message.error)

    @task.handles(platform.WriteFinished)
    def _on_write(self, message: platform.WriteFinished) -> None:
        now = self.now
        if message.key.kind is states.ObjectKind.ROSTER:
            self._carry_out(self._membership.handle_write(message, now))
        elif message.key.kind is states.ObjectKind.SEGMENT:
            self._carry_out(self._ownership.handle_write(message, now))

    @task.handles(link.PeerReceived)
    def _on_peer(self, message: link.PeerReceived) -> None:
        """Nothing is exchanged between instances yet."""

    @task.handles(ownership_messages.GrantAnswered)
    def _on_granted(self, message: ownership_messages.GrantAnswered) -> None:
        if not message.accepted:
            _LOGGER.warning(
                "upstream %s refused a grant: %s",
                message.upstream,
                message.error or f"it has term {message.term}",
            )

    @task.handles(dispatch.ShardQuiet)
    def _on_quiet(self, message: dispatch.ShardQuiet) -> None:
        """No move waits for it yet."""

    @task.handles(runtime_messages.TableWanted)
    def _on_table(self, message: runtime_messages.TableWanted) -> None:
        sources = diagnostics.ControlSources(
            view=self._view,
            membership=self._membership,
            ownership=self._ownership,
            grants=self._grants,
        )
        rows = diagnostics.rows(message.table, sources, self.now)
        message.reply_to.post(
            runtime_messages.TableAnswer(table=message.table, rows=rows)
        )

    def _send_grants(self, now: ids.Instant) -> None:
        lease_until = self._membership.lease_until
        for effect in self._grants.handle_tick(lease_until, now):
            if self.grants_inbox is not None:
                self.grants_inbox.post(effect)

    def _publish(self) -> None:
        self._grants.on_view()
        self._router.post(router.ViewChanged(view=self._view))
        self._router.post(self._ownership.held())
        members = self._membership.members()
        if members != self._members and self.peers_inbox is not None:
            self._members = members
            self.peers_inbox.post(peers.MembersChanged(members=members))

    def _carry_out(
        self, effects: list[dispatch.LeaseChanged | platform.WriteObject]
    ) -> None:
        for effect in effects:
            if isinstance(effect, platform.WriteObject):
                self._writes.post(
                    platform_tasks.WriteRequest(
                        write=effect, reply_to=self.inbox
                    )
                )
            else:
                self._router.post(effect)
