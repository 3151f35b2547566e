"""Decides about each request: refuse, forward, send or try again.

The instance of the caller authenticates, takes a token, chooses where
the request goes and judges failed attempts. The leader of the upstream
queues and sends, as in ``leader.py``.
"""

from collections import abc
import dataclasses
import heapq

from dragonflyshelf.core.configuration import view
from dragonflyshelf.core.dispatch import choice
from dragonflyshelf.core.dispatch import exchanges
from dragonflyshelf.core.dispatch import identification
from dragonflyshelf.core.dispatch import leader as leaders
from dragonflyshelf.core.dispatch import messages as dispatch
from dragonflyshelf.core.dispatch import retries
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import invariants
from dragonflyshelf.core.limits import home_batches  # noqa: F401
from dragonflyshelf.core.limits import messages as limits
from dragonflyshelf.core.limits import policies
from dragonflyshelf.core.limits import static_share  # noqa: F401
from dragonflyshelf.core.ownership import messages as ownership
from dragonflyshelf.core import registry
from dragonflyshelf.core import settings
from dragonflyshelf.core import states

Effects = list[dispatch.Effect]
Handler = abc.Callable[["DispatchCoordinator", object, ids.Instant], Effects]
State = exchanges.ExchangeState

HANDLERS: registry.Registry[type, Handler] = registry.Registry(
    "dispatch handlers"
)


class DispatchCoordinator:
    """Holds every unfinished exchange of this instance."""

    def __init__(
        self, config: settings.Settings, incarnation: ids.Incarnation
    ) -> None:
        """Create the coordinator with an empty view."""
        self._instance = config.instance.name
        self._incarnation = incarnation
        self.view = view.RoutingView()
        self.limits = policies.LIMIT_POLICIES.get(config.limits.policy)(
            config, incarnation
        )
        self.choice = choice.CHOICE_POLICIES.get(config.dispatch.choice)()
        self.leader = leaders.LeaderDispatch(config, self.view)
        self.retries = retries.Retries(config.retries, config.requests)
        self.exchanges_by_id: dict[ids.ExchangeId, exchanges.Exchange] = {}
        self.pending_by_id: dict[ids.ExchangeId, exchanges.Pending] = {}
        self._later: list[tuple[ids.Instant, ids.ExchangeId]] = []

    @property
    def wake_at(self) -> ids.Instant:
        """Return when ``TimePassed`` is wanted."""
        found = min(self.limits.wake_at, self.leader.wake_at)
        return min(found, self._later[0][0]) if self._later else found

    def handle(self, event: dispatch.Event, now: ids.Instant) -> Effects:
        """Take in one event and return what is to be done."""
        effects = HANDLERS.get(type(event))(self, event, now)
        return [*effects, *self._judge_failures(now)]

    def on_view(
        self, objects_view: view.ObjectView, now: ids.Instant
    ) -> Effects:
        """Take over a changed view."""
        self.view.rebuild(objects_view)
        instances = tuple(
            sorted(
                one.instance
                for one in self.view.members
                if one.instance != self._instance
                or one.incarnation >= self._incarnation
            )
        )
        event = limits.LimitsChanged(
            instances=instances,
            version=self.view.version,
            workspaces=tuple(self.view.workspaces_by_id.values()),
        )
        effects = [*self._run_limits(event, now), *self.leader.tick(now)]
        return [*effects, *self._judge_failures(now)]

    @HANDLERS.register(dispatch.LeaseChanged)
    def _on_lease(
        self, event: dispatch.LeaseChanged, now: ids.Instant
    ) -> Effects:
        self.leader.lease_until = event.until
        return self._run_limits(limits.LeaseMoved(until=event.until), now)

    @HANDLERS.register(dispatch.TimePassed)
    def _on_time(
        self, event: dispatch.TimePassed, now: ids.Instant
    ) -> Effects:
        effects: Effects = []
        if now >= self.limits.wake_at:
            effects.extend(self._run_limits(limits.TimePassed(), now))
        if now >= self.leader.wake_at:
            effects.extend(self.leader.tick(now))
        while self._later and self._later[0][0] <= now:
            _, exchange_id = heapq.heappop(self._later)
            exchange = self.exchanges_by_id.get(exchange_id)
            if exchange is not None and exchange.state is State.WAITING:
                effects.extend(self._route(exchange, now))
        return effects

    @HANDLERS.register(limits.LimitReceived)
    def _on_limit(
        self, event: limits.LimitReceived, now: ids.Instant
    ) -> Effects:
        return self._run_limits(event, now)

    @HANDLERS.register(dispatch.LeadershipsHeld)
    def _on_held(
        self, event: dispatch.LeadershipsHeld, now: ids.Instant
    ) -> Effects:
        self.leader.held_by_upstream = {
            one.upstream: one for one in event.held
        }
        return self.leader.tick(now)

    @HANDLERS.register(ownership.UpstreamStarted)
    def _on_started(
        self, event: ownership.UpstreamStarted, now: ids.Instant
    ) -> Effects:
        return self.leader.start_ramp(event.upstream, now)

    @HANDLERS.register(dispatch.SealShard)
    def _on_seal(self, event: dispatch.SealShard, now: ids.Instant) -> Effects:
        if self.leader.fences.seal(event.key):
            return [dispatch.ShardQuiet(key=event.key)]
        return []

    @HANDLERS.register(dispatch.UnsealShard)
    def _on_unseal(
        self, event: dispatch.UnsealShard, now: ids.Instant
    ) -> Effects:
        self.leader.fences.forget(event.key)
        return []

    @HANDLERS.register(dispatch.RequestArrived)
    def _on_request(
        self, event: dispatch.RequestArrived, now: ids.Instant
    ) -> Effects:
        try:
            pending, workspace = identification.identify(self.view, event)
        except errors.RouterError as error:
            return [dispatch.Refuse(exchange=event.exchange, error=error)]
        self.retries.budget.count_request()
        self.pending_by_id[event.exchange] = pending
        ask = limits.AskToken(exchange=event.exchange, workspace=workspace)
        return self._run_limits(ask, now)

    @HANDLERS.register(dispatch.ForwardArrived)
    def _on_forward(
        self, event: dispatch.ForwardArrived, now: ids.Instant
    ) -> Effects:
        exchange = exchanges.Exchange(
            id=event.exchange,
            head=event.head,
            admitted=event.admitted,
            forwarded=True,
            accepted_at=now,
        )
        self.exchanges_by_id[event.exchange] = exchange
        try:
            return self.leader.offer(exchange, now)
        except errors.RouterError as error:
            return self._refuse(exchange, error, now)

    @HANDLERS.register(dispatch.AttemptFinished)
    def _on_attempt(
        self, event: dispatch.AttemptFinished, now: ids.Instant
    ) -> Effects:
        exchange = self.exchanges_by_id.get(event.exchange)
        if exchange is None:
            return []
        effects = self._end_attempt(exchange, event.error, now)
        if event.error is None or event.answered:
            return effects
        if event.error.outcome is states.Outcome.UNKNOWN:
            exchange.may_have_run = True
        return [*effects, *self._judge(exchange, event.error, now)]

    @HANDLERS.register(dispatch.ExchangeFinished)
    def _on_finished(
        self, event: dispatch.ExchangeFinished, now: ids.Instant
    ) -> Effects:
        self.pending_by_id.pop(event.exchange, None)
        forget = limits.ForgetToken(exchange=event.exchange)
        effects = self._run_limits(forget, now)
        exchange = self.exchanges_by_id.pop(event.exchange, None)
        if exchange is None:
            return effects
        if exchange.state in (State.FORWARDED, State.SENT):
            effects.append(dispatch.CancelAttempt(exchange=event.exchange))
        cancelled = errors.CallerGone("the caller has gone")
        return [*effects, *self._end_attempt(exchange, cancelled, now)]

    def _end_attempt(
        self,
        exchange: exchanges.Exchange,
        error: errors.RouterError | None,
        now: ids.Instant,
    ) -> Effects:
        """Give back whatever the present attempt holds."""
        state, exchange.state = exchange.state, State.WAITING
        if state is State.QUEUED:
            self.leader.withdraw(exchange)
        elif state is State.SENT:
            return self.leader.finish(exchange, error, now)
        elif state is State.FORWARDED:
            self.choice.finish(self._chosen(exchange))
        return []

    def _chosen(self, exchange: exchanges.Exchange) -> choice.Chosen:
        return choice.Chosen(
            leader=exchange.leader, upstream=exchange.admitted.upstream
        )

    def _run_limits(self, event: limits.Event, now: ids.Instant) -> Effects:
        """Let the limits decide and go on with what they decided."""
        effects: Effects = []
        for effect in self.limits.handle(event, now):
            if isinstance(effect, limits.SendLimit):
                effects.append(effect)
                continue
            pending = self.pending_by_id.pop(effect.exchange)
            if isinstance(effect, limits.TokenRefused):
                error = self._without_token(effect, now)
                effects.append(
                    dispatch.Refuse(exchange=effect.exchange, error=error)
                )
                continue
            effects.extend(self._admit(pending, now))
        return effects

    def _without_token(
        self, effect: limits.TokenRefused, now: ids.Instant
    ) -> errors.RouterError:
        if now >= self.leader.lease_until:
            return errors.StaleInstance("this instance has no lease")
        if effect.wait <= 0:
            return errors.NoTokens("the home of the tokens does not answer")
        return errors.RateExceeded(
            "workspace is over its rate and burst", retry_after=effect.wait
        )

    def _admit(self, pending: exchanges.Pending, now: ids.Instant) -> Effects:
        """Accept a request that has its token.

        The caller key is checked again, since it may have been withdrawn
        while the request waited.
        """
        event = pending.event
        try:
            if now >= self.leader.lease_until:
                raise errors.StaleInstance("this instance has no lease")
            pending, _ = identification.identify(self.view, event)
        except errors.RouterError as error:
            back = limits.ReturnToken(exchange=event.exchange)
            return [
                dispatch.Refuse(exchange=event.exchange, error=error),
                *self._run_limits(back, now),
            ]
        exchange = exchanges.Exchange(
            id=event.exchange,
            head=event.head,
            admitted=identification.admitted(self.view, pending),
            forwarded=False,
            accepted_at=now,
        )
        self.exchanges_by_id[exchange.id] = exchange
        return self._route(exchange, now)

    def _route(
        self, exchange: exchanges.Exchange, now: ids.Instant
    ) -> Effects:
        """Begin an attempt by the present view."""
        invariants.check(
            exchange.admitted.idempotent or not exchange.may_have_run,
            "request %s may have run and is not idempotent",
            exchange.head.request_id,
        )
        exchange.attempts += 1
        try:
            if now >= exchange.head.deadline:
                raise errors.DeadlineExceeded("deadline passed before sending")
            chosen = self._choose(exchange)
            exchange.admitted = dataclasses.replace(
                exchange.admitted, upstream=chosen.upstream
            )
            exchange.leader = chosen.leader
            if chosen.leader == self._instance:
                return self.leader.offer(exchange, now)
        except errors.RouterError as error:
            return self._judge(exchange, error, now)
        exchange.state = State.FORWARDED
        self.choice.start(chosen)
        return [
            dispatch.Forward(
                exchange=exchange.id,
                instance=chosen.leader,
                admitted=exchange.admitted,
            )
        ]

    def _choose(self, exchange: exchanges.Exchange) -> choice.Chosen:
        admitted = exchange.admitted
        found = self.view.routes_by_service.get(admitted.service)
        if found is None:
            raise errors.NoSuchService(f"no service {admitted.service!r}")
        if admitted.shard < 0:
            candidates = [
                choice.Candidate(
                    upstream=one,
                    leader=self.view.leaders_by_upstream[one.name].instance,
                )
                for one in self.view.usable_upstreams(admitted.service)
            ]
            if not candidates:
                raise errors.NoUpstream("no upstream may serve")
            return self.choice.choose(candidates)
        owner = found.owners_by_shard.get(admitted.shard)
        if owner is None:
            raise errors.NoOwner(f"shard {admitted.shard} has no owner")
        leader = self.view.leaders_by_upstream.get(owner.upstream)
        if leader is None:
            raise errors.NoOwner("upstream has no leader")
        return choice.Chosen(leader=leader.instance, upstream=owner.upstream)

    def _judge_failures(self, now: ids.Instant) -> Effects:
        """Judge the requests that left a queue without being sent."""
        effects: Effects = []
        while self.leader.failures:
            failures, self.leader.failures = self.leader.failures, []
            for one in failures:
                exchange = self.exchanges_by_id.get(one.exchange)
                if exchange is not None:
                    exchange.state = State.WAITING
                    effects.extend(self._judge(exchange, one.error, now))
        return effects

    def _judge(
        self,
        exchange: exchanges.Exchange,
        error: errors.RouterError,
        now: ids.Instant,
    ) -> Effects:
        """Refuse a request whose attempt has failed, or try it again."""
        verdict = self.retries.judge(exchange, error, now)
        if verdict is retries.Verdict.NOW:
            return self._route(exchange, now)
        if verdict is retries.Verdict.LATER:
            at = ids.Instant(now + self.retries.backoff(exchange))
            heapq.heappush(self._later, (at, exchange.id))
            return []
        return self._refuse(exchange, error, now)

    def _refuse(
        self,
        exchange: exchanges.Exchange,
        error: errors.RouterError,
        now: ids.Instant,
    ) -> Effects:
        """Report the final failure with what is known of all attempts."""
        del self.exchanges_by_id[exchange.id]
        if exchange.may_have_run:
            error.outcome = states.Outcome.UNKNOWN
        refuse = dispatch.Refuse(exchange=exchange.id, error=error)
        if error.outcome is states.Outcome.UNKNOWN or exchange.forwarded:
            return [refuse]
        back = limits.ReturnToken(exchange=exchange.id)
        return [refuse, *self._run_limits(back, now)]
