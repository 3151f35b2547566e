"""Tests of the frames between instances of different builds."""

import capnp
import pytest

from dragonflyshelf.codec import frames
from dragonflyshelf.codec import relay as codec
from dragonflyshelf.core import addresses
from dragonflyshelf.core import ids
from dragonflyshelf.core.relay import messages
from dragonflyshelf.core.rollouts import outcomes
from dragonflyshelf.core.slots import messages as slots


def make_frame(member: str) -> bytes:
    """Return a frame in which no field of the member is set.

    A build that does not know a field leaves it out in the same way.
    """
    frame = capnp.load(str(codec.SCHEMA_PATH)).Frame.new_message()
    frame.init(member)
    data = frame.to_bytes()
    return frames.LENGTH_PREFIX.pack(len(data)) + data


class TestSlotFrames:
    """Frames about slots of holders."""

    @pytest.mark.parametrize(
        "message",
        [
            slots.SlotRequest(
                number=7,
                service=ids.ServiceName("archive"),
                objective=0.5,
                remaining=2.0,
                shard_key=ids.ShardKey(65535),
                priority=3,
                workspace=ids.WorkspaceId("one"),
                patience=1.5,
                objective_left=0.25,
            ),
            slots.SlotAssignment(
                number=7,
                incarnation=slots.NO_UPSTREAM,
                serves_holders=True,
                is_queued=True,
                retry_after=0.5,
            ),
            slots.SlotInUse(
                number=7,
                service=ids.ServiceName("archive"),
                incarnation=ids.UpstreamIncarnation("u1@1"),
                remaining=2.0,
            ),
        ],
    )
    def test_round_trip(self, message: object) -> None:
        """A message is received as it was sent."""
        (received,) = frames.FrameDecoder(codec.CODEC).receive(
            codec.CODEC.encode(message)
        )
        assert received == message


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

    def test_slot_request(self) -> None:
        """It asks for a slot of an undivided service."""
        (request,) = frames.FrameDecoder(codec.CODEC).receive(
            make_frame("slotRequest")
        )
        assert request.shard_key == slots.NO_SHARD_KEY

    def test_slot_assignment(self) -> None:
        """Its sender does not assign holders, and queues nothing."""
        (assignment,) = frames.FrameDecoder(codec.CODEC).receive(
            make_frame("slotAssignment")
        )
        assert not assignment.serves_holders
        assert not assignment.is_queued
        assert not assignment.retry_after

    def test_slot_report(self) -> None:
        """It does not say that the request was turned away."""
        frame = capnp.load(str(codec.SCHEMA_PATH)).Frame.new_message()
        frame.init("slotReport").result = "answered"
        report = codec.CODEC.decode(frame.to_bytes())
        assert not report.is_turned_away


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
