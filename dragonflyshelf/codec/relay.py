"""Codec of the relay messages between instances."""

import pathlib
from typing import Final

from dragonflyshelf.codec import frames
from dragonflyshelf.core.relay import messages

SCHEMA_PATH: Final = pathlib.Path(__file__).with_name("relay.capnp")

CODEC: Final = frames.FrameCodec(
    SCHEMA_PATH,
    {
        "ask": messages.UpdateRequest,
        "borrow": messages.TokenRequests,
        "lend": messages.TokenAllocations,
        "update": messages.Update,
    },
)
