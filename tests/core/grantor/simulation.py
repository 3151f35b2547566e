"""Randomized simulation of several candidates, a store and upstreams.

The store loses requests and responses, applies some late and is
unreachable for some candidates for a time. Candidates are suspended,
killed and restarted; upstreams crash and restart under their old id.
After every event the grants of all upstreams are checked for conflicts.
"""

import dataclasses
import heapq
import itertools
import random
from typing import Any

from dragonflyshelf.core.grantor import coordinator
from dragonflyshelf.core.grantor import messages
from dragonflyshelf.core.grantor import objects
from dragonflyshelf.core import ids
from dragonflyshelf.core.routing import objects as routing
from dragonflyshelf.core import settings
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.core.upstreams import messages as upstream_events
from dragonflyshelf.core.upstreams import objects as upstreams
from dragonflyshelf.core.upstreams import service_times

SERVICE = ids.ServiceName("archive")
MAX_NETWORK_DELAY_SECONDS = 0.09
"""Longest delay of a message, below the one that grants allow for."""

SLOW_CLOCK_RATIO = 1.02
"""Factor by which a slow clock of an upstream prolongs a grant."""

TICK_INTERVAL_SECONDS = 0.1


@dataclasses.dataclass(kw_only=True)
class Upstream:
    """An upstream that checks epochs and holds ranges until they expire."""

    name: ids.UpstreamId
    started_at_ms: int = 1
    is_up: bool = True
    is_draining: bool = False
    epochs: dict[int, int] = dataclasses.field(default_factory=dict)
    grants: dict[int, tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )

    def registration(self) -> upstreams.Registration:
        """Return the upstream's entry in the registry."""
        return upstreams.Registration(
            id=self.name,
            service=SERVICE,
            host="10.0.0.1",
            port=80,
            data_centre=ids.DataCentreId("a"),
            slots=6,
            is_draining=self.is_draining,
            warmup_left_seconds=0.0,
            started_at_ms=self.started_at_ms,
        )

    def grant(
        self, assignment: objects.Assignment, hold: float, now: float
    ) -> messages.CallOutcome:
        """Process a grant when it arrives."""
        keys = checked_keys(assignment)
        if any(self.epochs.get(key, 0) > assignment.epoch for key in keys):
            return messages.CallOutcome.FENCED
        for key in keys:
            self.epochs[key] = assignment.epoch
            self.grants[key] = (
                assignment.epoch,
                now + hold * SLOW_CLOCK_RATIO,
            )
        return messages.CallOutcome.DONE

    def release(self, assignment: objects.Assignment, epoch: int) -> None:
        """Release a range and fence it with an epoch."""
        for key in checked_keys(assignment):
            self.epochs[key] = max(self.epochs.get(key, 0), epoch)
            self.grants.pop(key, None)

    def restart(self) -> None:
        """Restart without ranges and known epochs."""
        self.started_at_ms += 1
        self.is_up = True
        self.epochs.clear()
        self.grants.clear()


RangeCall = messages.GrantRange | messages.ReleaseRange

KEY_STEP = 4096
"""Distance between the keys that are checked."""

KEYS = range(0, objects.SHARD_KEY_COUNT, KEY_STEP)
HOT_KEY_COUNT = 3
HOT_KEY_RATE = 20.0
"""Requests per second for each bucket that begins with a hot key."""

UNSENT_RATIO = 0.2
"""Calls of which none is sent, if there are hot keys."""


def checked_keys(assignment: objects.Assignment) -> range:
    """Return the keys of a range that are checked."""
    first = -(-assignment.first // KEY_STEP) * KEY_STEP
    return range(first, assignment.last + 1, KEY_STEP)


@dataclasses.dataclass(kw_only=True)
class Candidate:
    """An instance that competes for leadership."""

    core: coordinator.GrantorCoordinator
    is_up: bool = True
    suspended_until: float = 0.0
    store_unreachable_until: float = 0.0
    upstreams_unreachable_until: float = 0.0


class Simulation:
    """One randomized simulation."""

    def __init__(
        self,
        seed: int,
        candidates: int = 3,
        planned_stops: bool = False,
        hot_keys: bool = False,
    ) -> None:
        """Create a store, candidates and upstreams.

        With ``planned_stops`` candidates are also stopped and started in
        turn, and grants wait for calls before them. With ``hot_keys`` ranges
        are split, moved and merged by a load that changes, and some grants
        are not sent. Both have random numbers of their own, so that a seed
        keeps its faults.
        """
        self.random = random.Random(seed)
        self.stop_random = random.Random(f"stops {seed}")
        self.planned_stops = planned_stops
        self.load_random = random.Random(f"loads {seed}")
        self.hot_keys = hot_keys
        self.now = 0.0
        self.events: list[tuple[float, int, Any]] = []
        self.event_numbers = itertools.count()
        self.config = settings.Settings(
            instance=settings.InstanceSettings(
                name=ids.InstanceId("x"), data_centre=ids.DataCentreId("a")
            )
        )
        self.revision = 0
        self.objects: dict[str, messages.ControlObserved] = {}
        self.upstreams = [
            Upstream(name=ids.UpstreamId(f"u{n}")) for n in range(4)
        ]
        self.incarnations = itertools.count(1)
        self.candidates = [self.candidate(n) for n in range(candidates)]
        self.faults_end_at = 0.0
        self.double_grants: list[str] = []
        self.unserved = 0.0

    def candidate(self, number: int) -> Candidate:
        """Return a candidate that starts now."""
        own = objects.Lease(
            holder=ids.InstanceId(f"i{number}"),
            incarnation=ids.Incarnation(next(self.incarnations)),
            host="10.0.0.9",
            port=7100,
            count=0,
        )
        candidate = Candidate(
            core=coordinator.GrantorCoordinator(self.config, own)
        )
        self.schedule(
            self.random.random() * 0.3, lambda: self._start(candidate)
        )
        return candidate

    def schedule(self, delay: float, call: Any) -> None:
        """Schedule a call after a delay in seconds."""
        due_at = self.now + delay
        heapq.heappush(self.events, (due_at, next(self.event_numbers), call))

    def run(self, end_at: float) -> None:
        """Run the simulation until an instant."""
        while self.events and self.events[0][0] <= end_at:
            self.now, _, call = heapq.heappop(self.events)
            call()
            self.check_grants()
        self.now = end_at

    def check_grants(self) -> None:
        """Record the keys with more than one holder."""
        for key in range(0, objects.SHARD_KEY_COUNT, KEY_STEP):
            holders = [
                upstream.name
                for upstream in self.upstreams
                if upstream.is_up
                and upstream.grants.get(key, (0, 0.0))[1] > self.now
            ]
            if len(holders) > 1:
                self.double_grants.append(f"{self.now:.2f} {key} {holders}")

    def holders(self, key: int) -> list[ids.UpstreamId]:
        """Return the upstreams that hold a key now."""
        return [
            upstream.name
            for upstream in self.upstreams
            if upstream.is_up
            and upstream.grants.get(key, (0, 0.0))[1] > self.now
        ]

    def leaders(self) -> list[Candidate]:
        """Return the candidates that are the leader."""
        return [
            candidate
            for candidate in self.candidates
            if candidate.is_up and candidate.core.is_leading
        ]

    def deliver(self, candidate: Candidate, event: messages.Event) -> None:
        """Deliver an event to a candidate, once it is not suspended."""
        if not candidate.is_up:
            return
        if self.now < candidate.suspended_until:
            wait = candidate.suspended_until - self.now
            self.schedule(wait, lambda: self.deliver(candidate, event))
            return
        now = ids.Instant(self.now)
        for effect in candidate.core.handle(event, now):
            self._execute(candidate, effect)

    def _start(self, candidate: Candidate) -> None:
        service = routing.Service(
            name=SERVICE,
            health_path="/",
            max_connections=100,
            warmup_seconds=0.0,
            warmup_rate=1.0,
            is_sharded=True,
        )
        self.deliver(candidate, messages.ServicesChanged(services=(service,)))
        instance_count_event = messages.InstanceCountChanged(
            count=len(self.candidates)
        )
        self.deliver(candidate, instance_count_event)
        self._poll(candidate)
        self._tick(candidate)

    def _tick(self, candidate: Candidate) -> None:
        if candidate.is_up:
            self.schedule(TICK_INTERVAL_SECONDS, lambda: self._tick(candidate))
            self.deliver(candidate, messages.TimePassed())

    def _poll(self, candidate: Candidate) -> None:
        """Deliver the state of the store and the registry to a candidate."""
        if not candidate.is_up:
            return
        self.schedule(0.3, lambda: self._poll(candidate))
        if self.now < candidate.store_unreachable_until:
            return
        registrations = tuple(
            upstream.registration()
            for upstream in self.upstreams
            if upstream.is_up
        )
        self.deliver(
            candidate,
            upstream_events.RegistrationsChanged(registrations=registrations),
        )
        if self.planned_stops:
            self._deliver_service_times(candidate)
        if self.hot_keys and self.now <= self.faults_end_at:
            self._deliver_loads(candidate)
        for control_object in list(self.objects.values()):
            self.deliver(candidate, control_object)
        self.deliver(candidate, messages.ControlListed())

    def _deliver_service_times(self, candidate: Candidate) -> None:
        """Let grants be of different lengths."""
        mean = 2.0 * self.stop_random.random()
        sums = tuple(
            service_times.ServiceTimeSum(
                life=upstream.registration().incarnation,
                seconds=mean * 10,
                answers=10.0,
            )
            for upstream in self.upstreams
        )
        self.deliver(candidate, upstream_events.ServiceTimesChanged(sums=sums))

    def _deliver_loads(self, candidate: Candidate) -> None:
        """Report a load of which a few buckets make up most."""
        hot_keys = self.load_random.sample(KEYS, HOT_KEY_COUNT)
        rates_by_key = dict.fromkeys(hot_keys, HOT_KEY_RATE)
        rates_by_key[objects.TOTAL_LOAD_KEY] = 2 * HOT_KEY_COUNT * HOT_KEY_RATE
        loads = tuple(
            messages.RangeLoad(
                service=SERVICE, first=ids.ShardKey(key), rate=rate
            )
            for key, rate in rates_by_key.items()
        )
        self.deliver(
            candidate,
            messages.LoadReported(instance=ids.InstanceId("i0"), loads=loads),
        )

    def _execute(self, candidate: Candidate, effect: Any) -> None:
        if isinstance(effect, messages.WriteControl):
            self._send_write(candidate, effect)
        elif isinstance(effect, messages.GrantRange | messages.ReleaseRange):
            if self._is_release_lost(effect):
                self._lose_release(candidate, effect)
                return
            wait = self._queue_time(candidate, effect)
            if wait:
                self.schedule(
                    wait, lambda: self._send_queued(candidate, effect)
                )
            else:
                self._send_call(candidate, effect)

    def _is_release_lost(self, call: Any) -> bool:
        if not self.planned_stops or self.now > self.faults_end_at:
            return False
        is_release = isinstance(call, messages.ReleaseRange)
        return is_release and self.stop_random.random() < 0.7

    def _lose_release(
        self, candidate: Candidate, call: messages.ReleaseRange
    ) -> None:
        """Report that a release did not arrive."""
        completed = messages.RangeCallCompleted(
            call=call,
            outcome=messages.CallOutcome.LOST,
            sent_at=ids.Instant(self.now),
        )
        self.schedule(0.5, lambda: self.deliver(candidate, completed))

    def _queue_time(self, candidate: Candidate, call: Any) -> float:
        """Return for how long a call waits for those before it."""
        if not self.planned_stops or self.now > self.faults_end_at:
            return 0.0
        if isinstance(call, messages.ReleaseRange):
            return 0.0
        if self.stop_random.random() < 0.8:
            return 0.0
        return self.config.grants.call_timeout * self.stop_random.random()

    def _send_queued(
        self, candidate: Candidate, call: messages.GrantRange
    ) -> None:
        """Send a grant that has waited, though its sender has resigned."""
        if candidate.is_up and self.now <= call.send_deadline:
            self._send_call(candidate, call)

    def _send_write(
        self, candidate: Candidate, write: messages.WriteControl
    ) -> None:
        sent_at = ids.Instant(self.now)
        fault_roll = (
            self.random.random() if self.now < self.faults_end_at else 1.0
        )
        unknown_outcome = messages.ControlWriteCompleted(
            write=write, outcome=store.WriteOutcome.UNKNOWN, sent_at=sent_at
        )
        if self.now < candidate.store_unreachable_until or fault_roll < 0.05:
            self.schedule(
                0.8, lambda: self.deliver(candidate, unknown_outcome)
            )
            return
        if fault_roll < 0.15:
            self.schedule(
                MAX_NETWORK_DELAY_SECONDS,
                lambda: self._apply_write(write, sent_at),
            )
            self.schedule(
                0.8, lambda: self.deliver(candidate, unknown_outcome)
            )
            return
        if fault_roll < 0.25:
            delay = 1.0 + 4.0 * self.random.random()
            self.schedule(delay, lambda: self._apply_write(write, sent_at))
            self.schedule(
                0.8, lambda: self.deliver(candidate, unknown_outcome)
            )
            return

        def respond() -> None:
            completed = self._apply_write(write, sent_at)
            self.schedule(0.01, lambda: self.deliver(candidate, completed))

        self.schedule(
            self.random.random() * MAX_NETWORK_DELAY_SECONDS, respond
        )

    def _apply_write(
        self, write: messages.WriteControl, sent_at: ids.Instant
    ) -> messages.ControlWriteCompleted:
        current = self.objects.get(write.name)
        revision = current.revision if current is not None else 0
        outcome = store.WriteOutcome.CONFLICT
        if revision == write.expected_revision:
            self.revision += 1
            current = messages.ControlObserved(
                name=write.name,
                revision=ids.Revision(self.revision),
                value=write.value,
            )
            self.objects[write.name] = current
            outcome = store.WriteOutcome.DONE
        return messages.ControlWriteCompleted(
            write=write, outcome=outcome, sent_at=sent_at, current=current
        )

    def _send_call(
        self,
        candidate: Candidate,
        call: messages.GrantRange | messages.ReleaseRange,
    ) -> None:
        sent_at = ids.Instant(self.now)
        upstream = next(
            upstream
            for upstream in self.upstreams
            if upstream.name == call.registration.id
        )

        def respond(outcome: messages.CallOutcome) -> None:
            self.deliver(
                candidate,
                messages.RangeCallCompleted(
                    call=call, outcome=outcome, sent_at=sent_at
                ),
            )

        if (
            self.now < candidate.upstreams_unreachable_until
            or self._is_unsent()
        ):
            self.schedule(0.6, lambda: respond(messages.CallOutcome.UNSENT))
            return

        def arrive() -> None:
            if not upstream.is_up:
                self.schedule(0.4, lambda: respond(messages.CallOutcome.LOST))
                return
            outcome = messages.CallOutcome.DONE
            if isinstance(call, messages.GrantRange):
                outcome = upstream.grant(call.assignment, call.hold, self.now)
            else:
                upstream.release(call.assignment, call.epoch)
            if self.random.random() < 0.03 and self.now < self.faults_end_at:
                outcome = messages.CallOutcome.LOST
            self.schedule(
                self.random.random() * MAX_NETWORK_DELAY_SECONDS,
                lambda: respond(outcome),
            )

        self.schedule(self.random.random() * MAX_NETWORK_DELAY_SECONDS, arrive)

    def _is_unsent(self) -> bool:
        if not self.hot_keys or self.now > self.faults_end_at:
            return False
        return self.load_random.random() < UNSENT_RATIO

    def inject_faults(self, end_at: float) -> None:
        """Inject random faults until an instant."""
        self.faults_end_at = end_at
        faults = (
            self._suspend,
            self._partition_from_store,
            self._partition_from_upstreams,
            self._restart_candidate,
            self._crash_upstream,
            self._start_store_outage,
        )
        if self.planned_stops:
            self._schedule_stop()
        while self.now < end_at:
            self.run(self.now + 0.3 + 1.5 * self.random.random())
            self.random.choice(faults)()

    def _schedule_stop(self) -> None:
        self.schedule(
            0.5 + 3 * self.stop_random.random(), self._stop_candidate
        )

    def _stop_candidate(self) -> None:
        """Stop the leader, or another candidate, and start it again."""
        if self.now > self.faults_end_at:
            return
        self._schedule_stop()
        leaders = self.leaders()
        candidate = (
            leaders[0] if leaders else self.stop_random.choice(self.candidates)
        )
        self._drain_upstream()
        self.deliver(candidate, messages.Resign())
        self.schedule(
            0.5 + self.stop_random.random(),
            lambda: self._replace_candidate(candidate),
        )

    def _drain_upstream(self) -> None:
        """Register an upstream as draining for a time."""
        upstream = self.stop_random.choice(self.upstreams)
        upstream.is_draining = True
        self.schedule(4.0, lambda: self._end_drain(upstream))

    def _end_drain(self, upstream: Upstream) -> None:
        upstream.is_draining = False

    def _replace_candidate(self, candidate: Candidate) -> None:
        if candidate.is_up and candidate in self.candidates:
            candidate.is_up = False
            index = self.candidates.index(candidate)
            self.candidates[index] = self.candidate(index)

    def _random_candidate(self) -> Candidate:
        leaders = self.leaders()
        if leaders and self.random.random() < 0.7:
            return leaders[0]
        return self.random.choice(self.candidates)

    def _suspend(self) -> None:
        self._random_candidate().suspended_until = (
            self.now + 4 * self.random.random()
        )

    def _partition_from_store(self) -> None:
        self._random_candidate().store_unreachable_until = (
            self.now + 6 * self.random.random()
        )

    def _partition_from_upstreams(self) -> None:
        duration = 3 * self.random.random()
        self._random_candidate().upstreams_unreachable_until = (
            self.now + duration
        )

    def _start_store_outage(self) -> None:
        duration = 5 * self.random.random()
        for candidate in self.candidates:
            candidate.store_unreachable_until = max(
                candidate.store_unreachable_until, self.now + duration
            )

    def _restart_candidate(self) -> None:
        candidate = self._random_candidate()
        candidate.is_up = False
        index = self.candidates.index(candidate)
        self.candidates[index] = self.candidate(index)

    def _crash_upstream(self) -> None:
        upstream = self.random.choice(self.upstreams)
        if not upstream.is_up:
            return
        upstream.is_up = False
        upstream.grants.clear()
        self.schedule(1 + 3 * self.random.random(), upstream.restart)
