"""Task that owns the decisions about requests."""

import asyncio
from collections import abc
import dataclasses
import itertools

from dragonflyshelf.core.configuration import view
from dragonflyshelf.core import diagnostics
from dragonflyshelf.core.dispatch import coordinator
from dragonflyshelf.core.dispatch import messages as dispatch
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.limits import messages as limits
from dragonflyshelf.core import messages
from dragonflyshelf.core.ownership import messages as ownership
from dragonflyshelf.core import registry
from dragonflyshelf.core import settings
from dragonflyshelf.core.timeline import events
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import messages as runtime_messages
from dragonflyshelf.runtime.peers import coordinator as peers
from dragonflyshelf.runtime.peers import link
from dragonflyshelf.runtime import task
from dragonflyshelf.runtime.upstreams import pool

NEVER = ids.Instant(float("inf"))
SHORTEST_TIMER = 0.001

Runner = abc.Callable[["RouterTask", object], None]

EFFECTS: registry.Registry[type, Runner] = registry.Registry("router effects")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ViewChanged:
    """The control task has taken in new objects."""

    view: view.ObjectView


@dataclasses.dataclass(kw_only=True, slots=True)
class Running:
    """Inboxes at both sides of an exchange."""

    head: messages.RequestHead
    origin: inbox.Inbox
    target: inbox.Inbox | None = None


class RouterTask(task.Task):
    """Runs the dispatch core and carries out its effects."""

    def __init__(
        self, config: settings.Settings, incarnation: ids.Incarnation
    ) -> None:
        """Create the task; ``peers_inbox`` is set before it starts."""
        super().__init__("router", config.requests.inbox_messages)
        self._config = config
        self._core = coordinator.DispatchCoordinator(config, incarnation)
        self._running_by_exchange: dict[ids.ExchangeId, Running] = {}
        self._pools_by_upstream: dict[
            ids.UpstreamId, pool.UpstreamPoolTask
        ] = {}
        self._numbers = itertools.count(1)
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = NEVER
        self.control_inbox: inbox.Inbox | None = None
        self.peers_inbox: inbox.Inbox | None = None
        self.timeline_inbox: inbox.Inbox | None = None

    def next_exchange(self) -> ids.ExchangeId:
        """Return a number that no other exchange of the process has."""
        return ids.ExchangeId(next(self._numbers))

    @task.handles(runtime_messages.ArriveExchange)
    def _on_arrive(self, message: runtime_messages.ArriveExchange) -> None:
        self._running_by_exchange[message.exchange] = Running(
            head=message.head, origin=message.origin
        )
        self._run(
            dispatch.RequestArrived(
                exchange=message.exchange, head=message.head
            )
        )

    @task.handles(runtime_messages.ForwardedExchange)
    def _on_forwarded(
        self, message: runtime_messages.ForwardedExchange
    ) -> None:
        self._running_by_exchange[message.exchange] = Running(
            head=message.head, origin=message.origin
        )
        self._run(
            dispatch.ForwardArrived(
                exchange=message.exchange,
                head=message.head,
                admitted=message.admitted,
            )
        )

    @task.handles(runtime_messages.AttemptEnded)
    def _on_attempt_ended(
        self, message: runtime_messages.AttemptEnded
    ) -> None:
        self._run(
            dispatch.AttemptFinished(
                exchange=message.exchange,
                upstream=message.upstream,
                error=message.error,
                answered=message.answered,
                status=message.status,
            )
        )

    @task.handles(runtime_messages.ExchangeEnded)
    def _on_exchange_ended(
        self, message: runtime_messages.ExchangeEnded
    ) -> None:
        self._run(
            dispatch.ExchangeFinished(
                exchange=message.exchange, cancelled=message.cancelled
            )
        )
        self._running_by_exchange.pop(message.exchange, None)

    @task.handles(ViewChanged)
    def _on_view(self, message: ViewChanged) -> None:
        effects = self._core.on_view(message.view, self.now)
        self._update_pools()
        self._carry_out(effects)

    @task.handles(dispatch.LeaseChanged)
    def _on_lease(self, message: dispatch.LeaseChanged) -> None:
        self._run(message)

    @task.handles(dispatch.LeadershipsHeld)
    def _on_held(self, message: dispatch.LeadershipsHeld) -> None:
        self._run(message)

    @task.handles(dispatch.SealShard)
    def _on_seal(self, message: dispatch.SealShard) -> None:
        self._run(message)

    @task.handles(dispatch.UnsealShard)
    def _on_unseal(self, message: dispatch.UnsealShard) -> None:
        self._run(message)

    @task.handles(ownership.UpstreamStarted)
    def _on_started(self, message: ownership.UpstreamStarted) -> None:
        self._run(message)

    @task.handles(runtime_messages.TableWanted)
    def _on_table(self, message: runtime_messages.TableWanted) -> None:
        sources = diagnostics.RouterSources(
            dispatch=self._core, exchanges=self.exchanges
        )
        rows = diagnostics.rows(message.table, sources, self.now)
        message.reply_to.post(
            runtime_messages.TableAnswer(table=message.table, rows=rows)
        )

    @property
    def exchanges(self) -> int:
        """Return the number of unfinished exchanges."""
        return len(self._running_by_exchange)

    def on_end(self) -> None:
        """Stop the pools and the timer."""
        if self._timer is not None:
            self._timer.cancel()
        for one in self._pools_by_upstream.values():
            one.stop()
            one.inbox.post(messages.Cancel(exchange=ids.ExchangeId(0)))

    def _run(self, event: dispatch.Event) -> None:
        self._carry_out(self._core.handle(event, self.now))

    def _carry_out(self, effects: list[dispatch.Effect]) -> None:
        for effect in effects:
            EFFECTS.get(type(effect))(self, effect)
        self._set_timer()

    def _set_timer(self) -> None:
        """Have one timer for the next instant that the core names."""
        wake_at = self._core.wake_at
        if wake_at >= self._timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = wake_at
        delay = max(wake_at - self.now, SHORTEST_TIMER)
        self._timer = self.post_later(delay, dispatch.TimePassed())

    @task.handles(dispatch.TimePassed)
    def _on_time(self, message: dispatch.TimePassed) -> None:
        self._timer = None
        self._timer_at = NEVER
        self._run(message)

    @task.handles(link.PeerReceived)
    def _on_peer(self, message: link.PeerReceived) -> None:
        self._run(
            limits.LimitReceived(
                sender=message.sender, message=message.message
            )
        )

    def _update_pools(self) -> None:
        upstreams = self._core.view.upstreams_by_id
        for name in list(self._pools_by_upstream):
            if name not in upstreams:
                removed = self._pools_by_upstream.pop(name)
                removed.stop()
                removed.inbox.post(messages.Cancel(exchange=ids.ExchangeId(0)))
        for name, upstream in upstreams.items():
            if name not in self._pools_by_upstream:
                created = pool.UpstreamPoolTask(
                    self._config, upstream, self.inbox
                )
                created.start()
                self._pools_by_upstream[name] = created

    @EFFECTS.register(dispatch.Refuse)
    def _refuse(self, effect: dispatch.Refuse) -> None:
        running = self._running_by_exchange.get(effect.exchange)
        if running is None:
            return
        running.target = None
        running.origin.post(
            messages.AnswerFailed(exchange=effect.exchange, error=effect.error)
        )

    @EFFECTS.register(dispatch.Forward)
    def _forward(self, effect: dispatch.Forward) -> None:
        running = self._running_by_exchange.get(effect.exchange)
        if running is None or self.peers_inbox is None:
            return
        attempt = runtime_messages.StartExchange(
            exchange=effect.exchange,
            head=running.head,
            admitted=effect.admitted,
            origin=running.origin,
        )
        running.target = self.peers_inbox
        self.peers_inbox.post(
            peers.ForwardToPeer(instance=effect.instance, attempt=attempt)
        )

    @EFFECTS.register(dispatch.SendUpstream)
    def _send_upstream(self, effect: dispatch.SendUpstream) -> None:
        running = self._running_by_exchange.get(effect.exchange)
        if running is None:
            return
        found = self._pools_by_upstream.get(effect.admitted.upstream)
        if found is None:
            self._refuse(
                dispatch.Refuse(
                    exchange=effect.exchange,
                    error=errors.NoUpstream("upstream is not known"),
                )
            )
            return
        fence = runtime_messages.Fence(
            instance=self._config.instance.name,
            term=effect.term,
            shard=effect.admitted.shard,
            epoch=effect.epoch,
        )
        running.target = found.inbox
        found.inbox.post(
            runtime_messages.StartExchange(
                exchange=effect.exchange,
                head=running.head,
                admitted=effect.admitted,
                origin=running.origin,
                fence=fence,
            )
        )

    @EFFECTS.register(dispatch.CancelAttempt)
    def _cancel(self, effect: dispatch.CancelAttempt) -> None:
        running = self._running_by_exchange.get(effect.exchange)
        if running is None or running.target is None:
            return
        running.target.post(messages.Cancel(exchange=effect.exchange))

    @EFFECTS.register(dispatch.ShardQuiet)
    def _report_quiet(self, effect: dispatch.ShardQuiet) -> None:
        if self.control_inbox is not None:
            self.control_inbox.post(effect)

    @EFFECTS.register(limits.SendLimit)
    def _send_limit(self, effect: limits.SendLimit) -> None:
        if self.peers_inbox is not None:
            self.peers_inbox.post(
                peers.SendToPeer(
                    instance=effect.instance, message=effect.message
                )
            )

    @EFFECTS.register(events.RecordEvent)
    def _record(self, effect: events.RecordEvent) -> None:
        if self.timeline_inbox is not None:
            self.timeline_inbox.post(effect)
