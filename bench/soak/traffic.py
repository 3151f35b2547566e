"""Callers that reuse connections and record their requests."""

import asyncio
import itertools
import random
import time
from typing import Final
import zlib

import h11

from bench import processes
from bench.soak import record
from dragonflyshelf.runtime import http_client

FIRST_WORKSPACE: Final = "one"
SECOND_WORKSPACE: Final = "two"
KEYS_BY_WORKSPACE: Final = {
    FIRST_WORKSPACE: "key-of-one",
    SECOND_WORKSPACE: "key-of-two",
}

MAX_CONNECTION_REQUEST_COUNT: Final = 40
"""Requests after which a caller opens a new connection."""

PAUSE_SECONDS: Final = (0.01, 0.08)
"""Minimum and maximum pause of a caller between two requests."""


class Caller:
    """A caller that uses one connection at a time."""

    def __init__(
        self,
        name: str,
        instances: list[processes.Instance],
        episode: record.EpisodeRecord,
        rng: random.Random,
    ) -> None:
        """Create a caller that picks instances at random."""
        self._name = name
        self._instances = instances
        self._episode = episode
        self._rng = rng
        self._request_numbers = itertools.count()

    async def async_call_forever(self) -> None:
        """Send requests sequentially until cancelled."""
        while True:
            instance = self._rng.choice(self._instances)
            if not instance.is_running:
                await asyncio.sleep(0.05)
                continue
            async with http_client.async_open(
                processes.HOST, instance.ports.callers
            ) as client:
                await self._async_send_on_connection(instance, client)

    async def _async_send_on_connection(
        self, instance: processes.Instance, client: http_client.HttpClient
    ) -> None:
        for _ in range(MAX_CONNECTION_REQUEST_COUNT):
            observed_request = await self._async_send_request(instance, client)
            self._episode.observed_requests.append(observed_request)
            if not observed_request.status.isdigit():
                return
            await asyncio.sleep(self._rng.uniform(*PAUSE_SECONDS))

    async def _async_send_request(
        self, instance: processes.Instance, client: http_client.HttpClient
    ) -> record.ObservedRequest:
        request_id = f"{self._name}-{next(self._request_numbers)}"
        kind = self._rng.choice(list(record.Kind))
        workspace = self._rng.choice(list(KEYS_BY_WORKSPACE))
        sent_at = time.monotonic()
        status, is_response_valid = await async_send(
            client, request_id, kind, workspace
        )
        return record.ObservedRequest(
            request_id=request_id,
            kind=kind,
            workspace=workspace,
            instance=instance.name,
            sent_at=sent_at,
            ended_at=time.monotonic(),
            status=status,
            is_response_valid=is_response_valid,
        )


async def async_send(
    client: http_client.HttpClient,
    request_id: str,
    kind: record.Kind,
    workspace: str,
) -> tuple[str, bool]:
    """Send a request; return its status and if the response is valid.

    The status is the error type if there is no response. A response is
    valid if body and seal belong to the request.
    """
    headers = {
        "host": "a.b",
        "x-api-key": KEYS_BY_WORKSPACE[workspace],
        "request-id": request_id,
        "deadline-ms": str(processes.DEADLINE_MS),
        "shard-key": str(zlib.crc32(request_id.encode()) % 65536),
    }
    method = "POST" if kind is record.Kind.ORDER else "GET"
    try:
        async with asyncio.timeout(processes.DEADLINE_MS / 1000 + 2):
            response = await client.async_call(
                method,
                f"/{kind.value}/{request_id}",
                headers=tuple(headers.items()),
            )
    except (OSError, TimeoutError, h11.ProtocolError) as error:
        return type(error).__name__, False
    seal = dict(response.headers).get(b"response-seal", b"").decode()
    is_body_valid = response.body == request_id.encode()
    return str(response.status), is_body_valid and seal == f"seal-{request_id}"
