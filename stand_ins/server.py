"""Listening part that the stand-ins share."""

from dragonflyshelf.runtime import http_server


class StandInServer:
    """Serves HTTP on an address of loopback."""

    def __init__(self, handler: http_server.Handler) -> None:
        """Create a server that is not listening yet."""
        self._server = http_server.HttpServer(handler)

    @property
    def port(self) -> int:
        """Return the bound port."""
        return self._server.port

    async def async_listen(self, host: str, port: int = 0) -> None:
        """Listen on an address."""
        await self._server.async_listen(host, port)

    def close(self) -> None:
        """Stop accepting connections."""
        self._server.close()
