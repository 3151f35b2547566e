"""Task that owns what this instance knows, and its part in leading.

It feeds the replica from the store or from the leading instance, hands
typed changes to the router, runs the grantor core and tells followers.
"""

from collections import abc
import dataclasses
from typing import Any, Final

from absl import logging

from dragonflyshelf.codec import control
from dragonflyshelf.core.grantor import const as grantor_const
from dragonflyshelf.core.grantor import coordinator as grantors
from dragonflyshelf.core.grantor import messages as grantor
from dragonflyshelf.core.grantor import objects as grantor_objects
from dragonflyshelf.core import ids
from dragonflyshelf.core.quota import messages as quota
from dragonflyshelf.core import registry
from dragonflyshelf.core.relay import messages as relay
from dragonflyshelf.core.relay import watch_selector
from dragonflyshelf.core.routing import objects as routing
from dragonflyshelf.core.scheduling import messages as scheduling
from dragonflyshelf.core import settings
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.core.store import replica
from dragonflyshelf.core.upstreams import messages as upstream_events
from dragonflyshelf.core.upstreams import service_times
from dragonflyshelf.runtime.callers import messages as callers
from dragonflyshelf.runtime.gateway import decoding
from dragonflyshelf.runtime.gateway import relaying
from dragonflyshelf.runtime.gateway import router
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import logs
from dragonflyshelf.runtime.relay import messages as relay_messages
from dragonflyshelf.runtime.store import messages as watching
from dragonflyshelf.runtime import task

_LOGGER = logging.get_absl_logger()

Kind = store.ObjectKind

ASK_INTERVAL: Final = 0.4
"""Seconds between the asks of a follower."""

LOGGED_MOVES: Final = 8
"""Moves that one line about a plan names at most."""

MEASURE_INTERVAL: Final = 0.8
"""Seconds between an instance's reports of what it has measured."""

TICK: Final = 0.1
"""Seconds between looks at leases, grants and freshness."""

LEASE: Final = ids.ObjectName(grantor_const.LEASE_NAME)

Publisher = abc.Callable[["ControlTask"], None]
Runner = abc.Callable[["ControlTask", grantor.Effect], None]

PUBLISHERS: Final[registry.Registry[Kind, Publisher]] = registry.Registry(
    "publishers of changes"
)
EFFECTS: Final[registry.Registry[type, Runner]] = registry.Registry(
    "grantor effects"
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tick:
    """Time to look at what is due."""


@dataclasses.dataclass(kw_only=True)
class Peers:
    """Inboxes of the tasks that the control task talks to."""

    router: inbox.Inbox
    callers: inbox.Inbox
    watch: inbox.Inbox
    write: inbox.Inbox
    grants: inbox.Inbox
    relay: inbox.Inbox


class ControlTask(task.Task):
    """Keeps the replica, follows or leads."""

    def __init__(
        self, config: settings.Settings, own: grantor_objects.Lease
    ) -> None:
        """Create the task; ``peers`` is set before it starts."""
        super().__init__("control")
        self._config = config
        self._own = own
        self._replica = replica.Replica()
        self._decoded = decoding.DecodedObjects()
        self._grantor = grantors.GrantorCoordinator(config, own)
        self._relaying = relaying.Relaying(config, own, self._replica)
        self._watch_selector = watch_selector.WatchSelector()
        self._watched: abc.Set[Kind] = watch_selector.NO_KINDS
        self._instances: tuple[ids.InstanceId, ...] = ()
        self._next_ask = ids.Instant(0.0)
        self._next_measures = ids.Instant(0.0)
        self._measured = service_times.DecayingServiceTimes()
        self._lost_kinds: set[Kind] = set()
        self.peers: Peers | None = None
        self.is_draining = False

    @property
    def _inboxes(self) -> Peers:
        assert self.peers is not None
        return self.peers

    @property
    def age(self) -> float:
        """Return how old the confirmation of the configuration is."""
        return (
            self.now - self._replica.by_kind(Kind.CONFIGURATION).confirmed_at
        )

    @property
    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""
        known = self._decoded.values(Kind.CONFIGURATION)
        fresh = self.age <= self._config.freshness.ready_age
        return bool(known) and fresh and not self.is_draining

    @property
    def is_leading(self) -> bool:
        """Tell whether this instance holds the lease."""
        return self._grantor.is_leading

    def begin(self) -> None:
        """Look for a leading instance and start the clock."""
        self._relaying.router = self._inboxes.router
        self._relaying.client = self._inboxes.relay
        self._watch_selector.start(self.now)
        self.inbox.post(Tick())

    @task.handles(Tick)
    def _on_tick(self, message: Tick) -> None:
        self.post_later(TICK, message)
        self._run(grantor.TimePassed())
        self._relaying.check(self.age, self.now)
        self._choose_source()
        self._ask_if_due()
        if self.is_leading:
            self._note_own()

    @task.handles(store.KindListed)
    def _on_listed(self, message: store.KindListed) -> None:
        self._regained(message.kind)
        self._take(message.kind, self._replica.apply_list(message))

    @task.handles(store.KindChanged)
    def _on_changed(self, message: store.KindChanged) -> None:
        self._regained(message.kind)
        self._take(message.kind, self._replica.apply_changes(message))

    @task.handles(store.StoreCallFailed)
    def _on_store_failed(self, message: store.StoreCallFailed) -> None:
        if message.kind in self._lost_kinds:
            return
        self._lost_kinds.add(message.kind)
        _LOGGER.warning(
            "store lost for %s: %s",
            message.kind.value,
            message.error.message,
            extra=logs.fields(message.error),
        )

    def _regained(self, kind: Kind) -> None:
        if kind in self._lost_kinds:
            self._lost_kinds.discard(kind)
            _LOGGER.info("store regained for %s", kind.value)

    def _take(self, kind: Kind, changes: tuple[store.Change, ...]) -> None:
        """Hand on changes, and the confirmation that came with them."""
        for change in changes:
            self._decoded.apply(change)
        if kind is Kind.CONTROL:
            self._see_control(changes)
        elif changes:
            PUBLISHERS.get(kind)(self)
        if kind is Kind.CONFIGURATION:
            copy = self._replica.by_kind(kind)
            self._inboxes.router.post(
                scheduling.ConfigurationConfirmed(
                    confirmed_at=copy.confirmed_at
                )
            )
        if any(one.name != LEASE for one in changes):
            self._relaying.tell_followers(self.is_leading, self.now)

    def _see_control(self, changes: tuple[store.Change, ...]) -> None:
        self._run(grantor.ControlListed())
        for change in changes:
            value = self._decoded.get(Kind.CONTROL, change.name)
            if isinstance(change, store.StoredObject) and value is not None:
                self._see_value(change, value)

    def _see_value(self, change: store.StoredObject, value: Any) -> None:
        if isinstance(value, grantor_objects.ShardPlan):
            self._inboxes.router.post(
                scheduling.AssignmentsChanged(plan=value)
            )
        self._run(
            grantor.ControlObserved(
                name=change.name, revision=change.revision, value=value
            )
        )
        if change.name == LEASE:
            if self._relaying.follow(value):
                self._next_ask = self.now

    @PUBLISHERS.register(Kind.CONFIGURATION)
    def _publish_configuration(self) -> None:
        for value in self._decoded.values(Kind.CONFIGURATION):
            _LOGGER.info("configuration %d in force", value.version)
            self._inboxes.router.post(
                scheduling.ConfigurationChanged(configuration=value)
            )
            self._publish_bounds(value.limits)
            allocator = self._relaying.allocator
            allocator.set_workspaces(value.workspaces, self.now)
            self._run(grantor.ServicesChanged(services=value.services))

    def _publish_bounds(self, limits: routing.Limits) -> None:
        """Tell what callers may send, by settings and configuration."""
        bounds = dataclasses.replace(
            self._config.requests,
            head_bytes=limits.head_bytes,
            body_bytes=limits.body_bytes,
            read_timeout=limits.head_timeout,
            idle_timeout=limits.idle_timeout,
        )
        self._inboxes.callers.post(
            callers.RequestLimitsChanged(requests=bounds)
        )

    @task.handles(settings.SettingsChanged)
    def _on_settings(self, message: settings.SettingsChanged) -> None:
        self._config = message.settings
        for value in self._decoded.values(Kind.CONFIGURATION):
            self._publish_bounds(value.limits)

    @PUBLISHERS.register(Kind.REGISTRATION)
    def _publish_registrations(self) -> None:
        values = self._decoded.values(Kind.REGISTRATION)
        event = upstream_events.RegistrationsChanged(registrations=values)
        self._inboxes.router.post(event)
        self._run(event)

    @PUBLISHERS.register(Kind.EVACUATION)
    def _publish_evacuations(self) -> None:
        names = frozenset(self._decoded.values(Kind.EVACUATION))
        _LOGGER.info("evacuated data centres: %s", ", ".join(sorted(names)))
        event = upstream_events.EvacuationsChanged(data_centres=names)
        self._inboxes.router.post(event)
        self._run(event)

    def _run(self, event: grantor.Event) -> None:
        for effect in self._grantor.handle(event, self.now):
            EFFECTS.get(type(effect))(self, effect)

    @task.handles(grantor.ControlWriteCompleted)
    def _on_written(self, message: grantor.ControlWriteCompleted) -> None:
        """Take in a write; what it has shown need not be watched."""
        current = message.current
        if current is not None:
            self._on_changed(
                store.KindChanged(
                    kind=Kind.CONTROL,
                    revision=current.revision,
                    changes=(_stored(current),),
                    confirmed_at=message.sent_at,
                )
            )
        self._run(message)

    @task.handles(grantor.RangeCallCompleted)
    def _on_answered(self, message: grantor.RangeCallCompleted) -> None:
        if message.outcome is not grantor.CallOutcome.DONE:
            _LOGGER.info(
                "%s of range %d of %s: %s",
                type(message.call).__name__,
                message.call.assignment.first,
                message.call.service,
                message.outcome.value,
                extra={"peer": message.call.registration.id},
            )
        self._run(message)

    @task.handles(grantor.Resign)
    def _on_resign(self, message: grantor.Resign) -> None:
        self.is_draining = True
        self._run(message)

    @EFFECTS.register(grantor.WriteControl)
    def _write(self, effect: grantor.WriteControl) -> None:
        if isinstance(effect.value, grantor_objects.ShardPlan):
            self._log_plan(effect.value)
        self._inboxes.write.post(effect)

    def _log_plan(self, plan: grantor_objects.ShardPlan) -> None:
        """Log which ranges change hands; one line for each plan."""
        moves = [
            f"{one.first}-{one.last}: {one.former_upstream} to {one.upstream}"
            for one in plan.assignments
            if not one.is_settled
        ]
        _LOGGER.info(
            "plan of %s has %d ranges, moving %s",
            plan.service,
            len(plan.assignments),
            "; ".join(moves[:LOGGED_MOVES]) or "none",
        )

    @EFFECTS.register(grantor.GrantRange)
    def _grant(self, effect: grantor.GrantRange) -> None:
        self._inboxes.grants.post(effect)

    @EFFECTS.register(grantor.ReleaseRange)
    def _release(self, effect: grantor.ReleaseRange) -> None:
        self._inboxes.grants.post(effect)

    @EFFECTS.register(grantor.LeadershipChanged)
    def _on_leadership(self, effect: grantor.LeadershipChanged) -> None:
        _LOGGER.info(
            "leadership %s", "taken" if effect.is_leading else "ended"
        )
        if effect.is_leading:
            self._relaying.followers.assume_alive(self._instances, self.now)
            self._relaying.allocator.reset()
        self._choose_source()

    def _choose_source(self) -> None:
        """Watch in the store what no other instance tells."""
        is_relay = self._relaying.is_relay(self.now)
        wanted = self._watch_selector.select_kinds(
            self.is_leading, is_relay, self.age, self.now
        )
        if wanted == self._watched:
            return
        self._watched = wanted
        names = ", ".join(sorted(one.value for one in wanted))
        _LOGGER.info("watched in the store: %s", names or "nothing")
        if not wanted:
            self._inboxes.watch.post(watching.StopWatching())
            return
        self._inboxes.watch.post(
            watching.WatchKinds(
                revisions_by_kind={
                    kind: self._replica.by_kind(kind).revision
                    for kind in Kind
                    if kind in wanted
                },
                is_awaited=self.is_leading or is_relay,
            )
        )

    def _ask_if_due(self) -> None:
        if self.is_leading or self.now < self._next_ask:
            return
        self._want_load()

    def _want_load(self) -> None:
        self._next_ask = ids.Instant(self.now + ASK_INTERVAL)
        is_due = self.now >= self._next_measures
        if is_due:
            self._next_measures = ids.Instant(self.now + MEASURE_INTERVAL)
        self._inboxes.router.post(
            router.LoadWanted(reply_to=self.inbox, with_measures=is_due)
        )

    @task.handles(router.LoadTold)
    def _on_load(self, message: router.LoadTold) -> None:
        if self.is_leading:
            self._note_own_load(message)
            return
        self._relaying.ask(message.loads, message.paces, self.now)

    @task.handles(relay_messages.UpdateReceived)
    def _on_update(self, message: relay_messages.UpdateReceived) -> None:
        self._watch_selector.record_update(self.now)
        for event in self._relaying.take_update(message.update, self.now):
            if isinstance(event, store.KindListed):
                self._on_listed(event)
            else:
                self._on_changed(event)
        if message.update.instances:
            self._instances = message.update.instances
            self._tell_instances(message.update.instances)

    @task.handles(relay_messages.LinkLost)
    def _on_link_lost(self, message: relay_messages.LinkLost) -> None:
        self._relaying.leave_relay(message.reason, self.now)

    def _tell_instances(self, names: tuple[ids.InstanceId, ...]) -> None:
        self._inboxes.router.post(scheduling.InstancesChanged(instances=names))
        self._run(grantor.InstanceCountChanged(count=len(names)))

    @task.handles(quota.TokenRequest)
    def _on_borrow_wanted(self, message: quota.TokenRequest) -> None:
        """Borrow from the leading instance, which may be this one."""
        self._relaying.borrow(
            self._inboxes.router, (message,), self.is_leading, self.now
        )

    @task.handles(relay_messages.BorrowReceived)
    def _on_borrow(self, message: relay_messages.BorrowReceived) -> None:
        self._relaying.borrow(
            message.reply_to,
            message.borrow.borrowings,
            self.is_leading,
            self.now,
        )

    @task.handles(relay.TokenAllocations)
    def _on_lend(self, message: relay.TokenAllocations) -> None:
        self._relaying.lent(message, self.now)

    @task.handles(relay_messages.AskReceived)
    def _on_ask(self, message: relay_messages.AskReceived) -> None:
        self._relaying.asked(message, self.is_leading, self.now)
        if self.is_leading:
            self._note_loads(message.ask.instance, message.ask.loads)
            self._measured.add(message.ask.paces, self.now)

    def _note_loads(
        self, instance: ids.InstanceId, loads: tuple[grantor.RangeLoad, ...]
    ) -> None:
        if loads:
            self._run(grantor.LoadReported(instance=instance, loads=loads))

    @task.handles(relay_messages.FollowerGone)
    def _on_follower_gone(self, message: relay_messages.FollowerGone) -> None:
        self._relaying.followers.remove_link(message.reply_to)

    def _note_own(self) -> None:
        """Ask the router for its load, as a follower reports its own."""
        if self.now >= self._next_ask:
            self._want_load()

    def _note_own_load(self, load: router.LoadTold) -> None:
        followers = self._relaying.followers
        names = followers.instances(self.now)
        missing = followers.count_silent(self.now)
        self._relaying.allocator.reserve_fallback(
            missing, len(names), self.now
        )
        self._note_loads(self._own.holder, load.loads)
        self._measured.add(load.paces, self.now)
        known = self._measured.snapshot(self.now)
        self._run(upstream_events.ServiceTimesChanged(sums=known))
        self._tell_instances(names)


def _stored(seen: grantor.ControlObserved) -> store.StoredObject:
    """Return an object of the own kind as the replica holds it."""
    return store.StoredObject(
        kind=Kind.CONTROL,
        name=seen.name,
        revision=seen.revision,
        spec=control.encode(seen.value),
    )
