"""Strict limits: one home for each workspace lends batches of tokens.

The home of a workspace is chosen by rendezvous over the members. An
instance lends as a home only once every other member has accepted its
claim; a member that accepts takes no other home's tokens from then on
and says what it may still spend of earlier ones. Whoever is no member
has no lease, and without a lease nothing is spent or lent.
"""

import dataclasses
from typing import ClassVar, Final

import xxhash

from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core import ids
from dragonflyshelf.core.limits import holder as holders
from dragonflyshelf.core.limits import home as homes
from dragonflyshelf.core.limits import messages
from dragonflyshelf.core.limits import policies
from dragonflyshelf.core import registry
from dragonflyshelf.core import settings

Effects = policies.Effects

PEER_HANDLERS: Final[registry.Registry[type, policies.Handler]] = (
    registry.Registry("handlers of limit messages")
)


@dataclasses.dataclass(kw_only=True, slots=True)
class Claiming:
    """A claim and the members that have not accepted it."""

    claim: ids.ClaimId
    version: ids.Version
    unanswered: set[ids.InstanceId]
    held: int = 0


def home_of(
    workspace: ids.WorkspaceId, instances: tuple[ids.InstanceId, ...]
) -> ids.InstanceId:
    """Return the instance that is to be the home of a workspace."""

    def score(instance: ids.InstanceId) -> tuple[int, ids.InstanceId]:
        text = f"{workspace}/{instance}".encode()
        return xxhash.xxh3_64_intdigest(text), instance

    return max(instances, key=score)


@policies.LIMIT_POLICIES.register("home_batches")
class HomeBatches(policies.LimitPolicy):
    """Homes and holders of one instance."""

    handlers: ClassVar[registry.Registry[type, policies.Handler]] = (
        registry.Registry("handlers of home batches")
    )

    def __init__(
        self, config: settings.Settings, incarnation: ids.Incarnation
    ) -> None:
        """Create the policy of an instance without a lease."""
        super().__init__(config, incarnation)
        self._own = config.instance.name
        self._config = config.limits
        margin = config.membership.clock_rate_margin
        self._lent_life = config.limits.batch_life * (1 + 2 * margin)
        self._incarnation = incarnation
        self._last_claim = int(incarnation)
        self._lease_until = ids.Instant(float("-inf"))
        self._instances: tuple[ids.InstanceId, ...] = ()
        self._version = ids.Version(0)
        self._workspaces_by_id: dict[ids.WorkspaceId, objects.Workspace] = {}
        self._places_by_workspace: dict[ids.WorkspaceId, ids.InstanceId] = {}
        self._claiming_by_workspace: dict[ids.WorkspaceId, Claiming] = {}
        self._claims_by_workspace: dict[ids.WorkspaceId, ids.ClaimId] = {}
        self.homes_by_workspace: dict[ids.WorkspaceId, homes.Home] = {}
        self.holders_by_workspace: dict[ids.WorkspaceId, holders.Holder] = {}
        self._spent_by_exchange: dict[
            ids.ExchangeId, tuple[holders.Holder, holders.Batch]
        ] = {}
        self._claim_at = holders.NEVER

    def tokens_by_workspace(self) -> dict[ids.WorkspaceId, float]:
        """Return the tokens that this instance can hand out now."""
        found = {
            name: float(one.left)
            for name, one in self.holders_by_workspace.items()
        }
        for name, home in self.homes_by_workspace.items():
            found[name] = found.get(name, 0.0) + home.tokens
        return found

    @handlers.register(messages.LimitsChanged)
    def _on_changed(
        self, event: messages.LimitsChanged, now: ids.Instant
    ) -> Effects:
        self._instances = event.instances
        self._version = event.version
        self._workspaces_by_id = {one.name: one for one in event.workspaces}
        self._places_by_workspace = {
            name: home_of(name, event.instances)
            for name in self._workspaces_by_id
            if event.instances
        }
        for name, home in self.homes_by_workspace.items():
            workspace = self._workspaces_by_id.get(name)
            if workspace is not None and workspace != home.workspace:
                home.change(workspace, now)
        for name in list(self.homes_by_workspace):
            if self._places_by_workspace.get(name) != self._own:
                self._close_home(name)
        return self._claim_missing(now)

    @handlers.register(messages.LeaseMoved)
    def _on_lease(
        self, event: messages.LeaseMoved, now: ids.Instant
    ) -> Effects:
        self._lease_until = event.until
        if event.until > now:
            return self._on_time(messages.TimePassed(), now)
        for name in list(self.homes_by_workspace):
            self._close_home(name)
        self._claiming_by_workspace = {}
        for one in self.holders_by_workspace.values():
            one.drop_all()
        self._spent_by_exchange = {}
        return self._claim_missing(now)

    @handlers.register(messages.AskToken)
    def _on_ask(self, event: messages.AskToken, now: ids.Instant) -> Effects:
        one = self._holder(event.workspace.name)
        one.count_demand(now)
        one.waiting.append(holders.Waiting(exchange=event.exchange, since=now))
        return self._serve(one, now)

    @handlers.register(messages.ReturnToken)
    def _on_return(
        self, event: messages.ReturnToken, now: ids.Instant
    ) -> Effects:
        spent = self._spent_by_exchange.pop(event.exchange, None)
        if spent is None:
            return []
        one, batch = spent
        if not one.put_back(batch, now):
            return []
        return self._serve(one, now)

    @handlers.register(messages.ForgetToken)
    def _on_forget(
        self, event: messages.ForgetToken, now: ids.Instant
    ) -> Effects:
        if self._spent_by_exchange.pop(event.exchange, None) is not None:
            return []
        for one in self.holders_by_workspace.values():
            for waiting in one.waiting:
                if waiting.exchange == event.exchange:
                    one.waiting.remove(waiting)
                    return []
        return []

    @handlers.register(messages.TimePassed)
    def _on_time(
        self, event: messages.TimePassed, now: ids.Instant
    ) -> Effects:
        effects: Effects = []
        self.wake_at = holders.NEVER
        if now >= self._claim_at:
            effects.extend(self._claim_missing(now))
        self.wake_at = min(self.wake_at, self._claim_at)
        for one in self.holders_by_workspace.values():
            one.close_surplus(now)
            effects.extend(self._serve(one, now))
        return effects

    @handlers.register(messages.LimitReceived)
    def _on_received(
        self, event: messages.LimitReceived, now: ids.Instant
    ) -> Effects:
        return PEER_HANDLERS.get(type(event.message))(self, event, now)

    @PEER_HANDLERS.register(messages.Borrow)
    def _on_borrow(
        self, event: messages.LimitReceived, now: ids.Instant
    ) -> Effects:
        borrow: messages.Borrow = event.message
        claim = self._claims_by_workspace.get(borrow.workspace)
        if claim is None:
            return []
        if borrow.claim not in (0, claim):
            again = messages.ClaimHomes(
                claim=claim,
                version=self._version,
                workspaces=(borrow.workspace,),
            )
            return [messages.SendLimit(instance=event.sender, message=again)]
        lend = self._lend(borrow, now)
        if lend is None:
            return []
        return [messages.SendLimit(instance=event.sender, message=lend)]

    @PEER_HANDLERS.register(messages.Lend)
    def _on_lend(
        self, event: messages.LimitReceived, now: ids.Instant
    ) -> Effects:
        lend: messages.Lend = event.message
        one = self._holder(lend.workspace)
        sender = holders.HomeId(instance=event.sender, claim=lend.claim)
        place = self._places_by_workspace.get(lend.workspace)
        if one.home is None and place == event.sender:
            one.home = sender
        one.receive(sender, lend, now)
        return self._serve(one, now)

    @PEER_HANDLERS.register(messages.GiveBack)
    def _on_give_back(
        self, event: messages.LimitReceived, now: ids.Instant
    ) -> Effects:
        self._take_back(event.message, now)
        return []

    @PEER_HANDLERS.register(messages.ClaimHomes)
    def _on_claim(
        self, event: messages.LimitReceived, now: ids.Instant
    ) -> Effects:
        if event.message.version > self._version:
            return []
        accepted = tuple(
            name
            for name in event.message.workspaces
            if self._places_by_workspace.get(name) == event.sender
        )
        if not accepted:
            return []
        home = holders.HomeId(instance=event.sender, claim=event.message.claim)
        held = []
        for name in accepted:
            self._close_home(name)
            one = self._holder(name)
            one.accept(home)
            one.drop_ended(now)
            held.append(messages.HeldTokens(workspace=name, tokens=one.left))
        answer = messages.HomesClaimed(
            claim=event.message.claim, held=tuple(held)
        )
        return [messages.SendLimit(instance=event.sender, message=answer)]

    @PEER_HANDLERS.register(messages.HomesClaimed)
    def _on_claimed(
        self, event: messages.LimitReceived, now: ids.Instant
    ) -> Effects:
        effects: Effects = []
        for one in event.message.held:
            claiming = self._claiming_by_workspace.get(one.workspace)
            if claiming is None or claiming.claim != event.message.claim:
                continue
            if event.sender in claiming.unanswered:
                claiming.unanswered.discard(event.sender)
                claiming.held += one.tokens
            effects.extend(self._open_if_claimed(one.workspace, now))
        return effects

    def _holder(self, name: ids.WorkspaceId) -> holders.Holder:
        found = self.holders_by_workspace.get(name)
        if found is None:
            found = holders.Holder(name, self._config, self._incarnation)
            self.holders_by_workspace[name] = found
        return found

    def _leased(self, now: ids.Instant) -> bool:
        return now < self._lease_until

    def _close_home(self, name: ids.WorkspaceId) -> None:
        self.homes_by_workspace.pop(name, None)
        self._claims_by_workspace.pop(name, None)
        self._claiming_by_workspace.pop(name, None)

    def _claim_missing(self, now: ids.Instant) -> Effects:
        """Ask every member that has not accepted a claim of ours."""
        if not self._leased(now) or self._own not in self._instances:
            self._claim_at = holders.NEVER
            return []
        others = {one for one in self._instances if one != self._own}
        missing = [
            name
            for name, place in self._places_by_workspace.items()
            if place == self._own and name not in self.homes_by_workspace
        ]
        effects: Effects = []
        for name in missing:
            claiming = self._claiming_by_workspace.get(name)
            if claiming is None:
                self._last_claim += 1
                claiming = Claiming(
                    claim=ids.ClaimId(self._last_claim),
                    version=self._version,
                    unanswered=set(others),
                )
                self._claiming_by_workspace[name] = claiming
            claiming.unanswered &= others
            effects.extend(self._open_if_claimed(name, now))
        effects.extend(self._ask_for_claims())
        waits = bool(self._claiming_by_workspace)
        self._claim_at = holders.NEVER
        if waits:
            self._claim_at = ids.Instant(now + self._config.claim_interval)
        self.wake_at = min(self.wake_at, self._claim_at)
        return effects

    def _ask_for_claims(self) -> Effects:
        return [
            messages.SendLimit(
                instance=instance,
                message=messages.ClaimHomes(
                    claim=claiming.claim,
                    version=claiming.version,
                    workspaces=(name,),
                ),
            )
            for name, claiming in self._claiming_by_workspace.items()
            for instance in sorted(claiming.unanswered)
        ]

    def _open_if_claimed(
        self, name: ids.WorkspaceId, now: ids.Instant
    ) -> Effects:
        claiming = self._claiming_by_workspace.get(name)
        workspace = self._workspaces_by_id.get(name)
        if claiming is None or claiming.unanswered or workspace is None:
            return []
        if not self._leased(now):
            return []
        del self._claiming_by_workspace[name]
        own = self._holder(name)
        own.drop_ended(now)
        opened = homes.Home(
            workspace,
            held=claiming.held + own.left,
            until=ids.Instant(now + self._lent_life),
        )
        opened.accrue(now)
        self.homes_by_workspace[name] = opened
        self._claims_by_workspace[name] = claiming.claim
        own.accept(holders.HomeId(instance=self._own, claim=claiming.claim))
        return self._serve(own, now)

    def _serve(self, one: holders.Holder, now: ids.Instant) -> Effects:
        """Grant, borrow and refuse for the exchanges that wait."""
        effects: Effects = []
        if self._leased(now):
            effects.extend(self._grant(one, now))
            if one.wants(now):
                effects.extend(self._borrow(one, now))
            effects.extend(self._give_back(one, now))
        effects.extend(self._refuse_late(one, now))
        self.wake_at = min(self.wake_at, one.wake_at(now))
        return effects

    def _grant(self, one: holders.Holder, now: ids.Instant) -> Effects:
        effects: Effects = []
        while one.waiting:
            batch = one.spend(now)
            if batch is None:
                break
            exchange = one.waiting.popleft().exchange
            self._spent_by_exchange[exchange] = (one, batch)
            effects.append(messages.TokenGranted(exchange=exchange))
        return effects

    def _borrow(self, one: holders.Holder, now: ids.Instant) -> Effects:
        place = self._places_by_workspace.get(one.workspace)
        if place is None:
            return []
        if place != self._own:
            message = one.ask(now)
            return [messages.SendLimit(instance=place, message=message)]
        if one.workspace not in self.homes_by_workspace:
            return []
        lend = self._lend(one.ask(now), now)
        if lend is not None and one.home is not None:
            one.receive(one.home, lend, now)
        return self._grant(one, now)

    def _give_back(self, one: holders.Holder, now: ids.Instant) -> Effects:
        closed = one.take_closed()
        if not closed or one.home is None:
            return []
        message = messages.GiveBack(
            workspace=one.workspace, claim=one.home.claim, closed=closed
        )
        if one.home.instance == self._own:
            self._take_back(message, now)
            return []
        return [
            messages.SendLimit(instance=one.home.instance, message=message)
        ]

    def _take_back(self, message: messages.GiveBack, now: ids.Instant) -> None:
        home = self.homes_by_workspace.get(message.workspace)
        claim = self._claims_by_workspace.get(message.workspace)
        if home is not None and claim == message.claim:
            home.close(message.closed, now)

    def _lend(
        self, borrow: messages.Borrow, now: ids.Instant
    ) -> messages.Lend | None:
        home = self.homes_by_workspace.get(borrow.workspace)
        if home is None or not self._leased(now):
            return None
        claim = self._claims_by_workspace[borrow.workspace]
        if borrow.claim == claim:
            home.close(borrow.closed, now)
        batch, tokens = home.lend(
            borrow.needed,
            borrow.standing,
            len(self._instances),
            ids.Instant(now + self._lent_life),
            now,
        )
        wait = home.wait() if tokens < borrow.needed else 0.0
        return messages.Lend(
            workspace=borrow.workspace,
            ask=borrow.ask,
            batch=batch,
            tokens=tokens,
            wait=wait,
            claim=claim,
        )

    def _refuse_late(self, one: holders.Holder, now: ids.Instant) -> Effects:
        """Refuse exchanges that cannot get a token in time."""
        effects: Effects = []
        while one.waiting:
            first = one.waiting[0]
            blocked = one.blocked_until - now > self._config.longest_block
            if now < one.ends_at(first, now) and not blocked:
                break
            one.waiting.popleft()
            wait = max(one.blocked_until - now, 0.0)
            effects.append(
                messages.TokenRefused(exchange=first.exchange, wait=wait)
            )
        return effects
