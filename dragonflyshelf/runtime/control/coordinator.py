"""Task that owns membership, ownership and the view of the platform."""

from typing import Any

from absl import logging

from dragonflyshelf.core.configuration import view
from dragonflyshelf.core.control import coordinator
from dragonflyshelf.core.control import messages as control
from dragonflyshelf.core import diagnostics
from dragonflyshelf.core.dispatch import messages as dispatch
from dragonflyshelf.core.membership import objects
from dragonflyshelf.core.ownership import messages as ownership
from dragonflyshelf.core.platform import messages as platform
from dragonflyshelf.core import settings
from dragonflyshelf.runtime.control import effects
from dragonflyshelf.runtime.control import messages
from dragonflyshelf.runtime.control import operators
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import messages as runtime_messages
from dragonflyshelf.runtime.operators import messages as operators_messages
from dragonflyshelf.runtime.peers import link
from dragonflyshelf.runtime import task

_LOGGER = logging.get_absl_logger()

TICK_INTERVAL = 0.05


class ControlTask(task.Task):
    """Runs the control core and carries out its effects."""

    def __init__(
        self,
        config: settings.Settings,
        own: objects.Member,
        router_inbox: inbox.Inbox,
        writes_inbox: inbox.Inbox,
        watch_inbox: inbox.Inbox | None = None,
    ) -> None:
        """Create the task; the other inboxes are set before it starts."""
        super().__init__("control")
        self.view = view.ObjectView()
        self._core = coordinator.ControlCoordinator(config, own, self.view)
        self._waiters = operators.InForceWaiters(self.view)
        self.router_inbox = router_inbox
        self.writes_inbox = writes_inbox
        self.watch_inbox = watch_inbox
        self.grants_inbox: inbox.Inbox | None = None
        self.peers_inbox: inbox.Inbox | None = None
        self.timeline_inbox: inbox.Inbox | None = None
        self.drain_waiters: list[inbox.Inbox] = []
        self.inbox.post(control.Tick())

    @property
    def ready(self) -> bool:
        """Tell whether this instance has a running lease."""
        return self.now < self._core.membership.lease_until

    @task.handles(control.Tick)
    def _on_tick(self, message: control.Tick) -> None:
        self.post_later(TICK_INTERVAL, message)
        self._run(message)

    @task.handles(platform.ObjectsListed)
    def _on_listed(self, message: platform.ObjectsListed) -> None:
        self._run(message)

    @task.handles(platform.ChangesWatched)
    def _on_changes(self, message: platform.ChangesWatched) -> None:
        self._run(message)

    @task.handles(platform.PlatformReached)
    def _on_reached(self, message: platform.PlatformReached) -> None:
        self._run(message)

    @task.handles(platform.PlatformLost)
    def _on_lost(self, message: platform.PlatformLost) -> None:
        _LOGGER.warning("platform lost: %s", message.error)
        self._run(message)

    @task.handles(platform.WriteFinished)
    def _on_write(self, message: platform.WriteFinished) -> None:
        self._run(message)

    @task.handles(link.PeerReceived)
    def _on_peer(self, message: link.PeerReceived) -> None:
        self._run(
            control.PeerMessage(sender=message.sender, message=message.message)
        )

    @task.handles(ownership.GrantAnswered)
    def _on_granted(self, message: ownership.GrantAnswered) -> None:
        if not message.accepted:
            _LOGGER.warning(
                "upstream %s refused a grant: %s",
                message.upstream,
                message.error or f"it has term {message.term}",
            )
        self._run(message)

    @task.handles(ownership.ReleaseAnswered)
    def _on_released(self, message: ownership.ReleaseAnswered) -> None:
        self._run(message)

    @task.handles(dispatch.ShardQuiet)
    def _on_quiet(self, message: dispatch.ShardQuiet) -> None:
        self._run(message)

    @task.handles(messages.Drain)
    def _on_drain(self, message: messages.Drain) -> None:
        self.drain_waiters.append(message.reply_to)
        self._run(control.DrainWanted())

    @task.handles(runtime_messages.TableWanted)
    def _on_table(self, message: runtime_messages.TableWanted) -> None:
        sources = diagnostics.ControlSources(
            view=self.view,
            membership=self._core.membership,
            ownership=self._core.ownership,
            grants=self._core.ownership.grants,
        )
        rows = diagnostics.rows(message.table, sources, self.now)
        message.reply_to.post(
            runtime_messages.TableAnswer(table=message.table, rows=rows)
        )

    @task.handles(operators_messages.PlanWanted)
    def _on_plan(self, message: operators_messages.PlanWanted) -> None:
        operators.plan(message, self.view)

    @task.handles(operators_messages.ExplainWanted)
    def _on_explain(self, message: operators_messages.ExplainWanted) -> None:
        operators.explained(message, self.view)

    @task.handles(operators_messages.VersionWanted)
    def _on_version(self, message: operators_messages.VersionWanted) -> None:
        version = self.view.applied_version(message.key)
        message.reply_to.post(operators_messages.InForce(version=version))

    @task.handles(operators_messages.InForceWanted)
    def _on_in_force(self, message: operators_messages.InForceWanted) -> None:
        self._waiters.add(message)

    @task.handles(operators_messages.ForgetWaiter)
    def _on_forget(self, message: operators_messages.ForgetWaiter) -> None:
        self._waiters.forget(message)

    def _run(self, event: Any) -> None:
        for effect in self._core.handle(event, self.now):
            effects.EFFECTS.get(type(effect))(self, effect)
        self._waiters.on_view()
