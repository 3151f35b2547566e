"""Tests of the task that watches the store, against a stand-in store."""

import asyncio
from collections import abc
import contextlib

import pytest

from dragonflyshelf.core import ids
from dragonflyshelf.core import settings
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.platform import store as client
from dragonflyshelf.runtime import http_server
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime.store import messages
from dragonflyshelf.runtime.store import watch
from stand_ins import store as stand_in

Kind = store.ObjectKind
TIMEOUT_SECONDS = 5.0


def watch_kinds(
    *kinds: Kind, has_followers: bool = False
) -> messages.WatchKinds:
    """Return the message to watch kinds that are not known yet."""
    return messages.WatchKinds(
        revisions_by_kind={kind: ids.Revision(0) for kind in kinds},
        has_followers=has_followers,
    )


@contextlib.asynccontextmanager
async def async_run_watch() -> (
    abc.AsyncIterator[
        tuple[stand_in.StoreServer, watch.StoreWatchTask, inbox.Inbox]
    ]
):
    """Run the task; its events arrive in the inbox."""
    async with stand_in.async_run_store() as store_server:
        events = inbox.Inbox("events")
        config = settings.StoreSettings(
            address=f"127.0.0.1:{store_server.port}"
        )
        watch_task = watch.StoreWatchTask(config, events)
        async with watch_task.async_running():
            yield store_server, watch_task, events


async def async_next_listed(events: inbox.Inbox) -> Kind:
    """Return the kind that is listed next."""
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while True:
            await events.async_wait()
            event = events.pop()
            if isinstance(event, store.KindListed):
                return event.kind


class TestStoreWatchTask:
    """Watches that start, go on and end."""

    def test_further_kinds(self) -> None:
        """A watch that goes on is not listed again."""

        async def async_check() -> None:
            async with async_run_watch() as (_, watch_task, events):
                watch_task.inbox.post(watch_kinds(Kind.CONTROL))
                assert await async_next_listed(events) is Kind.CONTROL
                watch_task.inbox.post(
                    watch_kinds(Kind.CONTROL, Kind.REGISTRATION)
                )
                assert await async_next_listed(events) is Kind.REGISTRATION

        asyncio.run(async_check())

    def test_new_leader_after_failures(self) -> None:
        """A new leader does not sit out the delay of its former failures."""

        async def async_check() -> None:
            async with async_run_watch() as (server, watch_task, events):
                server.injection.fault = stand_in.Fault.BUSY
                watch_task.inbox.post(watch_kinds(Kind.CONFIGURATION))
                await asyncio.sleep(2.0)
                server.injection.fault = stand_in.Fault.NONE
                watch_task.inbox.post(
                    watch_kinds(Kind.CONFIGURATION, has_followers=True)
                )
                async with asyncio.timeout(0.3):
                    listed = await async_next_listed(events)
                assert listed is Kind.CONFIGURATION

        asyncio.run(async_check())

    def test_list_without_progress(self) -> None:
        """It is reported as a failure, not as a kind without objects."""

        async def async_handle(
            request: http_server.ServerRequest,
        ) -> http_server.ServerResponse:
            page = b'{"items":[],"More":true,"StoreRevision":9}'
            return http_server.ServerResponse(status=200, body=page)

        async def async_check() -> None:
            server = http_server.HttpServer(async_handle)
            await server.async_listen("127.0.0.1", 0)
            events = inbox.Inbox("events")
            config = settings.StoreSettings(address=f"127.0.0.1:{server.port}")
            watch_task = watch.StoreWatchTask(config, events)
            async with (
                watch_task.async_running(),
                asyncio.timeout(TIMEOUT_SECONDS),
            ):
                watch_task.inbox.post(watch_kinds(Kind.REGISTRATION))
                await events.async_wait()
            server.close()
            event = events.pop()
            assert isinstance(event, store.StoreCallFailed)
            assert "no progress" in event.error.message

        asyncio.run(async_check())

    def test_unexpected_error(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A response that no code expects doesn't end the watch."""
        async_list = client.StoreClient.async_list
        responses = iter([ValueError("unexpected")])

        async def async_fail_once(
            store_client: client.StoreClient, kind: Kind, sent_at: ids.Instant
        ) -> store.KindListed:
            for error in responses:
                raise error
            return await async_list(store_client, kind, sent_at)

        monkeypatch.setattr(client.StoreClient, "async_list", async_fail_once)

        async def async_check() -> None:
            async with async_run_watch() as (_, watch_task, events):
                watch_task.inbox.post(watch_kinds(Kind.REGISTRATION))
                async with asyncio.timeout(TIMEOUT_SECONDS):
                    await events.async_wait()
                assert isinstance(events.pop(), store.StoreCallFailed)
                assert await async_next_listed(events) is Kind.REGISTRATION

        asyncio.run(async_check())
