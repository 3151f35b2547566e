"""Registry of the ways to choose where a request without key goes.

The instance of the caller chooses an upstream, or only the leader that
is to choose among the upstreams which it leads.
"""

import collections
import dataclasses
from typing import Final

from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core import ids
from dragonflyshelf.core import registry


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Chosen:
    """A leader, and the upstream unless the leader is to choose it."""

    leader: ids.InstanceId
    upstream: ids.UpstreamId = ids.UpstreamId("")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """An upstream that may serve, and its leader."""

    upstream: objects.Upstream
    leader: ids.InstanceId


class ChoicePolicy:
    """Chooses among candidates by what this instance has under way."""

    def __init__(self) -> None:
        """Create the policy without counts."""
        self.in_flight_by_upstream: collections.Counter[ids.UpstreamId] = (
            collections.Counter()
        )
        self.in_flight_by_leader: collections.Counter[ids.InstanceId] = (
            collections.Counter()
        )
        self._turns = 0

    def choose(self, candidates: list[Candidate]) -> Chosen:
        """Return where a request goes; there is at least one candidate."""
        raise NotImplementedError

    def start(self, chosen: Chosen) -> None:
        """Count an attempt."""
        self.in_flight_by_leader[chosen.leader] += 1
        self.in_flight_by_upstream[chosen.upstream] += 1

    def finish(self, chosen: Chosen) -> None:
        """Count the end of an attempt."""
        self.in_flight_by_leader[chosen.leader] -= 1
        self.in_flight_by_upstream[chosen.upstream] -= 1

    def _turn(self) -> int:
        self._turns += 1
        return self._turns


CHOICE_POLICIES: Final[registry.Registry[str, type[ChoicePolicy]]] = (
    registry.Registry("choice policies")
)


@CHOICE_POLICIES.register("round_robin")
class RoundRobin(ChoicePolicy):
    """Baseline: each upstream in turn."""

    def choose(self, candidates: list[Candidate]) -> Chosen:
        """Return the next upstream."""
        one = candidates[self._turn() % len(candidates)]
        return Chosen(leader=one.leader, upstream=one.upstream.name)


@CHOICE_POLICIES.register("power_of_two")
class PowerOfTwo(ChoicePolicy):
    """Baseline: the less loaded of two, by the counts of this instance."""

    def choose(self, candidates: list[Candidate]) -> Chosen:
        """Return the one of two with less under way from here."""
        turn = self._turn()
        first = candidates[turn % len(candidates)]
        step = 1 + turn // len(candidates) % max(len(candidates) - 1, 1)
        second = candidates[(turn + step) % len(candidates)]
        one = min(first, second, key=self._in_flight)
        return Chosen(leader=one.leader, upstream=one.upstream.name)

    def _in_flight(self, candidate: Candidate) -> int:
        return self.in_flight_by_upstream[candidate.upstream.name]


@CHOICE_POLICIES.register("least_loaded")
class LeastLoaded(ChoicePolicy):
    """The leaders choose by exact counts; here only a leader is chosen."""

    def choose(self, candidates: list[Candidate]) -> Chosen:
        """Return the leader with the least under way for its slots."""
        slots_by_leader: collections.Counter[ids.InstanceId] = (
            collections.Counter()
        )
        for one in candidates:
            slots_by_leader[one.leader] += one.upstream.slots
        leaders = sorted(slots_by_leader)
        turn = self._turn()
        rotated = leaders[turn % len(leaders) :] + leaders
        chosen = min(
            rotated[: len(leaders)],
            key=lambda one: self.in_flight_by_leader[one]
            / slots_by_leader[one],
        )
        return Chosen(leader=chosen)
