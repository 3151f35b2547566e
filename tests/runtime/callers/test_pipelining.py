"""Tests of pipelined requests whose responses come in any order."""

import asyncio
from collections import abc
import dataclasses
import enum
import re

import hypothesis
from hypothesis import strategies

from dragonflyshelf.core import errors
from dragonflyshelf.core import messages
from dragonflyshelf.runtime.callers import connection
from dragonflyshelf.runtime import messages as runtime_messages
from tests.runtime.callers import fakes
from tests.runtime.callers import raw_http

REQUEST_COUNT = connection.MAX_PIPELINED_REQUEST_COUNT
PIECE_COUNT = 3
LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)


class StepKind(enum.Enum):
    """What happens next to one exchange."""

    HEAD = "head"
    PART = "part"
    END = "end"
    TIMEOUT = "timeout"
    CANCEL = "cancel"


FAILURES = {
    StepKind.TIMEOUT: errors.DeadlineExceeded("deadline passed"),
    StepKind.CANCEL: errors.Overloaded("request was shed"),
}
COMPLETE_RESPONSE = (
    StepKind.HEAD,
    *(StepKind.PART,) * PIECE_COUNT,
    StepKind.END,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Step:
    """Step of the exchange with this number."""

    kind: StepKind
    number: int = 0


@strategies.composite
def draw_steps(draw: strategies.DrawFn) -> list[Step]:
    """Return the steps of all exchanges, mixed in any order.

    An exchange may fail before, amid or after its response, whose rest
    arrives all the same.
    """
    remaining_by_number = {}
    for number in range(REQUEST_COUNT):
        kinds = list(COMPLETE_RESPONSE)
        failure = draw(strategies.sampled_from([None, *FAILURES]))
        if failure is not None:
            kinds.insert(draw(strategies.integers(0, len(kinds))), failure)
        remaining_by_number[number] = kinds
    steps = []
    while remaining_by_number:
        number = draw(strategies.sampled_from(sorted(remaining_by_number)))
        kinds = remaining_by_number[number]
        steps.append(Step(kind=kinds.pop(0), number=number))
        if not kinds:
            del remaining_by_number[number]
    return steps


def make_piece(number: int) -> bytes:
    """Return a part of the response to one request."""
    return b"part of %d;" % number


def make_message(
    step: Step, arrival: runtime_messages.RequestReceived
) -> runtime_messages.ResponsePart | messages.ResponseFailed:
    """Return the message by which a step reaches the connection."""
    if step.kind is StepKind.HEAD:
        length = PIECE_COUNT * len(make_piece(step.number))
        return fakes.make_response_head(arrival, length)
    if step.kind is StepKind.PART:
        return messages.ResponseChunk(
            exchange=arrival.exchange, data=make_piece(step.number)
        )
    if step.kind is StepKind.END:
        return messages.ResponseEnd(exchange=arrival.exchange)
    return messages.ResponseFailed(
        exchange=arrival.exchange, error=FAILURES[step.kind]
    )


class ExpectedConnection:
    """Model of what the caller gets."""

    def __init__(self) -> None:
        """Create the model of a connection with all requests sent."""
        self.results: list[StepKind] = []
        self.is_reset = False
        self._started: set[int] = set()
        self._result_by_number: dict[int, StepKind] = {}

    def apply(self, step: Step) -> None:
        """Apply a step; the first result of an exchange counts."""
        if self.is_reset or step.number in self._result_by_number:
            return
        if step.kind is StepKind.HEAD:
            self._started.add(step.number)
        elif step.kind is not StepKind.PART:
            self._end(step)

    def _end(self, step: Step) -> None:
        is_first = step.number == len(self.results)
        if step.kind in FAILURES and is_first:
            if step.number in self._started:
                self.is_reset = True
                return
        self._result_by_number[step.number] = step.kind
        while len(self.results) in self._result_by_number:
            number = len(self.results)
            self.results.append(self._result_by_number[number])


def split_responses(received: bytes) -> abc.Iterator[tuple[int, bytes]]:
    """Yield status and body of each complete response."""
    while received:
        head, separator, rest = received.partition(b"\r\n\r\n")
        match = LENGTH.search(head)
        if not separator or match is None:
            return
        length = int(match.group(1))
        if len(rest) < length:
            return
        yield int(head.split(b" ")[1]), rest[:length]
        received = rest[length:]


def find_result(status: int, body: bytes, number: int) -> StepKind | None:
    """Return which result a response shows, None if it isn't valid."""
    if status == 200 and body == make_piece(number) * PIECE_COUNT:
        return StepKind.END
    for kind, error in FAILURES.items():
        if error.code.encode() in body:
            return kind
    return None


async def async_receive_requests(
    harness: fakes.ListenerHarness, client: fakes.Client
) -> list[runtime_messages.RequestReceived]:
    """Send all requests and receive them at the router."""
    client.send(raw_http.GET * REQUEST_COUNT)
    return [
        await harness.async_receive_request() for _ in range(REQUEST_COUNT)
    ]


async def async_read_responses(
    client: fakes.Client, expected: ExpectedConnection
) -> list[tuple[int, bytes]]:
    """Read as many responses as are expected, or up to the reset."""
    received = b""
    responses: list[tuple[int, bytes]] = []
    async with asyncio.timeout(fakes.TIMEOUT_SECONDS):
        while expected.is_reset or len(responses) < len(expected.results):
            try:
                data = await client.reader.read(fakes.READ_CHUNK_BYTES)
            except ConnectionResetError:
                break
            if not data:
                break
            received += data
            responses = list(split_responses(received))
    return responses


class TestAnyOrder:
    """Each caller gets its own responses, in the order of its requests."""

    @hypothesis.settings(deadline=None, max_examples=150)
    @hypothesis.given(steps=draw_steps())
    def test_responses(self, steps: list[Step]) -> None:
        """A response is the first result of its exchange.

        An exchange that fails amid its response resets the connection;
        parts that arrive after a failure are dropped.
        """

        async def async_check() -> None:
            expected = ExpectedConnection()
            async with fakes.async_run_listener() as harness:
                async with harness.async_connect() as client:
                    arrivals = await async_receive_requests(harness, client)
                    for step in steps:
                        arrival = arrivals[step.number]
                        arrival.origin.post(make_message(step, arrival))
                        expected.apply(step)
                    responses = await async_read_responses(client, expected)
            results = [
                find_result(status, body, number)
                for number, (status, body) in enumerate(responses)
            ]
            if not expected.is_reset:
                assert results == expected.results
                assert len(results) == REQUEST_COUNT
            else:
                assert results == expected.results[: len(results)]

        asyncio.run(async_check())

    @hypothesis.settings(deadline=None, max_examples=50)
    @hypothesis.given(
        steps=draw_steps(), gone_after=strategies.integers(0, 20)
    )
    def test_caller_gone(self, steps: list[Step], gone_after: int) -> None:
        """Every exchange of a caller that is gone ends, each once."""

        async def async_check() -> None:
            async with fakes.async_run_listener() as harness:
                async with harness.async_connect() as client:
                    arrivals = await async_receive_requests(harness, client)
                    for step in steps[:gone_after]:
                        arrival = arrivals[step.number]
                        arrival.origin.post(make_message(step, arrival))
                    client.writer.transport.abort()
                    for step in steps[gone_after:]:
                        arrival = arrivals[step.number]
                        arrival.origin.post(make_message(step, arrival))
                    ended = {
                        (await harness.async_receive_exchange_end()).exchange
                        for _ in range(REQUEST_COUNT)
                    }
                    assert ended == {arrival.exchange for arrival in arrivals}
                    assert not harness.router

        asyncio.run(async_check())
