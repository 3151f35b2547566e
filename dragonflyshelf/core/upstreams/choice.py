"""Registry of the ways to choose an upstream for a request."""

from collections import abc
import dataclasses
from typing import Final

from dragonflyshelf.core import ids
from dragonflyshelf.core import registry
from dragonflyshelf.core.upstreams import const
from dragonflyshelf.core.upstreams import state


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Choosing:
    """What a policy may go by besides the candidates.

    ``draw`` is a number of 64 bits that differs from request to request.
    """

    now: ids.Instant
    data_centre: ids.DataCentreId
    mean_service_time: float
    objective: float
    draw: int = 0


Policy = abc.Callable[
    [abc.Sequence[state.UpstreamState], Choosing], state.UpstreamState
]

FEW_INSTANCES: Final = "least_expected_time"
"""Policy of instances that each see much of every upstream's load."""

MANY_INSTANCES: Final = "best_of_few"
"""Policy of instances that see little of it."""

POLICIES: Final[registry.Registry[str, Policy]] = registry.Registry(
    "upstream choice policies"
)


@POLICIES.register("least_loaded")
def choose_least_loaded(
    candidates: abc.Sequence[state.UpstreamState], choosing: Choosing
) -> state.UpstreamState:
    """Return the candidate with the least load for its slots."""
    return min(
        candidates,
        key=lambda one: one.load(choosing.now) / one.registration.slots,
    )


@POLICIES.register("least_expected_time")
def choose_least_expected_time(
    candidates: abc.Sequence[state.UpstreamState], choosing: Choosing
) -> state.UpstreamState:
    """Return the candidate that is expected to answer first.

    Another data centre has to be better by a part of the service time,
    because the bytes between data centres are paid for.
    """
    return min(candidates, key=lambda one: cost(one, choosing))


@POLICIES.register("best_of_few")
def choose_best_of_few(
    candidates: abc.Sequence[state.UpstreamState], choosing: Choosing
) -> state.UpstreamState:
    """Return the best of a few candidates by what all have measured.

    If many instances went by the same measurements to the best of all
    candidates, they would meet there.
    """
    near = [
        one
        for one in candidates
        if one.registration.data_centre == choosing.data_centre
    ]
    few = drawn(near or candidates, const.DRAWN, choosing.draw)
    mean = choosing.mean_service_time
    return min(few, key=lambda one: one.told_time(choosing.now, mean))


def drawn(
    candidates: abc.Sequence[state.UpstreamState], count: int, draw: int
) -> list[state.UpstreamState]:
    """Return a few different candidates that a number stands for."""
    left = list(candidates)
    found = []
    while left and len(found) < count:
        draw, place = divmod(draw, len(left))
        found.append(left.pop(place))
    return found


def cost(one: state.UpstreamState, choosing: Choosing) -> float:
    """Return the expected seconds with the price of the distance."""
    mean = choosing.mean_service_time
    expected = one.expected_time(choosing.now, mean)
    comfortable = min(expected, choosing.objective * const.COMFORT)
    expected -= comfortable * (1.0 - const.COMFORT_WEIGHT)
    spread = one.in_flight / max(one.registration.slots, 1)
    expected += 0.1 * mean * spread
    if one.registration.data_centre != choosing.data_centre:
        expected += const.CROSS_DATA_CENTRE_COST * mean
    return expected


def without_ejected(
    candidates: abc.Sequence[state.UpstreamState], now: ids.Instant
) -> abc.Sequence[state.UpstreamState]:
    """Leave out ejected upstreams, but never more than a bounded part."""
    kept = [one for one in candidates if not one.is_ejected(now)]
    if len(kept) < len(candidates) * (1.0 - const.EJECTED_SHARE):
        return candidates
    return kept
