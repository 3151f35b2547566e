"""Tests of the task that serves one follower."""

import asyncio
from typing import cast

from dragonflyshelf.codec import relay as codec
from dragonflyshelf.core import ids
from dragonflyshelf.core.relay import messages as relay
from dragonflyshelf.core.slots import messages as slots
from dragonflyshelf.core.upstreams import objects
from dragonflyshelf.core.upstreams import state
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
        follower_task = server.FollowerTask(
            control_inbox, inbox.Inbox("router")
        )
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


class TestSlotRequests:
    """Frames about slots go to the router of the relay."""

    async def async_receive_frames(
        self, router_inbox: inbox.Inbox, *frames: object
    ) -> server.FollowerTask:
        """Receive frames of a follower."""
        follower_task = server.FollowerTask(
            inbox.Inbox("control"), router_inbox
        )
        follower_task.start()
        transport = cast(asyncio.Transport, FakeTransport())
        follower_task.inbox.post(sockets.SocketOpened(transport=transport))
        for frame in frames:
            follower_task.inbox.post(
                sockets.DataReceived(data=codec.CODEC.encode(frame))
            )
        while follower_task.inbox:
            await asyncio.sleep(0)
        return follower_task

    def test_request_and_report(self) -> None:
        """They arrive as they were sent, with the link of the follower."""
        request = slots.SlotRequest(
            number=7,
            service=ids.ServiceName("letters"),
            objective=0.5,
            remaining=2.0,
        )
        report = slots.SlotReport(
            number=7,
            result=state.AttemptResult.RESPONDED,
            seconds=0.25,
            report=objects.LoadReport(running=1, waiting=2, slots=6),
        )

        async def async_check() -> None:
            router_inbox = inbox.Inbox("router")
            follower_task = await self.async_receive_frames(
                router_inbox, request, report
            )
            link = follower_task.inbox
            assert router_inbox.pop() == slots.SlotRequested(
                link=link, request=request
            )
            assert router_inbox.pop() == slots.SlotReported(
                link=link, report=report
            )

        asyncio.run(async_check())

    def test_slot_in_use_and_end(self) -> None:
        """What is under way arrives, and that the connection has ended."""
        slot = slots.SlotInUse(
            number=7,
            service=ids.ServiceName("archive"),
            incarnation=ids.UpstreamIncarnation("u1@1"),
            remaining=2.0,
        )

        async def async_check() -> None:
            router_inbox = inbox.Inbox("router")
            follower_task = await self.async_receive_frames(router_inbox, slot)
            link = follower_task.inbox
            assert router_inbox.pop() == slots.SlotInUseReported(
                link=link, slot=slot
            )
            follower_task.inbox.post(sockets.EofReceived())
            assert await async_receive(router_inbox) == slots.LinkClosed(
                link=link
            )

        asyncio.run(async_check())

    def test_overloaded_router(self) -> None:
        """The connection, on which updates and tokens go, is kept."""
        request = slots.SlotRequest(
            number=7,
            service=ids.ServiceName("letters"),
            objective=0.5,
            remaining=2.0,
        )

        async def async_check() -> None:
            router_inbox = inbox.Inbox("router", limit=1)
            follower_task = await self.async_receive_frames(
                router_inbox, request, request, request
            )
            assert len(router_inbox) == 1
            follower_task.inbox.post(make_update(1))
            await asyncio.sleep(0.01)
            transport = cast(FakeTransport, follower_task._transport)
            assert transport.written_count == 1

        asyncio.run(async_check())
