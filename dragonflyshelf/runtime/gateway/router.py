"""Task that schedules requests and owns the pools of upstreams."""

import asyncio
from collections import abc
import dataclasses
import itertools
from typing import Final

from absl import logging

from dragonflyshelf.codec import http
from dragonflyshelf.core import errors
from dragonflyshelf.core.grantor import messages as grantor
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core.quota import messages as quota
from dragonflyshelf.core import registry
from dragonflyshelf.core.rollouts import outcomes as rollout_outcomes
from dragonflyshelf.core.scheduling import coordinator
from dragonflyshelf.core.scheduling import messages as scheduling
from dragonflyshelf.core import settings
from dragonflyshelf.core.slots import messages as slots
from dragonflyshelf.core.upstreams import messages as upstream_events
from dragonflyshelf.core.upstreams import objects as upstreams
from dragonflyshelf.core.upstreams import service_times
from dragonflyshelf.runtime.gateway import slot_metrics
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import logs
from dragonflyshelf.runtime import messages as runtime_messages
from dragonflyshelf.runtime import task
from dragonflyshelf.runtime.upstreams import pool

_LOGGER = logging.get_absl_logger()

NEVER = ids.Instant(float("inf"))
"""Time of a timer that is not set."""

MIN_TIMER_SECONDS = 0.001
"""Minimum delay of the timer, even if the core has overdue work."""

EffectHandler = abc.Callable[["RouterTask", scheduling.Effect], None]

EFFECT_HANDLERS: Final[registry.Registry[type, EffectHandler]] = (
    registry.Registry("router effect handlers")
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadRequest:
    """Request of the control task for the load to be reported.

    The reply has no loads and service times unless ``include_measurements``
    is set.
    """

    reply_to: inbox.Inbox
    include_measurements: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadReply:
    """Measurements since the last report: loads, service times, outcomes.

    Outcomes of roll-outs are in each reply.
    """

    loads: tuple[grantor.RangeLoad, ...] = ()
    service_time_sums: service_times.ServiceTimeSums = ()
    outcomes: rollout_outcomes.OutcomeSums = ()


@dataclasses.dataclass(kw_only=True, slots=True)
class ActiveExchange:
    """Request of an exchange, and the inboxes of its origin and target.

    ``target`` is None before the first attempt and after a refusal.
    ``withheld_response`` is the last server error that its origin has not
    got, as the request was to be retried.
    """

    head: messages.RequestHead
    origin: inbox.Inbox
    target: inbox.Inbox | None = None
    withheld_response: tuple[runtime_messages.ResponsePart, ...] = ()


class RouterTask(task.Task):
    """Runs the scheduling core and executes its effects."""

    def __init__(
        self, config: settings.Settings, header_names: http.HeaderNames
    ) -> None:
        """Create the task without upstreams."""
        super().__init__("router", config.requests.inbox_messages)
        self._config = config
        self._header_names = header_names
        self._core = coordinator.SchedulingCoordinator(config)
        self._exchanges_by_id: dict[ids.ExchangeId, ActiveExchange] = {}
        self._pools_by_incarnation: dict[
            ids.UpstreamIncarnation, pool.UpstreamPoolTask
        ] = {}
        self._exchange_numbers = itertools.count(1)
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = NEVER
        self.control_inbox: inbox.Inbox | None = None
        self.relay_inbox: inbox.Inbox | None = None

    def next_exchange_id(self) -> ids.ExchangeId:
        """Return an exchange id that is unique in this process."""
        return ids.ExchangeId(next(self._exchange_numbers))

    @property
    def exchange_count(self) -> int:
        """Return the number of unfinished exchanges."""
        return len(self._exchanges_by_id)

    @task.handles(runtime_messages.RequestReceived)
    def _on_request_received(
        self, message: runtime_messages.RequestReceived
    ) -> None:
        self._exchanges_by_id[message.exchange] = ActiveExchange(
            head=message.head, origin=message.origin
        )
        self._handle_event(
            scheduling.RequestArrived(
                exchange=message.exchange, head=message.head
            )
        )

    @task.handles(runtime_messages.AttemptEnded)
    def _on_attempt_ended(
        self, message: runtime_messages.AttemptEnded
    ) -> None:
        if message.error is not None:
            self._log_attempt_failure(message, message.error)
        if message.is_turned_away:
            slot_metrics.TURNED_AWAY.inc()
        active_exchange = self._exchanges_by_id.get(message.exchange)
        if active_exchange is not None and message.withheld_response:
            active_exchange.withheld_response = message.withheld_response
        self._handle_event(
            scheduling.AttemptFinished(
                exchange=message.exchange,
                upstream=message.upstream,
                result=message.result,
                error=message.error,
                response_started=message.response_started,
                report=message.report,
                is_turned_away=message.is_turned_away,
            )
        )

    def _log_attempt_failure(
        self,
        message: runtime_messages.AttemptEnded,
        error: errors.RouterError,
    ) -> None:
        active_exchange = self._exchanges_by_id.get(message.exchange)
        if active_exchange is not None:
            _LOGGER.info(
                "attempt failed: %s",
                error.message,
                extra=logs.error_fields(
                    error, active_exchange.head.request_id
                ),
            )

    @task.handles(runtime_messages.ExchangeEnded)
    def _on_exchange_ended(
        self, message: runtime_messages.ExchangeEnded
    ) -> None:
        self._handle_event(
            scheduling.ExchangeFinished(
                exchange=message.exchange, cancelled=message.cancelled
            )
        )
        self._exchanges_by_id.pop(message.exchange, None)

    @task.handles(scheduling.ConfigurationChanged)
    def _on_configuration_changed(
        self, message: scheduling.ConfigurationChanged
    ) -> None:
        self._handle_event(message)

    @task.handles(settings.SettingsChanged)
    def _on_settings_changed(self, message: settings.SettingsChanged) -> None:
        self._config = message.settings
        self._handle_event(message)

    @task.handles(scheduling.ConfigurationConfirmed)
    def _on_configuration_confirmed(
        self, message: scheduling.ConfigurationConfirmed
    ) -> None:
        self._handle_event(message)

    @task.handles(upstream_events.RegistrationsChanged)
    def _on_registrations_changed(
        self, message: upstream_events.RegistrationsChanged
    ) -> None:
        self._handle_event(message)
        self._retire_pools(message.registrations)
        for registration in message.registrations:
            if registration.is_draining:
                self._return_unsent_attempts(registration.incarnation)

    @task.handles(upstream_events.UpstreamNotice)
    def _on_upstream_notice(
        self, message: upstream_events.UpstreamNotice
    ) -> None:
        _LOGGER.info(
            "upstream %s: leaves %s, wants nothing for %.2f s",
            message.incarnation,
            message.is_leaving,
            message.backoff_seconds,
        )
        self._handle_event(message)

    @EFFECT_HANDLERS.register(scheduling.ReturnUnsent)
    def _return_unsent(self, effect: scheduling.ReturnUnsent) -> None:
        self._return_unsent_attempts(effect.incarnation)

    def _return_unsent_attempts(
        self, incarnation: ids.UpstreamIncarnation
    ) -> None:
        upstream_pool = self._pools_by_incarnation.get(incarnation)
        if upstream_pool is not None:
            upstream_pool.inbox.post(pool.ReturnUnsentAttempts())

    @task.handles(upstream_events.EvacuationsChanged)
    def _on_evacuations_changed(
        self, message: upstream_events.EvacuationsChanged
    ) -> None:
        self._handle_event(message)
        for incarnation, upstream_pool in self._pools_by_incarnation.items():
            if upstream_pool.data_centre in message.data_centres:
                self._return_unsent_attempts(incarnation)

    @task.handles(scheduling.AssignmentsChanged)
    def _on_assignments_changed(
        self, message: scheduling.AssignmentsChanged
    ) -> None:
        self._handle_event(message)

    @task.handles(scheduling.RolloutPlanChanged)
    def _on_rollout_plan_changed(
        self, message: scheduling.RolloutPlanChanged
    ) -> None:
        self._handle_event(message)

    @task.handles(scheduling.PlansConfirmed)
    def _on_plans_confirmed(self, message: scheduling.PlansConfirmed) -> None:
        self._handle_event(message)

    @task.handles(scheduling.InstancesChanged)
    def _on_instances_changed(
        self, message: scheduling.InstancesChanged
    ) -> None:
        self._handle_event(message)

    @task.handles(quota.TokenAllocation)
    def _on_token_allocation(self, message: quota.TokenAllocation) -> None:
        self._handle_event(message)

    @task.handles(slots.BrokerChanged)
    def _on_broker_changed(self, message: slots.BrokerChanged) -> None:
        _LOGGER.info(
            "slots are assigned by a broker: %s", message.is_available
        )
        self._handle_event(message)

    @task.handles(slots.SlotAssignment)
    def _on_slot_assignment(self, message: slots.SlotAssignment) -> None:
        self._handle_event(message)

    @task.handles(slots.SlotRequested)
    def _on_slot_requested(self, message: slots.SlotRequested) -> None:
        self._handle_event(message)

    @task.handles(slots.SlotReported)
    def _on_slot_reported(self, message: slots.SlotReported) -> None:
        self._handle_event(message)

    @task.handles(slots.SlotInUseReported)
    def _on_slot_in_use_reported(
        self, message: slots.SlotInUseReported
    ) -> None:
        self._handle_event(message)

    @task.handles(slots.LinkClosed)
    def _on_link_closed(self, message: slots.LinkClosed) -> None:
        self._handle_event(message)

    @task.handles(LoadRequest)
    def _on_load_request(self, message: LoadRequest) -> None:
        core = self._core
        reply = LoadReply(outcomes=core.outcomes.take_report())
        if message.include_measurements:
            reply = dataclasses.replace(
                reply,
                loads=core.shard_loads.take_report(self.now),
                service_time_sums=core.service_times.take_report(),
            )
        message.reply_to.post(reply)

    @task.handles(scheduling.TimePassed)
    def _on_time_passed(self, message: scheduling.TimePassed) -> None:
        self._timer = None
        self._timer_at = NEVER
        self._handle_event(message)

    def on_end(self) -> None:
        """Cancel the timer and stop the pools."""
        if self._timer is not None:
            self._timer.cancel()
        for upstream_pool in self._pools_by_incarnation.values():
            upstream_pool.stop()
            upstream_pool.inbox.post(pool.RetirePool())

    def _handle_event(self, event: scheduling.Event) -> None:
        now = self.now
        for effect in self._core.handle(event, now):
            EFFECT_HANDLERS.get(type(effect))(self, effect)
        self._set_timer(now)

    def _set_timer(self, now: ids.Instant) -> None:
        """Set the timer to the next instant at which the core has work."""
        wake_at = self._core.wake_at(now)
        if wake_at >= self._timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = wake_at
        delay = max(wake_at - now, MIN_TIMER_SECONDS)
        self._timer = self.post_later(delay, scheduling.TimePassed())

    def _retire_pools(
        self, registrations: tuple[upstreams.Registration, ...]
    ) -> None:
        incarnations = {
            registration.incarnation for registration in registrations
        }
        for incarnation in list(self._pools_by_incarnation):
            if incarnation not in incarnations:
                self._pools_by_incarnation.pop(incarnation).inbox.post(
                    pool.RetirePool()
                )

    def _get_pool(
        self, registration: upstreams.Registration
    ) -> pool.UpstreamPoolTask:
        upstream_pool = self._pools_by_incarnation.get(
            registration.incarnation
        )
        if upstream_pool is None:
            upstream_pool = pool.UpstreamPoolTask(
                self._config, self._header_names, registration, self.inbox
            )
            upstream_pool.start()
            self._pools_by_incarnation[registration.incarnation] = (
                upstream_pool
            )
        return upstream_pool

    @EFFECT_HANDLERS.register(scheduling.Refuse)
    def _refuse(self, effect: scheduling.Refuse) -> None:
        active_exchange = self._exchanges_by_id.get(effect.exchange)
        if active_exchange is None:
            return
        active_exchange.target = None
        if active_exchange.withheld_response:
            self._forward_withheld(active_exchange, effect)
            return
        _LOGGER.info(
            "request refused: %s",
            effect.error.message,
            extra=logs.error_fields(
                effect.error, active_exchange.head.request_id
            ),
        )
        active_exchange.origin.post(
            messages.ResponseFailed(
                exchange=effect.exchange, error=effect.error
            )
        )

    def _forward_withheld(
        self, active_exchange: ActiveExchange, effect: scheduling.Refuse
    ) -> None:
        """Forward the server error of a request that is not retried.

        It is the upstream's own response, and was ready before.
        """
        _LOGGER.info(
            "server error forwarded: %s",
            effect.error.message,
            extra=logs.error_fields(
                effect.error, active_exchange.head.request_id
            ),
        )
        for part in active_exchange.withheld_response:
            active_exchange.origin.post(part)

    @EFFECT_HANDLERS.register(scheduling.SendUpstream)
    def _send_upstream(self, effect: scheduling.SendUpstream) -> None:
        active_exchange = self._exchanges_by_id.get(effect.exchange)
        if active_exchange is None:
            return
        upstream_pool = self._get_pool(effect.registration)
        active_exchange.target = upstream_pool.inbox
        upstream_pool.inbox.post(
            runtime_messages.StartAttempt(
                exchange=effect.exchange,
                head=active_exchange.head,
                origin=active_exchange.origin,
                registration=effect.registration,
                workspace=effect.workspace,
                deadline=effect.deadline,
                withhold_server_errors=effect.withhold_server_errors,
                is_idempotent=effect.is_idempotent,
            )
        )

    @EFFECT_HANDLERS.register(quota.TokenRequest)
    def _request_tokens(self, effect: quota.TokenRequest) -> None:
        if self.control_inbox is not None:
            self.control_inbox.post(effect)

    @EFFECT_HANDLERS.register(slots.SlotInUse)
    @EFFECT_HANDLERS.register(slots.SlotReport)
    @EFFECT_HANDLERS.register(slots.SlotRequest)
    def _post_to_broker(
        self, effect: slots.SlotInUse | slots.SlotReport | slots.SlotRequest
    ) -> None:
        if self.relay_inbox is not None:
            self.relay_inbox.post(effect)

    @EFFECT_HANDLERS.register(slots.AssignSlot)
    def _assign_slot(self, effect: slots.AssignSlot) -> None:
        slot_metrics.record_response(effect.assignment)
        effect.link.post(effect.assignment)

    @EFFECT_HANDLERS.register(scheduling.CancelAttempt)
    def _cancel_attempt(self, effect: scheduling.CancelAttempt) -> None:
        active_exchange = self._exchanges_by_id.get(effect.exchange)
        if active_exchange is None or active_exchange.target is None:
            return
        active_exchange.target.post(messages.Cancel(exchange=effect.exchange))
