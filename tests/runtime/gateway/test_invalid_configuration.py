"""Tests of what an instance does with a configuration it can't read."""

import asyncio
from collections import abc
import dataclasses
import re

import msgspec
import pytest

from dragonflyshelf.core import ids
from dragonflyshelf.core.scheduling import messages as scheduling
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.runtime.gateway import control
from dragonflyshelf.runtime.gateway import diagnostics
from stand_ins import configuration
from tests.runtime.gateway import test_control

KIND = store.ObjectKind.CONFIGURATION
CALLER_KEY = "key-of-one"


def encode_version(version: int, kind: str = "safe") -> bytes:
    """Return an encoded configuration whose first route has a kind."""
    spec = configuration.build_configuration(version, [CALLER_KEY])
    routes = spec["Routes"]
    assert isinstance(routes, dict)
    routes["Rows"][0][routes["Columns"].index("Kind")] = kind
    return msgspec.json.encode(spec)


def make_change(
    revision: int, spec: bytes, confirmed_at: float
) -> store.KindChanged:
    """Return the change of the configuration at a revision."""
    change = test_control.make_version(revision, confirmed_at)
    (stored,) = change.changes
    assert isinstance(stored, store.StoredObject)
    return dataclasses.replace(
        change, changes=(dataclasses.replace(stored, spec=spec),)
    )


def make_removal(revision: int, confirmed_at: float) -> store.KindChanged:
    """Return the removal of the configuration at a revision."""
    removed = store.ObjectRemoved(
        kind=KIND,
        name=ids.ObjectName("main"),
        revision=ids.Revision(revision),
    )
    return dataclasses.replace(
        test_control.make_version(revision, confirmed_at), changes=(removed,)
    )


async def async_post(
    task: control.ControlTask, *changes: store.KindChanged
) -> list[object]:
    """Post changes one after the other; return what the router got."""
    assert task.task_inboxes is not None
    for change in changes:
        task.inbox.post(change)
        while task.inbox:
            await asyncio.sleep(0)
    return test_control.take_messages(task.task_inboxes.router)


def taken_confirmations(messages: abc.Iterable[object]) -> list[float]:
    """Return when the configuration was confirmed, as the router got it."""
    return [
        message.confirmed_at
        for message in messages
        if isinstance(message, scheduling.ConfigurationConfirmed)
    ]


class TestLastValidVersion:
    """CONFIG: one odd word took the configuration from every instance."""

    def test_stays_in_force(self) -> None:
        """The version before an invalid one stays; the instance has it."""

        async def async_check() -> None:
            async with test_control.async_run_control() as task:
                await async_post(
                    task,
                    make_change(1, encode_version(1), task.now),
                    make_change(2, encode_version(2, "odd"), task.now),
                )
                (value,) = task.known_values(KIND)
                assert value.version == 1

        asyncio.run(async_check())

    def test_next_valid_version(self) -> None:
        """A valid version after an invalid one is in force."""

        async def async_check() -> None:
            async with test_control.async_run_control() as task:
                messages = await async_post(
                    task,
                    make_change(1, encode_version(1), task.now),
                    make_change(2, encode_version(2, "odd"), task.now),
                    make_change(3, encode_version(3), task.now),
                )
                assert test_control.taken_versions(messages) == [1, 3]

        asyncio.run(async_check())

    @pytest.mark.parametrize("kind", ["safe", "odd"])
    def test_older_version(self, kind: str) -> None:
        """Neither a valid nor an invalid version brings an older one back."""

        async def async_check() -> None:
            async with test_control.async_run_control() as task:
                messages = await async_post(
                    task,
                    make_change(1, encode_version(4), task.now),
                    make_change(2, encode_version(5, kind), task.now),
                    make_change(3, encode_version(3), task.now),
                )
                assert test_control.taken_versions(messages)[-1] >= 4
                (value,) = task.known_values(KIND)
                assert value.version >= 4

        asyncio.run(async_check())

    def test_removed_configuration(self) -> None:
        """The last version stays if the object is removed."""

        async def async_check() -> None:
            async with test_control.async_run_control() as task:
                await async_post(
                    task,
                    make_change(1, encode_version(1), task.now),
                    make_removal(2, task.now),
                )
                (value,) = task.known_values(KIND)
                assert value.version == 1

        asyncio.run(async_check())


class TestConfirmation:
    """CONFIG: a version that can't be read may have withdrawn a key."""

    @pytest.mark.parametrize(
        "unread",
        [
            make_change(2, encode_version(2, "odd"), 7.0),
            make_change(2, encode_version(0), 7.0),
            make_change(2, b"\xff", 7.0),
            make_removal(2, 7.0),
        ],
        ids=["odd kind", "older version", "no JSON", "removed"],
    )
    def test_unread_version(self, unread: store.KindChanged) -> None:
        """It doesn't confirm the version in force, nor does what follows."""

        async def async_check() -> None:
            async with test_control.async_run_control() as task:
                messages = await async_post(
                    task,
                    make_change(1, encode_version(1), 5.0),
                    unread,
                    store.KindChanged(
                        kind=KIND,
                        revision=ids.Revision(2),
                        changes=(),
                        confirmed_at=ids.Instant(9.0),
                        since=ids.Revision(2),
                    ),
                )
                assert taken_confirmations(messages) == [5.0]

        asyncio.run(async_check())

    def test_next_valid_version(self) -> None:
        """A valid version is confirmed again."""

        async def async_check() -> None:
            async with test_control.async_run_control() as task:
                messages = await async_post(
                    task,
                    make_change(1, encode_version(1), 5.0),
                    make_change(2, encode_version(2, "odd"), 7.0),
                    make_change(3, encode_version(3), 9.0),
                )
                assert taken_confirmations(messages) == [5.0, 9.0]

        asyncio.run(async_check())

    def test_same_version_at_a_new_revision(self) -> None:
        """Another writer's finalizer changes nothing in the configuration."""

        async def async_check() -> None:
            async with test_control.async_run_control() as task:
                messages = await async_post(
                    task,
                    make_change(1, encode_version(1), 5.0),
                    make_change(2, encode_version(1), 7.0),
                )
                assert taken_confirmations(messages) == [5.0, 7.0]

        asyncio.run(async_check())

    def test_same_version_with_other_content(self) -> None:
        """A version that was used before is not confirmed by another one."""

        async def async_check() -> None:
            async with test_control.async_run_control() as task:
                messages = await async_post(
                    task,
                    make_change(1, encode_version(1), 5.0),
                    make_change(2, encode_version(1, "unsafe"), 7.0),
                )
                assert taken_confirmations(messages) == [5.0]

        asyncio.run(async_check())

    def test_readiness(self) -> None:
        """The instance is not ready once its version may be outdated."""

        async def async_check() -> None:
            async with test_control.async_run_control() as task:
                ready_age = 3.0
                await async_post(
                    task,
                    make_change(1, encode_version(1), task.now - ready_age),
                    make_change(2, encode_version(2, "odd"), task.now),
                )
                assert not task.is_ready
                await async_post(
                    task, make_change(3, encode_version(3), task.now)
                )
                assert task.is_ready

        asyncio.run(async_check())


class TestMetric:
    """The number of invalid objects is a metric."""

    def read_metric(self) -> float:
        """Return the number of invalid configurations."""
        gauge = diagnostics.INVALID_OBJECTS.labels(KIND.value)
        (sample,) = next(iter(gauge.collect())).samples
        return sample.value

    def test_invalid_version(self) -> None:
        """It is 1 until a valid version is in force."""

        async def async_check() -> None:
            async with test_control.async_run_control() as task:
                await async_post(
                    task, make_change(1, encode_version(1, "odd"), task.now)
                )
                assert self.read_metric() == 1
                await async_post(
                    task, make_change(2, encode_version(2), task.now)
                )
                assert self.read_metric() == 0

        asyncio.run(async_check())


class TestLogLine:
    """A version that is not used is logged once, with the reason."""

    def test_one_line(self, caplog: pytest.LogCaptureFixture) -> None:
        """It names the object, its version, the field and the value."""

        async def async_check() -> None:
            async with test_control.async_run_control() as task:
                spec = encode_version(2, "odd")
                await async_post(
                    task,
                    make_change(1, encode_version(1), task.now),
                    make_change(2, spec, task.now),
                    make_change(3, spec, task.now),
                )

        asyncio.run(async_check())
        lines = [
            record.getMessage()
            for record in caplog.records
            if "invalid" in record.getMessage()
        ]
        assert len(lines) == 1
        for part in ("main", "r2", "Routes", "Kind", "'odd'"):
            assert re.search(rf"(?<!\w){re.escape(part)}", lines[0]), part
