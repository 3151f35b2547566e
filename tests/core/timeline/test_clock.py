"""Tests of the causal order of the timeline."""

import hypothesis
from hypothesis import strategies

from dragonflyshelf.core import ids
from dragonflyshelf.core.timeline import clock
from dragonflyshelf.core.timeline import coordinator
from dragonflyshelf.core.timeline import events

FIXED = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=400, database=None
)
PROCESSES = 4
ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["event", "send", "receive", "jump"]),
        strategies.integers(0, PROCESSES - 1),
        strategies.integers(-(10**7), 10**7),
    ),
    max_size=60,
)


class Process:
    """A process with clock skew and the set of its past events."""

    def __init__(self, number: int) -> None:
        """Create a process with a clock skew of some seconds."""
        self.clock = clock.HybridClock()
        self.wall_us = 10**9 + number * 3 * 10**6
        self.past: set[int] = set()
        self.timeline = coordinator.TimelineCoordinator(
            ids.InstanceId(f"i{number}"), ids.Incarnation(1)
        )


class TestCausalOrder:
    """The merged timeline has every cause before its effects."""

    @FIXED
    @hypothesis.given(ACTIONS)
    def test_random_histories(
        self, actions: list[tuple[str, int, int]]
    ) -> None:
        """The order holds despite clock skew, jumps and late messages."""
        processes = [Process(number) for number in range(PROCESSES)]
        frames: list[tuple[ids.Stamp, set[int]]] = []
        causes_by_event: dict[int, set[int]] = {}
        for action, number, amount in actions:
            process = processes[number]
            if action == "jump":
                process.wall_us = max(process.wall_us + amount, 0)
            elif action == "send":
                stamp = process.clock.tick(process.wall_us)
                frames.append((stamp, set(process.past)))
            elif action == "receive" and frames:
                stamp, past = frames[amount % len(frames)]
                process.clock.observe(stamp)
                process.past |= past
            elif action == "event":
                name = len(causes_by_event)
                causes_by_event[name] = set(process.past)
                process.past.add(name)
                event = events.TimelineEvent(
                    kind=events.EventKind.STARTED, detail=str(name)
                )
                process.timeline.handle(
                    coordinator.StampedEvent(
                        stamp=process.clock.tick(process.wall_us), event=event
                    )
                )
        entries = [one for each in processes for one in each.timeline.entries]
        merged = coordinator.merge(tuple(entries))
        place = {int(one.event.detail): at for at, one in enumerate(merged)}
        for effect, causes in causes_by_event.items():
            assert all(place[cause] < place[effect] for cause in causes)

    def test_wall_clock_part(self) -> None:
        """Without other processes a timestamp has the wall-clock time."""
        stamp = clock.HybridClock().tick(1_500_000)
        assert clock.seconds_of(stamp) == 1.5


class TestRing:
    """The ring is bounded and counts the dropped events."""

    def test_dropped(self) -> None:
        """The oldest events are dropped and counted by kind."""
        ring = coordinator.TimelineCoordinator(
            ids.InstanceId("i"), ids.Incarnation(1), entries=3
        )
        for number in range(1, 6):
            event = events.TimelineEvent(
                kind=events.EventKind.GRANTED, detail="x" * 1000
            )
            ring.handle(
                coordinator.StampedEvent(stamp=ids.Stamp(number), event=event)
            )
        assert [one.sequence for one in ring.entries] == [3, 4, 5]
        assert ring.dropped_by_kind[events.EventKind.GRANTED] == 2
        assert ring.recorded_by_kind[events.EventKind.GRANTED] == 5
        longest = max(len(one.event.detail) for one in ring.entries)
        assert longest == coordinator.LONGEST_DETAIL
