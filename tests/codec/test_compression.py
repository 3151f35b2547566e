"""Tests of the compression of objects in updates."""

import dataclasses
import random
import zlib

import msgspec
import pytest

from dragonflyshelf.codec import compression
from dragonflyshelf.codec import frames
from dragonflyshelf.codec import relay as codec
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.relay import messages
from dragonflyshelf.core.store import messages as store
from stand_ins import configuration

ROUTE_COUNT = 1560
"""Routes that the long configuration has."""

FOLLOWER_COUNT = 20
"""Followers of a leader in its own data centre, and its relays."""

LINK_BYTES_PER_SECOND = 10_000_000 / 8
"""Bandwidth of most instances."""

PROMISED_SECONDS = 2.0
"""Time in which a configuration is to be in force everywhere."""

SHARE_OF_FIRST_HOP = 0.25
"""Part of the promised time that may pass on the link of the leader."""


def make_long_configuration() -> bytes:
    """Return a configuration with many routes whose names are random."""
    spec = configuration.build_configuration(1, ["key-of-one"])
    generator = random.Random(21)
    row = spec["Routes"]["Rows"][0]
    columns = spec["Routes"]["Columns"]
    for _ in range(ROUTE_COUNT):
        route = list(row)
        prefix = f"/{generator.getrandbits(32):08x}/"
        route[columns.index("PathPrefix")] = prefix
        route[columns.index("Name")] = f"{generator.getrandbits(32):08x}"
        spec["Routes"]["Rows"].append(route)
    return msgspec.json.encode(spec)


def make_update(spec: bytes) -> messages.Update:
    """Return an update with one object."""
    change = messages.RelayedChange(
        name=ids.ObjectName("main"),
        revision=ids.Revision(7),
        removed=False,
        spec=spec,
    )
    relayed = messages.RelayedKind(
        kind=store.ObjectKind.CONFIGURATION,
        revision=ids.Revision(7),
        age=0.1,
        whole=False,
        changes=(change,),
        since=ids.Revision(5),
    )
    return messages.Update(number=1, kinds=(relayed,), instances=())


def with_spec(
    update: messages.Update, spec: bytes, compressed: bool
) -> messages.Update:
    """Return the update with another value of its object."""
    (relayed,) = update.kinds
    change = dataclasses.replace(
        relayed.changes[0], spec=spec, compressed=compressed
    )
    kind = dataclasses.replace(relayed, changes=(change,))
    return dataclasses.replace(update, kinds=(kind,))


class TestLongRouteListOnNarrowLink:
    """A long route list reaches all followers in time."""

    def test_time_on_the_link_of_the_leader(self) -> None:
        """Its frames for all followers pass the link soon enough."""
        update = make_update(make_long_configuration())
        frame = codec.CODEC.encode(compression.compress(update))
        seconds = len(frame) * FOLLOWER_COUNT / LINK_BYTES_PER_SECOND
        assert seconds < PROMISED_SECONDS * SHARE_OF_FIRST_HOP


class TestCompression:
    """Large objects are compressed in frames."""

    def receive(self, update: messages.Update) -> messages.Update:
        """Return an update as a follower receives it."""
        data = codec.CODEC.encode(compression.compress(update))
        (received,) = frames.FrameDecoder(codec.CODEC).receive(data)
        decompressed: messages.Update = compression.decompress(received)
        return decompressed

    def test_large_object(self) -> None:
        """It arrives unchanged."""
        update = make_update(make_long_configuration())
        assert self.receive(update) == update

    def test_small_object(self) -> None:
        """It is sent as it is."""
        update = make_update(b"{}")
        assert compression.compress(update) == update
        assert self.receive(update) == update

    def test_invalid_object(self) -> None:
        """Bytes that were never compressed are refused with a code."""
        with pytest.raises(errors.BadRequest):
            compression.decompress(with_spec(make_update(b""), b"{}", True))

    def test_cut_object(self) -> None:
        """An object that was cut is refused."""
        data = zlib.compress(make_long_configuration())[:-20]
        with pytest.raises(errors.BadRequest):
            compression.decompress(with_spec(make_update(b""), data, True))

    def test_object_that_grows_too_large(self) -> None:
        """A small frame can't take much memory."""
        data = zlib.compress(bytes(frames.MAX_FRAME_BYTES + 1))
        with pytest.raises(errors.BadRequest):
            compression.decompress(with_spec(make_update(b""), data, True))
