"""Tests of tasks and their inboxes."""

import asyncio
import dataclasses

import pytest

from dragonflyshelf.core import errors
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import task


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Number:
    """A message with a number; a negative one makes the handler fail."""

    value: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Stop:
    """Ends the task."""


class Recorder(task.Task):
    """Keeps what it has handled."""

    def __init__(self) -> None:
        """Create the task."""
        super().__init__("recorder")
        self.seen: list[int] = []
        self.failures = 0
        self.ends = 0

    @task.handles(Number)
    def _on_number(self, message: Number) -> None:
        if message.value < 0:
            raise ValueError("negative")
        self.seen.append(message.value)
        if message.value == 10:
            self.inbox.post(Number(value=11))

    @task.handles(Stop)
    def _on_stop(self, message: Stop) -> None:
        self.stop()

    def on_failure(self) -> None:
        """Count the failure."""
        self.failures += 1

    def on_end(self) -> None:
        """Count the end."""
        self.ends += 1


async def async_record(*messages: object) -> Recorder:
    """Return a task that has handled the messages and has ended."""
    recorder = Recorder()
    recorder.inbox.post(messages[0])
    recorder.start()
    await asyncio.sleep(0)
    for one in messages[1:]:
        recorder.inbox.post(one)
    recorder.inbox.post(Stop())
    assert recorder._runner is not None
    await recorder._runner
    return recorder


class TestOrder:
    """Messages are handled one by one, in the order of posting."""

    def test_before_and_after_the_start(self) -> None:
        """Those that waited for the start come first."""
        numbers = [Number(value=one) for one in range(5)]
        recorder = asyncio.run(async_record(*numbers))
        assert recorder.seen == [0, 1, 2, 3, 4]

    def test_posted_by_a_handler(self) -> None:
        """A message to itself is handled too."""
        recorder = asyncio.run(async_record(Number(value=1), Number(value=10)))
        assert recorder.seen == [1, 10]
        assert len(recorder.inbox) == 1


class TestFailure:
    """A handler that raises does not end the task."""

    def test_goes_on(self) -> None:
        """The next message is handled."""
        recorder = asyncio.run(async_record(Number(value=-1), Number(value=2)))
        assert recorder.failures == 1
        assert recorder.seen == [2]


class TestEnd:
    """A task releases what it owns once, however it ends."""

    def test_stopped(self) -> None:
        """A stop ends it."""
        assert asyncio.run(async_record(Number(value=1))).ends == 1

    def test_cancelled(self) -> None:
        """Leaving the block ends it; later messages are kept unread."""

        async def async_check() -> None:
            recorder = Recorder()
            async with recorder.async_running():
                await asyncio.sleep(0)
            recorder.inbox.post(Number(value=1))
            await asyncio.sleep(0)
            assert recorder.ends == 1
            assert recorder.seen == []

        asyncio.run(async_check())


class TestInbox:
    """An inbox is bounded."""

    def test_full(self) -> None:
        """A message over the limit is refused."""
        box = inbox.Inbox("box", limit=1)
        box.post(Number(value=1))
        with pytest.raises(errors.InboxFull):
            box.post(Number(value=2))
