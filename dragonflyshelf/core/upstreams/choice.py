"""Registry of the load-balancing policies."""

from collections import abc
import dataclasses
from typing import Final

from dragonflyshelf.core import ids
from dragonflyshelf.core import registry
from dragonflyshelf.core.upstreams import const
from dragonflyshelf.core.upstreams import state


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ChoiceContext:
    """Inputs of a policy besides the candidates.

    ``mean_service_time`` is that of the service; ``objective`` is its
    latency objective. Both are in seconds.
    """

    now: ids.Instant
    data_centre: ids.DataCentreId
    mean_service_time: float
    objective: float


Policy = abc.Callable[
    [abc.Sequence[state.UpstreamState], ChoiceContext], state.UpstreamState
]

DEFAULT_POLICY: Final = "least_expected_time"

POLICIES: Final[registry.Registry[str, Policy]] = registry.Registry(
    "upstream choice policies"
)


@POLICIES.register("least_loaded")
def choose_least_loaded(
    candidates: abc.Sequence[state.UpstreamState], context: ChoiceContext
) -> state.UpstreamState:
    """Return the candidate with the least load per slot."""
    return min(
        candidates,
        key=lambda candidate: candidate.load(context.now)
        / candidate.registration.slots,
    )


@POLICIES.register("least_expected_time")
def choose_least_expected_time(
    candidates: abc.Sequence[state.UpstreamState], context: ChoiceContext
) -> state.UpstreamState:
    """Return the candidate with the least expected response time.

    An upstream in another data centre has to be faster by a fraction of
    the service time, because traffic between data centres is paid for.
    """
    return min(
        candidates, key=lambda candidate: expected_cost(candidate, context)
    )


def expected_cost(
    candidate: state.UpstreamState, context: ChoiceContext
) -> float:
    """Return the expected response time, weighted, with all penalties."""
    service_time = context.mean_service_time
    weighted_seconds = candidate.expected_time(context.now, service_time)
    discounted = min(
        weighted_seconds, context.objective * const.DISCOUNT_THRESHOLD_RATIO
    )
    weighted_seconds -= discounted * (1.0 - const.DISCOUNT_WEIGHT_RATIO)
    utilization = candidate.in_flight / max(candidate.registration.slots, 1)
    weighted_seconds += 0.1 * service_time * utilization
    if candidate.registration.data_centre != context.data_centre:
        weighted_seconds += const.CROSS_DATA_CENTRE_COST_RATIO * service_time
    return weighted_seconds


def exclude_ejected(
    candidates: abc.Sequence[state.UpstreamState], now: ids.Instant
) -> abc.Sequence[state.UpstreamState]:
    """Leave out ejected upstreams, unless too many are ejected."""
    kept = [
        candidate for candidate in candidates if not candidate.is_ejected(now)
    ]
    if len(kept) < len(candidates) * (1.0 - const.MAX_EJECTED_RATIO):
        return candidates
    return kept
