"""Tests of roll-outs from the order to the status."""

import asyncio
from collections import abc
import contextlib
from typing import Any

from dragonflyshelf.core import settings
from stand_ins import store
from stand_ins import upstream
from tests.runtime import deployment as deployments

SERVICE = "letters"
PROMISES = settings.PromiseSettings(exposure_share=0.1, exposure_slack=400.0)
DURATION_SECONDS = 8
TIMEOUT_SECONDS = 20
CALLER_COUNT = 8
CALL_INTERVAL_SECONDS = 0.05


def find_status(deployment: deployments.Deployment) -> dict[str, Any]:
    """Return the status of the order, empty if there is none."""
    for order in deployment.store.objects.list_objects("rollouts"):
        return order["Status"] or {}
    return {}


def order_rollout(deployment: deployments.Deployment) -> None:
    """Order the service to be moved to version v2."""
    deployment.store.objects.create(
        "rollouts",
        SERVICE,
        {"Service": SERVICE, "Target": "v2", "DurationS": DURATION_SECONDS},
    )
    deployment.store.notify_watches()


@contextlib.asynccontextmanager
async def async_run_new_version(
    deployment: deployments.Deployment, fault: upstream.Fault
) -> abc.AsyncIterator[list[upstream.UpstreamServer]]:
    """Run two upstreams of version v2 and register them."""
    servers = []
    async with contextlib.AsyncExitStack() as stack:
        for name in ("n1", "n2"):
            server = await stack.enter_async_context(
                upstream.async_run_upstream(name, SERVICE)
            )
            server.fault = fault
            registration = server.make_registration(deployments.HOST, "a")
            registration["Version"] = "v2"
            deployment.store.objects.create("servers", name, registration)
            servers.append(server)
        deployment.store.notify_watches()
        yield servers


async def async_call_often(
    deployment: deployments.Deployment, caller: int
) -> None:
    """Send requests to all instances until cancelled."""
    number = 0
    while True:
        number += 1
        with contextlib.suppress(OSError):
            await deployment.async_call(
                f"/read/{caller}-{number}", number % len(deployment.servers)
            )
        await asyncio.sleep(CALL_INTERVAL_SECONDS)


@contextlib.asynccontextmanager
async def async_run_callers(
    deployment: deployments.Deployment,
) -> abc.AsyncIterator[None]:
    """Have callers send requests for the duration of a ``with`` block."""
    tasks = [
        asyncio.create_task(async_call_often(deployment, caller))
        for caller in range(CALLER_COUNT)
    ]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def async_wait_for_state(
    deployment: deployments.Deployment, state: str
) -> None:
    """Wait until the status has a state."""
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while find_status(deployment).get("State") != state:
            await asyncio.sleep(0.05)


class TestRollout:
    """Instances, store and upstreams together."""

    def test_good_version(self) -> None:
        """The status ends as complete, and the new version gets all."""

        async def async_check() -> None:
            async with (
                deployments.async_run_deployment(
                    promises=PROMISES
                ) as deployment,
                async_run_callers(deployment),
                async_run_new_version(
                    deployment, upstream.Fault.NONE
                ) as new_servers,
            ):
                order_rollout(deployment)
                await async_wait_for_state(deployment, "running")
                await async_wait_for_state(deployment, "complete")
                old_counts = [
                    len(server.arrivals) for server in deployment.upstreams[:2]
                ]
                new_count = sum(len(server.arrivals) for server in new_servers)
                await asyncio.sleep(0.5)
                assert old_counts == [
                    len(server.arrivals) for server in deployment.upstreams[:2]
                ]
                assert new_count < sum(
                    len(server.arrivals) for server in new_servers
                )

        asyncio.run(async_check())

    def test_bad_version(self) -> None:
        """It gets its share until it is taken back, and nothing then."""

        async def async_check() -> None:
            async with (
                deployments.async_run_deployment(
                    promises=PROMISES
                ) as deployment,
                async_run_callers(deployment),
            ):
                await asyncio.sleep(0.5)
                order_rollout(deployment)
                await async_wait_for_state(deployment, "running")
                await asyncio.sleep(0.2)
                async with async_run_new_version(
                    deployment, upstream.Fault.SERVER_ERROR
                ) as new_servers:
                    await async_wait_for_state(deployment, "rolled_back")
                    await asyncio.sleep(0.3)
                    counts = [len(server.arrivals) for server in new_servers]
                    assert sum(counts)
                    await asyncio.sleep(0.7)
                    assert counts == [
                        len(server.arrivals) for server in new_servers
                    ]

        asyncio.run(async_check())

    def test_lost_answer_to_the_status(self) -> None:
        """The status is told again until its answer arrives."""

        async def async_check() -> None:
            async with deployments.async_run_deployment(
                promises=PROMISES
            ) as deployment:
                await asyncio.sleep(1.0)
                order_rollout(deployment)
                await async_wait_for_state(deployment, "running")
                deployment.store.injection.fault = store.Fault.LOSE_RESPONSES
                await asyncio.sleep(1.0)
                deployment.store.injection.fault = store.Fault.NONE
                await async_wait_for_state(deployment, "rolled_back")

        asyncio.run(async_check())

    def test_without_promise(self) -> None:
        """Where no exposure is promised no order is read."""

        async def async_check() -> None:
            async with deployments.async_run_deployment() as deployment:
                await asyncio.sleep(1.5)
                order_rollout(deployment)
                await asyncio.sleep(1.0)
                assert not find_status(deployment)

        asyncio.run(async_check())
