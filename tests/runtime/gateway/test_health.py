"""Tests of the readiness that the balancer and the operator read."""

import asyncio

import pytest

from dragonflyshelf.core.configuration import readiness
from dragonflyshelf.platform import names
from dragonflyshelf.runtime.gateway import health
from dragonflyshelf.runtime import http_client
from dragonflyshelf.runtime import memory
from tests.runtime import deployment

MAX_CONNECTION_COUNT = 4


class TestReadyPath:
    """The balancer reads the status, the operator the body."""

    @pytest.mark.parametrize(
        ("is_ready", "status"), [(True, 200), (False, 503)]
    )
    def test_body(self, is_ready: bool, status: int) -> None:
        """The body says why."""
        state = readiness.Readiness(is_ready=is_ready, remarks=("why",))

        async def async_check() -> http_client.HttpResponse:
            port = deployment.find_free_port()
            listener = health.HealthListener(
                lambda: state,
                MAX_CONNECTION_COUNT,
                memory.make_silent_reporter,
            )
            await listener.async_listen(deployment.HOST, port)
            try:
                async with http_client.async_open(
                    deployment.HOST, port
                ) as client:
                    return await client.async_call("GET", names.PATH_READY)
            finally:
                listener.close()

        response = asyncio.run(async_check())
        assert response.status == status
        assert response.body == str(state).encode()
