"""Codec of the relay messages between instances."""

import pathlib
from typing import Final

from dragonflyshelf.codec import frames
from dragonflyshelf.core.relay import messages
from dragonflyshelf.core.slots import messages as slots

SCHEMA_PATH: Final = pathlib.Path(__file__).with_name("relay.capnp")

CODEC: Final = frames.FrameCodec(
    SCHEMA_PATH,
    {
        "ask": messages.UpdateRequest,
        "borrow": messages.TokenRequests,
        "lend": messages.TokenAllocations,
        "slotAssignment": slots.SlotAssignment,
        "slotInUse": slots.SlotInUse,
        "slotReport": slots.SlotReport,
        "slotRequest": slots.SlotRequest,
        "update": messages.Update,
    },
)
