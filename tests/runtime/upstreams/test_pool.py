"""Tests of the connection pool of one upstream."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import typing

import pytest

from dragonflyshelf.codec import http
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core import settings
from dragonflyshelf.core import states
from dragonflyshelf.core.upstreams import state
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import messages as runtime_messages
from dragonflyshelf.runtime.upstreams import pool
from tests.runtime.callers import fakes
from tests.runtime.upstreams import test_connection

LEAVING_MESSAGES = [pool.ReturnUnsentAttempts(), pool.RetirePool()]


@dataclasses.dataclass(kw_only=True)
class PoolHarness:
    """A pool with one connection at most, and what its upstream received."""

    task: pool.UpstreamPoolTask
    router: inbox.Inbox
    origin: inbox.Inbox
    received_targets: list[bytes] = dataclasses.field(default_factory=list)
    may_respond: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )

    def start(self, number: int) -> None:
        """Start an attempt at the upstream."""
        head = messages.RequestHead(
            request_id=ids.RequestId(f"r{number}"),
            method=b"GET",
            target=f"/letters/{number}".encode(),
            headers=(),
            key_digest=ids.KeyDigest(""),
            deadline=ids.Instant(asyncio.get_running_loop().time() + 60.0),
        )
        self.task.inbox.post(
            runtime_messages.StartAttempt(
                exchange=ids.ExchangeId(number),
                head=head,
                origin=self.origin,
                registration=test_connection.REGISTRATION,
                workspace=None,
                deadline=head.deadline,
            )
        )

    async def async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Respond to each request once the test allows it."""
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.received_targets.append(head.split(b" ")[1])
                await self.may_respond.wait()
                writer.write(test_connection.OK_RESPONSE)

    async def async_attempt_ended(self) -> runtime_messages.AttemptEnded:
        """Return the next report of an attempt."""
        message = await fakes.async_receive(self.router)
        assert isinstance(message, runtime_messages.AttemptEnded)
        return message


@contextlib.asynccontextmanager
async def async_run_pool() -> abc.AsyncIterator[PoolHarness]:
    """Run a pool for the length of a ``with`` block."""
    router = inbox.Inbox("router")
    harnesses: list[PoolHarness] = []
    server = await asyncio.start_server(
        lambda reader, writer: harnesses[0].async_serve(reader, writer),
        fakes.HOST,
        0,
    )
    config = dataclasses.replace(
        fakes.make_settings(),
        upstreams=settings.UpstreamSettings(connections=1),
    )
    registration = dataclasses.replace(
        test_connection.REGISTRATION,
        port=server.sockets[0].getsockname()[1],
    )
    task = pool.UpstreamPoolTask(
        config, http.DEFAULT_HEADER_NAMES, registration, router
    )
    harnesses.append(
        PoolHarness(task=task, router=router, origin=inbox.Inbox("origin"))
    )
    async with server, task.async_running():
        yield harnesses[0]


class TestRequestsWaitingAtALeavingUpstream:
    """What is not sent when an upstream begins to leave is not sent there."""

    @pytest.mark.parametrize("leaving", LEAVING_MESSAGES)
    def test_attempt_that_waits_for_a_connection(
        self, leaving: object
    ) -> None:
        """It is returned as unsent; the one under way goes on."""

        async def async_run() -> None:
            async with async_run_pool() as harness:
                harness.start(1)
                await fakes.async_receive(harness.origin)
                harness.start(2)
                harness.task.inbox.post(leaving)
                ended = await harness.async_attempt_ended()
                assert ended.exchange == 2
                assert ended.result is state.AttemptResult.UNSENT
                assert ended.error is not None
                assert ended.error.outcome is states.Outcome.NOT_RUN
                harness.may_respond.set()
                ended = await harness.async_attempt_ended()
                assert ended.exchange == 1
                assert ended.result is state.AttemptResult.RESPONDED
                await asyncio.sleep(0.05)
                assert harness.received_targets == [b"/letters/1"]

        asyncio.run(async_run())

    @pytest.mark.parametrize("leaving", LEAVING_MESSAGES)
    def test_attempt_whose_connection_is_being_opened(
        self, leaving: object
    ) -> None:
        """It is returned as unsent, and the connection given up."""

        async def async_run() -> None:
            async with async_run_pool() as harness:
                harness.start(1)
                harness.task.inbox.post(leaving)
                ended = await harness.async_attempt_ended()
                assert ended.exchange == 1
                assert ended.result is state.AttemptResult.UNSENT
                harness.may_respond.set()
                await asyncio.sleep(0.05)
                assert harness.received_targets == []

        asyncio.run(async_run())

    @pytest.mark.parametrize("leaving", LEAVING_MESSAGES)
    def test_attempt_whose_connection_was_just_opened(
        self, leaving: object
    ) -> None:
        """TWICE: it was sent, and returned as unsent and sent elsewhere."""

        async def async_run() -> None:
            async with async_run_pool() as harness:
                async_connect = harness.task._async_connect

                async def async_connect_as_upstream_leaves(
                    *arguments: typing.Any,
                ) -> None:
                    await async_connect(*arguments)
                    harness.task.inbox.post(leaving)

                harness.task._async_connect = (  # type: ignore[method-assign]
                    async_connect_as_upstream_leaves
                )
                harness.may_respond.set()
                harness.start(1)
                ended = await harness.async_attempt_ended()
                assert ended.result is state.AttemptResult.RESPONDED
                assert harness.received_targets == [b"/letters/1"]
                assert not harness.router

        asyncio.run(async_run())

    @pytest.mark.parametrize("leaving", LEAVING_MESSAGES)
    def test_attempt_whose_connection_just_failed(
        self, leaving: object
    ) -> None:
        """It is reported once: the second report ended another attempt."""

        async def async_run() -> None:
            async with async_run_pool() as harness:

                async def async_fail_as_upstream_leaves(
                    connection_task: typing.Any,
                    attempt: runtime_messages.StartAttempt,
                ) -> None:
                    harness.task.inbox.post(leaving)
                    harness.task.inbox.post(
                        pool.ConnectFailed(
                            connection=connection_task,
                            attempt=attempt,
                            error="refused",
                        )
                    )

                harness.task._async_connect = (  # type: ignore[method-assign]
                    async_fail_as_upstream_leaves
                )
                harness.start(1)
                await harness.async_attempt_ended()
                await asyncio.sleep(0.05)
                assert not harness.router

        asyncio.run(async_run())
