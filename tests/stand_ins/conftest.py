"""An upstream stand-in on a free port."""

import asyncio
from collections import abc
import contextlib

from dragonflyshelf.runtime import http_client
from stand_ins import connection
from stand_ins import load
from stand_ins import upstream

HOST = "127.0.0.1"
Opened = tuple[upstream.UpstreamStandIn, http_client.HttpClient, int]


@contextlib.asynccontextmanager
async def async_upstream(
    faults: load.Faults, fenced: bool = False
) -> abc.AsyncIterator[Opened]:
    """Serve an upstream and own a client of it."""
    state = upstream.UpstreamStandIn("one", fenced, faults)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: connection.UpstreamConnection(state), HOST, 0
    )
    port = server.sockets[0].getsockname()[1]
    async with http_client.async_open(HOST, port) as client:
        yield state, client, port
    server.close()
