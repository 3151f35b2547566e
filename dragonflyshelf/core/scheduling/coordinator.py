"""Decides about each request: refuse, queue, send or send again."""

from collections import abc
import heapq
from typing import Final

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.quota import limiter
from dragonflyshelf.core.quota import messages as quota
from dragonflyshelf.core import registry
from dragonflyshelf.core.routing import split
from dragonflyshelf.core.routing import table
from dragonflyshelf.core.scheduling import admission
from dragonflyshelf.core.scheduling import budget
from dragonflyshelf.core.scheduling import const
from dragonflyshelf.core.scheduling import exchanges
from dragonflyshelf.core.scheduling import fleet
from dragonflyshelf.core.scheduling import loads
from dragonflyshelf.core.scheduling import messages
from dragonflyshelf.core.scheduling import placement
from dragonflyshelf.core.scheduling import retries
from dragonflyshelf.core import settings
from dragonflyshelf.core import states
from dragonflyshelf.core.upstreams import messages as upstream_events
from dragonflyshelf.core.upstreams import service_times
from dragonflyshelf.core.upstreams import state

Effects = list[messages.Effect]
Handler = abc.Callable[
    ["SchedulingCoordinator", messages.Event, ids.Instant], Effects
]
Phase = exchanges.Phase

NEVER: Final = ids.Instant(float("inf"))

HANDLERS: Final[registry.Registry[type, Handler]] = registry.Registry(
    "scheduling handlers"
)


class SchedulingCoordinator:
    """Holds every unfinished request of this instance."""

    def __init__(self, config: settings.Settings) -> None:
        """Create a coordinator that knows no configuration yet."""
        self._config = config
        self.table: table.RouteTable | None = None
        self.confirmed_at = ids.Instant(float("-inf"))
        self.tokens = admission.TokenQueue()
        self.budget = budget.RetryBudget(config.retries)
        self.fleet = fleet.Fleet(config.instance)
        self.placement = placement.Placement(self.fleet)
        self._retries = retries.RetryJudge(config, self.budget)
        self.loads = loads.ShardLoads()
        self.paces = service_times.ServiceTimeTally()
        self._split = split.WeightedSplit()
        self.exchanges_by_id: dict[ids.ExchangeId, exchanges.Exchange] = {}
        self._deadlines: list[tuple[ids.Instant, ids.ExchangeId]] = []
        self._paused: list[tuple[ids.Instant, ids.ExchangeId]] = []

    def handle(self, event: messages.Event, now: ids.Instant) -> Effects:
        """Take in one event and return what is to be done."""
        return HANDLERS.get(type(event))(self, event, now)

    def wake_at(self, now: ids.Instant) -> ids.Instant:
        """Return when ``TimePassed`` is wanted next."""
        wake = NEVER
        if self.placement.has_waiting or self.tokens.has_waiting:
            wake = ids.Instant(now + const.TICK)
        for heap in (self._deadlines, self._paused):
            if heap:
                wake = min(wake, heap[0][0])
        return wake

    @HANDLERS.register(messages.RequestArrived)
    def _on_arrived(
        self, event: messages.RequestArrived, now: ids.Instant
    ) -> Effects:
        try:
            exchange = self._admit(event, now)
        except errors.RouterError as error:
            return [messages.Refuse(exchange=event.exchange, error=error)]
        self.exchanges_by_id[exchange.id] = exchange
        heapq.heappush(self._deadlines, (exchange.deadline, exchange.id))
        if exchange.match.workspace is None:
            return self._accept(exchange, now)
        return self._take_token(exchange, now)

    def _accept(
        self, exchange: exchanges.Exchange, now: ids.Instant
    ) -> Effects:
        """Count a request that may be served, and look for its place."""
        self.budget.count_request(exchange.service, now)
        key = exchange.head.shard_key
        if key is not None and self.fleet.is_sharded(exchange.service):
            self.loads.count(exchange.service, key)
        return self._place(exchange, now)

    def _admit(
        self, event: messages.RequestArrived, now: ids.Instant
    ) -> exchanges.Exchange:
        """Return the exchange of a request that may be served."""
        if self.table is None:
            raise errors.StaleInstance(
                "no configuration is known yet",
                retry_after=const.LONGEST_RETRY_AFTER / 2,
            )
        head = event.head
        match = self.table.match(head.host, head.path, head.key_digest)
        if match.workspace is not None:
            self._check_fresh(now)
        route = match.route
        return exchanges.Exchange(
            id=event.exchange,
            head=head,
            match=match,
            service=self._split.choose(route),
            arrived_at=now,
            deadline=min(head.deadline, ids.Instant(now + route.timeout)),
        )

    def _check_fresh(self, now: ids.Instant) -> None:
        """Refuse when a key may have been withdrawn without our notice."""
        age = now - self.confirmed_at
        if age <= self._config.freshness.longest_age:
            return
        raise errors.StaleInstance(
            f"configuration was confirmed {age:.1f} s ago",
            retry_after=const.LONGEST_RETRY_AFTER / 2,
        )

    def _take_token(
        self, exchange: exchanges.Exchange, now: ids.Instant
    ) -> Effects:
        workspace = exchange.workspace
        assert workspace is not None
        verdict = self.tokens.take(exchange.id, workspace, now)
        if verdict is limiter.AdmissionResult.OVER_LIMIT:
            return self._refuse(exchange, self.tokens.error(workspace, now))
        effects: Effects = []
        if verdict is limiter.AdmissionResult.ADMITTED:
            exchange.has_token = True
            effects.extend(self._accept(exchange, now))
        else:
            exchange.phase = Phase.BORROWING
        wanted = self.tokens.wanted(workspace, now)
        return [*effects, wanted] if wanted is not None else effects

    @HANDLERS.register(quota.TokenAllocation)
    def _on_lent(
        self, event: quota.TokenAllocation, now: ids.Instant
    ) -> Effects:
        return self._go_on(self.tokens.lent(event, now), now)

    def _go_on(
        self, decided: abc.Iterable[admission.Decided], now: ids.Instant
    ) -> Effects:
        """Accept or refuse those who have waited for tokens."""
        effects: Effects = []
        for one in decided:
            exchange = self.exchanges_by_id[one.exchange]
            assert exchange.workspace is not None
            if one.is_admitted:
                exchange.has_token = True
                effects.extend(self._accept(exchange, now))
            else:
                error = self.tokens.error(exchange.workspace, now)
                effects.extend(self._refuse(exchange, error))
        return effects

    @HANDLERS.register(messages.AttemptFinished)
    def _on_attempt_finished(
        self, event: messages.AttemptFinished, now: ids.Instant
    ) -> Effects:
        exchange = self.exchanges_by_id.get(event.exchange)
        if exchange is None or exchange.phase is not Phase.SENT:
            return []
        assert exchange.upstream is not None
        seconds = now - exchange.sent_at
        upstream = exchange.upstream
        upstream.finish(event.result, seconds, event.report, now)
        service = self.fleet.service(exchange.service)
        if event.result is state.AttemptResult.RESPONDED:
            life = upstream.registration.incarnation
            service.count_answer(life, seconds, now)
            self.paces.record_response(
                life, upstream.normalized_service_time(seconds, now)
            )
        exchange.upstream = None
        exchange.phase = Phase.DONE
        effects: Effects = []
        if event.error is not None and not event.answered:
            effects = self._on_failed(exchange, event, now)
        return [*effects, *self._drain(exchange.service, now)]

    def _on_failed(
        self,
        exchange: exchanges.Exchange,
        event: messages.AttemptFinished,
        now: ids.Instant,
    ) -> Effects:
        assert event.error is not None
        if event.error.outcome is states.Outcome.NOT_RUN:
            exchange.runs -= 1
        pause = self._retries.pause_before_repeat(exchange, event.result, now)
        if pause is None:
            return self._refuse(exchange, event.error)
        self.budget.count_repeat(exchange.service, now)
        if not pause:
            return self._place(exchange, now)
        return self._pause(exchange, ids.Instant(now + pause))

    def _pause(
        self, exchange: exchanges.Exchange, until: ids.Instant
    ) -> Effects:
        exchange.phase = Phase.PAUSED
        heapq.heappush(self._paused, (until, exchange.id))
        return []

    def _place(
        self, exchange: exchanges.Exchange, now: ids.Instant
    ) -> Effects:
        try:
            self.placement.push(exchange, now)
        except errors.NoOwner as error:
            return self._wait_for_holder(exchange, error, now)
        except errors.RouterError as error:
            return self._refuse(exchange, error)
        return self._drain(exchange.service, now)

    def _wait_for_holder(
        self,
        exchange: exchanges.Exchange,
        error: errors.RouterError,
        now: ids.Instant,
    ) -> Effects:
        """Wait a little for a range that is about to change hands."""
        patience = exchange.match.route.objective * const.HOLDER_PATIENCE
        if now + const.NOT_HOLDER_PAUSE > exchange.arrived_at + patience:
            return self._refuse(exchange, error)
        until = ids.Instant(now + const.NOT_HOLDER_PAUSE)
        return self._pause(exchange, until)

    def _drain(self, service: ids.ServiceName, now: ids.Instant) -> Effects:
        """Send what can be sent of a service's queues."""
        effects: Effects = []
        for exchange_id, upstream in self.placement.take(service, now):
            exchange = self.exchanges_by_id[exchange_id]
            effects.append(self._send(exchange, upstream, now))
        return effects

    def _send(
        self,
        exchange: exchanges.Exchange,
        upstream: state.UpstreamState,
        now: ids.Instant,
    ) -> messages.SendUpstream:
        registration = upstream.registration
        hold = self._retries.may_repeat_after_failure(exchange, now)
        upstream.start()
        self.fleet.count_send(upstream, now)
        exchange.phase = Phase.SENT
        exchange.upstream = upstream
        exchange.sent_at = now
        exchange.sends += 1
        exchange.runs += 1
        exchange.tried.add(registration.id)
        return messages.SendUpstream(
            exchange=exchange.id,
            registration=registration,
            workspace=exchange.workspace,
            deadline=exchange.deadline,
            hold_failures=hold,
        )

    def _refuse(
        self, exchange: exchanges.Exchange, error: errors.RouterError
    ) -> Effects:
        exchange.phase = Phase.DONE
        if exchange.may_have_run:
            error.outcome = states.Outcome.UNKNOWN
        else:
            self._give_back(exchange)
        return [messages.Refuse(exchange=exchange.id, error=error)]

    def _give_back(self, exchange: exchanges.Exchange) -> None:
        """Return the token of a request that did not run."""
        if exchange.has_token and exchange.workspace is not None:
            exchange.has_token = False
            self.tokens.limiter.refund(exchange.workspace)

    @HANDLERS.register(messages.ExchangeFinished)
    def _on_exchange_finished(
        self, event: messages.ExchangeFinished, now: ids.Instant
    ) -> Effects:
        exchange = self.exchanges_by_id.pop(event.exchange, None)
        if exchange is None:
            return []
        effects = self._stop(exchange, now)
        if not exchange.may_have_run:
            self._give_back(exchange)
        return [*effects, *self._drain(exchange.service, now)]

    def _stop(self, exchange: exchanges.Exchange, now: ids.Instant) -> Effects:
        """Take the exchange from wherever it is."""
        phase = exchange.phase
        exchange.phase = Phase.DONE
        if phase is Phase.QUEUED:
            self.placement.remove(exchange)
        if phase is Phase.BORROWING and exchange.workspace is not None:
            self.tokens.forget(exchange.id, exchange.workspace)
        if phase is not Phase.SENT or exchange.upstream is None:
            return []
        exchange.upstream.finish(
            state.AttemptResult.CANCELLED, now - exchange.sent_at, None, now
        )
        exchange.upstream = None
        return [messages.CancelAttempt(exchange=exchange.id)]

    @HANDLERS.register(messages.TimePassed)
    def _on_time(
        self, event: messages.TimePassed, now: ids.Instant
    ) -> Effects:
        effects: Effects = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, name = heapq.heappop(self._deadlines)
            effects.extend(self._end_late(name, now))
        while self._paused and self._paused[0][0] <= now:
            _, name = heapq.heappop(self._paused)
            exchange = self.exchanges_by_id.get(name)
            if exchange is not None and exchange.phase is Phase.PAUSED:
                effects.extend(self._place(exchange, now))
        effects.extend(self._go_on(self.tokens.end_overdue(now), now))
        for name in self.placement.take_expired(now):
            effects.extend(self._end_expired(name, now))
        for service in self.fleet.service_names():
            effects.extend(self._drain(service, now))
        return effects

    def _end_late(self, name: ids.ExchangeId, now: ids.Instant) -> Effects:
        exchange = self.exchanges_by_id.get(name)
        if exchange is None or exchange.phase is Phase.DONE:
            return []
        peer = ""
        if exchange.upstream is not None:
            peer = exchange.upstream.registration.id
        effects = self._stop(exchange, now)
        error = errors.DeadlineExceeded("no answer in time", peer=peer)
        return [*effects, *self._refuse(exchange, error)]

    def _end_expired(self, name: ids.ExchangeId, now: ids.Instant) -> Effects:
        exchange = self.exchanges_by_id[name]
        service = self.fleet.service(exchange.service)
        waited = now - exchange.arrived_at
        error = errors.Overloaded(
            f"waited {waited:.3f} s for room",
            retry_after=retries.retry_after(service.mean_time),
        )
        return self._refuse(exchange, error)

    @HANDLERS.register(messages.ConfigurationChanged)
    def _on_configuration(
        self, event: messages.ConfigurationChanged, now: ids.Instant
    ) -> Effects:
        known = self.table
        configuration = event.configuration
        if known and known.configuration.version >= configuration.version:
            return []
        self.table = table.RouteTable(configuration)
        self.tokens.limiter.set_workspaces(configuration.workspaces)
        self.fleet.set_services(configuration.services)
        return []

    @HANDLERS.register(settings.SettingsChanged)
    def _on_settings(
        self, event: settings.SettingsChanged, now: ids.Instant
    ) -> Effects:
        self._config = event.settings
        self.budget.set_settings(event.settings.retries)
        self._retries.set_settings(event.settings.requests)
        return []

    @HANDLERS.register(messages.ConfigurationConfirmed)
    def _on_confirmed(
        self, event: messages.ConfigurationConfirmed, now: ids.Instant
    ) -> Effects:
        self.confirmed_at = max(self.confirmed_at, event.at)
        return []

    @HANDLERS.register(upstream_events.RegistrationsChanged)
    def _on_registrations(
        self, event: upstream_events.RegistrationsChanged, now: ids.Instant
    ) -> Effects:
        self.fleet.set_registrations(event.registrations, now)
        return self._place_again(now)

    @HANDLERS.register(upstream_events.EvacuationsChanged)
    def _on_evacuations(
        self, event: upstream_events.EvacuationsChanged, now: ids.Instant
    ) -> Effects:
        self.fleet.set_evacuated(event.data_centres, now)
        return self._place_again(now)

    @HANDLERS.register(messages.AssignmentsChanged)
    def _on_assignments(
        self, event: messages.AssignmentsChanged, now: ids.Instant
    ) -> Effects:
        self.fleet.service(event.plan.service).plan = event.plan
        return self._place_again(now)

    @HANDLERS.register(messages.InstancesChanged)
    def _on_instances(
        self, event: messages.InstancesChanged, now: ids.Instant
    ) -> Effects:
        self.tokens.limiter.set_instance_count(len(event.instances))
        self.budget.set_instances(len(event.instances))
        self.fleet.ramp.set_instances(event.instances)
        return []

    def _place_again(self, now: ids.Instant) -> Effects:
        """Look anew at all that waits, after the upstreams changed."""
        waiting = self.placement.take_all()
        waiting.extend(name for _, name in self._paused)
        self._paused.clear()
        effects: Effects = []
        for name in waiting:
            exchange = self.exchanges_by_id.get(name)
            if exchange is None or exchange.phase not in (
                Phase.PAUSED,
                Phase.QUEUED,
            ):
                continue
            effects.extend(self._place(exchange, now))
        return effects
