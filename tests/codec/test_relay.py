"""Tests of the frames between instances of different builds."""

import capnp

from dragonflyshelf.codec import frames
from dragonflyshelf.codec import relay as codec
from dragonflyshelf.core import addresses
from dragonflyshelf.core import ids
from dragonflyshelf.core.relay import messages
from dragonflyshelf.core.rollouts import outcomes


def make_frame(member: str) -> bytes:
    """Return a frame in which no field of the member is set.

    A build that does not know a field leaves it out in the same way.
    """
    frame = capnp.load(str(codec.SCHEMA_PATH)).Frame.new_message()
    frame.init(member)
    data = frame.to_bytes()
    return frames.LENGTH_PREFIX.pack(len(data)) + data


class TestFrameOfAnOlderBuild:
    """Fields that an older build does not send have safe values."""

    def test_update_request(self) -> None:
        """Its sender gets plain objects and all that it asks for."""
        (request,) = frames.FrameDecoder(codec.CODEC).receive(
            make_frame("ask")
        )
        assert isinstance(request, messages.UpdateRequest)
        assert not request.accepts_compressed
        assert not request.accepts_deltas
        assert request.received_count == messages.NOT_COUNTED
        assert request.news == ()
        assert not request.is_small
        assert request.outcomes == ()

    def test_update(self) -> None:
        """Its changes follow on any revision and are not compressed."""
        frame = capnp.load(str(codec.SCHEMA_PATH)).Frame.new_message()
        kind = frame.init("update").init("kinds", 1)[0]
        kind.kind = "configuration"
        kind.init("changes", 1)
        data = frame.to_bytes()
        received = codec.CODEC.decode(data)
        (relayed,) = received.kinds
        assert relayed.since == 0
        assert not relayed.changes[0].compressed
        assert not relayed.changes[0].is_delta
        assert received.age == messages.UNKNOWN_AGE
        assert not received.serves_slots


class TestOutcomes:
    """Outcomes of attempts in an update request."""

    def test_round_trip(self) -> None:
        """They are decoded as they were encoded."""
        times = tuple(range(outcomes.RANGE_COUNT))
        outcome = outcomes.OutcomeSum(
            service=ids.ServiceName("letters"),
            route=ids.RouteName("read"),
            life=ids.UpstreamIncarnation("u1@7"),
            sent=300,
            answers=299,
            failures=3,
            times=times,
        )
        request = messages.UpdateRequest(
            instance=ids.InstanceId("i1"),
            data_centre=ids.DataCentreId("a"),
            address=addresses.Address(host="10.0.0.1", port=7100),
            number=1,
            known=(),
            loads=(),
            outcomes=(outcome,),
        )
        (decoded,) = frames.FrameDecoder(codec.CODEC).receive(
            codec.CODEC.encode(request)
        )
        assert decoded == request
