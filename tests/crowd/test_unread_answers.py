"""Tests of callers that send requests ahead and read no answers."""

import asyncio

from tests.crowd import crowds
from tests.crowd import deployment

CROWD_SECONDS = 5.0
MEMBER_COUNT = 300
BLOCK_REQUEST_COUNT = 200
HALF_CLOSED_REQUEST_COUNT = 64
READY_REQUEST = b"GET /-/readyz HTTP/1.1\r\nHost: a\r\n\r\n"
METRICS_REQUEST = b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"
TINY_HEADER_COUNT = 3900
"""Header lines of 4 bytes in a head within its limit."""

TINY_HEADERS_REQUEST = crowds.make_request(
    "/read/1", *("a:" for _ in range(TINY_HEADER_COUNT))
)
UNROUTED_REQUEST = crowds.make_request("/none/1", "Request-Id: " + "r" * 60)


class TestUnreadAnswers:
    """Answers that nobody reads don't pile up."""

    def test_ready_path(self) -> None:
        """The path that says whether the instance is ready."""

        async def async_check() -> None:
            async with deployment.async_run_crowded() as instance:
                crowd = crowds.Crowd(
                    member_count=MEMBER_COUNT,
                    seconds=CROWD_SECONDS,
                    block=READY_REQUEST * BLOCK_REQUEST_COUNT,
                )
                await instance.async_endure(crowd, instance.ports.ready)

        asyncio.run(async_check())

    def test_metrics(self) -> None:
        """The metrics, whose answers are far longer than the requests."""

        async def async_check() -> None:
            async with deployment.async_run_crowded() as instance:
                crowd = crowds.Crowd(
                    member_count=MEMBER_COUNT,
                    seconds=CROWD_SECONDS,
                    block=METRICS_REQUEST * BLOCK_REQUEST_COUNT,
                )
                await instance.async_endure(crowd, instance.metrics_port)

        asyncio.run(async_check())

    def test_path_without_route(self) -> None:
        """Refusals of paths that no route has."""

        async def async_check() -> None:
            async with deployment.async_run_crowded() as instance:
                crowd = crowds.Crowd(
                    member_count=MEMBER_COUNT,
                    seconds=CROWD_SECONDS,
                    block=UNROUTED_REQUEST * BLOCK_REQUEST_COUNT,
                )
                await instance.async_endure(crowd, instance.ports.callers)

        asyncio.run(async_check())


class TestTinyHeaders:
    """Heads that take far more memory than they have bytes."""

    def test_routed_requests(self) -> None:
        """Many such requests are sent ahead."""

        async def async_check() -> None:
            async with deployment.async_run_crowded() as instance:
                crowd = crowds.Crowd(
                    member_count=MEMBER_COUNT,
                    seconds=CROWD_SECONDS,
                    block=TINY_HEADERS_REQUEST,
                )
                await instance.async_endure(crowd, instance.ports.callers)

        asyncio.run(async_check())


class TestHalfClosed:
    """Callers that close their sending side and read nothing."""

    def test_unrouted_requests(self) -> None:
        """Their requests have no route."""

        async def async_check() -> None:
            async with deployment.async_run_crowded() as instance:
                crowd = crowds.Crowd(
                    member_count=MEMBER_COUNT,
                    seconds=CROWD_SECONDS,
                    first=UNROUTED_REQUEST * HALF_CLOSED_REQUEST_COUNT,
                    ends_input=True,
                )
                await instance.async_endure(crowd, instance.ports.callers)

        asyncio.run(async_check())

    def test_ready_path(self) -> None:
        """They ask whether the instance is ready."""

        async def async_check() -> None:
            async with deployment.async_run_crowded() as instance:
                crowd = crowds.Crowd(
                    member_count=MEMBER_COUNT,
                    seconds=CROWD_SECONDS,
                    first=READY_REQUEST * HALF_CLOSED_REQUEST_COUNT,
                    ends_input=True,
                )
                await instance.async_endure(crowd, instance.ports.ready)

        asyncio.run(async_check())
