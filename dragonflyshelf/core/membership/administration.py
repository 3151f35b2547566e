"""Removes lapsed members and appoints removers, for one instance."""

import dataclasses

from dragonflyshelf.core import ids
from dragonflyshelf.core.membership import appointments
from dragonflyshelf.core.membership import lease
from dragonflyshelf.core.membership import objects
from dragonflyshelf.core.membership import observations
from dragonflyshelf.core.membership import promises
from dragonflyshelf.core.membership import rosters as readers
from dragonflyshelf.core.membership import writes
from dragonflyshelf.core.platform import messages as platform
from dragonflyshelf.core import settings

Effects = list[platform.WriteObject]


class Administration:
    """What an instance may do to rosters in which it is a remover.

    ``direct_only`` tells that the instance is to rely on renewals alone,
    because it is about to appoint.
    """

    def __init__(
        self,
        config: settings.Settings,
        own_lease: lease.Lease,
        given: promises.GivenPromises,
        seen: observations.Observations,
        roster_writes: writes.RosterWrites,
        rosters: readers.Rosters,
    ) -> None:
        """Create the administration over parts of the coordinator."""
        self._config = config.membership
        self._data_centre = config.instance.data_centre
        self._lease = own_lease
        self._given = given
        self._seen = seen
        self._writes = roster_writes
        self._rosters = rosters
        self._orphaned_at: ids.Instant | None = None
        self.direct_only = False

    def pause(self, now: ids.Instant) -> None:
        """Do no more than forget promises that are over."""
        self.direct_only = False
        self._given.drop_ended(now)

    def tick(self, lease_until: ids.Instant, now: ids.Instant) -> Effects:
        """Return the updates that are due while the own lease runs."""
        self.pause(now)
        own = objects.remover_of(self._lease.own)
        return [
            *self._refound(now),
            *(
                effect
                for roster in self._rosters.all()
                if own in roster.removers
                and not self._writes.running(roster.data_centre)
                and not self._writes.undecided(roster.data_centre)
                for effect in self._administer(roster, lease_until, now)
            ),
        ]

    def _administer(
        self,
        roster: objects.Roster,
        lease_until: ids.Instant,
        now: ids.Instant,
    ) -> Effects:
        own = objects.remover_of(self._lease.own)
        patience = roster.removers.index(own) * self._config.stagger / 2
        lapsed = [
            one
            for one in roster.members
            if objects.remover_of(one) != own
            and self._seen.lapsed_for(one, now) > patience
        ]
        gone = [one for one in lapsed if not self._given.runs_for(one, now)]
        kept = tuple(
            dataclasses.replace(one, silent=one.silent or one in lapsed)
            for one in roster.members
            if one not in gone
        )
        if kept != roster.members:
            changed = dataclasses.replace(roster, members=kept)
            return [self._writes.administer(changed)]
        return self._appoint(roster, lease_until, now)

    def _refound(self, now: ids.Instant) -> Effects:
        """Appoint anew once every remover is gone for a promise time."""
        roster = self._rosters.get(self._data_centre)
        members = self._rosters.members()
        alive = {objects.remover_of(one) for one in members}
        if any(one in alive for one in roster.removers):
            self._orphaned_at = None
            return []
        if self._orphaned_at is None:
            self._orphaned_at = now
        longest = self._config.promise * (1 + self._config.clock_rate_margin)
        if now - self._orphaned_at <= longest:
            return []
        if self._writes.running(self._data_centre):
            return []
        return [self._writes.administer(self.founded(roster))]

    def founded(self, roster: objects.Roster) -> objects.Roster:
        """Return a roster with removers beside this instance."""
        own = objects.remover_of(self._lease.own)
        started = dataclasses.replace(roster, removers=(own,))
        removers = appointments.appoint(
            started, [*self._rosters.all(), started], self._config.removers
        )
        return dataclasses.replace(
            started, removers=removers, generation=roster.generation + 1
        )

    def _appoint(
        self,
        roster: objects.Roster,
        lease_until: ids.Instant,
        now: ids.Instant,
    ) -> Effects:
        if self._given.any_in(roster.data_centre, now):
            return []
        wanted = appointments.appoint(
            roster, self._rosters.all(), self._config.removers
        )
        alive = [one for one in roster.removers if one in wanted]
        own = objects.remover_of(self._lease.own)
        if wanted == roster.removers or not alive or alive[0] != own:
            return []
        if lease_until > self._lease.direct_until:
            self.direct_only = True
            return []
        changed = dataclasses.replace(
            roster, removers=wanted, generation=roster.generation + 1
        )
        return [self._writes.administer(changed)]
