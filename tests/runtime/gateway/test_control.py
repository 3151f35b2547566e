"""Tests of the control task."""

import asyncio
from collections import abc
import contextlib
import dataclasses

import msgspec
import pytest

from dragonflyshelf.codec import control as control_codec
from dragonflyshelf.core import addresses
from dragonflyshelf.core.grantor import objects as grantor
from dragonflyshelf.core import ids
from dragonflyshelf.core.relay import messages as relay
from dragonflyshelf.core.scheduling import messages as scheduling
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.runtime.gateway import control
from dragonflyshelf.runtime.gateway import replication
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime.relay import messages as relay_messages
from stand_ins import configuration
from tests.core.relay import test_relay
from tests.runtime import deployment

KIND = store.ObjectKind.CONFIGURATION
VERSION_COUNT = 26
"""Versions of a storm on blixt-gw-grown fresh-0d18, 70 ms apart."""


def make_version(version: int, now: float) -> store.KindChanged:
    """Return the change to a version of the configuration."""
    spec = configuration.build_configuration(version, ["key-of-one"])
    stored = store.StoredObject(
        kind=KIND,
        name=ids.ObjectName("main"),
        revision=ids.Revision(version),
        spec=msgspec.json.encode(spec),
    )
    return store.KindChanged(
        kind=KIND,
        revision=ids.Revision(version),
        changes=(stored,),
        confirmed_at=ids.Instant(now),
        since=ids.Revision(version - 1),
    )


@contextlib.asynccontextmanager
async def async_run_control() -> abc.AsyncIterator[control.ControlTask]:
    """Run a control task whose inboxes nobody reads."""
    lease = grantor.Lease(
        holder=ids.InstanceId("i1"),
        incarnation=ids.Incarnation(1),
        host="127.0.0.1",
        port=7100,
        count=1,
    )
    task = control.ControlTask(deployment.make_settings("i1", 9), lease)
    task.task_inboxes = replication.TaskInboxes(
        **{
            name: inbox.Inbox(name)
            for name in (
                "router",
                "callers",
                "watch",
                "write",
                "grants",
                "relay",
            )
        }
    )
    async with task.async_running():
        yield task


def take_messages(source: inbox.Inbox) -> list[object]:
    """Return the messages that an inbox has, and empty it."""
    return [source.pop() for _ in range(len(source))]


def taken_versions(messages: list[object]) -> list[int]:
    """Return the versions that were published."""
    return [
        message.configuration.version
        for message in messages
        if isinstance(message, scheduling.ConfigurationChanged)
    ]


class TestVersionsInQuickSuccession:
    """CONFIG: versions in a storm were applied one by one, ever later."""

    async def async_post_storm(
        self, task: control.ControlTask
    ) -> list[object]:
        """Post versions that wait together; return what the router got."""
        assert task.task_inboxes is not None
        for version in range(1, VERSION_COUNT + 1):
            task.inbox.post(make_version(version, task.now))
        while task.inbox:
            await asyncio.sleep(0)
        return take_messages(task.task_inboxes.router)

    def test_instance_that_is_behind(self) -> None:
        """The last version is published at once, and no other."""

        async def async_check() -> None:
            async with async_run_control() as task:
                messages = await self.async_post_storm(task)
                assert taken_versions(messages) == [VERSION_COUNT]

        asyncio.run(async_check())

    def test_confirmation_of_a_version_that_is_not_in_force(self) -> None:
        """Keys are not trusted by a confirmation before its version."""

        async def async_check() -> None:
            async with async_run_control() as task:
                messages = await self.async_post_storm(task)
                kinds = [type(message) for message in messages]
                confirmed_index = kinds.index(
                    scheduling.ConfigurationConfirmed
                )
                changed_index = kinds.index(scheduling.ConfigurationChanged)
                assert changed_index < confirmed_index

        asyncio.run(async_check())

    def test_followers(self) -> None:
        """They get one update with the last version, before it is decoded."""

        async def async_check() -> None:
            async with async_run_control() as task:
                link = inbox.Inbox("follower")
                task.inbox.post(
                    relay_messages.UpdateRequestReceived(
                        request=test_relay.make_request(1, 0),
                        reply_to=link,
                    )
                )
                await self.async_post_storm(task)
                first, *rest = take_messages(link)
                assert isinstance(first, relay.Update)
                assert len(rest) == 1

        asyncio.run(async_check())

    def test_versions_one_by_one(self) -> None:
        """An instance that keeps up publishes each of them."""

        async def async_check() -> None:
            async with async_run_control() as task:
                assert task.task_inboxes is not None
                for version in range(1, 4):
                    task.inbox.post(make_version(version, task.now))
                    while task.inbox:
                        await asyncio.sleep(0)
                messages = take_messages(task.task_inboxes.router)
                assert taken_versions(messages) == [1, 2, 3]

        asyncio.run(async_check())


class TestLeaseFromAFollower:
    """An instance that the store refused kept to a former leader."""

    def make_lease_change(
        self, holder: str, spec: bytes = b""
    ) -> relay.RelayedChange:
        """Return the lease of a leader, or an object with a spec."""
        lease = grantor.Lease(
            holder=ids.InstanceId(holder),
            incarnation=ids.Incarnation(4),
            host="127.0.0.9",
            port=7100,
            count=3,
        )
        return relay.RelayedChange(
            name=ids.ObjectName("lease"),
            revision=ids.Revision(8),
            removed=False,
            spec=spec or control_codec.encode(lease),
        )

    async def async_find_sources(
        self, change: relay.RelayedChange
    ) -> list[addresses.Address | None]:
        """Return the update sources after a follower's request."""
        async with async_run_control() as task:
            assert task.task_inboxes is not None
            task.start_ticking()
            request = dataclasses.replace(
                test_relay.make_request(1, 0), news=(change,)
            )
            task.inbox.post(
                relay_messages.UpdateRequestReceived(
                    request=request, reply_to=inbox.Inbox("follower")
                )
            )
            while task.inbox:
                await asyncio.sleep(0)
            return [
                message.address
                for message in take_messages(task.task_inboxes.relay)
                if isinstance(message, relay_messages.SetUpdateSource)
            ]

    def test_newer_lease(self) -> None:
        """Its leader is followed, though the store was not read."""
        sources = asyncio.run(
            self.async_find_sources(self.make_lease_change("i7"))
        )
        assert sources[-1] == addresses.Address(host="127.0.0.9", port=7100)

    @pytest.mark.parametrize("spec", [b"7", b"{}", b"[" * 3000, b"\xff"])
    def test_invalid_lease(self, spec: bytes) -> None:
        """It is ignored."""
        change = self.make_lease_change("i7", spec)
        assert not asyncio.run(self.async_find_sources(change))
