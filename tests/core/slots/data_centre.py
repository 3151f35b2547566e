"""Model of one data centre: instances, a relay and upstreams, virtual time.

It compares ways of placement by the same arrivals; its figures are not
those of a deployment.
"""

from collections import abc
import dataclasses
import heapq
import itertools
import math
import random
from typing import Any

from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core.scheduling import coordinator
from dragonflyshelf.core.scheduling import messages as scheduling
from dragonflyshelf.core.slots import messages as slots
from dragonflyshelf.core.upstreams import messages as upstream_events
from dragonflyshelf.core.upstreams import objects
from dragonflyshelf.core.upstreams import state
from tests.core.scheduling import world

HOP_SECONDS = 0.001
"""Delay of a message between two processes of the data centre."""

TICK_SECONDS = 0.025
"""Interval at which waiting requests are checked."""

SPEEDS = (0.7, 0.7, 1.6)
"""Speeds of upstreams, in turn."""


@dataclasses.dataclass(kw_only=True, slots=True)
class Upstream:
    """Upstream with slots, a speed and a queue."""

    registration: objects.Registration
    speed: float
    running: int = 0
    waiting: list[tuple[int, ids.ExchangeId]] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(kw_only=True, slots=True)
class Outcome:
    """Numbers of requests by their end."""

    in_time: int = 0
    late: int = 0
    refused: int = 0

    @property
    def credit(self) -> float:
        """Return the share in time, late ones counting 0.3."""
        total = self.in_time + self.late + self.refused
        return (self.in_time + 0.3 * self.late) / total


class DataCentre:
    """Cores of instances, of which the first is their relay."""

    def __init__(
        self,
        seed: int,
        instance_count: int = 39,
        upstream_count: int = 12,
        has_broker: bool = True,
    ) -> None:
        """Create cores that know all upstreams."""
        self.random = random.Random(seed)
        self.now = 10.0
        self.events: list[tuple[float, int, abc.Callable[[], None]]] = []
        self.event_numbers = itertools.count()
        self.exchange_numbers = itertools.count(1)
        self.outcome = Outcome()
        self.relay_is_silent = False
        self.arrived_at_by_id: dict[tuple[int, ids.ExchangeId], float] = {}
        self.upstreams = [
            Upstream(
                registration=world.upstream(f"u{number}", slots=6),
                speed=SPEEDS[number % len(SPEEDS)],
            )
            for number in range(upstream_count)
        ]
        self.cores = [
            self._make_core(number) for number in range(instance_count)
        ]
        if has_broker:
            for number in range(1, instance_count):
                self.handle(number, slots.BrokerChanged(is_available=True))
        for number in range(instance_count):
            self._tick(number)

    def _make_core(self, number: int) -> coordinator.SchedulingCoordinator:
        core = coordinator.SchedulingCoordinator(
            world.make_settings(f"i{number}")
        )
        now = ids.Instant(self.now)
        route = world.route(
            "read", "letters", timeout=5.0, latency_objective=1.2
        )
        core.handle(
            scheduling.ConfigurationChanged(
                configuration=world.configuration(routes=(route,))
            ),
            now,
        )
        registrations = tuple(
            upstream.registration for upstream in self.upstreams
        )
        core.handle(
            upstream_events.RegistrationsChanged(registrations=registrations),
            now,
        )
        return core

    def schedule(self, delay: float, call: abc.Callable[[], None]) -> None:
        """Schedule a call after a delay in seconds."""
        heapq.heappush(
            self.events, (self.now + delay, next(self.event_numbers), call)
        )

    def run(self, seconds: float, rate: float) -> Outcome:
        """Send requests at a rate to random instances; return their ends."""
        end = self.now + seconds
        at = self.now
        while at < end:
            at += self.random.expovariate(rate)
            self.schedule(at - self.now, self._send)
        while self.events and self.events[0][0] < end + 6.0:
            self.now, _, call = heapq.heappop(self.events)
            call()
        return self.outcome

    def _send(self) -> None:
        number = self.random.randrange(len(self.cores))
        exchange = ids.ExchangeId(next(self.exchange_numbers))
        self.arrived_at_by_id[(number, exchange)] = self.now
        now = ids.Instant(self.now)
        head = messages.RequestHead(
            request_id=ids.RequestId(f"r{exchange}"),
            method=b"GET",
            target=b"/read/1",
            headers=(),
            host=world.HOST,
            key_digest=world.DIGEST,
            deadline=ids.Instant(now + 5.0),
        )
        self.handle(
            number, scheduling.ConfigurationConfirmed(confirmed_at=now)
        )
        self.handle(
            number, scheduling.RequestArrived(exchange=exchange, head=head)
        )

    def _tick(self, number: int) -> None:
        self.schedule(TICK_SECONDS, lambda: self._tick(number))
        now = ids.Instant(self.now)
        if self.cores[number].wake_at(now) <= now + TICK_SECONDS:
            self.handle(number, scheduling.TimePassed())

    def handle(self, number: int, event: Any) -> None:
        """Let a core handle an event, and execute its effects."""
        for effect in self.cores[number].handle(event, ids.Instant(self.now)):
            self._execute(number, effect)

    def _execute(self, number: int, effect: scheduling.Effect) -> None:
        if isinstance(effect, scheduling.SendUpstream):
            upstream = self._find(effect.registration.id)
            key = (number, effect.exchange)
            self.schedule(HOP_SECONDS, lambda: self._arrive(upstream, key))
        elif isinstance(effect, scheduling.Refuse):
            self.outcome.refused += 1
            self._finish(number, effect.exchange)
        elif isinstance(effect, slots.SlotRequest):
            self._send_to_relay(
                number, slots.SlotRequested(link=number, request=effect)
            )
        elif isinstance(effect, slots.SlotReport):
            self._send_to_relay(
                number, slots.SlotReported(link=number, report=effect)
            )
        elif isinstance(effect, slots.AssignSlot):
            self.schedule(
                HOP_SECONDS,
                lambda: self.handle(effect.link, effect.assignment),
            )

    def _send_to_relay(self, number: int, event: scheduling.Event) -> None:
        """Send an event of an instance to its relay."""
        if not self.relay_is_silent:
            self.schedule(HOP_SECONDS, lambda: self.handle(0, event))

    def _find(self, name: ids.UpstreamId) -> Upstream:
        return next(
            upstream
            for upstream in self.upstreams
            if upstream.registration.id == name
        )

    def _arrive(
        self, upstream: Upstream, key: tuple[int, ids.ExchangeId]
    ) -> None:
        if upstream.running < upstream.registration.slots:
            self._start(upstream, key)
        else:
            upstream.waiting.append(key)

    def _start(
        self, upstream: Upstream, key: tuple[int, ids.ExchangeId]
    ) -> None:
        upstream.running += 1
        work = math.exp(self.random.gauss(math.log(0.47) - 0.32, 0.8))
        self.schedule(
            work / upstream.speed, lambda: self._respond(upstream, key)
        )

    def _respond(
        self, upstream: Upstream, key: tuple[int, ids.ExchangeId]
    ) -> None:
        upstream.running -= 1
        if upstream.waiting:
            self._start(upstream, upstream.waiting.pop(0))
        number, exchange = key
        arrived_at = self.arrived_at_by_id.get(key)
        if arrived_at is None:
            return
        self.handle(
            number,
            scheduling.AttemptFinished(
                exchange=exchange,
                upstream=upstream.registration.id,
                result=state.AttemptResult.RESPONDED,
                error=None,
                response_started=True,
                report=objects.LoadReport(
                    running=upstream.running,
                    waiting=len(upstream.waiting),
                    slots=upstream.registration.slots,
                ),
            ),
        )
        if self.now - arrived_at <= 1.2:
            self.outcome.in_time += 1
        else:
            self.outcome.late += 1
        self._finish(number, exchange)

    def _finish(self, number: int, exchange: ids.ExchangeId) -> None:
        self.arrived_at_by_id.pop((number, exchange), None)
        self.handle(
            number,
            scheduling.ExchangeFinished(exchange=exchange, cancelled=False),
        )
