"""Tests of the platform stand-in over a socket."""

import asyncio
from collections import abc
import contextlib
import functools

import pytest

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import settings
from dragonflyshelf.core import states
from dragonflyshelf.runtime import http_server
from dragonflyshelf.runtime.platform import http
from stand_ins import platform
from stand_ins import platform_faults

KINDS = frozenset({states.ObjectKind.SERVICE})
NAME = ids.ObjectName("one")
Opened = tuple[platform.PlatformStandIn, http.HttpPlatformClient]


@contextlib.asynccontextmanager
async def async_platform() -> abc.AsyncIterator[Opened]:
    """Serve a platform and own a client of its main listener."""
    stand_in = platform.PlatformStandIn()
    handler = functools.partial(stand_in.async_handle, "a")
    server = http_server.HttpServer(handler)
    await server.async_listen("127.0.0.1", 0)
    client = http.create(settings.PlatformSettings(port=server.port))
    try:
        yield stand_in, client
    finally:
        client.close()
        server.close()


async def async_put(client: http.HttpPlatformClient) -> ids.Version:
    """Create the object."""
    return await client.async_put(
        states.ObjectKind.SERVICE, NAME, ids.Version(0), ids.WriteId("w"), {}
    )


class TestFaults:
    """Each fault shows at the client."""

    @pytest.mark.parametrize(
        "faults",
        [
            platform_faults.Faults(out=True),
            platform_faults.Faults(cut=("a",)),
            platform_faults.Faults(lose_every=1),
        ],
    )
    def test_no_answer(self, faults: platform_faults.Faults) -> None:
        """The call fails with an unknown outcome."""

        async def async_check() -> None:
            async with async_platform() as (stand_in, client):
                stand_in.faults = faults
                with pytest.raises(errors.PlatformUnavailable) as caught:
                    await async_put(client)
                assert caught.value.outcome is states.Outcome.UNKNOWN
                assert "closed before the answer" in str(caught.value)

        asyncio.run(async_check())

    def test_lost_answer_took_effect(self) -> None:
        """The change is there when its answer was lost."""

        async def async_check() -> None:
            async with async_platform() as (stand_in, client):
                stand_in.faults = platform_faults.Faults(lose_answers=True)
                with pytest.raises(errors.PlatformUnavailable):
                    await async_put(client)
                stand_in.faults = platform_faults.Faults()
                kind = states.ObjectKind.SERVICE
                assert await client.async_get(kind, NAME) is not None

        asyncio.run(async_check())

    def test_watch_lost(self) -> None:
        """A watch is told to list again."""

        async def async_check() -> None:
            async with async_platform() as (stand_in, client):
                stand_in.faults = platform_faults.Faults(watch_lost=True)
                with pytest.raises(errors.WatchLost):
                    await client.async_changes(KINDS, ids.Version(0), 60.0)

        asyncio.run(async_check())

    def test_over_the_rate(self) -> None:
        """A write over the rate is refused."""

        async def async_check() -> None:
            async with async_platform() as (stand_in, client):
                stand_in.faults = platform_faults.Faults(writes_per_second=1)
                stand_in.counter.write(0.0, 0)
                assert not stand_in.counter.write(0.5, 1)
                assert stand_in.counter.write(1.5, 1)

        asyncio.run(async_check())


class TestWaitingWatch:
    """A waiting watch counts, until its client goes away."""

    def test_client_goes_away(self) -> None:
        """The closed connection ends the watch at once."""

        async def async_check() -> None:
            async with async_platform() as (stand_in, client):
                watch = asyncio.create_task(
                    client.async_changes(KINDS, ids.Version(0), 60.0)
                )
                while not stand_in.counter.calls.waiting:
                    await asyncio.sleep(0)
                watch.cancel()
                while stand_in.counter.calls.waiting:
                    await asyncio.sleep(0)

        asyncio.run(async_check())

    def test_out_while_waiting(self) -> None:
        """An outage ends the watch with a plain connection error."""

        async def async_check() -> None:
            async with async_platform() as (stand_in, client):
                watch = asyncio.create_task(
                    client.async_changes(KINDS, ids.Version(0), 60.0)
                )
                while not stand_in.counter.calls.waiting:
                    await asyncio.sleep(0)
                stand_in.faults = platform_faults.Faults(out=True)
                await async_put_elsewhere(stand_in)
                with pytest.raises(errors.PlatformUnavailable) as caught:
                    await watch
                assert "closed before the answer" in str(caught.value)

        asyncio.run(async_check())


async def async_put_elsewhere(stand_in: platform.PlatformStandIn) -> None:
    """Set the same faults once more by a control call, which wakes."""
    request = http_server.ServerRequest(
        method="POST",
        path="/faults",
        query="",
        headers={},
        body=b'{"out": true}',
    )
    await stand_in.async_handle("a", request)
