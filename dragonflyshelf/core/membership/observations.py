"""When this instance last saw each member renew its lease."""

import dataclasses
import math

from dragonflyshelf.core import ids
from dragonflyshelf.core.membership import objects
from dragonflyshelf.core import settings


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Seen:
    """The last renewal of a member and when it was first seen here."""

    renewal: int
    seen_at: ids.Instant


class Observations:
    """Renewals seen, and since when the platform could be read."""

    def __init__(self, config: settings.MembershipSettings) -> None:
        """Create observations of nothing."""
        self._lapse = config.lease * (1 + config.clock_rate_margin)
        self._silence = 2 * config.renew_interval
        self._seen_by_member: dict[objects.Remover, Seen] = {}
        self._roster_seen_at: dict[
            ids.DataCentreId, tuple[ids.Version, ids.Instant]
        ] = {}
        self.fresh_at = ids.Instant(-math.inf)
        self._readable_since = ids.Instant(math.inf)

    def reach(self, as_of: ids.Instant, now: ids.Instant) -> None:
        """Take in that the view was up to date at an instant."""
        if as_of - self.fresh_at > self._lapse / 2:
            self._readable_since = now
        self.fresh_at = max(self.fresh_at, as_of)

    def cut_off(self, now: ids.Instant) -> bool:
        """Tell whether the platform has been silent for a while."""
        return now - self.fresh_at > self._silence

    def observe(
        self,
        rosters: list[tuple[ids.Version, objects.Roster]],
        now: ids.Instant,
    ) -> None:
        """Note renewals that are new; forget members that are gone."""
        present: dict[objects.Remover, Seen] = {}
        for version, roster in rosters:
            known = self._roster_seen_at.get(roster.data_centre)
            if known is None or known[0] != version:
                self._roster_seen_at[roster.data_centre] = (version, now)
            for member in roster.members:
                key = objects.remover_of(member)
                seen = self._seen_by_member.get(key)
                if seen is None or seen.renewal != member.renewal:
                    seen = Seen(renewal=member.renewal, seen_at=now)
                present[key] = seen
        self._seen_by_member = present

    def roster_silence(
        self, data_centre: ids.DataCentreId, now: ids.Instant
    ) -> float:
        """Return for how long a roster has not changed, in seconds."""
        known = self._roster_seen_at.get(data_centre)
        return now - known[1] if known else math.inf

    def lapsed_for(self, member: objects.Member, now: ids.Instant) -> float:
        """Return how long ago a member's lease was surely over.

        The result is in seconds and negative while it may still run.
        """
        seen = self._seen_by_member.get(objects.remover_of(member))
        if seen is None:
            return -math.inf
        since = max(seen.seen_at, self._readable_since)
        return now - since - self._lapse
