"""Keeps this instance in the roster and removes lapsed members."""

from collections import abc
import dataclasses

from dragonflyshelf.core.configuration import view
from dragonflyshelf.core.dispatch import messages as dispatch
from dragonflyshelf.core import ids
from dragonflyshelf.core import invariants
from dragonflyshelf.core.membership import administration
from dragonflyshelf.core.membership import lease
from dragonflyshelf.core.membership import messages
from dragonflyshelf.core.membership import narration
from dragonflyshelf.core.membership import objects
from dragonflyshelf.core.membership import observations
from dragonflyshelf.core.membership import promises
from dragonflyshelf.core.membership import renewals
from dragonflyshelf.core.membership import rosters
from dragonflyshelf.core.membership import writes
from dragonflyshelf.core.platform import messages as platform
from dragonflyshelf.core import registry
from dragonflyshelf.core import settings
from dragonflyshelf.core import states
from dragonflyshelf.core.timeline import events

Effects = list[
    dispatch.LeaseChanged
    | events.RecordEvent
    | messages.SendToInstance
    | platform.WriteObject
]
PeerHandler = abc.Callable[
    ["MembershipCoordinator", messages.Message, ids.Instant], Effects
]

PEER_HANDLERS: registry.Registry[type, PeerHandler] = registry.Registry(
    "membership messages"
)


class MembershipCoordinator:
    """Membership of one instance.

    Renewals, promises and removals follow the rules of the page on
    ownership; each check named there has its line here.
    """

    def __init__(
        self,
        config: settings.Settings,
        own: objects.Member,
        shared_view: view.ObjectView,
    ) -> None:
        """Create the coordinator of an instance not yet admitted."""
        self._config = config.membership
        self._data_centre = config.instance.data_centre
        self._view = shared_view
        self._lease = lease.Lease(self._config, own)
        self._given = promises.GivenPromises(self._config)
        self._seen = observations.Observations(self._config)
        self._collector = renewals.RenewalCollector(self._config)
        self._rosters = rosters.Rosters(shared_view)
        self._writes = writes.RosterWrites(own, self._rosters)
        self._administration = administration.Administration(
            config,
            self._lease,
            self._given,
            self._seen,
            self._writes,
            self._rosters,
        )
        self._joined = False
        self._leaving = False
        self._next_renewal = ids.Instant(0.0)
        self._next_question = ids.Instant(0.0)
        self._next_write_by_id: dict[ids.DataCentreId, ids.Instant] = {}
        self._unreleased: set[ids.InstanceId] = set()
        self.lease_until = ids.Instant(0.0)

    @property
    def own(self) -> objects.Member:
        """Return this instance with its present incarnation."""
        return self._lease.own

    @property
    def left(self) -> bool:
        """Tell whether this instance has left its roster for good."""
        return self._leaving and not self._joined

    def announce_leaving(self) -> None:
        """Ask to be relieved of what this instance leads."""
        self._lease.own = dataclasses.replace(self._lease.own, leaving=True)
        self._next_renewal = ids.Instant(0.0)

    def leave(self) -> None:
        """Leave the roster once nothing is led any more."""
        self._leaving = True

    def members(self) -> tuple[objects.Member, ...]:
        """Return the members of all rosters."""
        return self._rosters.members()

    def cut_off(self, now: ids.Instant) -> bool:
        """Tell whether the platform has been silent for a while."""
        return self._seen.cut_off(now)

    def handle_tick(self, now: ids.Instant) -> Effects:
        """Do whatever is due now."""
        if self._view.version == 0:
            return []
        return [
            *self._renew(now),
            *self._carry(now),
            *self._ask(now),
            *self._maintain(now),
            *self._report(now),
        ]

    def handle_view(self, now: ids.Instant) -> Effects:
        """Take in changed rosters."""
        self._seen.observe(
            [
                (self._rosters.version(roster.data_centre), roster)
                for roster in self._rosters.all()
            ],
            now,
        )
        self._given.follow(self._rosters.all())
        self._writes.settle()
        self._collector.forget_absent(
            {objects.remover_of(one) for one in self.members()}
        )
        return self._follow(now)

    def handle_fresh(self, as_of: ids.Instant, now: ids.Instant) -> None:
        """Take in that the view was up to date at an instant."""
        self._seen.reach(as_of, now)

    def handle_write(
        self, event: platform.WriteFinished, now: ids.Instant
    ) -> Effects:
        """Take in the result of an update of a roster."""
        written = self._writes.finish(event)
        if written is None:
            return []
        if event.result is not states.WriteResult.DONE:
            data_centre = ids.DataCentreId(event.key.name)
            self._next_write_by_id[data_centre] = now
            return []
        self._seen.reach(event.sent_at, now)
        return [
            *narration.changes(written.before, written.roster),
            *self._confirm(written.roster, now),
            *self._report(now),
        ]

    def handle_peer(
        self, message: messages.Message, now: ids.Instant
    ) -> Effects:
        """Take in a message of another instance."""
        return PEER_HANDLERS.get(type(message))(self, message, now)

    @PEER_HANDLERS.register(messages.RenewalRequest)
    def _on_renewal(
        self, message: messages.RenewalRequest, now: ids.Instant
    ) -> Effects:
        self._collector.add(message)
        return []

    @PEER_HANDLERS.register(messages.PromiseRequest)
    def _on_question(
        self, message: messages.PromiseRequest, now: ids.Instant
    ) -> Effects:
        roster = self._rosters.get(message.data_centre)
        asker = roster.find(message.instance, message.incarnation)
        may_promise = (
            asker is not None
            and roster.is_remover(self.own)
            and roster.generation == message.generation
            and now < self.lease_until
            and self._seen.cut_off(now)
            and not self._writes.undecided(message.data_centre)
        )
        if not may_promise:
            return []
        self._given.give(message, now)
        promise = messages.Promise(
            instance=self.own.instance,
            incarnation=self.own.incarnation,
            session=message.session,
            generation=message.generation,
            question=message.question,
        )
        return [
            messages.SendToInstance(
                instance=message.instance, message=promise
            ),
            narration.event(events.EventKind.PROMISE_GIVEN, message.instance),
        ]

    @PEER_HANDLERS.register(messages.Promise)
    def _on_promise(
        self, message: messages.Promise, now: ids.Instant
    ) -> Effects:
        self._lease.take_promise(message)
        return self._report(now)

    @PEER_HANDLERS.register(messages.PromiseRelease)
    def _on_release(
        self, message: messages.PromiseRelease, now: ids.Instant
    ) -> Effects:
        self._given.release(message)
        return []

    def _follow(self, now: ids.Instant) -> Effects:
        roster = self._rosters.get(self._data_centre)
        entry = roster.find(self.own.instance, self.own.incarnation)
        if entry is None:
            return self._on_absent(now)
        return self._confirm(roster, now)

    def _on_absent(self, now: ids.Instant) -> Effects:
        if not self._joined:
            return []
        self._joined = False
        if self._leaving:
            return [dispatch.LeaseChanged(until=self.lease_until)]
        until, self.lease_until = self.lease_until, ids.Instant(0.0)
        self._lease.restart()
        self._writes.own = self.own
        self._next_renewal = now
        invariants.check(
            now >= until, "removed while the lease runs until %s", until
        )
        return [
            dispatch.LeaseChanged(until=self.lease_until),
            narration.event(events.EventKind.LEASE_LOST, self.own.instance),
        ]

    def _confirm(self, roster: objects.Roster, now: ids.Instant) -> Effects:
        entry = roster.find(self.own.instance, self.own.incarnation)
        if entry is None:
            return []
        self._joined = True
        if not self._lease.confirm(entry.renewal):
            return []
        return self._report(now)

    def _renew(self, now: ids.Instant) -> Effects:
        if now < self._next_renewal or self._leaving:
            return []
        self._next_renewal = ids.Instant(now + self._config.renew_interval)
        own = self._lease.next_renewal(now)
        request = messages.RenewalRequest(
            data_centre=self._data_centre,
            instance=own.instance,
            incarnation=own.incarnation,
            renewal=own.renewal,
            leaving=own.leaving,
            released=own.released,
        )
        self._collector.add(request)
        if not self._joined:
            return []
        roster = self._rosters.get(self._data_centre)
        silence = self._seen.roster_silence(self._data_centre, now)
        reach = self._collector.lowest_rank(silence) + 2
        return [
            messages.SendToInstance(instance=one, message=request)
            for one in renewals.carriers(roster)[:reach]
            if one != own.instance
        ]

    def _carry(self, now: ids.Instant) -> Effects:
        if not self._joined and not self._leaving:
            return self._join(now)
        if self._leaving:
            return self._leave(now)
        effects: Effects = []
        for roster in self._rosters.all():
            data_centre = roster.data_centre
            due = now >= self._next_write_by_id.get(data_centre, now)
            if not due or self._writes.running(data_centre):
                continue
            if self._may_carry(roster, now):
                effects += self._write_renewals(roster, now)
        return effects

    def _may_carry(self, roster: objects.Roster, now: ids.Instant) -> bool:
        ranks = renewals.carriers(roster)
        if self.own.instance not in ranks:
            return False
        silence = self._seen.roster_silence(roster.data_centre, now)
        lowest = self._collector.lowest_rank(silence)
        return ranks.index(self.own.instance) <= lowest

    def _write_renewals(
        self, roster: objects.Roster, now: ids.Instant
    ) -> Effects:
        renewed = self._collector.applied(roster)
        if renewed == roster:
            return []
        self._next_write_by_id[roster.data_centre] = ids.Instant(
            now + self._config.renew_interval
        )
        return [self._writes.renew(renewed)]

    def _join(self, now: ids.Instant) -> Effects:
        if self._writes.running(self._data_centre):
            return []
        if now < self._next_write_by_id.get(self._data_centre, now):
            return []
        self._next_write_by_id[self._data_centre] = ids.Instant(
            now + self._config.renew_interval
        )
        roster = self._rosters.get(self._data_centre)
        present = [
            one for one in roster.members if one.instance == self.own.instance
        ]
        if any(not self._succeeds(one) for one in present):
            return []
        others = [one for one in roster.members if one not in present]
        members = sorted([*others, self.own], key=lambda one: one.instance)
        joined = dataclasses.replace(roster, members=tuple(members))
        alone = all(
            one.instance == self.own.instance for one in roster.removers
        )
        if alone and not others:
            joined = self._administration.founded(joined)
        return [self._writes.renew(joined)]

    def _succeeds(self, predecessor: objects.Member) -> bool:
        """Tell whether the predecessor's end is sure.

        The address is this process's own now, so no other process of
        that name can run.
        """
        return (
            predecessor.incarnation < self.own.incarnation
            and predecessor.host == self.own.host
            and predecessor.peer_port == self.own.peer_port != 0
        )

    def _leave(self, now: ids.Instant) -> Effects:
        if not self._joined or self._writes.running(self._data_centre):
            return []
        self.lease_until = ids.Instant(0.0)
        roster = self._rosters.get(self._data_centre)
        own = objects.remover_of(self.own)
        left = dataclasses.replace(
            roster,
            members=tuple(
                one for one in roster.members if objects.remover_of(one) != own
            ),
            removers=tuple(one for one in roster.removers if one != own),
            generation=roster.generation + 1,
        )
        return [
            dispatch.LeaseChanged(until=self.lease_until),
            self._writes.administer(left),
        ]

    def _ask(self, now: ids.Instant) -> Effects:
        late = now - self._lease.confirmed_at > self._config.lease / 2
        if not self._joined or not late or now < self._next_question:
            return []
        self._next_question = ids.Instant(
            now + self._config.heartbeat_interval
        )
        roster = self._rosters.get(self._data_centre)
        wanted = ids.Instant(now + self._config.promise / 2)
        return [
            self._question(one, roster, now)
            for one in roster.removers
            if one != objects.remover_of(self.own)
            and self._lease.promised_by(one, roster.generation) < wanted
        ]

    def _question(
        self,
        remover: objects.Remover,
        roster: objects.Roster,
        now: ids.Instant,
    ) -> messages.SendToInstance:
        self._unreleased.add(remover.instance)
        return messages.SendToInstance(
            instance=remover.instance,
            message=messages.PromiseRequest(
                data_centre=self._data_centre,
                instance=self.own.instance,
                incarnation=self.own.incarnation,
                session=self._lease.session,
                generation=roster.generation,
                question=self._lease.ask(now),
            ),
        )

    def _maintain(self, now: ids.Instant) -> Effects:
        may_act = self._joined and not self._leaving
        if not may_act or now >= self._lease.direct_until:
            self._administration.pause(now)
            return []
        return list(self._administration.tick(self.lease_until, now))

    def _report(self, now: ids.Instant) -> Effects:
        if not self._joined or self._leaving:
            return []
        until = self._lease.direct_until
        if (
            not self._administration.direct_only
            and not self._writes.any_undecided()
        ):
            roster = self._rosters.get(self._data_centre)
            promised = self._lease.promised_until(roster)
            step = ids.Instant(now + self._config.lease)
            until = max(until, min(promised, step))
        effects: Effects = []
        if until > self.lease_until:
            if self.lease_until <= now:
                kind = events.EventKind.LEASE_STARTED
                effects.append(narration.event(kind, self.own.instance))
            self.lease_until = until
            effects.append(dispatch.LeaseChanged(until=until))
        return [*effects, *self._release()]

    def _release(self) -> Effects:
        """Release promises that no part of this process relies on."""
        if self._lease.direct_until < self.lease_until:
            return []
        released, self._unreleased = self._unreleased, set()
        release = self._lease.release()
        return [
            messages.SendToInstance(instance=one, message=release)
            for one in sorted(released)
        ]
