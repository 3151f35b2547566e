"""Which instances may remove members of a roster."""

import collections

from dragonflyshelf.core.membership import objects


def appoint(
    roster: objects.Roster,
    rosters: list[objects.Roster],
    count: int,
) -> tuple[objects.Remover, ...]:
    """Return the removers that a roster should have.

    Those that are still members somewhere stay. Free places go to the
    data centres with the fewest removers, in the order of names.
    """
    homes = {
        objects.remover_of(member): one.data_centre
        for one in rosters
        for member in one.members
    }
    kept = [one for one in roster.removers if one in homes]
    taken = collections.Counter(homes[one] for one in kept)
    free = collections.defaultdict(list)
    for one in sorted(homes, key=lambda one: one.instance):
        if one not in kept:
            free[homes[one]].append(one)
    while len(kept) < count and free:
        data_centre = min(free, key=lambda one: (taken[one], one))
        kept.append(free[data_centre].pop(0))
        taken[data_centre] += 1
        if not free[data_centre]:
            del free[data_centre]
    return tuple(kept)
