"""Tests of the task that serves one follower."""

import asyncio
from typing import cast

from dragonflyshelf.core import ids
from dragonflyshelf.core.relay import messages as relay
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime.relay import messages
from dragonflyshelf.runtime.relay import server
from dragonflyshelf.runtime import sockets

HIGH_WATER_BYTES = 64 * 1024


class FakeTransport:
    """Transport whose write buffer has a size that the test sets."""

    def __init__(self) -> None:
        """Create a transport with an empty buffer."""
        self.buffer_size = 0
        self.written_count = 0

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """Return the low-water and high-water mark in bytes."""
        return HIGH_WATER_BYTES // 4, HIGH_WATER_BYTES

    def get_write_buffer_size(self) -> int:
        """Return the size of the buffer in bytes."""
        return self.buffer_size

    def write(self, data: bytes) -> None:
        """Count a write."""
        self.written_count += 1

    def abort(self) -> None:
        """Close the transport."""


def make_update(number: int) -> relay.Update:
    """Return an update without changes."""
    return relay.Update(
        number=number, kinds=(), instances=(ids.InstanceId("i1"),)
    )


async def async_receive(source: inbox.Inbox) -> object:
    """Return the next message of an inbox."""
    async with asyncio.timeout(5):
        await source.async_wait()
    return source.pop()


class TestFollowerThatReadsSlowly:
    """What the connection doesn't take is reported, not dropped."""

    async def async_check(self) -> None:
        """Send updates while the buffer is full, and one after it."""
        control_inbox = inbox.Inbox("control")
        follower_task = server.FollowerTask(control_inbox)
        transport = FakeTransport()
        follower_task.start()
        follower_task.inbox.post(
            sockets.SocketOpened(transport=cast(asyncio.Transport, transport))
        )
        transport.buffer_size = HIGH_WATER_BYTES + 1
        follower_task.inbox.post(make_update(1))
        assert await async_receive(control_inbox) == messages.UpdateNotSent(
            update=make_update(1), reply_to=follower_task.inbox
        )
        assert transport.written_count == 0
        transport.buffer_size = 0
        follower_task.inbox.post(sockets.WriteResumed())
        assert await async_receive(control_inbox) == messages.FollowerWritable(
            reply_to=follower_task.inbox
        )
        follower_task.inbox.post(sockets.WriteResumed())
        follower_task.inbox.post(make_update(2))
        await asyncio.sleep(0.01)
        assert transport.written_count == 1
        assert not control_inbox
        follower_task.stop()

    def test_update_on_a_full_connection(self) -> None:
        """The control task learns of it, and when to send again."""
        asyncio.run(self.async_check())
