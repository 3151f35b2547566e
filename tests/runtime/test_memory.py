"""Tests of the task that owns the account of memory."""

import asyncio
import contextlib
import logging

import pytest

from dragonflyshelf.core import ids
from dragonflyshelf.core.memory import messages
from dragonflyshelf.core import settings
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import memory

SUM_BYTES = 1024 * 1024
TIMEOUT_SECONDS = 20.0


class TestMemoryTask:
    """Over the limit, the connection that holds most is told to close."""

    def test_release(self, caplog: pytest.LogCaptureFixture) -> None:
        """Its owner gets the message, and one line is logged."""

        async def async_check() -> None:
            memory_task = memory.MemoryTask(SUM_BYTES)
            small_inbox = inbox.Inbox("small")
            large_inbox = inbox.Inbox("large")
            async with memory_task.async_running():
                for owner, held_bytes in (
                    (small_inbox, SUM_BYTES // 4),
                    (large_inbox, SUM_BYTES),
                ):
                    reporter = memory_task.make_reporter(owner)
                    reporter.open()
                    reporter.report(held_bytes, 0)
                async with asyncio.timeout(TIMEOUT_SECONDS):
                    await large_inbox.async_wait()
            release = large_inbox.pop()
            assert isinstance(release, messages.Release)
            assert release.held_bytes == SUM_BYTES
            assert not small_inbox

        with caplog.at_level(logging.WARNING):
            asyncio.run(async_check())
        assert "limit held_bytes reached" in caplog.text

    def test_lower_limit(self) -> None:
        """A limit that was lowered holds from the next report on."""

        async def async_check() -> None:
            memory_task = memory.MemoryTask(SUM_BYTES)
            owner = inbox.Inbox("owner")
            async with memory_task.async_running():
                reporter = memory_task.make_reporter(owner)
                reporter.open()
                reporter.report(SUM_BYTES // 2, 0)
                memory_task.inbox.post(
                    settings.SettingsChanged(
                        settings=settings.Settings(
                            instance=settings.InstanceSettings(
                                name=ids.InstanceId("one"),
                                data_centre=ids.DataCentreId("a"),
                            ),
                            requests=settings.RequestSettings(
                                held_bytes=SUM_BYTES // 4
                            ),
                        )
                    )
                )
                reporter.report_now(SUM_BYTES // 2, 0)
                async with asyncio.timeout(TIMEOUT_SECONDS):
                    await owner.async_wait()

        asyncio.run(async_check())


class TestUsageReporter:
    """Small changes are not reported."""

    def test_steps(self) -> None:
        """Usage and moved bytes are reported in steps."""
        account_inbox = inbox.Inbox("account")
        reporter = memory.UsageReporter(
            account_inbox, inbox.Inbox("owner"), ids.ConnectionId(1)
        )
        reporter.report(1000, 1000)
        assert not account_inbox
        reporter.report(100_000, 1000)
        reporter.report(101_000, 2000)
        reporter.report(101_000, 50_000)
        reported = []
        with contextlib.suppress(IndexError):
            while True:
                message = account_inbox.pop()
                reported.append((message.held_bytes, message.moved_bytes))
        assert reported == [(100_000, 1000), (101_000, 49_000)]
