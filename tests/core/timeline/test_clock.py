"""Tests of the causal order of the timeline."""

import hypothesis
from hypothesis import strategies

from dragonflyshelf.core import ids
from dragonflyshelf.core.timeline import clock
from dragonflyshelf.core.timeline import coordinator
from dragonflyshelf.core.timeline import events

DETERMINISTIC = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=400, database=None
)
PROCESS_COUNT = 4
ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["event", "send", "receive", "jump"]),
        strategies.integers(0, PROCESS_COUNT - 1),
        strategies.integers(-(10**7), 10**7),
    ),
    max_size=60,
)


class Process:
    """A process with clock skew and the set of its past events."""

    def __init__(self, number: int) -> None:
        """Create a process with a clock skew of some seconds."""
        self.clock = clock.HybridLogicalClock()
        self.wall_us = 10**9 + number * 3 * 10**6
        self.past_events: set[int] = set()
        self.timeline = coordinator.TimelineCoordinator(
            ids.InstanceId(f"i{number}"), ids.Incarnation(1)
        )


class TestCausalOrder:
    """The merged timeline has every cause before its effects."""

    @DETERMINISTIC
    @hypothesis.given(ACTIONS)
    def test_random_histories(
        self, actions: list[tuple[str, int, int]]
    ) -> None:
        """The order holds despite clock skew, jumps and late messages."""
        processes = [Process(number) for number in range(PROCESS_COUNT)]
        frames: list[tuple[ids.HybridTimestamp, set[int]]] = []
        causes_by_event: dict[int, set[int]] = {}
        for action, number, amount in actions:
            process = processes[number]
            if action == "jump":
                process.wall_us = max(process.wall_us + amount, 0)
            elif action == "send":
                stamp = process.clock.tick(process.wall_us)
                frames.append((stamp, set(process.past_events)))
            elif action == "receive" and frames:
                stamp, sender_past = frames[amount % len(frames)]
                process.clock.observe(stamp)
                process.past_events |= sender_past
            elif action == "event":
                event_id = len(causes_by_event)
                causes_by_event[event_id] = set(process.past_events)
                process.past_events.add(event_id)
                event = events.TimelineEvent(
                    kind=events.EventKind.STARTED, detail=str(event_id)
                )
                process.timeline.handle(
                    coordinator.TimestampedEvent(
                        stamp=process.clock.tick(process.wall_us), event=event
                    )
                )
        entries = [
            entry
            for process in processes
            for entry in process.timeline.entries
        ]
        merged = coordinator.merge(tuple(entries))
        positions_by_event = {
            int(entry.event.detail): position
            for position, entry in enumerate(merged)
        }
        for effect, causes in causes_by_event.items():
            assert all(
                positions_by_event[cause] < positions_by_event[effect]
                for cause in causes
            )

    def test_wall_clock_part(self) -> None:
        """Without other processes a timestamp has the wall-clock time."""
        stamp = clock.HybridLogicalClock().tick(1_500_000)
        assert clock.wall_clock_seconds(stamp) == 1.5


class TestRing:
    """The ring is bounded and counts the dropped events."""

    def test_dropped(self) -> None:
        """The oldest events are dropped and counted by kind."""
        ring = coordinator.TimelineCoordinator(
            ids.InstanceId("i"), ids.Incarnation(1), max_entry_count=3
        )
        for number in range(1, 6):
            event = events.TimelineEvent(
                kind=events.EventKind.GRANTED, detail="x" * 1000
            )
            ring.handle(
                coordinator.TimestampedEvent(
                    stamp=ids.HybridTimestamp(number), event=event
                )
            )
        assert [entry.sequence for entry in ring.entries] == [3, 4, 5]
        assert ring.dropped_by_kind[events.EventKind.GRANTED] == 2
        assert ring.recorded_by_kind[events.EventKind.GRANTED] == 5
        longest = max(len(entry.event.detail) for entry in ring.entries)
        assert longest == coordinator.MAX_DETAIL_CHARACTER_COUNT
