"""Tests of the orders of roll-outs and of their status."""

import json

import pytest

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.rollouts import messages
from dragonflyshelf.core.rollouts import objects
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.platform import objects as platform_objects
from dragonflyshelf.platform import rollouts


def decode(spec: bytes) -> objects.RolloutOrder:
    """Decode the order of the service letters."""
    return rollouts.decode_order(
        store.StoredObject(
            kind=store.ObjectKind.ROLLOUT,
            name=ids.ObjectName("letters"),
            revision=ids.Revision(7),
            spec=spec,
        )
    )


class TestOrder:
    """What an operator or another writer may have left."""

    def test_valid(self) -> None:
        """All fields are decoded."""
        order = decode(b'{"Service":"letters","Target":"v2","DurationS":12}')
        assert order == objects.RolloutOrder(
            name=ids.ObjectName("letters"),
            revision=ids.Revision(7),
            service=ids.ServiceName("letters"),
            target=ids.UpstreamVersion("v2"),
            duration=12.0,
        )

    @pytest.mark.parametrize(
        "duration",
        [b'"12"', b"0", b"-1", b"true", b"null", b"[12]", b"1e300"],
    )
    def test_odd_duration(self, duration: bytes) -> None:
        """It can be refused in its status."""
        order = decode(
            b'{"Service":"letters","Target":"v2","DurationS":%s}' % duration
        )
        assert (order.target, order.duration) == ("v2", 0.0)

    def test_missing_fields(self) -> None:
        """An order without target and duration is one to refuse."""
        order = decode(b'{"Service":"letters"}')
        assert (order.target, order.duration) == ("", 0.0)

    @pytest.mark.parametrize(
        "spec",
        [
            b"null",
            b"[]",
            b"{",
            b'{"Service":"orders","Target":"v2","DurationS":12}',
            b'{"Target":"v2","DurationS":12}',
            b'{"Service":["letters"],"Target":"v2","DurationS":12}',
            b'{"Service":"letters","Target":' + b"[" * 2000 + b"]" * 2000,
            b'{"Service":"letters","DurationS":' + b"9" * 9000 + b"}",
        ],
    )
    def test_undecodable(self, spec: bytes) -> None:
        """It raises an error with its code, or gives one to refuse."""
        try:
            order = decode(spec)
        except errors.InvalidObject as error:
            assert error.code == "DS206"
        else:
            assert not order.duration


class TestStatus:
    """The body of the call that tells the state."""

    @pytest.mark.parametrize("state", list(objects.RolloutState))
    def test_body(self, state: objects.RolloutState) -> None:
        """It has the revision seen, the state's word and the target."""
        body = json.loads(
            rollouts.encode_status(
                messages.WriteStatus(
                    name=ids.ObjectName("letters"),
                    expected_revision=ids.Revision(7),
                    status=objects.RolloutStatus(
                        state=state, target=ids.UpstreamVersion("v2")
                    ),
                    timeout=0.8,
                )
            )
        )
        assert body["Metadata"] == {"Name": "letters", "Revision": 7}
        assert body["Status"] == {
            "State": {
                objects.RolloutState.COMPLETE: "complete",
                objects.RolloutState.ROLLED_BACK: "rolled_back",
                objects.RolloutState.RUNNING: "running",
            }[state],
            "Target": "v2",
        }


class TestVersionOfARegistration:
    """The version that an upstream registers."""

    def make_spec(self, **values: object) -> bytes:
        """Return the spec of a registration."""
        fields: dict[str, object] = {
            "Service": "letters",
            "Address": "10.0.0.9:8080",
            "Zone": "a",
            "Slots": 6,
            "State": "ready",
        }
        return json.dumps(fields | values).encode()

    def decode(self, spec: bytes) -> ids.UpstreamVersion:
        """Return the version of a registration."""
        return platform_objects.decode_registration(
            store.StoredObject(
                kind=store.ObjectKind.REGISTRATION,
                name=ids.ObjectName("u1"),
                revision=ids.Revision(1),
                spec=spec,
            )
        ).version

    def test_version(self) -> None:
        """It is decoded, and empty if there is none."""
        assert self.decode(self.make_spec(Version="v2")) == "v2"
        assert self.decode(self.make_spec()) == ""

    def test_of_another_type(self) -> None:
        """A registration with an odd version names no upstream to use."""
        with pytest.raises(errors.InvalidObject):
            self.decode(self.make_spec(Version=2))
