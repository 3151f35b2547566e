"""HTTP listener for readiness checks and metrics."""

from collections import abc

import prometheus_client

from dragonflyshelf.core.configuration import readiness
from dragonflyshelf.platform import names
from dragonflyshelf.runtime import http_server
from dragonflyshelf.runtime import memory

CONTENT_TYPE_TEXT = "text/plain; charset=utf-8"
PATH_METRICS = "/metrics"
READ_TIMEOUT_SECONDS = 15.0
"""Time for a client to send its next request."""

WRITE_TIMEOUT_SECONDS = 5.0
"""Time for a client to take a response."""

MAX_BODY_BYTES = 1024
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_NOT_READY = 503


class HealthListener:
    """Serves the readiness and the metrics of this instance."""

    def __init__(
        self,
        assess_readiness: abc.Callable[[], readiness.Readiness],
        max_connection_count: int,
        make_reporter: memory.ReporterFactory,
    ) -> None:
        """Create the listener; ``async_listen`` binds its ports.

        ``max_connection_count`` is per port.
        """
        self._assess_readiness = assess_readiness
        self._limits = http_server.ServerLimits(
            connections=max_connection_count,
            read_timeout=READ_TIMEOUT_SECONDS,
            write_timeout=WRITE_TIMEOUT_SECONDS,
        )
        self._make_reporter = make_reporter
        self._servers: list[http_server.HttpServer] = []

    async def async_listen(self, host: str, *ports: int) -> None:
        """Bind the ports and start accepting connections."""
        for port in ports:
            server = http_server.HttpServer(
                self._async_handle,
                MAX_BODY_BYTES,
                self._limits,
                self._make_reporter,
            )
            await server.async_listen(host, port)
            self._servers.append(server)

    def close(self) -> None:
        """Stop accepting connections."""
        for server in self._servers:
            server.close()

    async def _async_handle(
        self, request: http_server.ServerRequest
    ) -> http_server.ServerResponse:
        if request.path == names.PATH_READY:
            state = self._assess_readiness()
            return http_server.ServerResponse(
                status=STATUS_OK if state.is_ready else STATUS_NOT_READY,
                body=str(state).encode(),
                content_type=CONTENT_TYPE_TEXT,
            )
        if request.path == PATH_METRICS:
            return http_server.ServerResponse(
                status=STATUS_OK,
                body=prometheus_client.generate_latest(),
                content_type=prometheus_client.CONTENT_TYPE_LATEST,
            )
        return http_server.ServerResponse(status=STATUS_NOT_FOUND)
