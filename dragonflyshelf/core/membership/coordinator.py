"""Keeps this instance in the roster and removes lapsed ones.

The lease of this instance runs from the instant at which its last
successful renewal was sent.
"""

import dataclasses

from dragonflyshelf.core.configuration import view
from dragonflyshelf.core.dispatch import messages as dispatch
from dragonflyshelf.core import ids
from dragonflyshelf.core.membership import objects
from dragonflyshelf.core.platform import messages as platform
from dragonflyshelf.core import settings
from dragonflyshelf.core import states

Effects = list[dispatch.LeaseChanged | platform.WriteObject]


@dataclasses.dataclass(kw_only=True, slots=True)
class Observed:
    """The last renewal of a member and when it was first seen here."""

    incarnation: ids.Incarnation
    renewal: int
    seen_at: ids.Instant


class MembershipCoordinator:
    """Membership of one instance."""

    def __init__(
        self,
        config: settings.Settings,
        own: objects.Member,
        shared_view: view.ObjectView,
    ) -> None:
        """Create the coordinator of an instance not yet admitted."""
        self._config = config.membership
        self._data_centre = config.instance.data_centre
        self._own = own
        self._view = shared_view
        self._writes = 0
        self._pending: ids.WriteId | None = None
        self._renews = False
        self._next_renewal = ids.Instant(0.0)
        self._observed_by_instance: dict[ids.InstanceId, Observed] = {}
        self.lease_until = ids.Instant(0.0)

    def handle_tick(self, now: ids.Instant) -> Effects:
        """Renew the own lease, and remove members whose lease is over."""
        self._observe(now)
        if self._pending is not None or self._view.version == 0:
            return []
        if now >= self._next_renewal:
            self._next_renewal = ids.Instant(now + self._config.renew_interval)
            self._renews = True
            return [self._write_own()]
        return self._remove_lapsed(now)

    def handle_write(
        self, event: platform.WriteFinished, now: ids.Instant
    ) -> Effects:
        """Take in the result of an update of a roster."""
        if event.write_id != self._pending:
            return []
        self._pending = None
        if event.result is not states.WriteResult.DONE:
            self._next_renewal = now
            return []
        if not self._renews:
            return []
        self._renews = False
        self.lease_until = ids.Instant(event.sent_at + self._config.lease)
        return [dispatch.LeaseChanged(until=self.lease_until)]

    def members(self) -> tuple[objects.Member, ...]:
        """Return the members of all rosters."""
        rosters = self._view.values(states.ObjectKind.ROSTER)
        return tuple(member for roster in rosters for member in roster.members)

    def _observe(self, now: ids.Instant) -> None:
        for member in self.members():
            observed = self._observed_by_instance.get(member.instance)
            same = (
                observed is not None
                and observed.incarnation == member.incarnation
                and observed.renewal == member.renewal
            )
            if not same:
                self._observed_by_instance[member.instance] = Observed(
                    incarnation=member.incarnation,
                    renewal=member.renewal,
                    seen_at=now,
                )

    def _roster(self, data_centre: ids.DataCentreId) -> objects.Roster:
        known = self._view.get(states.ObjectKind.ROSTER, data_centre)
        if known is None:
            return objects.Roster(data_centre=data_centre)
        return known.value

    def _write_own(self) -> platform.WriteObject:
        roster = self._roster(self._data_centre)
        self._own = dataclasses.replace(
            self._own, renewal=self._own.renewal + 1
        )
        others = [
            one for one in roster.members if one.instance != self._own.instance
        ]
        members = sorted([*others, self._own], key=lambda one: one.instance)
        return self._write(dataclasses.replace(roster, members=tuple(members)))

    def _remove_lapsed(self, now: ids.Instant) -> Effects:
        if now >= self.lease_until:
            return []
        longest = self._config.lease * (1 + self._config.clock_rate_margin)
        for roster in self._view.values(states.ObjectKind.ROSTER):
            kept = tuple(
                one
                for one in roster.members
                if one.instance == self._own.instance
                or now - self._observed_by_instance[one.instance].seen_at
                <= longest
            )
            if len(kept) < len(roster.members):
                return [self._write(dataclasses.replace(roster, members=kept))]
        return []

    def _write(self, roster: objects.Roster) -> platform.WriteObject:
        self._writes += 1
        name = ids.ObjectName(roster.data_centre)
        kind = states.ObjectKind.ROSTER
        write_id = ids.WriteId(
            f"{self._own.instance}-{self._own.incarnation}-r{self._writes}"
        )
        self._pending = write_id
        return platform.WriteObject(
            key=platform.ObjectKey(kind=kind, name=name),
            expected=self._view.version_of(kind, name),
            write_id=write_id,
            value=roster,
        )
