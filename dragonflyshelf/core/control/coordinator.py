"""The control core of one instance, by events and effects."""

from collections import abc
from typing import Any

from dragonflyshelf.core.configuration import events
from dragonflyshelf.core.configuration import view
from dragonflyshelf.core.control import messages
from dragonflyshelf.core.control import replica
from dragonflyshelf.core.dispatch import messages as dispatch
from dragonflyshelf.core import ids
from dragonflyshelf.core.membership import coordinator as membership
from dragonflyshelf.core.membership import messages as leases
from dragonflyshelf.core.membership import objects
from dragonflyshelf.core.ownership import coordinator as ownership
from dragonflyshelf.core.ownership import messages as grants
from dragonflyshelf.core.platform import messages as platform
from dragonflyshelf.core.platform import relay
from dragonflyshelf.core import registry
from dragonflyshelf.core import settings
from dragonflyshelf.core import states

Effects = list[Any]
Handler = abc.Callable[["ControlCoordinator", Any, ids.Instant], Effects]

HANDLERS: registry.Registry[type, Handler] = registry.Registry(
    "control handlers"
)
PEER_HANDLERS: registry.Registry[type, Handler] = registry.Registry(
    "control messages of other instances"
)


class ControlCoordinator:
    """Membership, relay and ownership over one view."""

    def __init__(
        self,
        config: settings.Settings,
        own: objects.Member,
        shared_view: view.ObjectView,
    ) -> None:
        """Create the core of an instance that knows nothing yet."""
        self.view = shared_view
        self.membership = membership.MembershipCoordinator(
            config, own, shared_view
        )
        self.relay = relay.RelayCoordinator(config, shared_view)
        self.ownership = ownership.OwnershipCoordinator(
            config, own, shared_view
        )
        self._replica = replica.Replica(shared_view)
        self._members: tuple[objects.Member, ...] = ()
        self._draining = False
        self._drained = False

    def handle(self, event: Any, now: ids.Instant) -> Effects:
        """Take in one event and return what is to be done."""
        return HANDLERS.get(type(event))(self, event, now)

    @HANDLERS.register(messages.Tick)
    def _on_tick(self, event: messages.Tick, now: ids.Instant) -> Effects:
        effects = [
            *self.relay.handle_tick(now),
            *self.membership.handle_tick(now),
        ]
        lease_until = self.membership.lease_until
        effects += self.ownership.handle_tick(lease_until, now)
        if self._draining:
            effects += self._drain()
        return effects

    @HANDLERS.register(messages.DrainWanted)
    def _on_drain(
        self, event: messages.DrainWanted, now: ids.Instant
    ) -> Effects:
        self._draining = True
        self.membership.announce_leaving()
        return []

    @HANDLERS.register(platform.ObjectsListed)
    def _on_listed(
        self, event: platform.ObjectsListed, now: ids.Instant
    ) -> Effects:
        applied = self._replica.apply_list(event)
        self.relay.restart(event.version)
        return self._on_applied(applied, now)

    @HANDLERS.register(platform.ChangesWatched)
    def _on_changes(
        self, event: platform.ChangesWatched, now: ids.Instant
    ) -> Effects:
        if event.since > self.relay.position:
            return self.relay.watch_again()
        applied = self._replica.apply(event.events)
        batch = relay.Batch(
            since=event.since,
            position=event.position,
            objects=applied.objects,
        )
        return [
            *self.relay.handle_batch(batch, now),
            *self._on_applied(applied, now),
        ]

    @HANDLERS.register(platform.PlatformReached)
    def _on_reached(
        self, event: platform.PlatformReached, now: ids.Instant
    ) -> Effects:
        self.membership.handle_fresh(event.sent_at, now)
        self.relay.handle_fresh(event.sent_at)
        return []

    @HANDLERS.register(platform.PlatformLost)
    def _on_lost(
        self, event: platform.PlatformLost, now: ids.Instant
    ) -> Effects:
        return []

    @HANDLERS.register(platform.WriteFinished)
    def _on_write(
        self, event: platform.WriteFinished, now: ids.Instant
    ) -> Effects:
        effects: Effects = []
        if event.key.kind is states.ObjectKind.ROSTER:
            effects += self.membership.handle_write(event, now)
        elif event.key.kind is states.ObjectKind.SEGMENT:
            effects += self.ownership.handle_write(event, now)
        if event.result is states.WriteResult.DONE and event.written:
            done = platform.ObjectChanged(
                key=event.key,
                version=event.version,
                write_id=event.write_id,
                value=event.written,
            )
            applied = self._replica.apply((done,))
            effects += self._on_applied(applied, now)
        return effects

    @HANDLERS.register(messages.PeerMessage)
    def _on_peer(
        self, event: messages.PeerMessage, now: ids.Instant
    ) -> Effects:
        kind = type(event.message)
        return PEER_HANDLERS.get(kind)(self, event.message, now)

    @HANDLERS.register(grants.GrantAnswered)
    def _on_granted(
        self, event: grants.GrantAnswered, now: ids.Instant
    ) -> Effects:
        return self.ownership.handle_granted(event, now)

    @HANDLERS.register(grants.ReleaseAnswered)
    def _on_released(
        self, event: grants.ReleaseAnswered, now: ids.Instant
    ) -> Effects:
        return self.ownership.handle_released(event, now)

    @HANDLERS.register(dispatch.ShardQuiet)
    def _on_quiet(
        self, event: dispatch.ShardQuiet, now: ids.Instant
    ) -> Effects:
        return self.ownership.handle_quiet(event, now)

    @PEER_HANDLERS.register(leases.Promise)
    @PEER_HANDLERS.register(leases.PromiseRelease)
    @PEER_HANDLERS.register(leases.PromiseRequest)
    @PEER_HANDLERS.register(leases.RenewalRequest)
    def _on_lease_message(
        self, message: leases.Message, now: ids.Instant
    ) -> Effects:
        return self.membership.handle_peer(message, now)

    @PEER_HANDLERS.register(relay.RelayRequest)
    def _on_relay_request(
        self, message: relay.RelayRequest, now: ids.Instant
    ) -> Effects:
        return self.relay.handle_request(message, now)

    @PEER_HANDLERS.register(relay.RelayedState)
    def _on_relayed(
        self, message: relay.RelayedState, now: ids.Instant
    ) -> Effects:
        if not self.relay.accepts(message, now):
            return []
        applied = self._replica.apply_state(message)
        self.membership.handle_fresh(self.relay.fresh_at, now)
        return self._on_applied(applied, now)

    def _on_applied(
        self, applied: replica.Applied, now: ids.Instant
    ) -> Effects:
        if not applied.changed:
            return []
        effects: Effects = self.membership.handle_view(now)
        if not applied.structural:
            return effects
        for one in applied.new:
            effects += events.in_force(
                one.kind, one.name, one.version, one.value
            )
        own = self.membership.own
        effects += self.ownership.handle_view(own, now)
        effects.append(messages.ViewChanged())
        members = self.membership.members()
        if members != self._members:
            self._members = members
            effects.append(messages.MembersChanged(members=members))
        return effects

    def _drain(self) -> Effects:
        if self._drained:
            return []
        if not self.ownership.leads_anything:
            self.membership.leave()
        if not self.membership.left:
            return []
        self._drained = True
        return [messages.DrainEnded()]
