"""Decides about each request: refuse, forward, send or try again."""

from collections import abc
import dataclasses

from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core.configuration import view
from dragonflyshelf.core.dispatch import fences
from dragonflyshelf.core.dispatch import messages as dispatch
from dragonflyshelf.core.dispatch import routes
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.limits import home_batches  # noqa: F401
from dragonflyshelf.core.limits import messages as limits
from dragonflyshelf.core.limits import policies
from dragonflyshelf.core.limits import static_share  # noqa: F401
from dragonflyshelf.core import messages
from dragonflyshelf.core.ownership import objects as ownership
from dragonflyshelf.core import registry
from dragonflyshelf.core import settings
from dragonflyshelf.core import states

IDEMPOTENT_METHODS = frozenset(
    {b"DELETE", b"GET", b"HEAD", b"OPTIONS", b"PUT"}
)

Effects = list[dispatch.Effect]
Handler = abc.Callable[["DispatchCoordinator", object, ids.Instant], Effects]

HANDLERS: registry.Registry[type, Handler] = registry.Registry(
    "dispatch handlers"
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Pending:
    """A request of an own caller that waits for its token."""

    event: dispatch.RequestArrived
    service: ids.ServiceName
    shard: ids.ShardId
    workspace: ids.WorkspaceId


@dataclasses.dataclass(kw_only=True, slots=True)
class Exchange:
    """A request that this instance has accepted and not finished."""

    head: messages.RequestHead
    admitted: messages.Admitted
    forwarded: bool
    sent: bool = False
    fence: fences.ShardKey | None = None


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
        self.lease_until = ids.Instant(0.0)
        self.fences = fences.ShardFences()
        self.held_by_upstream: dict[
            ids.UpstreamId, dispatch.HeldLeadership
        ] = {}
        self.exchanges_by_id: dict[ids.ExchangeId, Exchange] = {}
        self.pending_by_id: dict[ids.ExchangeId, Pending] = {}

    @property
    def wake_at(self) -> ids.Instant:
        """Return when ``TimePassed`` is wanted."""
        return self.limits.wake_at

    def handle(self, event: dispatch.Event, now: ids.Instant) -> Effects:
        """Take in one event and return what is to be done."""
        return HANDLERS.get(type(event))(self, event, now)

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
        return self._run_limits(event, now)

    @HANDLERS.register(dispatch.LeaseChanged)
    def _on_lease(
        self, event: dispatch.LeaseChanged, now: ids.Instant
    ) -> Effects:
        self.lease_until = event.until
        return self._run_limits(limits.LeaseMoved(until=event.until), now)

    @HANDLERS.register(dispatch.TimePassed)
    def _on_time(
        self, event: dispatch.TimePassed, now: ids.Instant
    ) -> Effects:
        if now < self.limits.wake_at:
            return []
        return self._run_limits(limits.TimePassed(), now)

    @HANDLERS.register(limits.LimitReceived)
    def _on_limit(
        self, event: limits.LimitReceived, now: ids.Instant
    ) -> Effects:
        return self._run_limits(event, now)

    @HANDLERS.register(dispatch.LeadershipsHeld)
    def _on_held(
        self, event: dispatch.LeadershipsHeld, now: ids.Instant
    ) -> Effects:
        self.held_by_upstream = {one.upstream: one for one in event.held}
        return []

    @HANDLERS.register(dispatch.SealShard)
    def _on_seal(self, event: dispatch.SealShard, now: ids.Instant) -> Effects:
        if self.fences.seal(event.key):
            return [dispatch.ShardQuiet(key=event.key)]
        return []

    @HANDLERS.register(dispatch.UnsealShard)
    def _on_unseal(
        self, event: dispatch.UnsealShard, now: ids.Instant
    ) -> Effects:
        self.fences.forget(event.key)
        return []

    @HANDLERS.register(dispatch.RequestArrived)
    def _on_request(
        self, event: dispatch.RequestArrived, now: ids.Instant
    ) -> Effects:
        try:
            pending, workspace = self._identify(event)
        except errors.RouterError as error:
            return [dispatch.Refuse(exchange=event.exchange, error=error)]
        self.pending_by_id[event.exchange] = pending
        ask = limits.AskToken(exchange=event.exchange, workspace=workspace)
        return self._run_limits(ask, now)

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

    @HANDLERS.register(dispatch.ForwardArrived)
    def _on_forward(
        self, event: dispatch.ForwardArrived, now: ids.Instant
    ) -> Effects:
        try:
            return self._start(event, event.admitted, forwarded=True, now=now)
        except errors.RouterError as error:
            return [dispatch.Refuse(exchange=event.exchange, error=error)]

    @HANDLERS.register(dispatch.AttemptFinished)
    def _on_attempt(
        self, event: dispatch.AttemptFinished, now: ids.Instant
    ) -> Effects:
        exchange = self.exchanges_by_id.get(event.exchange)
        if exchange is None:
            return []
        effects = self._end_attempt(exchange)
        if event.error is None or event.answered:
            return effects
        return [
            *effects,
            dispatch.Refuse(exchange=event.exchange, error=event.error),
        ]

    @HANDLERS.register(dispatch.ExchangeFinished)
    def _on_finished(
        self, event: dispatch.ExchangeFinished, now: ids.Instant
    ) -> Effects:
        self.pending_by_id.pop(event.exchange, None)
        forget = limits.ForgetToken(exchange=event.exchange)
        effects = self._run_limits(forget, now)
        exchange = self.exchanges_by_id.pop(event.exchange, None)
        if exchange is None or not exchange.sent:
            return effects
        return [
            *effects,
            dispatch.CancelAttempt(exchange=event.exchange),
            *self._end_attempt(exchange),
        ]

    def _end_attempt(self, exchange: Exchange) -> Effects:
        exchange.sent = False
        key, exchange.fence = exchange.fence, None
        if key is not None and self.fences.finish(key):
            return [dispatch.ShardQuiet(key=key)]
        return []

    def _without_token(
        self, effect: limits.TokenRefused, now: ids.Instant
    ) -> errors.RouterError:
        if now >= self.lease_until:
            return errors.StaleInstance("this instance has no lease")
        if effect.wait <= 0:
            return errors.NoTokens("the home of the tokens does not answer")
        return errors.RateExceeded(
            "workspace is over its rate and burst", retry_after=effect.wait
        )

    def _identify(
        self, event: dispatch.RequestArrived
    ) -> tuple[Pending, objects.Workspace]:
        """Return what the request is for and whose it is."""
        head = event.head
        name, key = routes.split_target(head.target)
        found = self.view.routes_by_service.get(name)
        if found is None:
            raise errors.NoSuchService(f"no service {name!r}")
        workspace = self._authenticate(head, found.service)
        pending = Pending(
            event=event,
            service=name,
            shard=routes.shard_of(found.service, key, head.headers),
            workspace=workspace.name,
        )
        return pending, workspace

    def _admit(self, pending: Pending, now: ids.Instant) -> Effects:
        """Choose an upstream for a request that has its token.

        The caller key is checked again, since it may have been withdrawn
        while the request waited.
        """
        event = pending.event
        try:
            if now >= self.lease_until:
                raise errors.StaleInstance("this instance has no lease")
            pending, _ = self._identify(event)
            found = self.view.routes_by_service[pending.service]
            admitted = messages.Admitted(
                service=pending.service,
                workspace=pending.workspace,
                priority=found.service.priority,
                idempotent=event.head.method in IDEMPOTENT_METHODS,
                shard=pending.shard,
                upstream=self._choose(found, pending.shard, now),
            )
            return self._start(event, admitted, forwarded=False, now=now)
        except errors.RouterError as error:
            back = limits.ReturnToken(exchange=event.exchange)
            return [
                dispatch.Refuse(exchange=event.exchange, error=error),
                *self._run_limits(back, now),
            ]

    def _authenticate(
        self, head: messages.RequestHead, service: objects.Service
    ) -> objects.Workspace:
        name = routes.private_workspace(head, service)
        if name is None:
            key = self.view.keys_by_digest.get(head.key_digest)
            if key is None or key.withdrawn:
                raise errors.CallerKeyRefused("caller key is not valid")
            name = key.workspace
        workspace = self.view.workspaces_by_id.get(name)
        if workspace is None:
            raise errors.CallerKeyRefused("workspace does not exist")
        return workspace

    def _choose(
        self,
        found: view.ServiceRoutes,
        shard: ids.ShardId,
        now: ids.Instant,
    ) -> ids.UpstreamId:
        if shard >= 0:
            owner = found.owners_by_shard.get(shard)
            if owner is None:
                raise errors.NoOwner(f"shard {shard} has no owner")
            return owner.upstream
        usable = [
            one.name
            for one in found.upstreams
            if one.state is states.AdminState.IN_SERVICE
            and one.name in self.view.leaders_by_upstream
        ]
        if not usable:
            raise errors.NoUpstream("no upstream of the service may serve")
        return min(usable, key=self._in_flight)

    def _in_flight(self, upstream: ids.UpstreamId) -> int:
        return sum(
            1
            for one in self.exchanges_by_id.values()
            if one.admitted.upstream == upstream
        )

    def _start(
        self,
        event: dispatch.RequestArrived | dispatch.ForwardArrived,
        admitted: messages.Admitted,
        forwarded: bool,
        now: ids.Instant,
    ) -> Effects:
        leader = self.view.leaders_by_upstream.get(admitted.upstream)
        if leader is None:
            raise errors.NoOwner("upstream has no leader")
        exchange = Exchange(
            head=event.head, admitted=admitted, forwarded=forwarded
        )
        leads = leader.instance == self._instance
        if not leads and forwarded:
            raise errors.WrongLeader(
                "another instance leads", peer=leader.instance
            )
        exchange.sent = True
        if not leads:
            self.exchanges_by_id[event.exchange] = exchange
            return [
                dispatch.Forward(
                    exchange=event.exchange,
                    instance=leader.instance,
                    admitted=admitted,
                )
            ]
        self._check_leadership(leader, now)
        epoch = self._epoch(admitted)
        if admitted.shard >= 0:
            exchange.fence = fences.ShardKey(
                service=admitted.service, shard=admitted.shard, epoch=epoch
            )
            self.fences.start(exchange.fence)
        self.exchanges_by_id[event.exchange] = exchange
        return [
            dispatch.SendUpstream(
                exchange=event.exchange,
                admitted=admitted,
                term=leader.term,
                epoch=epoch,
            )
        ]

    def _check_leadership(
        self, leader: ownership.Leadership, now: ids.Instant
    ) -> None:
        held = self.held_by_upstream.get(leader.upstream)
        if held is None or held.term != leader.term:
            raise errors.WrongLeader("the leadership is not held")
        if now < held.not_before:
            raise errors.WrongLeader("a former leader may still send")
        if now >= self.lease_until:
            raise errors.WrongLeader("the lease of this instance is over")

    def _epoch(self, admitted: messages.Admitted) -> ids.Epoch:
        if admitted.shard < 0:
            return ids.Epoch(0)
        found = self.view.routes_by_service.get(admitted.service)
        owner = None
        if found is not None:
            owner = found.owners_by_shard.get(admitted.shard)
        if owner is None or owner.upstream != admitted.upstream:
            raise errors.WrongLeader("the shard has another owner")
        return owner.epoch
