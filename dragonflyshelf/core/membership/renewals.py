"""Which instance carries renewals to the platform, and what it writes."""

import dataclasses

from dragonflyshelf.core import ids
from dragonflyshelf.core.membership import messages
from dragonflyshelf.core.membership import objects
from dragonflyshelf.core import settings


def carriers(roster: objects.Roster) -> tuple[ids.InstanceId, ...]:
    """Return the instances that may carry renewals, by rank.

    The members come first, in the order of their names, and then the
    removers of other data centres.
    """
    members = [one.instance for one in roster.members]
    others = [
        one.instance
        for one in roster.removers
        if one.instance not in set(members)
    ]
    return (*members, *others)


class RenewalCollector:
    """Renewals of other instances that wait for the next batch."""

    def __init__(self, config: settings.MembershipSettings) -> None:
        """Create an empty collector."""
        self._config = config
        self._request_by_member: dict[
            objects.Remover, messages.RenewalRequest
        ] = {}

    def add(self, request: messages.RenewalRequest) -> None:
        """Keep the highest renewal of a member."""
        key = objects.Remover(
            instance=request.instance, incarnation=request.incarnation
        )
        present = self._request_by_member.get(key)
        if present is None or present.renewal < request.renewal:
            self._request_by_member[key] = request

    def forget_absent(self, present: set[objects.Remover]) -> None:
        """Drop what belongs to no member of any roster."""
        for key in [
            one for one in self._request_by_member if one not in present
        ]:
            del self._request_by_member[key]

    def applied(self, roster: objects.Roster) -> objects.Roster:
        """Return the roster with all collected renewals."""
        members = tuple(self._renewed(one) for one in roster.members)
        return dataclasses.replace(roster, members=members)

    def _renewed(self, member: objects.Member) -> objects.Member:
        key = objects.remover_of(member)
        request = self._request_by_member.get(key)
        if request is None or request.renewal <= member.renewal:
            return member
        return dataclasses.replace(
            member,
            renewal=request.renewal,
            leaving=request.leaving,
            released=request.released,
            silent=False,
        )

    def lowest_rank(self, silence: float) -> int:
        """Return the rank up to which carriers write after a silence.

        Rank 0 always writes; each further rank waits a stagger longer.
        """
        waited = silence - self._config.writer_silence
        if waited < 0:
            return 0
        return 1 + int(waited / self._config.stagger)
