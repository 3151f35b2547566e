"""Tests of dragonflyshelf.platform.records."""

import contextlib
import json
from typing import Any

import h11
import hypothesis
from hypothesis import strategies
import pytest

from dragonflyshelf.codec import frames
from dragonflyshelf.codec import relay as relay_codec
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.relay import messages as relay
from dragonflyshelf.core.relay import updates
from dragonflyshelf.core.store import messages
from dragonflyshelf.core.store import replica
from dragonflyshelf.platform import records
from dragonflyshelf.runtime.gateway import decoding

Kind = messages.ObjectKind
NOW = ids.Instant(5.0)
SINCE = ids.Revision(4)
"""Revision of the lists, after which the watches begin."""

DETERMINISTIC = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200, database=None
)

GOOD_SPEC = (
    b'{"Service":"letters","Address":"10.0.0.9:8080","Zone":"a",'
    b'"Slots":6,"State":"ready","born":7}'
)
MAX_OBJECT_BYTES = 1_000_000
"""Bytes that the store allows for an object."""

DEEP = b"[" * 2000 + b"]" * 2000
ODD_VALUES = [
    b'"\\ud800"',
    b'{"a":"\\ud800"}',
    b'["\\udfff"]',
    DEEP,
    b'{"a":' * 1500 + b"1" + b"}" * 1500,
    b'"\n"',
    b'"\\x"',
]
"""Values of which a decoder rejects all that stands beside them."""

ODD_REVISIONS = [
    b"null",
    b"0",
    b"-4",
    b"4.5",
    b"1e999",
    b'"4"',
    b"9" * 30,
    b"9" * 9000,
    b"18446744073709551616",
    b"[]",
    b'"\\ud800"',
]
ODD_SPECS = [
    *ODD_VALUES,
    b"null",
    b"7",
    b"{}",
    b'"\xff"',
    GOOD_SPEC.replace(b"8080", b"70000"),
    GOOD_SPEC.replace(b"8080", b"9" * 9000),
    GOOD_SPEC.replace(b"6", b"9" * 9000),
    GOOD_SPEC.replace(b"6", b"1e999"),
    GOOD_SPEC.replace(b"6", DEEP),
    GOOD_SPEC.replace(b"ready", b"asleep"),
]


def encode_object(
    name: bytes = b'"u1"',
    revision: bytes = b"4",
    spec: bytes = GOOD_SPEC,
    status: bytes = b"{}",
) -> bytes:
    """Return an object of the store, made of encoded values."""
    return b'{"Metadata":{"Name":%s,"Revision":%s},"Spec":%s,"Status":%s}' % (
        name,
        revision,
        spec,
        status,
    )


def encode_event(encoded_object: bytes, removed: bytes = b"false") -> bytes:
    """Return an event of a watch."""
    return b'{"Object":%s,"Removed":%s}' % (encoded_object, removed)


def decode_events(
    *events: bytes, kind: Kind = Kind.REGISTRATION, revision: int = 9
) -> records.Changes:
    """Return the changes after ``SINCE`` in a response to a watch."""
    body = b'{"events":[%s],"StoreRevision":%d}' % (
        b",".join(events),
        revision,
    )
    return records.decode_changes(kind, body, SINCE)


def decode_items(
    *items: bytes, kind: Kind = Kind.REGISTRATION
) -> records.Listing:
    """Return the objects of a page."""
    body = b'{"items":[%s],"StoreRevision":4}' % b",".join(items)
    return records.decode_page(kind, body)


class Instance:
    """Replica of an instance and the upstreams that it names."""

    def __init__(self) -> None:
        """Create an empty replica."""
        self.replica = replica.Replica()
        self._decoded_objects = decoding.DecodedObjects()

    def apply(self, event: messages.KindListed | messages.KindChanged) -> None:
        """Apply an event of the store or of a relay."""
        if isinstance(event, messages.KindListed):
            applied = self.replica.apply_list(event)
        else:
            applied = self.replica.apply_changes(event)
        for change in applied:
            self._decoded_objects.apply(change)

    def apply_list(self, *items: bytes) -> None:
        """Apply a list of registrations."""
        listing = decode_items(*items)
        self.apply(
            messages.KindListed(
                kind=Kind.REGISTRATION,
                revision=listing.revision,
                objects=listing.objects,
                sent_at=NOW,
            )
        )

    def apply_events(self, *events: bytes, revision: int = 9) -> None:
        """Apply the changes of a watch up to a revision of the store."""
        decoded = decode_events(*events, revision=revision)
        self.apply(
            messages.KindChanged(
                kind=Kind.REGISTRATION,
                revision=decoded.revision,
                changes=decoded.changes,
                confirmed_at=NOW,
            )
        )

    def follow(self, source: "Instance") -> None:
        """Apply an update of another instance, as it would be sent."""
        known = relay.KnownRevision(
            kind=Kind.REGISTRATION,
            revision=self.replica.by_kind(Kind.REGISTRATION).revision,
        )
        kinds = updates.relayed_kinds(source.replica, (known,), NOW)
        update = relay.Update(number=1, kinds=kinds, instances=())
        frame = relay_codec.CODEC.encode(update)
        assert len(frame) < frames.MAX_FRAME_BYTES
        (received,) = frames.FrameDecoder(relay_codec.CODEC).receive(frame)
        for relayed_kind in received.kinds:
            self.apply(updates.to_event(relayed_kind, NOW))

    def upstream_ids(self) -> list[str]:
        """Return the upstreams to which requests may be sent."""
        registrations = self._decoded_objects.values(Kind.REGISTRATION)
        return sorted(registration.id for registration in registrations)


class TestUnreadableChange:
    """A change of which a part cannot be read.

    Reported: after an odd status on its entry, an upstream that left was not
    noticed (DRAIN).
    """

    def check_change(self, event: bytes) -> None:
        """Check that a known upstream is gone until a valid change."""
        instance, follower = Instance(), Instance()
        instance.apply_list(encode_object())
        follower.follow(instance)
        assert follower.upstream_ids() == instance.upstream_ids() == ["u1"]
        other = encode_event(encode_object(name=b'"u2"', revision=b"8"))
        instance.apply_events(event, other)
        follower.follow(instance)
        assert follower.upstream_ids() == instance.upstream_ids() == ["u2"]
        valid = encode_event(encode_object(revision=b"12"))
        instance.apply_events(valid, revision=12)
        follower.follow(instance)
        names = ["u1", "u2"]
        assert follower.upstream_ids() == instance.upstream_ids() == names

    @pytest.mark.parametrize("value", ODD_VALUES)
    def test_status(self, value: bytes) -> None:
        """What stands beside the value can't be read."""
        odd = encode_object(revision=b"6", status=value)
        self.check_change(encode_event(odd))

    @pytest.mark.parametrize("value", ODD_SPECS)
    def test_value(self, value: bytes) -> None:
        """The value itself can't be read, or is none of an upstream."""
        odd = encode_object(revision=b"6", spec=value)
        self.check_change(encode_event(odd))

    @pytest.mark.parametrize("value", ODD_REVISIONS)
    def test_revision(self, value: bytes) -> None:
        """The change has a revision before that of the next one."""
        odd = encode_object(revision=value)
        first = encode_event(encode_object(name=b'"u0"', revision=b"5"))
        decoded = decode_events(first, encode_event(odd))
        assert [change.revision for change in decoded.changes] == [5, 6]
        leave = encode_event(
            encode_object(name=b'"u0"', revision=b"6"), b"true"
        )
        instance = Instance()
        instance.apply_list(encode_object())
        instance.apply_events(first, encode_event(odd), leave)
        assert instance.upstream_ids() == []

    @pytest.mark.parametrize("value", [*ODD_VALUES, b"null", b"7"])
    def test_kind_of_change(self, value: bytes) -> None:
        """It isn't known whether the upstream is gone: it is not used."""
        odd = encode_object(revision=b"6")
        self.check_change(encode_event(odd, value))

    @pytest.mark.parametrize("value", ODD_VALUES)
    def test_removal(self, value: bytes) -> None:
        """The removal of an object that can't be read holds."""
        odd = encode_object(revision=b"6", status=value)
        decoded = decode_events(encode_event(odd, b"true"))
        (change,) = decoded.changes
        assert isinstance(change, messages.ObjectRemoved)
        assert (change.name, change.revision) == ("u1", 6)

    @pytest.mark.parametrize(
        "event",
        [
            b"7",
            b"{}",
            b'{"Object":7}',
            encode_event(encode_object(name=b"7")),
            encode_event(encode_object(name=b'"\\ud800"')),
            encode_event(b'{"Metadata":%s}' % DEEP),
        ],
    )
    def test_nameless(self, event: bytes) -> None:
        """Any object may have changed: all are listed again."""
        good = encode_event(encode_object())
        with pytest.raises(errors.WatchExpired):
            decode_events(good, event)

    @pytest.mark.parametrize(
        "kind", [Kind.CONFIGURATION, Kind.CONTROL, Kind.EVACUATION]
    )
    @pytest.mark.parametrize("value", ODD_VALUES)
    def test_value_of_other_kinds(self, kind: Kind, value: bytes) -> None:
        """What stands beside it voids no configuration, plan or lease."""
        odd = encode_object(status=value)
        (change,) = decode_events(encode_event(odd), kind=kind).changes
        (listed,) = decode_items(odd, kind=kind).objects
        assert change == listed
        assert listed.spec == GOOD_SPEC


class TestLongEntries:
    """Entries of the registry that are as long as the store allows.

    An update with ten of them was too long a frame, so that the followers
    of an instance that had listed them got nothing from it any more.
    """

    @pytest.mark.parametrize("is_valid", [False, True])
    def test_update(self, is_valid: bool) -> None:
        """They name no upstream, and the others reach the followers."""
        instance, follower = Instance(), Instance()
        padding = b',"a":"%s"}' % (b"x" * MAX_OBJECT_BYTES)
        spec = (GOOD_SPEC if is_valid else b'{"b":1}')[:-1] + padding
        odd = [
            encode_object(name=b'"z%d"' % number, spec=spec)
            for number in range(10)
        ]
        instance.apply_list(encode_object(), *odd)
        follower.follow(instance)
        assert follower.upstream_ids() == instance.upstream_ids() == ["u1"]

    def test_evacuation(self) -> None:
        """It holds by its name, whatever has been written into it."""
        odd = encode_object(spec=b'"%s"' % (b"x" * MAX_OBJECT_BYTES))
        (stored,) = decode_items(odd, kind=Kind.EVACUATION).objects
        decoded_objects = decoding.DecodedObjects()
        decoded_objects.apply(stored)
        assert decoded_objects.values(Kind.EVACUATION) == ("u1",)
        assert len(stored.spec) <= records.MAX_ENTRY_BYTES


class TestUnusableNames:
    """Names of entries that can't be the id of an upstream.

    A request says to which upstream it goes. It could not be sent, and the
    caller of one that is not idempotent got an unknown outcome.
    """

    @pytest.mark.parametrize(
        "name", ["", " ", "a\n", "a\r\nb: c", "a\0", " a", "a ", "\t", "\x7f"]
    )
    def test_no_upstream(self, name: str) -> None:
        """The entry names no upstream."""
        instance = Instance()
        odd = encode_object(name=json.dumps(name).encode())
        instance.apply_list(encode_object(), odd)
        assert instance.upstream_ids() == ["u1"]

    @pytest.mark.parametrize("name", ["a", "a copy 1", "i-7f3a91c2", "é"])
    def test_upstream(self, name: str) -> None:
        """What a request can carry is used."""
        instance = Instance()
        instance.apply_list(encode_object(name=json.dumps(name).encode()))
        assert instance.upstream_ids() == [name]


class TestUnreadableResponse:
    """A response that is no list of records."""

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"{",
            b"[]",
            b"null",
            b'{"events":7,"items":7,"StoreRevision":9}',
            b'{"events":[],"items":[]}',
            b'{"events":[],"items":[],"StoreRevision":0}',
            b'{"events":[],"items":[],"StoreRevision":"9"}',
            b'{"events":[%s,"items":[%s,"StoreRevision":9}' % (DEEP, DEEP),
            b'{"events":[%s],"items":[%s],"StoreRevision":%s}'
            % (DEEP, DEEP, b"9" * 9000),
        ],
    )
    def test_response(self, body: bytes) -> None:
        """It is an error of the store: the replica stays as it is."""
        with pytest.raises(errors.PlatformUnavailable):
            records.decode_page(Kind.REGISTRATION, body)
        with pytest.raises(errors.PlatformUnavailable):
            records.decode_changes(Kind.REGISTRATION, body, SINCE)

    def test_older_revision(self) -> None:
        """A watch does not go back to what it has had."""
        body = b'{"events":[],"StoreRevision":2}'
        decoded = records.decode_changes(Kind.REGISTRATION, body, SINCE)
        assert decoded.revision == SINCE


JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.floats()
    | strategies.integers()
    | strategies.text(),
    lambda children: strategies.lists(children, max_size=4)
    | strategies.dictionaries(strategies.text(), children, max_size=4),
    max_leaves=8,
).map(lambda value: json.dumps(value).encode())
VALUES = JSON_VALUES | strategies.sampled_from(
    [*ODD_SPECS, *ODD_REVISIONS, GOOD_SPEC]
)
PLAIN_NAMES = strategies.text(
    strategies.characters(exclude_categories=["Cs"]), min_size=1
)


@strategies.composite
def odd_registrations(draw: strategies.DrawFn) -> bytes:
    """Draw an entry of which any part may be odd or missing."""
    fields: dict[str, Any] = {
        "Service": b'"letters"',
        "Address": b'"10.0.0.9:8080"',
        "Zone": b'"a"',
        "Slots": b"6",
        "State": b'"ready"',
        "born": b"7",
        "WarmupLeftS": b"0",
    }
    odd_names = draw(strategies.sets(strategies.sampled_from(sorted(fields))))
    for name in odd_names:
        fields[name] = draw(VALUES)
    for name in draw(strategies.sets(strategies.sampled_from(sorted(fields)))):
        del fields[name]
    parts = (b'"%s":%s' % (key.encode(), fields[key]) for key in fields)
    return encode_object(
        name=json.dumps(draw(PLAIN_NAMES)).encode(),
        revision=draw(strategies.just(b"5") | VALUES),
        spec=draw(strategies.just(b"{%s}" % b",".join(parts)) | VALUES),
        status=draw(VALUES),
    )


class TestAnyEntries:
    """Whatever another writer leaves, the other entries hold.

    It neither ends nor stalls an instance or one that follows it.
    """

    @DETERMINISTIC
    @hypothesis.given(strategies.lists(odd_registrations() | VALUES))
    def test_list(self, odd_items: list[bytes]) -> None:
        """A list with any entries among two that are valid."""
        instance, follower = Instance(), Instance()
        first = encode_object(name=b'"the-valid-first"')
        last = encode_object(name=b'"the-valid-last"')
        instance.apply_list(first, *odd_items, last)
        follower.follow(instance)
        names = instance.upstream_ids()
        assert {"the-valid-first", "the-valid-last"} <= set(names)
        assert follower.upstream_ids() == names
        for name in names:
            header = (b"expect-instance", name.encode())
            h11.Request(
                method=b"GET", target=b"/", headers=[(b"host", b"a"), header]
            )

    @DETERMINISTIC
    @hypothesis.given(
        strategies.lists(odd_registrations(), max_size=4),
        strategies.lists(odd_registrations() | VALUES, max_size=3),
        VALUES,
    )
    def test_watch(
        self,
        odd_objects: list[bytes],
        odd_events: list[bytes],
        removed: bytes,
    ) -> None:
        """Any changes, of which those without a name are listed again."""
        instance, follower = Instance(), Instance()
        instance.apply_list(encode_object(name=b'"the-valid-first"'))
        follower.follow(instance)
        events = [encode_event(odd, removed) for odd in odd_objects]
        instance.apply_events(*events)
        follower.follow(instance)
        assert "the-valid-first" in instance.upstream_ids()
        assert follower.upstream_ids() == instance.upstream_ids()
        with contextlib.suppress(errors.WatchExpired):
            instance.apply_events(*events, *odd_events)
            follower.follow(instance)
        assert follower.upstream_ids() == instance.upstream_ids()
