"""Schedules requests: admission, queueing, dispatch and retries."""

from collections import abc
from typing import Final

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.quota import limiter
from dragonflyshelf.core.quota import messages as quota
from dragonflyshelf.core import registry
from dragonflyshelf.core.rollouts import outcomes
from dragonflyshelf.core.scheduling import admission
from dragonflyshelf.core.scheduling import budget
from dragonflyshelf.core.scheduling import const
from dragonflyshelf.core.scheduling import dispatcher
from dragonflyshelf.core.scheduling import exchanges
from dragonflyshelf.core.scheduling import fleet
from dragonflyshelf.core.scheduling import fleet_changes
from dragonflyshelf.core.scheduling import intake
from dragonflyshelf.core.scheduling import loads
from dragonflyshelf.core.scheduling import messages
from dragonflyshelf.core.scheduling import retries
from dragonflyshelf.core.scheduling import slot_placement
from dragonflyshelf.core.scheduling import timers
from dragonflyshelf.core import settings
from dragonflyshelf.core.slots import broker
from dragonflyshelf.core.slots import holders
from dragonflyshelf.core.slots import messages as slots
from dragonflyshelf.core.slots import tickets
from dragonflyshelf.core import states
from dragonflyshelf.core.upstreams import messages as upstream_events
from dragonflyshelf.core.upstreams import service_times
from dragonflyshelf.core.upstreams import state

Effects = list[messages.Effect]
Handler = abc.Callable[
    ["SchedulingCoordinator", messages.Event, ids.Instant], Effects
]
Phase = exchanges.Phase

HANDLERS: Final[registry.Registry[type, Handler]] = registry.Registry(
    "scheduling handlers"
)


class SchedulingCoordinator:
    """Tracks and schedules every unfinished request of this instance."""

    def __init__(self, config: settings.Settings) -> None:
        """Create a coordinator without a configuration."""
        self._intake = intake.RequestIntake(config)
        self.token_queue = admission.TokenQueue()
        self.retry_budget = budget.RetryBudget(config.retries)
        self.fleet = fleet.Fleet(config)
        self.dispatcher = dispatcher.RequestDispatcher(self.fleet)
        self._slot_broker = broker.SlotBroker(self.fleet)
        self._holder_broker = holders.HolderBroker(
            self.fleet, self.dispatcher, self._slot_broker
        )
        self._slot_placement = slot_placement.SlotPlacement(
            config.slots, self.fleet, self.dispatcher
        )
        self._retry_policy = retries.RetryPolicy(config, self.retry_budget)
        self.shard_loads = loads.ShardLoads()
        self.service_times = service_times.ServiceTimeTally()
        self.outcomes = outcomes.OutcomeTally()
        self.exchanges_by_id: dict[ids.ExchangeId, exchanges.Exchange] = {}
        self._deadlines = timers.ExchangeTimers()
        self._retries = timers.ExchangeTimers()

    def handle(self, event: messages.Event, now: ids.Instant) -> Effects:
        """Process one event and return the resulting effects."""
        return HANDLERS.get(type(event))(self, event, now)

    def wake_at(self, now: ids.Instant) -> ids.Instant:
        """Return when ``TimePassed`` is due next."""
        wake_time = min(
            self._deadlines.due_at,
            self._retries.due_at,
            self._slot_placement.client.due_at,
        )
        if self.dispatcher.has_waiting or self.token_queue.has_waiting:
            check_at = ids.Instant(now + const.QUEUE_CHECK_INTERVAL_SECONDS)
            wake_time = min(wake_time, check_at)
        return wake_time

    @HANDLERS.register(messages.RequestArrived)
    def _on_request_arrived(
        self, event: messages.RequestArrived, now: ids.Instant
    ) -> Effects:
        try:
            exchange = self._intake.create_exchange(event, now)
        except errors.RouterError as error:
            return [messages.Refuse(exchange=event.exchange, error=error)]
        self.exchanges_by_id[exchange.id] = exchange
        self._deadlines.add(exchange.id, exchange.deadline)
        if exchange.match.workspace is None:
            return self._accept(exchange, now)
        return self._take_token(exchange, now)

    def _accept(
        self, exchange: exchanges.Exchange, now: ids.Instant
    ) -> Effects:
        """Count an admitted request and queue it for dispatch."""
        self.retry_budget.record_request(exchange.service, now)
        self.fleet.versions.count_request(exchange.service)
        key = exchange.head.shard_key
        if key is not None and self.fleet.is_sharded(exchange.service):
            self.shard_loads.record_request(exchange.service, key)
        return self._place(exchange, now)

    def _place(
        self, exchange: exchanges.Exchange, now: ids.Instant
    ) -> Effects:
        """Request a slot from the broker, or queue the request here."""
        if self._slot_placement.may_request(exchange, now):
            return [self._slot_placement.request(exchange, now)]
        return self._enqueue(exchange, now)

    @HANDLERS.register(slots.SlotAssignment)
    def _on_slot_assignment(
        self, event: slots.SlotAssignment, now: ids.Instant
    ) -> Effects:
        """Send a request to the upstream that was assigned, if it is usable.

        A slot that comes too late, or can't be used, is given back.
        """
        effects: Effects = [
            *self._slot_placement.learn_capability(
                event, self.exchanges_by_id, now
            )
        ]
        exchange_id = ids.ExchangeId(event.number)
        exchange = self.exchanges_by_id.get(exchange_id)
        if event.is_queued:
            return [
                *effects,
                *self._slot_placement.acknowledge(event, exchange, now),
            ]
        is_waiting = self._slot_placement.client.remove(exchange_id)
        if exchange is None or not is_waiting:
            return [*effects, *self._slot_placement.give_back(event)]
        if event.retry_after > 0:
            error = slot_placement.make_refusal(event)
            return [*effects, *self._refuse(exchange, error)]
        upstream = self._slot_placement.find_assigned(exchange, event, now)
        if upstream is not None:
            return [*effects, self._send(exchange, upstream, now)]
        return [
            *effects,
            *self._slot_placement.give_back(event),
            *self._enqueue(exchange, now),
        ]

    @HANDLERS.register(slots.BrokerChanged)
    def _on_broker_changed(
        self, event: slots.BrokerChanged, now: ids.Instant
    ) -> Effects:
        placement = self._slot_placement
        placement.client.set_available(event.is_available, now)
        if event.is_available and placement.asks_for_holders:
            return [slots.CAPABILITY_QUERY]
        return []

    @HANDLERS.register(slots.SlotRequested)
    def _on_slot_requested(
        self, event: slots.SlotRequested, now: ids.Instant
    ) -> Effects:
        request = event.request
        if request.shard_key == slots.NO_SHARD_KEY:
            return [self._slot_broker.assign(event, now)]
        return [
            *self._holder_broker.request(event, now),
            *self._dispatch_queued(request.service, now),
            *self._holder_broker.acknowledge(event),
        ]

    @HANDLERS.register(slots.SlotReported)
    def _on_slot_reported(
        self, event: slots.SlotReported, now: ids.Instant
    ) -> Effects:
        service = self._slot_broker.report(event, now)
        if service is None:
            self._holder_broker.withdraw(event)
            return []
        if not self.fleet.is_sharded(service):
            return []
        return self._dispatch_queued(service, now)

    @HANDLERS.register(slots.SlotInUseReported)
    def _on_slot_in_use_reported(
        self, event: slots.SlotInUseReported, now: ids.Instant
    ) -> Effects:
        self._slot_broker.record_in_use(event, now)
        return []

    @HANDLERS.register(slots.LinkClosed)
    def _on_link_closed(
        self, event: slots.LinkClosed, now: ids.Instant
    ) -> Effects:
        self.dispatcher.remove_link(event.link)
        return []

    def _take_token(
        self, exchange: exchanges.Exchange, now: ids.Instant
    ) -> Effects:
        workspace = exchange.workspace
        assert workspace is not None
        admission_result = self.token_queue.take(exchange.id, workspace, now)
        if admission_result is limiter.AdmissionResult.OVER_LIMIT:
            return self._refuse(
                exchange, self.token_queue.refusal(workspace, now)
            )
        effects: Effects = []
        if admission_result is limiter.AdmissionResult.ADMITTED:
            exchange.has_token = True
            effects.extend(self._accept(exchange, now))
        else:
            exchange.phase = Phase.AWAITING_TOKEN
        token_request = self.token_queue.next_request(workspace, now)
        return (
            [*effects, token_request] if token_request is not None else effects
        )

    @HANDLERS.register(quota.TokenAllocation)
    def _on_token_allocation(
        self, event: quota.TokenAllocation, now: ids.Instant
    ) -> Effects:
        effects = self._apply_decisions(
            self.token_queue.add_allocation(event, now), now
        )
        token_request = self.token_queue.next_waiting_request(
            event.workspace, now
        )
        return (
            [*effects, token_request] if token_request is not None else effects
        )

    def _apply_decisions(
        self,
        decisions: abc.Iterable[admission.AdmissionDecision],
        now: ids.Instant,
    ) -> Effects:
        """Accept or refuse requests that were waiting for tokens."""
        effects: Effects = []
        for decision in decisions:
            exchange = self.exchanges_by_id[decision.exchange]
            assert exchange.workspace is not None
            if decision.is_admitted:
                exchange.has_token = True
                effects.extend(self._accept(exchange, now))
            else:
                error = self.token_queue.refusal(exchange.workspace, now)
                effects.extend(self._refuse(exchange, error))
        return effects

    @HANDLERS.register(messages.AttemptFinished)
    def _on_attempt_finished(
        self, event: messages.AttemptFinished, now: ids.Instant
    ) -> Effects:
        exchange = self.exchanges_by_id.get(event.exchange)
        if exchange is None or exchange.phase is not Phase.IN_FLIGHT:
            return []
        assert exchange.upstream is not None
        seconds = now - exchange.attempt_started_at
        upstream = exchange.upstream
        upstream.finish(event.result, seconds, event.report, now)
        service = self.fleet.service_state(exchange.service)
        if event.is_turned_away and self.fleet.is_sharded(exchange.service):
            upstream.record_turned_away(service.mean_service_time, now)
        if event.result is state.AttemptResult.RESPONDED:
            incarnation = upstream.registration.incarnation
            service.record_response(incarnation, seconds, now)
            self.service_times.record_response(
                incarnation, upstream.normalized_service_time(seconds, now)
            )
        self._record_outcome(exchange, event.result, now)
        exchange.upstream = None
        exchange.phase = Phase.DONE
        effects: Effects = [
            *self._slot_placement.report(
                exchange,
                event.result,
                event.report,
                now,
                event.is_turned_away,
            )
        ]
        if event.error is not None and not event.response_started:
            effects.extend(self._on_attempt_failed(exchange, event, now))
        return [*effects, *self._dispatch_queued(exchange.service, now)]

    def _record_outcome(
        self,
        exchange: exchanges.Exchange,
        result: state.AttemptResult,
        now: ids.Instant,
    ) -> None:
        """Count the end of an attempt if its service is rolled out."""
        upstream = exchange.upstream
        if upstream is None:
            return
        if not self.fleet.versions.is_counted(exchange.service):
            return
        seconds = now - exchange.attempt_started_at
        self.outcomes.record_result(
            exchange.service,
            exchange.match.route.name,
            upstream.registration.incarnation,
            result,
            upstream.normalized_service_time(seconds, now),
        )

    def _on_attempt_failed(
        self,
        exchange: exchanges.Exchange,
        event: messages.AttemptFinished,
        now: ids.Instant,
    ) -> Effects:
        assert event.error is not None
        if event.error.outcome is states.Outcome.NOT_RUN:
            exchange.possible_run_count -= 1
        if event.result is state.AttemptResult.UNSENT:
            exchange.attempt_count -= 1
            return self._enqueue(exchange, now)
        delay = self._retry_policy.retry_delay(exchange, event.result, now)
        if delay is None:
            return self._refuse(exchange, event.error)
        if event.result is not state.AttemptResult.UNREACHABLE:
            self.retry_budget.record_retry(exchange.service, now)
        if not delay:
            return self._place(exchange, now)
        return self._schedule_retry(exchange, ids.Instant(now + delay))

    def _schedule_retry(
        self, exchange: exchanges.Exchange, retry_at: ids.Instant
    ) -> Effects:
        exchange.phase = Phase.RETRY_DELAY
        self._retries.add(exchange.id, retry_at)
        return []

    def _enqueue(
        self, exchange: exchanges.Exchange, now: ids.Instant
    ) -> Effects:
        try:
            self.dispatcher.push(exchange, now)
        except errors.NoShardOwner as error:
            return self._wait_for_holder(exchange, error, now)
        except errors.RouterError as error:
            return self._refuse(exchange, error)
        return self._dispatch_queued(exchange.service, now)

    def _wait_for_holder(
        self,
        exchange: exchanges.Exchange,
        error: errors.RouterError,
        now: ids.Instant,
    ) -> Effects:
        """Delay a request whose shard has no holder yet, or refuse it.

        A shard range has no holder for a moment while it is moved.
        """
        max_wait = (
            exchange.match.route.latency_objective * const.HOLDER_WAIT_RATIO
        )
        if (
            now + const.NOT_HOLDER_BACKOFF_SECONDS
            > exchange.arrived_at + max_wait
        ):
            return self._refuse(exchange, error)
        retry_at = ids.Instant(now + const.NOT_HOLDER_BACKOFF_SECONDS)
        return self._schedule_retry(exchange, retry_at)

    def _dispatch_queued(
        self, service: ids.ServiceName, now: ids.Instant
    ) -> Effects:
        """Send queued requests of a service to upstreams with capacity."""
        effects: Effects = []
        for waiting, upstream in self.dispatcher.assign(service, now):
            if isinstance(waiting, tickets.SlotTicket):
                effects.append(
                    self._holder_broker.assign(waiting, upstream, now)
                )
            else:
                effects.append(self._send(waiting, upstream, now))
        return effects

    def _send(
        self,
        exchange: exchanges.Exchange,
        upstream: state.UpstreamState,
        now: ids.Instant,
    ) -> messages.SendUpstream:
        registration = upstream.registration
        withhold = self._retry_policy.may_retry_after_failure(exchange, now)
        upstream.start()
        self.fleet.record_attempt(upstream, now)
        if self.fleet.versions.is_counted(exchange.service):
            self.outcomes.record_sent(
                exchange.service,
                exchange.match.route.name,
                registration.incarnation,
            )
        exchange.phase = Phase.IN_FLIGHT
        exchange.upstream = upstream
        exchange.attempt_started_at = now
        exchange.attempt_count += 1
        exchange.possible_run_count += 1
        exchange.tried_upstreams.add(registration.id)
        return messages.SendUpstream(
            exchange=exchange.id,
            registration=registration,
            workspace=exchange.workspace,
            deadline=exchange.deadline,
            withhold_server_errors=withhold,
            is_idempotent=exchange.is_idempotent,
        )

    def _refuse(
        self, exchange: exchanges.Exchange, error: errors.RouterError
    ) -> Effects:
        exchange.phase = Phase.DONE
        if exchange.may_have_run:
            error.outcome = states.Outcome.UNKNOWN
        else:
            self._refund_token(exchange)
        return [messages.Refuse(exchange=exchange.id, error=error)]

    def _refund_token(self, exchange: exchanges.Exchange) -> None:
        """Return the rate-limit token of a request that did not run."""
        if exchange.has_token and exchange.workspace is not None:
            exchange.has_token = False
            self.token_queue.limiter.refund(exchange.workspace)

    @HANDLERS.register(messages.ExchangeFinished)
    def _on_exchange_finished(
        self, event: messages.ExchangeFinished, now: ids.Instant
    ) -> Effects:
        exchange = self.exchanges_by_id.pop(event.exchange, None)
        if exchange is None:
            return []
        effects = self._cancel(exchange, now)
        if not exchange.may_have_run:
            self._refund_token(exchange)
        return [*effects, *self._dispatch_queued(exchange.service, now)]

    def _cancel(
        self, exchange: exchanges.Exchange, now: ids.Instant
    ) -> Effects:
        """Remove an exchange from its queue or cancel its attempt."""
        phase = exchange.phase
        exchange.phase = Phase.DONE
        if phase is Phase.QUEUED:
            self.dispatcher.remove(exchange)
        if phase is Phase.AWAITING_TOKEN and exchange.workspace is not None:
            self.token_queue.cancel(exchange.id, exchange.workspace)
        if phase is Phase.AWAITING_SLOT:
            return [*self._slot_placement.withdraw(exchange)]
        if phase is not Phase.IN_FLIGHT or exchange.upstream is None:
            return []
        exchange.upstream.finish(
            state.AttemptResult.CANCELLED,
            now - exchange.attempt_started_at,
            None,
            now,
        )
        result = state.AttemptResult.CANCELLED
        self._record_outcome(exchange, result, now)
        exchange.upstream = None
        return [
            messages.CancelAttempt(exchange=exchange.id),
            *self._slot_placement.report(exchange, result, None, now),
        ]

    @HANDLERS.register(messages.TimePassed)
    def _on_time_passed(
        self, event: messages.TimePassed, now: ids.Instant
    ) -> Effects:
        effects: Effects = []
        for exchange_id in self._deadlines.pop_due(now):
            effects.extend(self._refuse_past_deadline(exchange_id, now))
        for exchange_id in self._retries.pop_due(now):
            exchange = self.exchanges_by_id.get(exchange_id)
            if exchange is not None and exchange.phase is Phase.RETRY_DELAY:
                effects.extend(self._place(exchange, now))
        effects.extend(
            self._apply_decisions(self.token_queue.resolve_overdue(now), now)
        )
        for exchange_id in self._slot_placement.client.remove_overdue(now):
            effects.extend(
                self._enqueue(self.exchanges_by_id[exchange_id], now)
            )
        if self.dispatcher.has_waiting:
            effects.extend(self._check_queues(now))
        return effects

    def _check_queues(self, now: ids.Instant) -> Effects:
        """Refuse requests that waited too long, and send what can be."""
        effects: Effects = []
        for waiting in self.dispatcher.remove_expired(now):
            effects.extend(self._refuse_expired(waiting, now))
        for service in self.fleet.service_names():
            effects.extend(self._dispatch_queued(service, now))
        return effects

    def _refuse_past_deadline(
        self, exchange_id: ids.ExchangeId, now: ids.Instant
    ) -> Effects:
        exchange = self.exchanges_by_id.get(exchange_id)
        if exchange is None or exchange.phase is Phase.DONE:
            return []
        peer = ""
        if exchange.upstream is not None:
            peer = exchange.upstream.registration.id
        effects = self._cancel(exchange, now)
        error = errors.DeadlineExceeded(
            "no response before the deadline", peer=peer
        )
        return [*effects, *self._refuse(exchange, error)]

    def _refuse_expired(
        self, waiting: dispatcher.Waiting, now: ids.Instant
    ) -> Effects:
        if isinstance(waiting, tickets.SlotTicket):
            service = self.fleet.service_state(waiting.request.service)
            return [
                self._holder_broker.expire(waiting, service.mean_service_time)
            ]
        exchange = waiting
        service = self.fleet.service_state(exchange.service)
        waited = now - exchange.arrived_at
        error = errors.Overloaded(
            f"no upstream capacity after waiting {waited:.3f} s",
            retry_after=retries.bounded_retry_after(service.mean_service_time),
        )
        return self._refuse(exchange, error)

    @HANDLERS.register(messages.ConfigurationChanged)
    def _on_configuration_changed(
        self, event: messages.ConfigurationChanged, now: ids.Instant
    ) -> Effects:
        configuration = event.configuration
        if not self._intake.set_configuration(configuration):
            return []
        self.fleet.set_services(configuration.services)
        return self._apply_decisions(
            self.token_queue.set_workspaces(configuration.workspaces), now
        )

    @HANDLERS.register(settings.SettingsChanged)
    def _on_settings_changed(
        self, event: settings.SettingsChanged, now: ids.Instant
    ) -> Effects:
        self._intake.set_settings(event.settings)
        self.retry_budget.set_settings(event.settings.retries)
        self._retry_policy.set_settings(event.settings.requests)
        return []

    @HANDLERS.register(messages.ConfigurationConfirmed)
    def _on_configuration_confirmed(
        self, event: messages.ConfigurationConfirmed, now: ids.Instant
    ) -> Effects:
        self._intake.confirm(event.confirmed_at)
        return []

    @HANDLERS.register(messages.AssignmentsChanged)
    @HANDLERS.register(upstream_events.EvacuationsChanged)
    @HANDLERS.register(upstream_events.RegistrationsChanged)
    @HANDLERS.register(upstream_events.UpstreamNotice)
    def _on_fleet_changed(
        self, event: messages.Event, now: ids.Instant
    ) -> Effects:
        change = fleet_changes.CHANGES.get(type(event))
        effects = change(self.fleet, event, now)
        if effects is None:
            return []
        return [*effects, *self._requeue_waiting(now)]

    @HANDLERS.register(messages.RolloutPlanChanged)
    def _on_rollout_plan_changed(
        self, event: messages.RolloutPlanChanged, now: ids.Instant
    ) -> Effects:
        """Apply a plan; what waits for an excluded upstream goes elsewhere."""
        versions = self.fleet.versions
        versions.set_plan(event.plan)
        service = self.fleet.service_state(event.plan.service)
        returned: Effects = [
            messages.ReturnUnsent(incarnation=incarnation)
            for incarnation, upstream in (
                service.upstreams_by_incarnation.items()
            )
            if versions.excludes(upstream.registration)
            and incarnation not in event.plan.canaries
        ]
        return [*returned, *self._requeue_waiting(now)]

    @HANDLERS.register(messages.PlansConfirmed)
    def _on_plans_confirmed(
        self, event: messages.PlansConfirmed, now: ids.Instant
    ) -> Effects:
        self.fleet.versions.confirm(event.confirmed_at)
        return []

    @HANDLERS.register(messages.InstancesChanged)
    def _on_instances_changed(
        self, event: messages.InstancesChanged, now: ids.Instant
    ) -> Effects:
        self.token_queue.limiter.set_instance_count(len(event.instances))
        self.retry_budget.set_instance_count(len(event.instances))
        self.fleet.set_instances(event.instances)
        return []

    def _requeue_waiting(self, now: ids.Instant) -> Effects:
        """Queue waiting requests again after the upstreams changed."""
        effects: Effects = []
        queued = self.dispatcher.remove_all()
        delayed_ids = self._retries.remove_all()
        for waiting in queued:
            if isinstance(waiting, tickets.SlotTicket):
                effects.extend(self._holder_broker.push(waiting, now))
                service = waiting.request.service
                effects.extend(self._dispatch_queued(service, now))
            else:
                effects.extend(self._requeue(waiting, now))
        for exchange_id in delayed_ids:
            exchange = self.exchanges_by_id.get(exchange_id)
            if exchange is not None and exchange.phase is Phase.RETRY_DELAY:
                effects.extend(self._requeue(exchange, now))
        return effects

    def _requeue(
        self, exchange: exchanges.Exchange, now: ids.Instant
    ) -> Effects:
        """Queue a request again; for a holder at the broker, if any.

        When a range has moved, all that waited for it come at once.
        """
        if self.fleet.is_sharded(exchange.service):
            return self._place(exchange, now)
        return self._enqueue(exchange, now)
