"""Faults of the platform stand-in, and the calls that it counts."""

import collections
import dataclasses

SECONDS_KEPT = 3600


@dataclasses.dataclass(frozen=True, kw_only=True)
class Faults:
    """Faults that are switched on; times in seconds.

    Every Nth call loses its answer after it took effect when
    ``lose_every`` is N; ``lose_answers`` loses all of them. Callers that
    came in through a listener named in ``cut`` are cut off. Rates of
    zero are without limit; a call over its rate is answered 429.
    """

    out: bool = False
    delay: float = 0.0
    lose_answers: bool = False
    lose_every: int = 0
    watch_lost: bool = False
    cut: tuple[str, ...] = ()
    list_lag: float = 0.0
    reads_per_second: int = 0
    writes_per_second: int = 0


@dataclasses.dataclass(kw_only=True)
class SecondCalls:
    """Calls of one second; a waiting watch counts in each of them."""

    reads: int = 0
    writes: int = 0
    watches: int = 0


@dataclasses.dataclass(kw_only=True)
class Calls:
    """Counted calls by type, and the most of any one second."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    refused: int = 0
    waiting: int = 0
    most_reads: int = 0
    most_writes: int = 0
    most_waiting: int = 0


class CallCounter:
    """Counts calls in total and by second."""

    def __init__(self) -> None:
        """Create a counter at zero."""
        self.calls = Calls()
        self._by_second: collections.OrderedDict[int, SecondCalls] = (
            collections.OrderedDict()
        )

    def read(self, now: float, limit: int) -> bool:
        """Count a read; return False when it is over the limit."""
        second = self._second(now)
        second.reads += 1
        self.calls.reads += 1
        self.calls.most_reads = max(self.calls.most_reads, second.reads)
        return self._within(second.reads, limit)

    def write(self, now: float, limit: int) -> bool:
        """Count a write; return False when it is over the limit."""
        second = self._second(now)
        second.writes += 1
        self.calls.writes += 1
        self.calls.most_writes = max(self.calls.most_writes, second.writes)
        return self._within(second.writes, limit)

    def start_watch(self, now: float) -> None:
        """Count a watch that begins to wait."""
        self._second(now).watches += 1
        self.calls.watches += 1
        self.calls.waiting += 1
        self.calls.most_waiting = max(
            self.calls.most_waiting, self.calls.waiting
        )

    def end_watch(self) -> None:
        """Count the end of a watch."""
        self.calls.waiting -= 1

    def by_second(self) -> list[dict[str, int]]:
        """Return the calls of the last seconds, oldest first."""
        return [
            {"second": number, **dataclasses.asdict(calls)}
            for number, calls in self._by_second.items()
        ]

    def _within(self, count: int, limit: int) -> bool:
        if limit and count > limit:
            self.calls.refused += 1
            return False
        return True

    def _second(self, now: float) -> SecondCalls:
        number = int(now)
        if number not in self._by_second:
            self._by_second[number] = SecondCalls(watches=self.calls.waiting)
            while len(self._by_second) > SECONDS_KEPT:
                self._by_second.popitem(last=False)
        return self._by_second[number]


@dataclasses.dataclass(frozen=True, kw_only=True)
class InstanceList:
    """Live and leaving instances, as the platform sees them."""

    live: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()


class LaggingList:
    """The list of instances as it was some time ago."""

    def __init__(self) -> None:
        """Create an empty list."""
        self._entries: collections.deque[tuple[float, InstanceList]] = (
            collections.deque([(0.0, InstanceList())], maxlen=1000)
        )

    def change(self, value: InstanceList, now: float) -> None:
        """Take in a new list."""
        self._entries.append((now, value))

    def as_of(self, wanted: float) -> InstanceList:
        """Return the newest list that is old enough."""
        for at, value in reversed(self._entries):
            if at <= wanted:
                return value
        return self._entries[0][1]
