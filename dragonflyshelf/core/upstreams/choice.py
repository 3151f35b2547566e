"""Registry of the load-balancing policies."""

from collections import abc
import dataclasses
from typing import Final

from dragonflyshelf.core import ids
from dragonflyshelf.core import registry
from dragonflyshelf.core.upstreams import const
from dragonflyshelf.core.upstreams import state


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Choosing:
    """Inputs of a policy besides the candidates.

    ``mean_service_time`` is that of the service; ``objective`` is its
    latency objective. Both are in seconds.
    """

    now: ids.Instant
    data_centre: ids.DataCentreId
    mean_service_time: float
    objective: float


Policy = abc.Callable[
    [abc.Sequence[state.UpstreamState], Choosing], state.UpstreamState
]

DEFAULT_POLICY: Final = "least_expected_time"

POLICIES: Final[registry.Registry[str, Policy]] = registry.Registry(
    "upstream choice policies"
)


@POLICIES.register("least_loaded")
def choose_least_loaded(
    candidates: abc.Sequence[state.UpstreamState], choosing: Choosing
) -> state.UpstreamState:
    """Return the candidate with the least load per slot."""
    return min(
        candidates,
        key=lambda one: one.load(choosing.now) / one.registration.slots,
    )


@POLICIES.register("least_expected_time")
def choose_least_expected_time(
    candidates: abc.Sequence[state.UpstreamState], choosing: Choosing
) -> state.UpstreamState:
    """Return the candidate with the least expected response time.

    An upstream in another data centre has to be faster by a fraction of
    the service time, because traffic between data centres is paid for.
    """
    return min(candidates, key=lambda one: cost(one, choosing))


def cost(one: state.UpstreamState, choosing: Choosing) -> float:
    """Return the expected response time, weighted, with all penalties."""
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
    """Leave out ejected upstreams, unless too many are ejected."""
    kept = [one for one in candidates if not one.is_ejected(now)]
    if len(kept) < len(candidates) * (1.0 - const.EJECTED_SHARE):
        return candidates
    return kept
