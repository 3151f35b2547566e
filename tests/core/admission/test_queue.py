"""Tests of the queue before an upstream."""

import collections

import pytest

from dragonflyshelf.core.admission import queue as queues
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import settings
from dragonflyshelf.core import states

PATIENT = states.Priority.PATIENT
URGENT = states.Priority.URGENT
CONFIG = settings.AdmissionSettings(queue_entries=100, patient_floor=0.1)


class Filler:
    """Fills a queue with numbered entries."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self.queue = queues.WorkQueue(CONFIG)
        self.shed: list[queues.Entry] = []
        self._number = 0

    def push(
        self,
        workspace: str,
        count: int = 1,
        priority: states.Priority = URGENT,
        weight: float = 1.0,
        deadline: float = 10.0,
        rate: float = 0.0,
    ) -> None:
        """Append entries of one workspace."""
        for _ in range(count):
            self._number += 1
            entry = queues.Entry(
                exchange=ids.ExchangeId(self._number),
                workspace=ids.WorkspaceId(workspace),
                weight=weight,
                priority=priority,
                deadline=ids.Instant(deadline),
                queued_at=ids.Instant(0.0),
            )
            self.shed.extend(self.queue.push(entry, rate))

    def served(self, count: int) -> collections.Counter[str]:
        """Pop entries and count them by workspace."""
        return collections.Counter(
            self.queue.pop().workspace for _ in range(count)
        )


class TestPriority:
    """Urgent work goes first, patient work keeps its floor."""

    def test_floor(self) -> None:
        """Patient work gets its floor and no more."""
        filler = Filler()
        filler.push("u", 100)
        filler.push("p", 100, PATIENT)
        counted = filler.served(100)
        assert counted == {"u": 90, "p": 10}

    def test_patient_alone(self) -> None:
        """Patient work alone is served in full."""
        filler = Filler()
        filler.push("p", 20, PATIENT)
        assert filler.served(20) == {"p": 20}

    def test_no_saved_credit(self) -> None:
        """Time without patient work earns it nothing."""
        filler = Filler()
        filler.push("u", 50)
        filler.served(40)
        filler.push("p", 10, PATIENT)
        assert filler.served(9) == {"u": 9}


class TestFairness:
    """Workspaces take turns by their weights."""

    def test_flood(self) -> None:
        """A flood of one workspace delays no other by more than a turn."""
        filler = Filler()
        filler.push("big", 90)
        filler.push("small", 10)
        assert filler.served(20) == {"big": 10, "small": 10}

    def test_weights(self) -> None:
        """Service is in proportion to the weights."""
        filler = Filler()
        filler.push("a", 50, weight=3.0)
        filler.push("b", 50, weight=1.0)
        assert filler.served(40) == {"a": 30, "b": 10}

    def test_small_weight(self) -> None:
        """A weight under one is served too."""
        filler = Filler()
        filler.push("a", 50, weight=0.25)
        filler.push("b", 50, weight=1.0)
        assert filler.served(50) == {"a": 10, "b": 40}


class TestBounds:
    """The queue is bounded and refuses in time."""

    def test_sheds_longest(self) -> None:
        """A full queue sheds the newest entry of the longest backlog."""
        filler = Filler()
        filler.push("big", 100)
        filler.push("small", 5)
        assert [one.workspace for one in filler.shed] == ["big"] * 5
        assert len(filler.queue) == 100

    def test_deadline_too_near(self) -> None:
        """An entry that cannot be served in time is refused at once."""
        filler = Filler()
        filler.push("w", 50, rate=10.0)
        with pytest.raises(errors.Overloaded):
            filler.push("w", 60, rate=10.0, deadline=5.0)

    def test_expired(self) -> None:
        """Entries past their deadline are taken out."""
        filler = Filler()
        filler.push("w", 3, deadline=1.0)
        filler.push("w", 2, deadline=9.0)
        expired = filler.queue.take_expired(ids.Instant(1.0))
        assert len(expired) == 3
        assert len(filler.queue) == 2

    def test_removed(self) -> None:
        """An entry that is not wanted any more takes no turn."""
        filler = Filler()
        filler.push("w", 2)
        assert filler.queue.remove(ids.ExchangeId(1))
        assert not filler.queue.remove(ids.ExchangeId(1))
        assert filler.queue.pop().exchange == 2
