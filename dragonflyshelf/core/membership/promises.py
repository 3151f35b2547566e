"""Promises that this instance has given as a remover."""

import dataclasses

from dragonflyshelf.core import ids
from dragonflyshelf.core.membership import messages
from dragonflyshelf.core.membership import objects
from dragonflyshelf.core import settings


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GivenPromise:
    """A promise by the reading of the clock of its giver."""

    data_centre: ids.DataCentreId
    session: int
    until: ids.Instant


class GivenPromises:
    """Promises that may still be relied upon, by the asker."""

    def __init__(self, config: settings.MembershipSettings) -> None:
        """Create an empty set."""
        self._longest = config.promise * (1 + config.clock_rate_margin)
        self._by_asker: dict[objects.Remover, GivenPromise] = {}

    def give(self, request: messages.PromiseRequest, now: ids.Instant) -> None:
        """Record a promise before it is sent."""
        asker = objects.Remover(
            instance=request.instance, incarnation=request.incarnation
        )
        held = self._by_asker.get(asker)
        session = request.session
        if held is not None:
            session = max(session, held.session)
        self._by_asker[asker] = GivenPromise(
            data_centre=request.data_centre,
            session=session,
            until=ids.Instant(now + self._longest),
        )

    def release(self, message: messages.PromiseRelease) -> None:
        """End the promises of a session or earlier."""
        asker = objects.Remover(
            instance=message.instance, incarnation=message.incarnation
        )
        self._release(asker, message.session)

    def follow(self, rosters: list[objects.Roster]) -> None:
        """End the promises that rosters show to be released."""
        if not self._by_asker:
            return
        for roster in rosters:
            for member in roster.members:
                self._release(objects.remover_of(member), member.released)

    def _release(self, asker: objects.Remover, session: int) -> None:
        held = self._by_asker.get(asker)
        if held is not None and held.session <= session:
            del self._by_asker[asker]

    def runs_for(self, member: objects.Member, now: ids.Instant) -> bool:
        """Tell whether a member may rely on a promise."""
        held = self._by_asker.get(objects.remover_of(member))
        return held is not None and now < held.until

    def any_in(self, data_centre: ids.DataCentreId, now: ids.Instant) -> bool:
        """Tell whether any promise to a data centre's members runs."""
        return any(
            one.data_centre == data_centre and now < one.until
            for one in self._by_asker.values()
        )

    def drop_ended(self, now: ids.Instant) -> None:
        """Forget the promises that are over."""
        ended = [
            asker for asker, one in self._by_asker.items() if one.until <= now
        ]
        for asker in ended:
            del self._by_asker[asker]
