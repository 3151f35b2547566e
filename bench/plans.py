"""What the load tool sends, and when: pure functions of a seed."""

import dataclasses
import random

from dragonflyshelf.core import states


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stream:
    """Requests of one workspace to one service.

    ``rate`` is in requests a second over all processes. The key is drawn
    evenly from ``keys`` values, or is ``hot_key`` for a share
    ``hot_share``. ``bursts`` multiplies the rate between two instants
    of the run, in seconds.
    """

    workspace: str
    caller_key: str
    service: str
    rate: float
    method: str = "GET"
    priority: states.Priority = states.Priority.URGENT
    keys: int = 1000
    hot_key: str = "hot"
    hot_share: float = 0.0
    body_bytes: int = 0
    deadline_ms: int = 0
    bursts: tuple[tuple[float, float, float], ...] = ()

    @property
    def idempotent(self) -> bool:
        """Tell whether a request may run twice."""
        return self.method not in ("PATCH", "POST")


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadPlan:
    """One run of the load tool; times in seconds.

    ``weights`` spreads the requests unevenly over ``ports``; an empty
    one means evenly. ``one_way`` is the delay added to the way from the
    caller to the instance, and again to the way back.
    """

    name: str
    streams: tuple[Stream, ...]
    ports: tuple[int, ...]
    seconds: float
    seed: int = 1
    weights: tuple[float, ...] = ()
    one_way: float = 0.0
    connections_per_port: int = 64
    most_requests: int = 200000
    timeout: float = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """One request; ``at`` is in seconds since the start of the run."""

    at: float
    request_id: str
    stream: int
    port: int
    target: str


def arrivals(plan: LoadPlan, worker: int, workers: int) -> list[Arrival]:
    """Return the requests of one process, in order of time."""
    found: list[Arrival] = []
    bound = plan.most_requests // workers
    for number, stream in enumerate(plan.streams):
        rng = random.Random(f"{plan.seed}/{worker}/{number}")
        prefix = f"{plan.name}-{plan.seed}-{worker}-{number}"
        times = _times(stream, plan.seconds, workers, rng)
        for count, at in enumerate(times):
            found.append(
                Arrival(
                    at=at,
                    request_id=f"{prefix}-{count}",
                    stream=number,
                    port=_port(plan, rng),
                    target=f"/{stream.service}/{_key(stream, rng)}",
                )
            )
    found.sort(key=lambda one: one.at)
    return found[:bound]


def _times(
    stream: Stream, seconds: float, workers: int, rng: random.Random
) -> list[float]:
    factors = [factor for _, _, factor in stream.bursts]
    highest = stream.rate * max([1.0, *factors]) / workers
    found = []
    at = rng.expovariate(highest) if highest > 0 else seconds
    while at < seconds:
        if rng.random() * highest < rate_at(stream, at) / workers:
            found.append(at)
        at += rng.expovariate(highest)
    return found


def rate_at(stream: Stream, at: float) -> float:
    """Return the requests a second of a stream at an instant."""
    for start, end, factor in stream.bursts:
        if start <= at < end:
            return stream.rate * factor
    return stream.rate


def _key(stream: Stream, rng: random.Random) -> str:
    if stream.hot_share and rng.random() < stream.hot_share:
        return stream.hot_key
    return f"key-{rng.randrange(stream.keys)}"


def _port(plan: LoadPlan, rng: random.Random) -> int:
    if not plan.weights:
        return rng.choice(plan.ports)
    return rng.choices(plan.ports, plan.weights)[0]
