"""Tests of tasks and their inboxes."""

import asyncio
import dataclasses

import pytest

from dragonflyshelf.core import errors
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import task


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Number:
    """Message with a number; a negative one makes the handler raise."""

    value: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Stop:
    """Message that stops the task."""


class Recorder(task.Task):
    """Task that records the numbers that it has handled."""

    def __init__(self) -> None:
        """Create the task."""
        super().__init__("recorder")
        self.handled_values: list[int] = []
        self.failure_count = 0
        self.end_count = 0

    @task.handles(Number)
    def _on_number(self, message: Number) -> None:
        if message.value < 0:
            raise ValueError("negative")
        self.handled_values.append(message.value)
        if message.value == 10:
            self.inbox.post(Number(value=11))

    @task.handles(Stop)
    def _on_stop(self, message: Stop) -> None:
        self.stop()

    def on_failure(self) -> None:
        """Count the failures."""
        self.failure_count += 1

    def on_end(self) -> None:
        """Count the calls."""
        self.end_count += 1


async def async_record(*messages: object) -> Recorder:
    """Let a task handle the messages and stop; return it."""
    recorder = Recorder()
    recorder.inbox.post(messages[0])
    recorder.start()
    await asyncio.sleep(0)
    for message in messages[1:]:
        recorder.inbox.post(message)
    recorder.inbox.post(Stop())
    assert recorder._runner is not None
    await recorder._runner
    return recorder


class TestOrder:
    """Messages are handled in the order in which they were posted."""

    def test_posted_before_and_after_start(self) -> None:
        """Messages posted before the start are handled first."""
        numbers = [Number(value=value) for value in range(5)]
        recorder = asyncio.run(async_record(*numbers))
        assert recorder.handled_values == [0, 1, 2, 3, 4]

    def test_posted_by_a_handler(self) -> None:
        """A message that a task posts to itself is queued last."""
        recorder = asyncio.run(async_record(Number(value=1), Number(value=10)))
        assert recorder.handled_values == [1, 10]
        assert len(recorder.inbox) == 1


class TestFailure:
    """A handler that raises does not end the task."""

    def test_next_message_is_handled(self) -> None:
        """The next message is handled after an exception."""
        recorder = asyncio.run(async_record(Number(value=-1), Number(value=2)))
        assert recorder.failure_count == 1
        assert recorder.handled_values == [2]


class TestEnd:
    """``on_end`` is called exactly once, however a task ends."""

    def test_stopped(self) -> None:
        """It is called after ``stop``."""
        assert asyncio.run(async_record(Number(value=1))).end_count == 1

    def test_cancelled(self) -> None:
        """It is called after cancellation; later messages stay queued."""

        async def async_check() -> None:
            recorder = Recorder()
            async with recorder.async_running():
                await asyncio.sleep(0)
            recorder.inbox.post(Number(value=1))
            await asyncio.sleep(0)
            assert recorder.end_count == 1
            assert recorder.handled_values == []

        asyncio.run(async_check())


class TestInbox:
    """An inbox has a limit."""

    def test_full(self) -> None:
        """Posting beyond the limit raises an error."""
        bounded_inbox = inbox.Inbox("box", limit=1)
        bounded_inbox.post(Number(value=1))
        with pytest.raises(errors.InboxFull):
            bounded_inbox.post(Number(value=2))
