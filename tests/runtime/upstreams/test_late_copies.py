"""A faulty upstream writes an earlier response once more.

Reported: REFUSED and TWICE by an earlier refusal that was written again
on a kept connection, and MIXED by an earlier response.
"""

import asyncio
import contextlib
import itertools

import pytest

from dragonflyshelf.core import messages
from dragonflyshelf.core import states
from dragonflyshelf.core.upstreams import state
from dragonflyshelf.runtime import messages as runtime_messages
from tests.runtime.upstreams import test_pool

FIRST_RESPONSES = {
    "declined": b"HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nX-Request-Id: r1\r\n"
    b"Content-Length: 0\r\n\r\n",
    "declined without id": b"HTTP/1.1 503 x\r\nX-Not-Run: 1\r\n"
    b"Content-Length: 0\r\n\r\n",
    "not holder": b"HTTP/1.1 421 x\r\nX-Request-Id: r1\r\n"
    b"Content-Length: 0\r\n\r\n",
    "not holder without id": b"HTTP/1.1 421 x\r\nContent-Length: 0\r\n\r\n",
    "limited": b"HTTP/1.1 429 x\r\nX-Not-Run: 1\r\nX-Request-Id: r1\r\n"
    b"Content-Length: 0\r\n\r\n",
    "success": b"HTTP/1.1 200 x\r\nX-Request-Id: r1\r\n"
    b"Content-Length: 5\r\n\r\nfirst",
}
SECOND_RESPONSE = (
    b"HTTP/1.1 200 x\r\nX-Request-Id: %s\r\nContent-Length: 6\r\n\r\nsecond"
)


class CopyingUpstream:
    """Gives the first response once more instead of the second.

    The copy is written when the second request has arrived on the same
    connection. On another connection the second request is served.
    """

    def __init__(self, first_response: bytes) -> None:
        """Create an upstream that has received nothing."""
        self._first_response = first_response
        self.received_ids: list[bytes] = []

    async def async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        is_first_connection = not self.received_ids
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                _, _, rest = head.lower().partition(b"x-request-id: ")
                request_id = rest.split()[0]
                self.received_ids.append(request_id)
                if is_first_connection:
                    writer.write(self._first_response)
                else:
                    writer.write(SECOND_RESPONSE % request_id)


async def async_play(
    name: str, second_number: int
) -> tuple[runtime_messages.AttemptEnded, bytes]:
    """Return the end of the second attempt, and what its caller got."""
    async with test_pool.async_run_pool() as harness:
        upstream = CopyingUpstream(FIRST_RESPONSES[name])
        harness.async_serve = (  # type: ignore[method-assign]
            upstream.async_serve
        )
        harness.start(1)
        await harness.async_attempt_ended()
        await asyncio.sleep(0.02)
        while harness.origin:
            harness.origin.pop()
        harness.start(second_number)
        ended = await harness.async_attempt_ended()
        received = b""
        while harness.origin:
            message = harness.origin.pop()
            if isinstance(message, messages.ResponseChunk):
                received += message.data
        assert len(upstream.received_ids) == 2
        return ended, received


class TestLateCopy:
    """A late copy belongs to no request."""

    @pytest.mark.parametrize(
        ("name", "second_number"),
        list(itertools.product(sorted(FIRST_RESPONSES), (1, 2))),
    )
    def test_copy_on_a_kept_connection(
        self, name: str, second_number: int
    ) -> None:
        """The upstream runs the second request, so it is not 'not run'.

        A request with the same id, such as a retry, has its own connection.
        """
        ended, received = asyncio.run(async_play(name, second_number))
        if second_number == 1:
            assert ended.result is state.AttemptResult.RESPONDED
            assert received == b"second"
            return
        assert received == b""
        assert ended.error is not None
        assert ended.error.outcome is states.Outcome.UNKNOWN
        assert ended.result is state.AttemptResult.FAILED
