"""Tests of complete instances against stand-in servers."""

import asyncio
from collections import abc
import contextlib

from dragonflyshelf.runtime.gateway import server
from stand_ins import store
from stand_ins import upstream
from tests.runtime import deployment as deployments

WAIT_SECONDS = 15.0


async def async_until(is_so: abc.Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(WAIT_SECONDS):
        while not is_so():
            await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def async_ready(
    instances: int = 2,
) -> abc.AsyncIterator[deployments.Deployment]:
    """Run a deployment and wait until all instances are ready."""
    async with deployments.async_deployment(instances) as running:
        await async_until(
            lambda: all(one.control.is_ready for one in running.servers)
        )
        yield running


def leaders(running: deployments.Deployment) -> list[server.Server]:
    """Return the instances that consider themselves the leader."""
    return [one for one in running.servers if one.control.is_leading]


class TestRequests:
    """Requests from the caller to the upstream."""

    def test_is_served(self) -> None:
        """The response and its signature are forwarded to the caller."""

        async def async_check() -> None:
            async with async_ready() as running:
                answer = await running.async_call("/read/1")
                assert answer.status == 200
                headers = dict(answer.headers)
                assert headers[b"response-seal"] == b"seal-r-read/1"
                runs = [
                    one
                    for u in running.upstreams
                    for one in u.executed_requests
                ]
                assert [one.tenant for one in runs] == ["one"]
                assert not runs[0].had_caller_key

        asyncio.run(async_check())

    def test_sharded_service(self) -> None:
        """A request with a shard key succeeds once its range is granted."""

        async def async_check() -> None:
            async with async_ready() as running:
                async with asyncio.timeout(WAIT_SECONDS):
                    while True:
                        answer = await running.async_call(
                            "/old/1", shard_key="77"
                        )
                        if answer.status == 200:
                            break
                        assert answer.status == 503
                        await asyncio.sleep(0.2)

        asyncio.run(async_check())

    def test_answer_without_signature(self) -> None:
        """A response without a signature is reported as a failure."""

        async def async_check() -> None:
            async with async_ready() as running:
                for one in running.upstreams:
                    one.fault = upstream.Fault.NO_SEAL
                answer = await running.async_call("/order/1")
                assert answer.status == 502

        asyncio.run(async_check())

    def test_withdrawn_key(self) -> None:
        """All instances refuse a key removed from the configuration."""

        async def async_check() -> None:
            async with async_ready() as running:
                running.configure(2, ["another"])
                await asyncio.sleep(1.0)
                for number in range(2):
                    answer = await running.async_call("/read/1", number)
                    assert answer.status == 401

        asyncio.run(async_check())


class TestLeadership:
    """Leader election, and updates through the leader."""

    def test_one_leads(self) -> None:
        """Exactly one of three instances is the leader."""

        async def async_check() -> None:
            async with async_ready(3) as running:
                await async_until(lambda: len(leaders(running)) == 1)
                await asyncio.sleep(1.0)
                assert len(leaders(running)) == 1

        asyncio.run(async_check())

    def test_calls_do_not_grow_with_instances(self) -> None:
        """Followers stop calling the store once the leader updates them."""

        async def async_check() -> None:
            async with async_ready(4) as running:
                await async_until(lambda: len(leaders(running)) == 1)
                await asyncio.sleep(2.5)
                before = running.store.call_count
                await asyncio.sleep(2.0)
                assert running.store.call_count - before <= 20

        asyncio.run(async_check())

    def test_store_outage_refuses_keyed_requests(self) -> None:
        """Requests with a caller key are refused past the longest age.

        They are served again after the store has recovered.
        """

        async def async_check() -> None:
            async with async_ready() as running:
                running.store.injection.fault = store.Fault.BUSY
                await asyncio.sleep(6.5)
                answer = await running.async_call("/read/1")
                assert answer.status == 503
                assert not running.servers[0].control.is_ready
                running.store.injection.fault = store.Fault.NONE
                await async_until(lambda: running.servers[0].control.is_ready)
                answer = await running.async_call("/read/2")
                assert answer.status == 200

        asyncio.run(async_check())
