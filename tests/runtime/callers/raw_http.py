"""Requests as raw bytes, and parsing of refusals."""

import json

from dragonflyshelf.core import states
from tests.runtime.callers import fakes

GET = b"GET /letters/1 HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST /orders/1 HTTP/1.1\r\nHost: a\r\n"


def parse_refusal(response: bytes) -> tuple[int, dict[str, str]]:
    """Return the status and the JSON body of a refusal."""
    head, _, body = response.partition(b"\r\n\r\n")
    return int(head.split(b" ")[1]), json.loads(body)


async def async_send_refused(
    request: bytes, **options: int
) -> tuple[int, str]:
    """Send a request that must not be routed.

    Return status and error code of the refusal.
    """
    async with fakes.async_run_listener(**options) as harness:
        async with harness.async_connect() as client:
            client.send(request)
            status, body = parse_refusal(await client.async_read_to_end())
            assert body["outcome"] == states.Outcome.NOT_RUN.value
            assert not harness.router
            return status, body["code"]
