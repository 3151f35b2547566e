"""Tests of the decoding of objects in the platform's store."""

import dataclasses
import json
from typing import Any

import hypothesis
from hypothesis import strategies
import pytest

from dragonflyshelf.codec import http
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.routing import objects as routing
from dragonflyshelf.core import states
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.platform import objects
from stand_ins import configuration

pytestmark = pytest.mark.usefixtures("character_tables")

RECORD = {
    "Service": "letters",
    "Address": "10.0.0.9:8080",
    "Zone": "a",
    "Version": "v1",
    "Slots": 6,
    "State": "ready",
    "WarmupLeftS": 1.5,
    "Sequence": 4,
    "born": 1788000000000,
}
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**40), 2**40)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=8),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=3),
    max_leaves=6,
)


def make_stored_object(spec: object) -> store.StoredObject:
    """Return a stored registration with the given value."""
    return store.StoredObject(
        kind=store.ObjectKind.REGISTRATION,
        name=ids.ObjectName("u1"),
        revision=ids.Revision(3),
        spec=json.dumps(spec).encode(),
    )


class TestRegistration:
    """Registrations of upstreams are decoded."""

    def test_fields(self) -> None:
        """Each field of the platform's format is decoded."""
        registration = objects.decode_registration(make_stored_object(RECORD))
        assert (registration.id, registration.service) == ("u1", "letters")
        assert (registration.host, registration.port) == ("10.0.0.9", 8080)
        assert (registration.data_centre, registration.slots) == ("a", 6)
        assert (
            registration.is_draining,
            registration.warmup_left_seconds,
        ) == (False, 1.5)
        assert registration.incarnation == "u1@1788000000000"

    @pytest.mark.parametrize("field", ["Service", "Address", "Zone", "State"])
    def test_missing_field(self, field: str) -> None:
        """A registration without a required field is rejected."""
        spec = {name: value for name, value in RECORD.items() if name != field}
        with pytest.raises(errors.InvalidObject):
            objects.decode_registration(make_stored_object(spec))

    @pytest.mark.parametrize(
        ("field", "value"),
        [
            ("Address", "nowhere"),
            ("Address", ":80"),
            ("Address", "a:b"),
            ("Address", "10.0.0.9:0"),
            ("Address", "10.0.0.9:-5"),
            ("Address", "10.0.0.9:99999"),
            ("Address", "10.0.0.9:" + "9" * 5000),
            ("Address", "10.0.0.9:\u0663\u0663"),
            ("Address", "10.0.0.9:8_0"),
            ("Address", "10.0.0.9\x00:80"),
            ("Address", "10.0.0.9 :80"),
            ("Slots", "six"),
            ("Slots", 0),
            ("Slots", 10**40),
            ("Slots", 65536),
            ("Service", ""),
            ("State", "asleep"),
            ("WarmupLeftS", -1),
            ("WarmupLeftS", 1e300),
            ("born", 10**30),
            ("born", 1.5),
        ],
    )
    def test_invalid_field(self, field: str, value: object) -> None:
        """A registration with an invalid value is rejected."""
        with pytest.raises(errors.InvalidObject):
            objects.decode_registration(
                make_stored_object({**RECORD, field: value})
            )

    def test_deep_value(self) -> None:
        """A value that is nested too deeply is rejected."""
        stored = dataclasses.replace(
            make_stored_object(RECORD), spec=b"[" * 5000 + b"]" * 5000
        )
        with pytest.raises(errors.InvalidObject):
            objects.decode_registration(stored)

    @hypothesis.given(strategies.binary(max_size=64))
    def test_any_bytes(self, spec: bytes) -> None:
        """Any bytes are rejected with an error of the router."""
        stored = dataclasses.replace(make_stored_object(RECORD), spec=spec)
        with pytest.raises(errors.InvalidObject):
            objects.decode_registration(stored)

    @hypothesis.given(
        strategies.fixed_dictionaries({}, optional=dict.fromkeys(RECORD, JSON))
    )
    def test_any_values(self, changed: dict[str, object]) -> None:
        """Any value is decoded to a valid registration or rejected."""
        try:
            registration = objects.decode_registration(
                make_stored_object({**RECORD, **changed})
            )
        except errors.InvalidObject:
            return
        assert 1 <= registration.slots <= objects.MAX_SLOT_COUNT
        assert registration.port in objects.PORTS
        assert registration.warmup_left_seconds <= objects.MAX_WARMUP_SECONDS
        assert registration.host


class TestConfiguration:
    """The operator's configuration is decoded."""

    def decode(self, spec: object) -> routing.Configuration:
        """Return the decoded configuration."""
        return objects.decode_configuration(json.dumps(spec).encode())

    def test_tables(self) -> None:
        """Rows are decoded by column, and null means the default."""
        decoded = self.decode(configuration.build_configuration(12, ["k"]))
        assert decoded.version == 12
        order = decoded.routes[1]
        assert order.kind is routing.RequestKind.NON_IDEMPOTENT
        assert (order.timeout, order.latency_objective) == (2.0, 1.0)
        assert [target.service for target in order.traffic_split] == [
            "letters"
        ]
        assert [service.is_sharded for service in decoded.services] == [
            False,
            True,
        ]
        workspace = decoded.workspaces[0]
        assert workspace.key_digests == (http.digest_key(b"k"),)
        assert (workspace.rate, workspace.burst) == (1000.0, 1000.0)

    @pytest.mark.parametrize(
        ("name", "kind", "is_idempotent"),
        [
            ("download", routing.RequestKind.DOWNLOAD, True),
            ("safe", routing.RequestKind.IDEMPOTENT, True),
            ("unsafe", routing.RequestKind.NON_IDEMPOTENT, False),
            ("upload", routing.RequestKind.UPLOAD, False),
        ],
    )
    def test_kinds(
        self, name: str, kind: routing.RequestKind, is_idempotent: bool
    ) -> None:
        """Each kind is decoded, and tells whether it may be repeated."""
        spec: Any = configuration.build_configuration(1, ["k"])
        columns = spec["Routes"]["Columns"]
        spec["Routes"]["Rows"][0][columns.index("Kind")] = name
        decoded = self.decode(spec).routes[0].kind
        assert (decoded, decoded.is_idempotent) == (kind, is_idempotent)

    def test_no_workspaces(self) -> None:
        """Without the table everyone is let in, without a row nobody."""
        spec: Any = configuration.build_configuration(1, ["k"])
        spec["Tenants"]["Rows"] = []
        assert self.decode(spec).access is states.Access.PRIVATE
        del spec["Tenants"]
        assert self.decode(spec).access is states.Access.OPEN

    def test_caller_key_is_not_kept(self) -> None:
        """Only the digest of a caller key is kept."""
        decoded = self.decode(
            configuration.build_configuration(1, ["secret-key"])
        )
        assert "secret-key" not in repr(decoded)

    def test_traffic_split(self) -> None:
        """A traffic split has services with weights."""
        spec = configuration.build_configuration(1, ["k"])
        spec["Routes"] = {
            "Columns": [
                "Name",
                "Host",
                "PathPrefix",
                "Kind",
                "TimeoutS",
                "MaxAttempts",
                "TrafficSplit",
            ],
            "Rows": [
                [
                    "r",
                    "A.b",
                    "/x/",
                    "safe",
                    1,
                    2,
                    [
                        {"Service": "letters", "Weight": 90},
                        {"Service": "archive", "Weight": 10},
                    ],
                ]
            ],
        }
        (route,) = self.decode(spec).routes
        assert route.host == "a.b"
        assert [target.weight for target in route.traffic_split] == [
            90.0,
            10.0,
        ]

    @pytest.mark.parametrize("version", ["", "r", "rx", "x1"])
    def test_invalid_version(self, version: str) -> None:
        """A version that is not a number is rejected, not taken as 0."""
        spec = configuration.build_configuration(1, ["k"])
        with pytest.raises(errors.InvalidObject):
            self.decode({**spec, "Version": version})

    @pytest.mark.parametrize(
        ("table", "column", "value", "place", "shown"),
        [
            ("Routes", "Kind", "odd", "Routes.Rows[0].Kind", "'odd'"),
            ("Routes", "TimeoutS", "2 s", "Routes.Rows[0].TimeoutS", "'2 s'"),
            ("Services", "Sharded", 1, "Services.Rows[0].Sharded", "1"),
            (
                "Tenants",
                "RatePerS",
                "a-caller-key",
                "Tenants.Rows[0].RatePerS",
                "not shown",
            ),
            (
                "Tenants",
                "ApiKeys",
                ["a-caller-key", 7],
                "Tenants.Rows[0].ApiKeys[1]",
                "7",
            ),
        ],
    )
    def test_place_of_a_fault(
        self, table: str, column: str, value: object, place: str, shown: str
    ) -> None:
        """The error names version, field and value, but no caller key."""
        spec: Any = configuration.build_configuration(9, ["k"])
        index = spec[table]["Columns"].index(column)
        spec[table]["Rows"][0][index] = value
        with pytest.raises(errors.InvalidObject) as raised:
            self.decode(spec)
        error = raised.value
        assert (error.version, error.place) == ("r9", place)
        assert error.value == shown
        assert "a-caller-key" not in str(error) + error.value

    @hypothesis.given(JSON)
    def test_any_value(self, spec: object) -> None:
        """A value that is not a configuration raises a coded error."""
        with pytest.raises(errors.InvalidObject):
            self.decode(spec)
