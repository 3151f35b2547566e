"""Tests of complete instances against stand-in servers."""

import asyncio
from collections import abc
import contextlib
import time
import typing

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.scheduling import exchanges
from dragonflyshelf.core import settings
from dragonflyshelf.core.upstreams import state
from dragonflyshelf.runtime.gateway import server
from stand_ins import configuration
from stand_ins import store
from stand_ins import upstream
from tests.runtime import deployment as deployments

TIMEOUT_SECONDS = 15.0


async def async_wait_until(condition: abc.Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while not condition():
            await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def async_run_ready_deployment(
    instance_count: int = 2, data_centres: str = "a"
) -> abc.AsyncIterator[deployments.Deployment]:
    """Run a deployment and wait until all instances are ready."""
    async with deployments.async_run_deployment(
        instance_count, data_centres
    ) as deployment:
        await async_wait_until(
            lambda: all(
                instance.control.is_ready for instance in deployment.servers
            )
        )
        yield deployment


def find_leaders(deployment: deployments.Deployment) -> list[server.Server]:
    """Return the instances that consider themselves the leader."""
    return [
        instance
        for instance in deployment.servers
        if instance.control.is_leading
    ]


class TestRequests:
    """Requests from the caller to the upstream."""

    def test_response_is_forwarded(self) -> None:
        """The response and its signature are forwarded to the caller."""

        async def async_check() -> None:
            async with async_run_ready_deployment() as deployment:
                response = await deployment.async_call("/read/1")
                assert response.status == 200
                headers = dict(response.headers)
                assert headers[b"response-seal"] == b"seal-r-read/1"
                executed_requests = [
                    request
                    for upstream_server in deployment.upstreams
                    for request in upstream_server.executed_requests
                ]
                assert [request.tenant for request in executed_requests] == [
                    "one"
                ]
                assert not executed_requests[0].had_caller_key

        asyncio.run(async_check())

    def test_sharded_service(self) -> None:
        """A request with a shard key succeeds once its range is granted."""

        async def async_check() -> None:
            async with async_run_ready_deployment() as deployment:
                async with asyncio.timeout(TIMEOUT_SECONDS):
                    while True:
                        response = await deployment.async_call(
                            "/old/1", shard_key="77"
                        )
                        if response.status == 200:
                            break
                        assert response.status == 503
                        await asyncio.sleep(0.2)

        asyncio.run(async_check())

    def test_response_without_signature(self) -> None:
        """A response without a signature is reported as a failure."""

        async def async_check() -> None:
            async with async_run_ready_deployment() as deployment:
                for upstream_server in deployment.upstreams:
                    upstream_server.fault = upstream.Fault.NO_SEAL
                response = await deployment.async_call("/order/1")
                assert response.status == 502

        asyncio.run(async_check())

    def test_server_error_that_is_not_retried(self) -> None:
        """It is forwarded as it came, not replaced by a failure of ours."""

        async def async_check() -> None:
            async with async_run_ready_deployment() as deployment:
                for upstream_server in deployment.upstreams:
                    upstream_server.fault = upstream.Fault.DECLINE
                failing_upstream = deployment.upstreams[0]
                failing_upstream.fault = upstream.Fault.SERVER_ERROR
                async_work = failing_upstream._async_work

                async def async_fail_once(*arguments: typing.Any) -> object:
                    response = await async_work(*arguments)
                    failing_upstream.fault = upstream.Fault.DECLINE
                    return response

                failing_upstream._async_work = (  # type: ignore[assignment]
                    async_fail_once
                )
                response = await deployment.async_call("/read/1")
                assert response.status == 500
                headers = dict(response.headers)
                assert headers[b"response-seal"] == b"seal-r-read/1"
                assert response.body == b"r-read/1"

        asyncio.run(async_check())

    def test_withdrawn_key(self) -> None:
        """All instances refuse a key removed from the configuration."""

        async def async_check() -> None:
            async with async_run_ready_deployment() as deployment:
                deployment.store_configuration(2, ["another"])
                await asyncio.sleep(1.0)
                for instance_index in range(2):
                    response = await deployment.async_call(
                        "/read/1", instance_index
                    )
                    assert response.status == 401

        asyncio.run(async_check())

    def test_invalid_configuration(self) -> None:
        """A key that an unread version may have withdrawn is refused.

        It works until the version in force has not been confirmed for
        ``freshness.longest_age``; the ready path then says why.
        """

        async def async_check() -> None:
            async with async_run_ready_deployment(1) as deployment:
                spec = configuration.build_configuration(2, ["another"])
                spec["Limits"] = {"MaxBodyBytes": "odd"}
                deployment.store.objects.replace("config", "main", spec, None)
                deployment.store.notify_watches()
                await asyncio.sleep(0.5)
                response = await deployment.async_call("/read/1")
                assert response.status == 200
                await asyncio.sleep(settings.FreshnessSettings().longest_age)
                response = await deployment.async_call("/read/2")
                assert response.status == 503
                assert errors.StaleInstance.code.encode() in response.body
                readiness = str(deployment.servers[0].control.readiness)
                assert readiness.startswith("not ready\n")
                assert "Limits.MaxBodyBytes" in readiness
                deployment.store_configuration(3, [deployments.CALLER_KEY])
                await asyncio.sleep(0.5)
                response = await deployment.async_call("/read/3")
                assert response.status == 200

        asyncio.run(async_check())


class TestLeadership:
    """Leader election, and updates through the leader."""

    def test_single_leader(self) -> None:
        """Exactly one of three instances is the leader."""

        async def async_check() -> None:
            async with async_run_ready_deployment(3) as deployment:
                await async_wait_until(
                    lambda: len(find_leaders(deployment)) == 1
                )
                await asyncio.sleep(1.0)
                assert len(find_leaders(deployment)) == 1

        asyncio.run(async_check())

    def test_followers_do_not_call_store(self) -> None:
        """Followers stop calling the store once the leader updates them."""

        async def async_check() -> None:
            async with async_run_ready_deployment(4) as deployment:
                await async_wait_until(
                    lambda: len(find_leaders(deployment)) == 1
                )
                await asyncio.sleep(2.5)
                former_call_count = deployment.store.call_count
                await asyncio.sleep(2.0)
                assert deployment.store.call_count - former_call_count <= 20

        asyncio.run(async_check())

    def test_store_outage_refuses_requests_with_key(self) -> None:
        """Requests with a caller key are refused past the longest age.

        They are served again after the store has recovered.
        """

        async def async_check() -> None:
            async with async_run_ready_deployment() as deployment:
                deployment.store.injection.fault = store.Fault.BUSY
                await asyncio.sleep(6.5)
                response = await deployment.async_call("/read/1")
                assert response.status == 503
                assert not deployment.servers[0].control.is_ready
                deployment.store.injection.fault = store.Fault.NONE
                await async_wait_until(
                    lambda: deployment.servers[0].control.is_ready
                )
                response = await deployment.async_call("/read/2")
                assert response.status == 200

        asyncio.run(async_check())


class TestSlots:
    """Slots that the relay of a data centre assigns to its members."""

    def test_member_of_a_relay(self) -> None:
        """Its requests go to the upstream of its data centre, once each."""

        async def async_check() -> None:
            async with async_run_ready_deployment(6, "ab") as deployment:
                assignments = record_assignments(deployment)
                async with asyncio.timeout(TIMEOUT_SECONDS):
                    while not assignments:
                        await async_call_all(deployment)
                        await asyncio.sleep(0.1)
                request_ids = [
                    request.request_id
                    for upstream_server in deployment.upstreams
                    for request in upstream_server.executed_requests
                ]
                assert len(set(request_ids)) == len(request_ids)
                assert all(assignments)

        asyncio.run(async_check())


def record_assignments(
    deployment: deployments.Deployment,
) -> list[ids.UpstreamIncarnation]:
    """Return a list to which the assigned upstreams are added."""
    assignments: list[ids.UpstreamIncarnation] = []
    for instance in deployment.servers:
        core = instance.router._core
        send = core._send

        def record_and_send(
            exchange: exchanges.Exchange,
            upstream_state: state.UpstreamState,
            now: ids.Instant,
            send: typing.Any = send,
        ) -> object:
            if exchange.has_slot:
                assignments.append(upstream_state.registration.incarnation)
            return send(exchange, upstream_state, now)

        core._send = record_and_send  # type: ignore[assignment]
    return assignments


async def async_call_all(deployment: deployments.Deployment) -> None:
    """Send an order to each instance; each succeeds."""
    for instance_index in range(len(deployment.servers)):
        number = len(deployment.upstreams[0].executed_requests)
        path = f"/order/{instance_index}-{number}-{time.monotonic_ns()}"
        response = await deployment.async_call(path, instance_index)
        assert response.status == 200
