"""Task that owns the replica of the store and the leadership state.

It runs the grantor core and sends updates to followers, beside what
``replication`` does.
"""

from collections import abc
import dataclasses
from typing import Any, Final

from absl import logging

from dragonflyshelf.codec import control
from dragonflyshelf.core import errors
from dragonflyshelf.core.grantor import coordinator as grantor_coordinator
from dragonflyshelf.core.grantor import lease as grantor_lease
from dragonflyshelf.core.grantor import messages as grantor
from dragonflyshelf.core.grantor import objects as grantor_objects
from dragonflyshelf.core import ids
from dragonflyshelf.core.quota import messages as quota
from dragonflyshelf.core import registry
from dragonflyshelf.core.relay import messages as relay
from dragonflyshelf.core.relay import watch_selector
from dragonflyshelf.core.rollouts import messages as rollout_messages
from dragonflyshelf.core.rollouts import objects as rollouts
from dragonflyshelf.core.rollouts import outcomes
from dragonflyshelf.core.scheduling import messages as scheduling
from dragonflyshelf.core import settings
from dragonflyshelf.core import stagger
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.core.upstreams import messages as upstream_events
from dragonflyshelf.core.upstreams import service_times
from dragonflyshelf.runtime.gateway import diagnostics
from dragonflyshelf.runtime.gateway import replication
from dragonflyshelf.runtime.gateway import rollout_runner
from dragonflyshelf.runtime.gateway import router
from dragonflyshelf.runtime.relay import messages as relay_messages
from dragonflyshelf.runtime.store import messages as store_messages
from dragonflyshelf.runtime import task

_LOGGER = logging.get_absl_logger()

Kind = store.ObjectKind

UPDATE_REQUEST_INTERVAL_SECONDS: Final = 0.4
"""Interval at which a follower requests updates.

The leader requests the load from its own router at this interval.
"""

MEASUREMENT_INTERVAL_SECONDS: Final = 0.8
"""Interval at which an instance reports its loads and service times."""

TICK_INTERVAL_SECONDS: Final = 0.1
"""Interval at which leases, grants and replica ages are checked."""

EffectHandler = abc.Callable[["ControlTask", grantor.Effect], None]

EFFECT_HANDLERS: Final[registry.Registry[type, EffectHandler]] = (
    registry.Registry("grantor effect handlers")
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tick:
    """The tick interval has passed."""


class ControlTask(replication.ReplicationTask):
    """Runs the instance as leader or follower."""

    def __init__(
        self, config: settings.Settings, own_lease: grantor_objects.Lease
    ) -> None:
        """Create the task; ``task_inboxes`` must be set before it starts."""
        super().__init__(config, own_lease)
        self._grantor = grantor_coordinator.GrantorCoordinator(
            config, own_lease
        )
        self._rollout_runner = rollout_runner.RolloutRunner(config)
        self._watch_selector = watch_selector.WatchSelector(
            config.leadership,
            config.promises,
            stagger.find_ratio(config.instance.name),
        )
        self._watched_kinds: abc.Set[Kind] = watch_selector.NO_KINDS
        self._instances: tuple[ids.InstanceId, ...] = ()
        self._next_request_at = ids.Instant(0.0)
        self._next_measurement_at = ids.Instant(0.0)
        self._service_times = service_times.DecayingServiceTimes()
        self._tick_monitor = diagnostics.TickMonitor(TICK_INTERVAL_SECONDS)
        self._leader_log = diagnostics.LeaderLog()
        self._rollout_log = diagnostics.RolloutLog()

    @property
    def is_leading(self) -> bool:
        """Return whether this instance is the leader."""
        return self._grantor.is_leading

    def start_ticking(self) -> None:
        """Connect the relay coordinator and start the periodic tick."""
        self._relay_coordinator.router = self._inboxes.router
        self._relay_coordinator.client = self._inboxes.relay
        self._rollout_runner.write = self._inboxes.write
        self._watch_selector.start(self.now)
        self.inbox.post(Tick())

    @task.handles(Tick)
    def _on_tick(self, message: Tick) -> None:
        self.post_later(TICK_INTERVAL_SECONDS, message)
        self._record_lateness()
        self._handle_event(grantor.TimePassed())
        self._relay_coordinator.check_relay(self.configuration_age, self.now)
        self._relay_coordinator.resolve_overdue_tokens(self.now)
        self._rollout_runner.advance(
            self._replica.by_kind(Kind.ROLLOUT).confirmed_at, self.now
        )
        self._update_watches()
        self._request_updates_if_due()
        if self.is_leading:
            self._request_own_load_if_due()

    def _record_lateness(self) -> None:
        self._tick_monitor.record(len(self.inbox), self.now)
        for kind in store.REPLICATED_KINDS:
            diagnostics.CONFIRMATION_AGE.labels(kind.value).set(
                self._age(kind)
            )

    def _observe_control(self, changes: tuple[store.Change, ...]) -> None:
        self._handle_event(grantor.ControlListed())
        for change in changes:
            value = self._decoded_objects.get(Kind.CONTROL, change.name)
            if isinstance(change, store.StoredObject) and value is not None:
                self._observe_control_value(change, value)

    def _observe_control_value(
        self, change: store.StoredObject, value: Any
    ) -> None:
        if isinstance(value, grantor_objects.ShardPlan):
            self._inboxes.router.post(
                scheduling.AssignmentsChanged(plan=value)
            )
        if isinstance(value, rollouts.RolloutPlan):
            self._rollout_log.record(
                value,
                self._source_by_kind[Kind.CONTROL],
                self._age(Kind.CONTROL),
            )
            self._inboxes.router.post(
                scheduling.RolloutPlanChanged(plan=value)
            )
        self._handle_event(
            grantor.ControlObserved(
                name=change.name, revision=change.revision, value=value
            )
        )
        if change.name == grantor_lease.LEASE_NAME:
            self._leader_log.record(
                value,
                self._source_by_kind[Kind.CONTROL],
                self._age(Kind.CONTROL),
            )
            if self._relay_coordinator.update_lease(
                value, change.revision, self.now
            ):
                self._next_request_at = self.now

    def _handle_orders(
        self, orders: tuple[rollouts.RolloutOrder, ...]
    ) -> None:
        self._rollout_runner.handle(
            rollout_messages.OrdersChanged(orders=orders), self.now
        )

    @task.handles(rollout_messages.StatusWriteCompleted)
    def _on_status_write_completed(
        self, message: rollout_messages.StatusWriteCompleted
    ) -> None:
        self._rollout_runner.handle(message, self.now)

    def _handle_event(self, event: grantor.Event) -> None:
        self._rollout_runner.handle(event, self.now)
        for effect in self._grantor.handle(event, self.now):
            EFFECT_HANDLERS.get(type(effect))(self, effect)

    @task.handles(grantor.ControlWriteCompleted)
    def _on_control_write_completed(
        self, message: grantor.ControlWriteCompleted
    ) -> None:
        """Apply the object that the write returned."""
        if message.current is not None:
            is_writer = message.outcome is store.WriteOutcome.DONE
            self._apply_written_object(
                message.current, message.sent_at, is_writer or self.is_leading
            )
        self._handle_event(message)

    def _apply_written_object(
        self,
        current: grantor.ControlObserved,
        sent_at: ids.Instant,
        is_writer: bool,
    ) -> None:
        """Apply the current value of an object that was written.

        The leader does not watch control objects, as it alone writes them.
        To others one object does not tell which changes came before it.
        """
        self._mark_store_regained(Kind.CONTROL)
        self._source_by_kind[Kind.CONTROL] = diagnostics.Source.STORE
        stored = _to_stored_object(current)
        if not is_writer:
            self._publish_changes(
                Kind.CONTROL, self._replica.apply_object(stored)
            )
            return
        self._apply(
            store.KindChanged(
                kind=Kind.CONTROL,
                revision=current.revision,
                changes=(stored,),
                confirmed_at=sent_at,
            ),
            diagnostics.Source.STORE,
        )

    @task.handles(grantor.RangeCallCompleted)
    def _on_range_call_completed(
        self, message: grantor.RangeCallCompleted
    ) -> None:
        if message.outcome is not grantor.CallOutcome.DONE:
            _LOGGER.info(
                "%s for range %d of service %s not done: %s",
                type(message.call).__name__,
                message.call.assignment.first,
                message.call.service,
                message.outcome.value,
                extra={"peer": message.call.registration.id},
            )
        self._handle_event(message)

    @task.handles(grantor.Resign)
    def _on_resign(self, message: grantor.Resign) -> None:
        self.is_draining = True
        self._handle_event(message)

    @EFFECT_HANDLERS.register(grantor.WriteControl)
    def _write_control(self, effect: grantor.WriteControl) -> None:
        if isinstance(effect.value, grantor_objects.ShardPlan):
            diagnostics.log_plan(effect.value)
        self._inboxes.write.post(effect)

    @EFFECT_HANDLERS.register(grantor.GrantRange)
    def _grant_range(self, effect: grantor.GrantRange) -> None:
        self._inboxes.grants.post(effect)

    @EFFECT_HANDLERS.register(grantor.ReleaseRange)
    def _release_range(self, effect: grantor.ReleaseRange) -> None:
        self._inboxes.grants.post(effect)

    @EFFECT_HANDLERS.register(grantor.LeadershipChanged)
    def _on_leadership_changed(
        self, effect: grantor.LeadershipChanged
    ) -> None:
        _LOGGER.info(
            "leadership %s", "taken" if effect.is_leading else "ended"
        )
        self._rollout_runner.handle(effect, self.now)
        if effect.is_leading:
            self._relay_coordinator.followers.assume_alive(
                self._instances, self.now
            )
            self._relay_coordinator.allocator.reset()
        self._update_watches()

    def _update_watches(self) -> None:
        """Watch the kinds in the store for which no updates are received."""
        is_relay = self._relay_coordinator.is_relay(self.now)
        completeness = self._relay_coordinator.completeness
        if self._watched_kinds == watch_selector.ALL_KINDS:
            completeness.record_direct_watch()
        complete_at = completeness.complete_at(self.is_leading)
        state = watch_selector.ReplicaState(
            is_leading=self.is_leading,
            is_relay=is_relay,
            uses_relay=self._relay_coordinator.uses_relay,
            configuration_age=self.configuration_age,
            complete_age=self.now - complete_at,
        )
        kinds = self._watch_selector.select_kinds(state, self.now)
        if self.is_leading and self._config.promises.has_rollouts:
            kinds |= {Kind.ROLLOUT}
        if kinds == self._watched_kinds:
            return
        self._watched_kinds = kinds
        kind_names = ", ".join(sorted(kind.value for kind in kinds))
        _LOGGER.info("watched in the store: %s", kind_names or "nothing")
        if not kinds:
            self._inboxes.watch.post(store_messages.StopWatching())
            return
        self._inboxes.watch.post(
            store_messages.WatchKinds(
                revisions_by_kind={
                    kind: self._replica.by_kind(kind).revision
                    for kind in Kind
                    if kind in kinds
                },
                has_followers=self.is_leading or is_relay,
            )
        )

    def _request_updates_if_due(self) -> None:
        """Request the load; its reply triggers the update request."""
        if self.is_leading or self.now < self._next_request_at:
            return
        self._request_load()

    def _request_load(self) -> None:
        self._next_request_at = ids.Instant(
            self.now + UPDATE_REQUEST_INTERVAL_SECONDS
        )
        is_report_due = self.now >= self._next_measurement_at
        if is_report_due:
            self._next_measurement_at = ids.Instant(
                self.now + MEASUREMENT_INTERVAL_SECONDS
            )
        self._inboxes.router.post(
            router.LoadRequest(
                reply_to=self.inbox, include_measurements=is_report_due
            )
        )

    @task.handles(router.LoadReply)
    def _on_load_reply(self, message: router.LoadReply) -> None:
        if self.is_leading:
            self._apply_own_load(message)
            return
        self._relay_coordinator.request_updates(
            message.loads,
            message.service_time_sums,
            message.outcomes,
            self.now,
        )

    @task.handles(relay_messages.UpdateReceived)
    def _on_update_received(
        self, message: relay_messages.UpdateReceived
    ) -> None:
        if message.update.kinds:
            self._watch_selector.record_update(self.now)
        former_address = self._relay_coordinator.source_address
        for event in self._relay_coordinator.apply_update(
            message.update, self.now
        ):
            self._apply(event, diagnostics.Source.UPDATE)
        is_redirect = not message.update.kinds
        if (
            is_redirect
            or self._relay_coordinator.source_address != former_address
        ):
            self._next_request_at = self.now
        if message.update.instances:
            self._instances = message.update.instances
            self._publish_instances(message.update.instances)

    @task.handles(relay_messages.UpdateSourceLost)
    def _on_update_source_lost(
        self, message: relay_messages.UpdateSourceLost
    ) -> None:
        self._relay_coordinator.drop_relay(message.reason, self.now)

    def _publish_instances(
        self, instances: tuple[ids.InstanceId, ...]
    ) -> None:
        self._inboxes.router.post(
            scheduling.InstancesChanged(instances=instances)
        )
        self._handle_event(grantor.InstanceCountChanged(count=len(instances)))

    @task.handles(quota.TokenRequest)
    def _on_token_request(self, message: quota.TokenRequest) -> None:
        """Request tokens from the leader, which may be this instance."""
        self._relay_coordinator.request_tokens(
            self._inboxes.router, (message,), self.is_leading, self.now
        )

    @task.handles(relay_messages.TokenRequestsReceived)
    def _on_token_requests_received(
        self, message: relay_messages.TokenRequestsReceived
    ) -> None:
        self._relay_coordinator.request_tokens(
            message.reply_to,
            message.requests.borrowings,
            self.is_leading,
            self.now,
        )

    @task.handles(relay.TokenAllocations)
    def _on_token_allocations(self, message: relay.TokenAllocations) -> None:
        self._relay_coordinator.handle_allocations(message, self.now)

    @task.handles(relay_messages.UpdateRequestReceived)
    def _on_update_request_received(
        self, message: relay_messages.UpdateRequestReceived
    ) -> None:
        for change in message.request.news:
            self._apply_news(change)
        self._relay_coordinator.handle_request(
            message, self.is_leading, self.now
        )
        if self.is_leading:
            self._report_loads(message.request.instance, message.request.loads)
            self._service_times.add(message.request.paces, self.now)
            self._report_outcomes(message.request.outcomes)

    def _apply_news(self, change: relay.RelayedChange) -> None:
        """Apply the lease that a follower has read in the store.

        This instance may not reach the store, or follow a former leader.
        """
        if change.name != grantor_lease.LEASE_NAME or not _is_lease(
            change.spec
        ):
            return
        stored = store.StoredObject(
            kind=Kind.CONTROL,
            name=change.name,
            revision=change.revision,
            spec=change.spec,
        )
        self._source_by_kind[Kind.CONTROL] = diagnostics.Source.FOLLOWER
        self._publish_changes(Kind.CONTROL, self._replica.apply_object(stored))

    def _report_loads(
        self, instance: ids.InstanceId, loads: tuple[grantor.RangeLoad, ...]
    ) -> None:
        if loads:
            self._handle_event(
                grantor.LoadReported(instance=instance, loads=loads)
            )

    def _report_outcomes(self, sums: outcomes.OutcomeSums) -> None:
        if sums:
            self._rollout_runner.handle(
                rollout_messages.OutcomesReported(sums=sums), self.now
            )

    @task.handles(relay_messages.UpdateNotSent)
    def _on_update_not_sent(
        self, message: relay_messages.UpdateNotSent
    ) -> None:
        self._relay_coordinator.followers.record_unsent(
            message.reply_to, message.update
        )

    @task.handles(relay_messages.FollowerWritable)
    def _on_follower_writable(
        self, message: relay_messages.FollowerWritable
    ) -> None:
        self._relay_coordinator.send_update(
            message.reply_to, self.is_leading, self.now
        )

    @task.handles(relay_messages.FollowerDisconnected)
    def _on_follower_disconnected(
        self, message: relay_messages.FollowerDisconnected
    ) -> None:
        self._relay_coordinator.followers.remove_link(message.reply_to)

    def _request_own_load_if_due(self) -> None:
        """Request the load of this instance if its report is due."""
        if self.now >= self._next_request_at:
            self._request_load()

    def _apply_own_load(self, reply: router.LoadReply) -> None:
        followers = self._relay_coordinator.followers
        instances = followers.instances(self.now)
        silent_count = followers.count_silent(self.now)
        self._relay_coordinator.allocator.reserve_fallback(
            silent_count, len(instances), self.now
        )
        self._report_loads(self._own_lease.holder, reply.loads)
        self._service_times.add(reply.service_time_sums, self.now)
        self._report_outcomes(reply.outcomes)
        sums = self._service_times.snapshot(self.now)
        self._handle_event(upstream_events.ServiceTimesChanged(sums=sums))
        self._publish_instances(instances)


def _is_lease(spec: bytes) -> bool:
    """Return whether an encoded control object is a valid lease."""
    try:
        return isinstance(control.decode(spec), grantor_objects.Lease)
    except errors.InvalidObject:
        return False


def _to_stored_object(observed: grantor.ControlObserved) -> store.StoredObject:
    """Return a control object as the replica stores it."""
    return store.StoredObject(
        kind=Kind.CONTROL,
        name=observed.name,
        revision=observed.revision,
        spec=control.encode(observed.value),
    )
