"""Values of the roster objects, one for each data centre."""

import dataclasses

from dragonflyshelf.core import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """One instance in a roster.

    ``renewal`` is the number of the last renewal that reached the
    platform, so that a watcher sees the lease run on without comparing
    clocks. One that is ``leaving`` hands over what it leads. One that is
    ``silent`` has not renewed for longer than its lease, but may go on
    by promises; an upstream that checks terms decides between it and a
    successor. It relies on no promise of session ``released`` or
    earlier.
    """

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    host: str
    peer_port: int
    operator_port: int
    renewal: int = 0
    leaving: bool = False
    silent: bool = False
    released: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Remover:
    """An instance that may remove members of one roster."""

    instance: ids.InstanceId
    incarnation: ids.Incarnation


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Roster:
    """The instances of one data centre, sorted by name.

    ``generation`` grows with each change of ``removers``.
    """

    data_centre: ids.DataCentreId
    members: tuple[Member, ...] = ()
    removers: tuple[Remover, ...] = ()
    generation: int = 0

    def find(
        self, instance: ids.InstanceId, incarnation: ids.Incarnation
    ) -> Member | None:
        """Return the member of this name and start."""
        for one in self.members:
            if one.instance == instance and one.incarnation == incarnation:
                return one
        return None

    def is_remover(self, member: Member) -> bool:
        """Tell whether a member of any roster may remove here."""
        return remover_of(member) in self.removers


def remover_of(member: Member) -> Remover:
    """Return the entry under which a member may remove others."""
    return Remover(instance=member.instance, incarnation=member.incarnation)
