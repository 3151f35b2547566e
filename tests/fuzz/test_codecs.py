"""Bytes and text of others end in a value or in a coded error."""

import contextlib

import h11
import hypothesis
from hypothesis import strategies
import msgspec

from dragonflyshelf.codec import http
from dragonflyshelf.codec import ini
from dragonflyshelf.codec import objects
from dragonflyshelf.codec import peer
from dragonflyshelf.codec import platform
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.language import parser
from dragonflyshelf.core import messages
from dragonflyshelf.core import states

BOUNDED = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150
)
LONGEST_DEADLINE = 10.0
WORDS = strategies.sampled_from(
    "create alter drop show explain service workspace upstreams where and"
    " rate burst = > < ( ) , ; 10 -1 1e9 'x' \" name in order by limit".split()
)
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**40), 2**40)
    | strategies.text(max_size=8),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=4),
    max_leaves=8,
)
LINES = strategies.sampled_from(
    [
        b"GET /s/k HTTP/1.1",
        b"POST / HTTP/1.1",
        b"host: a",
        b"content-length: 3",
        b"content-length: -1",
        b"transfer-encoding: chunked",
        b"x-deadline-ms: 5x",
        b"x-deadline-ms: \xb2",
        b"x-request-id: \xff",
        b"authorization: Bearer ",
        b"x-caller-key: ",
        b"",
        b"abc",
    ]
)


def frame() -> bytes:
    """Return one valid frame."""
    return peer.encode(
        messages.AnswerChunk(exchange=ids.ExchangeId(1), data=b"abc")
    )


class TestPeerFrames:
    """Frames of other instances."""

    @BOUNDED
    @hypothesis.given(strategies.binary(max_size=200))
    def test_bytes(self, data: bytes) -> None:
        """Any bytes are taken in or refused by a coded error."""
        with contextlib.suppress(errors.BadRequest):
            peer.FrameDecoder().receive(data)

    @BOUNDED
    @hypothesis.given(
        strategies.integers(0, len(frame()) - 1), strategies.integers(0, 255)
    )
    def test_one_byte_changed(self, position: int, value: int) -> None:
        """So is a valid frame with one byte changed."""
        data = bytearray(frame())
        data[position] = value
        with contextlib.suppress(errors.BadRequest):
            peer.FrameDecoder().receive(bytes(data))

    @BOUNDED
    @hypothesis.given(
        strategies.lists(strategies.integers(1, 40), min_size=1, max_size=6)
    )
    def test_any_pieces(self, sizes: list[int]) -> None:
        """The pieces in which frames come make no difference."""
        data = frame() * 3
        decoder = peer.FrameDecoder()
        found = []
        for size in [*sizes, len(data)]:
            found += decoder.receive(data[:size])
            data = data[size:]
        assert len(found) == 3


class TestPlatform:
    """Answers and objects of the platform."""

    @BOUNDED
    @hypothesis.given(strategies.binary(max_size=100))
    def test_bytes(self, data: bytes) -> None:
        """Bytes that are no listing raise the library's error."""
        for decode in (platform.decode_listing, platform.decode_record):
            with contextlib.suppress(msgspec.DecodeError):
                decode(data)

    @BOUNDED
    @hypothesis.given(strategies.sampled_from(states.ObjectKind), JSON)
    def test_values(self, kind: states.ObjectKind, value: object) -> None:
        """A value that is no object of its kind is refused by code."""
        with contextlib.suppress(errors.PlatformUnavailable):
            objects.from_plain(kind, value)


class TestSettings:
    """Settings files."""

    @BOUNDED
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(
                ["[instance]", "name = a", "data_centre = b", "[listen]"]
            )
            | strategies.text(max_size=20),
            max_size=8,
        )
    )
    def test_lines(self, lines: list[str]) -> None:
        """Any text is read or its mistakes are named."""
        with contextlib.suppress(ini.BadSettingsFile):
            ini.parse("x.ini", "\n".join(lines))


class TestRequestHead:
    """Heads of callers' requests."""

    @BOUNDED
    @hypothesis.given(strategies.lists(LINES, max_size=7))
    def test_lines(self, lines: list[bytes]) -> None:
        """Any head is taken in or refused as not valid."""
        connection = h11.Connection(h11.SERVER)
        connection.receive_data(b"\r\n".join(lines) + b"\r\n\r\n")
        with contextlib.suppress(h11.RemoteProtocolError, errors.BadRequest):
            event = connection.next_event()
            if isinstance(event, h11.Request):
                head = http.request_head(
                    event,
                    ids.RequestId("r"),
                    ids.Instant(0.0),
                    LONGEST_DEADLINE,
                )
                assert head.deadline <= LONGEST_DEADLINE


class TestLanguage:
    """Queries and commands of operators."""

    @BOUNDED
    @hypothesis.given(
        strategies.lists(WORDS | strategies.text(max_size=5), max_size=10)
    )
    def test_words(self, words: list[str]) -> None:
        """Any text is parsed or refused by a coded error."""
        with contextlib.suppress(errors.RouterError):
            parser.parse(" ".join(words))
