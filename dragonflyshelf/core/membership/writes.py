"""Conditional updates of rosters that are under way or undecided."""

import dataclasses

from dragonflyshelf.core import ids
from dragonflyshelf.core.membership import objects
from dragonflyshelf.core.membership import rosters as readers
from dragonflyshelf.core.platform import messages as platform
from dragonflyshelf.core import states


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RosterWrite:
    """One update; ``administers`` if it removes or appoints."""

    write_id: ids.WriteId
    expected: ids.Version
    before: objects.Roster
    roster: objects.Roster
    administers: bool


class RosterWrites:
    """At most one update of each roster at a time."""

    def __init__(self, own: objects.Member, rosters: readers.Rosters) -> None:
        """Create without updates."""
        self.own = own
        self._rosters = rosters
        self._count = 0
        self._running_by_id: dict[ids.DataCentreId, RosterWrite] = {}
        self._undecided_by_id: dict[ids.DataCentreId, ids.Version] = {}

    def renew(self, roster: objects.Roster) -> platform.WriteObject:
        """Update members that renew or join."""
        return self._start(roster, administers=False)

    def administer(self, roster: objects.Roster) -> platform.WriteObject:
        """Update members that are removed, or removers."""
        return self._start(roster, administers=True)

    def running(self, data_centre: ids.DataCentreId) -> bool:
        """Tell whether an update waits for its result."""
        return data_centre in self._running_by_id

    def undecided(self, data_centre: ids.DataCentreId) -> bool:
        """Tell whether a removal or appointment may yet take effect."""
        running = self._running_by_id.get(data_centre)
        if running is not None and running.administers:
            return True
        return data_centre in self._undecided_by_id

    def any_undecided(self) -> bool:
        """Tell whether any roster has such an update."""
        return bool(self._undecided_by_id) or any(
            one.administers for one in self._running_by_id.values()
        )

    def finish(self, event: platform.WriteFinished) -> RosterWrite | None:
        """End an update and return it; None for one of another start."""
        data_centre = ids.DataCentreId(event.key.name)
        running = self._running_by_id.get(data_centre)
        if running is None or running.write_id != event.write_id:
            return None
        del self._running_by_id[data_centre]
        if event.result is states.WriteResult.UNKNOWN and running.administers:
            self._undecided_by_id[data_centre] = running.expected
        return running

    def settle(self) -> None:
        """Drop undecided updates that can no longer take effect."""
        for data_centre, expected in list(self._undecided_by_id.items()):
            if self._rosters.version(data_centre) > expected:
                del self._undecided_by_id[data_centre]

    def _start(
        self, roster: objects.Roster, administers: bool
    ) -> platform.WriteObject:
        self._count += 1
        data_centre = roster.data_centre
        write = RosterWrite(
            write_id=ids.WriteId(
                f"{self.own.instance}-{self.own.incarnation}-r{self._count}"
            ),
            expected=self._rosters.version(data_centre),
            before=self._rosters.get(data_centre),
            roster=roster,
            administers=administers,
        )
        self._running_by_id[data_centre] = write
        return platform.WriteObject(
            key=platform.ObjectKey(
                kind=states.ObjectKind.ROSTER,
                name=ids.ObjectName(data_centre),
            ),
            expected=write.expected,
            write_id=write.write_id,
            value=roster,
            attempts=1,
        )
