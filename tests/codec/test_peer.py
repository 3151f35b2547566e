"""Tests of the frames between instances."""

import pytest

from dragonflyshelf.codec import peer
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core.peers import messages as peers
from dragonflyshelf.core import states

EXCHANGE = ids.ExchangeId(7)
HEADERS = (messages.Header(name=b"accept", value=b"*/*"),)
ADMITTED = messages.Admitted(
    service=ids.ServiceName("letters"),
    workspace=ids.WorkspaceId("fiacail"),
    priority=states.Priority.URGENT,
    idempotent=True,
    shard=ids.ShardId(3),
    upstream=ids.UpstreamId("letters-1"),
)
OPEN = peers.Open(
    exchange=EXCHANGE,
    request_id=ids.RequestId("r"),
    method=b"GET",
    target=b"/letters/1",
    headers=HEADERS,
    remaining_ms=1000,
    has_body=False,
    body_length=-1,
    admitted=ADMITTED,
)


class TestRoundTrip:
    """What is encoded comes back equal."""

    @pytest.mark.parametrize(
        "message",
        [
            OPEN,
            messages.BodyChunk(exchange=EXCHANGE, data=b"abc"),
            messages.BodyEnd(exchange=EXCHANGE),
            messages.AnswerHead(
                exchange=EXCHANGE, status=200, reason=b"OK", headers=HEADERS
            ),
            messages.Credit(exchange=EXCHANGE, size=4),
        ],
        ids=lambda one: type(one).__name__,
    )
    def test_message(self, message: object) -> None:
        """A message is decoded to an equal one."""
        decoder = peer.FrameDecoder()
        assert decoder.receive(peer.encode(message)) == [message]

    def test_error(self) -> None:
        """An error keeps code, step, peer and outcome."""
        error = errors.UpstreamFailed(
            "broken", peer="u", outcome=states.Outcome.UNKNOWN
        )
        failed = messages.AnswerFailed(exchange=EXCHANGE, error=error)
        (found,) = peer.FrameDecoder().receive(peer.encode(failed))
        assert type(found.error) is errors.UpstreamFailed
        assert str(found.error) == str(error)
        assert found.error.outcome is states.Outcome.UNKNOWN


class TestFraming:
    """Frames arrive in any pieces, or are refused."""

    def test_byte_by_byte(self) -> None:
        """A frame that comes in single bytes is found once."""
        decoder = peer.FrameDecoder()
        data = peer.encode(OPEN)
        found = [
            message
            for position in range(len(data))
            for message in decoder.receive(data[position : position + 1])
        ]
        assert found == [OPEN]

    def test_too_long(self) -> None:
        """A frame over the bound is refused before it is read."""
        decoder = peer.FrameDecoder()
        with pytest.raises(errors.BadRequest):
            decoder.receive(b"\xff\xff\xff\xff")


class TestStamp:
    """Frames carry the causal stamp of their sender."""

    def test_highest(self) -> None:
        """The decoder keeps the highest stamp of all frames."""
        decoder = peer.FrameDecoder()
        end = messages.BodyEnd(exchange=EXCHANGE)
        decoder.receive(peer.encode(end, ids.Stamp(2**60)))
        decoder.receive(peer.encode(end, ids.Stamp(5)))
        assert decoder.stamp == 2**60
