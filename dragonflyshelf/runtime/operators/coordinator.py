"""The operators' listener: health, readiness, metrics."""

from collections import abc
import json
from typing import Final

import prometheus_client

from dragonflyshelf.core import registry
from dragonflyshelf.runtime import http_server
from dragonflyshelf.runtime import tables  # noqa: F401

Route = abc.Callable[
    ["OperatorsListener", http_server.ServerRequest],
    abc.Awaitable[http_server.ServerAnswer],
]

ROUTES: Final[registry.Registry[str, Route]] = registry.Registry(
    "operators' routes"
)


class OperatorsListener:
    """Answers operators and their tools."""

    def __init__(self, is_ready: abc.Callable[[], bool]) -> None:
        """Create the listener."""
        self._is_ready = is_ready
        self._server = http_server.HttpServer(self._async_handle)

    @property
    def port(self) -> int:
        """Return the bound port."""
        return self._server.port

    async def async_listen(self, host: str, port: int) -> None:
        """Bind the address and start to accept."""
        await self._server.async_listen(host, port)

    def close(self) -> None:
        """Stop accepting."""
        self._server.close()

    async def _async_handle(
        self, request: http_server.ServerRequest
    ) -> http_server.ServerAnswer:
        name = f"{request.method} {request.path}"
        if name not in ROUTES:
            return _json(404, {"message": "no such page"})
        return await ROUTES.get(name)(self, request)

    @ROUTES.register("GET /healthz")
    async def _async_health(
        self, request: http_server.ServerRequest
    ) -> http_server.ServerAnswer:
        return _json(200, {"healthy": True})

    @ROUTES.register("GET /readyz")
    async def _async_ready(
        self, request: http_server.ServerRequest
    ) -> http_server.ServerAnswer:
        ready = self._is_ready()
        return _json(200 if ready else 503, {"ready": ready})

    @ROUTES.register("GET /metrics")
    async def _async_metrics(
        self, request: http_server.ServerRequest
    ) -> http_server.ServerAnswer:
        return http_server.ServerAnswer(
            status=200,
            body=prometheus_client.generate_latest(),
            content_type=prometheus_client.CONTENT_TYPE_LATEST,
        )


def _json(status: int, value: object) -> http_server.ServerAnswer:
    return http_server.ServerAnswer(
        status=status, body=json.dumps(value).encode()
    )
