"""Tests of callers that read or send large bodies slowly."""

import asyncio

from tests.crowd import crowds
from tests.crowd import deployment

CROWD_SECONDS = 5.0
MEMBER_COUNT = 200
PIPELINED_REQUEST_COUNT = 8
UPLOAD_HEAD = crowds.make_request(
    "/order/1", "Content-Length: 60000000", method="POST"
)


class TestSlowReaders:
    """Callers that ask for large responses and read nothing."""

    def test_large_responses(self) -> None:
        """The responses wait at their upstream."""

        async def async_check() -> None:
            async with deployment.async_run_crowded() as instance:
                crowd = crowds.Crowd(
                    member_count=MEMBER_COUNT,
                    seconds=CROWD_SECONDS,
                    first=b"".join(
                        crowds.make_large_read(number)
                        for number in range(PIPELINED_REQUEST_COUNT)
                    ),
                )
                await instance.async_endure(crowd, instance.ports.callers)

        asyncio.run(async_check())


class TestSenders:
    """Callers that send large bodies."""

    def test_slow(self) -> None:
        """The bodies arrive a few bytes at a time."""

        async def async_check() -> None:
            async with deployment.async_run_crowded() as instance:
                crowd = crowds.Crowd(
                    member_count=MEMBER_COUNT,
                    seconds=CROWD_SECONDS,
                    first=UPLOAD_HEAD,
                    block=b"x" * 100,
                    block_pause=0.2,
                )
                await instance.async_endure(crowd, instance.ports.callers)

        asyncio.run(async_check())

    def test_faster_than_upstream(self) -> None:
        """The bodies arrive faster than their upstream reads."""

        async def async_check() -> None:
            async with deployment.async_run_crowded() as instance:
                crowd = crowds.Crowd(
                    member_count=MEMBER_COUNT,
                    seconds=CROWD_SECONDS,
                    first=UPLOAD_HEAD,
                    block=b"x" * 10000,
                )
                await instance.async_endure(crowd, instance.ports.callers)

        asyncio.run(async_check())
