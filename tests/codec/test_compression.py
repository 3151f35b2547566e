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

NARROWEST_LINK_BYTES_PER_SECOND = 5_000_000 / 8
"""Bandwidth of the instances with the narrowest link."""

VERSION_COUNT = 5
"""Versions in quick succession."""

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


def change_routes(spec: bytes, version: int) -> bytes:
    """Return a configuration whose version and one route are different."""
    configured = msgspec.json.decode(spec)
    configured["Version"] = f"r{version}"
    rows = configured["Routes"]["Rows"]
    columns = configured["Routes"]["Columns"]
    rows[version * 100][columns.index("Service")] = "archive"
    return msgspec.json.encode(configured)


def decompress(update: messages.Update) -> messages.Update:
    """Return the first update of a connection as it was before."""
    return compression.UpdateDecompressor().decompress(update)


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
        compressor = compression.UpdateCompressor()
        compressed = compressor.compress(update, allow_deltas=False)
        frame = codec.CODEC.encode(compressed)
        seconds = len(frame) * FOLLOWER_COUNT / LINK_BYTES_PER_SECOND
        assert seconds < PROMISED_SECONDS * SHARE_OF_FIRST_HOP

    def test_versions_in_quick_succession(self) -> None:
        """Versions within a second took 1.9 s on the link of a relay."""
        compressor = compression.UpdateCompressor()
        first = make_long_configuration()
        compressor.compress(make_update(first), allow_deltas=True)
        size = 0
        for version in range(2, 2 + VERSION_COUNT):
            spec = change_routes(first, version)
            compressed = compressor.compress(make_update(spec), True)
            size += len(codec.CODEC.encode(compressed))
        seconds = size * FOLLOWER_COUNT / NARROWEST_LINK_BYTES_PER_SECOND
        assert seconds < PROMISED_SECONDS * SHARE_OF_FIRST_HOP


@dataclasses.dataclass(kw_only=True)
class Connection:
    """Both ends of a connection between a leader and a follower."""

    accepts_deltas: bool = True
    compressor: compression.UpdateCompressor = dataclasses.field(
        default_factory=compression.UpdateCompressor
    )
    decompressor: compression.UpdateDecompressor = dataclasses.field(
        default_factory=compression.UpdateDecompressor
    )
    frame_sizes: list[int] = dataclasses.field(default_factory=list)

    def send(self, update: messages.Update) -> messages.Update:
        """Return an update as the follower receives it."""
        compressed = self.compressor.compress(update, self.accepts_deltas)
        data = codec.CODEC.encode(compressed)
        self.frame_sizes.append(len(data))
        (received,) = frames.FrameDecoder(codec.CODEC).receive(data)
        return self.decompressor.decompress(received)


class TestChangedObject:
    """An object that was sent before is sent as a difference."""

    @pytest.mark.parametrize("accepts_deltas", [False, True])
    def test_versions(self, accepts_deltas: bool) -> None:
        """Each version arrives unchanged."""
        connection = Connection(accepts_deltas=accepts_deltas)
        first = make_long_configuration()
        for version in range(1, 6):
            update = make_update(change_routes(first, version))
            assert connection.send(update) == update
        is_small = connection.frame_sizes[-1] < connection.frame_sizes[0] / 10
        assert is_small is accepts_deltas

    def test_small_object_in_between(self) -> None:
        """Both ends keep the same base when an object is small for a time."""
        connection = Connection()
        first = make_long_configuration()
        for spec in (first, b"{}", change_routes(first, 2)):
            update = make_update(spec)
            assert connection.send(update) == update

    def test_follower_that_starts_later(self) -> None:
        """A new connection gets the whole object first."""
        connection = Connection()
        connection.send(make_update(make_long_configuration()))
        compressed = connection.compressor.compress(
            make_update(b"0" * 2000), allow_deltas=True
        )
        with pytest.raises(errors.BadRequest):
            compression.UpdateDecompressor().decompress(compressed)


class TestCompression:
    """Large objects are compressed in frames."""

    def receive(self, update: messages.Update) -> messages.Update:
        """Return an update as a follower receives it."""
        return Connection().send(update)

    def test_large_object(self) -> None:
        """It arrives unchanged."""
        update = make_update(make_long_configuration())
        assert self.receive(update) == update

    def test_small_object(self) -> None:
        """It is sent as it is."""
        update = make_update(b"{}")
        compressor = compression.UpdateCompressor()
        assert compressor.compress(update, allow_deltas=True) == update
        assert self.receive(update) == update

    def test_invalid_object(self) -> None:
        """Bytes that were never compressed are refused with a code."""
        with pytest.raises(errors.BadRequest):
            decompress(with_spec(make_update(b""), b"{}", True))

    def test_cut_object(self) -> None:
        """An object that was cut is refused."""
        data = zlib.compress(make_long_configuration())[:-20]
        with pytest.raises(errors.BadRequest):
            decompress(with_spec(make_update(b""), data, True))

    def test_object_that_grows_too_large(self) -> None:
        """A small frame can't take much memory."""
        data = zlib.compress(bytes(frames.MAX_FRAME_BYTES + 1))
        with pytest.raises(errors.BadRequest):
            decompress(with_spec(make_update(b""), data, True))
