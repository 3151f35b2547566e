"""Tests of absent, empty and odd fields of the configuration.

The operators' page has a table of them; each row is checked here against
the decoder.
"""

import copy
import json
import pathlib
from typing import Any, Final

import pytest

from dragonflyshelf.core.configuration import validity
from dragonflyshelf.core import errors
from dragonflyshelf.core.routing import objects as routing
from dragonflyshelf.core import states
from dragonflyshelf.platform import objects
from dragonflyshelf.platform import violations

PAGE_PATH: Final = pathlib.Path(__file__).parents[2] / "docs" / "OPERATORS.md"
NOT_APPLICABLE: Final = "-"
VOID: Final = "void"
OMITTED: Final = object()
COLUMN_NAMES: Final = ("omitted", "empty", "0", "below zero")

VALID: Final[dict[str, Any]] = {
    "Version": "r3",
    "Routes": [
        {
            "Name": "read",
            "Host": "a.b",
            "PathPrefix": "/read/",
            "Kind": "safe",
            "TimeoutS": 2,
            "SloLatencyS": 0.5,
            "Priority": 1,
            "MaxAttempts": 2,
            "TrafficSplit": [
                {"Service": "x", "Weight": 9},
                {"Service": "y", "Weight": 1},
            ],
            "Public": False,
            "Service": "x",
        },
        {
            "Name": "order",
            "Host": "a.b",
            "PathPrefix": "/order/",
            "Kind": "unsafe",
            "TimeoutS": 2,
            "SloLatencyS": 0.5,
            "Priority": 1,
            "MaxAttempts": 2,
            "TrafficSplit": None,
            "Public": True,
            "Service": "x",
        },
    ],
    "Services": [
        {
            "Name": name,
            "HealthPath": "/healthz",
            "MaxConnections": 110,
            "WarmupS": 3,
            "WarmupPerS": 6,
            "Sharded": False,
        }
        for name in ("x", "y")
    ],
    "Tenants": [
        {
            "Name": name,
            "ApiKeys": [f"key-of-{name}"],
            "Priority": 1,
            "RatePerS": 80,
            "Burst": 80,
        }
        for name in ("one", "two")
    ],
    "Limits": {
        "MaxHeaderBytes": 8192,
        "MaxBodyBytes": 1000000,
        "HeaderTimeoutS": 4,
        "IdleTimeoutS": 20,
    },
}
TABLES: Final = ("Routes", "Services", "Tenants")
ROW_BY_FIELD: Final = {"Routes.Service": 1}
"""Row whose field is changed, of fields that the first row doesn't use."""


def make_values() -> dict[str, Any]:
    """Return a valid configuration with its rows by field name."""
    return copy.deepcopy(VALID)


def encode(values: dict[str, Any]) -> bytes:
    """Return a configuration in the platform's format."""
    spec = dict(values)
    for table in TABLES:
        rows = spec.get(table)
        if isinstance(rows, list):
            columns = list(VALID[table][0])
            spec[table] = {
                "Columns": columns,
                "Rows": [[row.get(name) for name in columns] for row in rows],
            }
    return json.dumps(spec).encode()


def decode(values: dict[str, Any]) -> routing.Configuration:
    """Decode a configuration with its rows by field name."""
    return objects.decode_configuration(encode(values))


def set_field(values: dict[str, Any], path: str, value: object) -> None:
    """Set a field of the first row, or omit it."""
    *steps, name = path.split(".")
    holder: Any = values
    for step in steps:
        holder = holder[step]
        if isinstance(holder, list):
            holder = holder[ROW_BY_FIELD.get(path, 0)]
    if value is OMITTED:
        holder.pop(name, None)
    else:
        holder[name] = value


def find_state_value(path: str, state: str) -> object:
    """Return the value that a field has in a state of the page's table."""
    if state == "omitted":
        return OMITTED
    if state == "below zero":
        return "r-1" if path == "Version" else -1
    if state == "0":
        return 0
    holder: Any = make_values()
    for step in path.split("."):
        holder = holder[step]
        if isinstance(holder, list) and step != path.rpartition(".")[2]:
            holder = holder[0]
    return type(holder)() if holder is not None else ""


def page_rows() -> list[tuple[str, str, str]]:
    """Return field, state and text of each cell of the page's table."""
    page = PAGE_PATH.read_text(encoding="utf-8")
    table = page.partition("<!-- configuration -->")[2].partition("<!--")[0]
    cells = []
    for line in table.strip().splitlines()[2:]:
        field, *texts = (text.strip() for text in line.strip("|").split("|"))
        cells.extend(
            (field, state, text) for state, text in zip(COLUMN_NAMES, texts)
        )
    return cells


class TestPage:
    """Absent, empty, 0 and negative mean what the operators' page says."""

    def test_valid_configuration(self) -> None:
        """The configuration that the other tests change is valid."""
        assert decode(make_values()).version == 3

    @pytest.mark.parametrize(
        ("field", "state", "text"),
        [cell for cell in page_rows() if cell[2] != NOT_APPLICABLE],
    )
    def test_cell(self, field: str, state: str, text: str) -> None:
        """A version is void where the page says so, and nowhere else."""
        values = make_values()
        set_field(values, field, find_state_value(field, state))
        if not text.startswith(VOID):
            decode(values)
            return
        with pytest.raises(errors.InvalidObject) as raised:
            decode(values)
        assert raised.value.place, raised.value

    def test_every_field(self) -> None:
        """The table has a row for each field that the decoder knows."""
        documented = {field for field, _, _ in page_rows()}
        known = set(VALID)
        for name, content in VALID.items():
            entries = content if isinstance(content, list) else [content]
            for entry in entries:
                if isinstance(entry, dict):
                    known |= {f"{name}.{field}" for field in entry}
        assert documented == known | {"Routes.TrafficSplit.Weight"}


class TestMeaning:
    """What is valid has the meaning that the page gives it."""

    def decode_with(self, path: str, value: object) -> routing.Configuration:
        """Return the configuration with one field changed."""
        values = make_values()
        set_field(values, path, value)
        return decode(values)

    @pytest.mark.parametrize(
        ("value", "access", "count"),
        [(OMITTED, states.Access.OPEN, 0), ([], states.Access.PRIVATE, 0)],
    )
    def test_tenants(
        self, value: object, access: states.Access, count: int
    ) -> None:
        """Without the table everybody is let in, without a row nobody."""
        decoded = self.decode_with("Tenants", value)
        assert (decoded.access, len(decoded.workspaces)) == (access, count)

    @pytest.mark.parametrize("value", [OMITTED, None, []])
    def test_no_keys(self, value: object) -> None:
        """A workspace without keys lets nobody in."""
        decoded = self.decode_with("Tenants.ApiKeys", value)
        assert decoded.workspaces[0].key_digests == ()
        assert decoded.access is states.Access.PRIVATE

    @pytest.mark.parametrize("value", [OMITTED, None, 0])
    def test_no_rate(self, value: object) -> None:
        """A workspace without a rate has none, whatever its burst is."""
        decoded = self.decode_with("Tenants.RatePerS", value)
        assert decoded.workspaces[0].rate == 0

    def test_no_priority(self) -> None:
        """The priority of a workspace may be the highest or none."""
        for value, priority in ((OMITTED, None), (0, 0)):
            decoded = self.decode_with("Tenants.Priority", value)
            assert decoded.workspaces[0].priority == priority

    @pytest.mark.parametrize("value", [OMITTED, None])
    def test_not_public(self, value: object) -> None:
        """A route is not public unless it says so."""
        assert not self.decode_with("Routes.Public", value).routes[0].is_public

    def test_split_of_one_part(self) -> None:
        """A part of weight 0 stays in the split."""
        values = make_values()
        values["Routes"][0]["TrafficSplit"][0]["Weight"] = 0
        weights = [
            target.weight for target in decode(values).routes[0].traffic_split
        ]
        assert weights == [0, 1]

    def test_defaults(self) -> None:
        """Omitted numbers have the defaults of the page."""
        values = make_values()
        del values["Limits"]
        for field in ("SloLatencyS", "Priority"):
            del values["Routes"][0][field]
        for field in ("WarmupS", "WarmupPerS", "Sharded"):
            del values["Services"][0][field]
        decoded = decode(values)
        route, service = decoded.routes[0], decoded.services[0]
        assert (route.latency_objective, route.priority) == (1.0, 0)
        assert (service.warmup_seconds, service.warmup_rate) == (0.0, 1.0)
        assert not service.is_sharded
        assert decoded.limits == routing.Limits(
            head_bytes=16384,
            body_bytes=67108864,
            head_timeout=3.0,
            idle_timeout=15.0,
        )


class TestVoid:
    """What else makes a version invalid, with the place of it."""

    @pytest.mark.parametrize(
        ("table", "row", "name", "value", "place"),
        [
            ("Routes", 0, "Kind", "odd", "Routes.Rows[0].Kind"),
            ("Routes", 1, "Service", "z", "Routes.Rows[1].TrafficSplit"),
            (
                "Routes",
                0,
                "TrafficSplit",
                [{"Service": "z", "Weight": 1}],
                "Routes.Rows[0].TrafficSplit",
            ),
            (
                "Routes",
                0,
                "TrafficSplit",
                [{"Service": "x", "Weight": 0}],
                "Routes.Rows[0].TrafficSplit",
            ),
            ("Routes", 1, "Name", "read", "Routes.Rows[1].Name"),
            ("Routes", 1, "PathPrefix", "/read/", "Routes.Rows[1].PathPrefix"),
            ("Routes", 1, "PathPrefix", "order/", "Routes.Rows[1].PathPrefix"),
            ("Routes", 1, "PathPrefix", "/order", "Routes.Rows[1].PathPrefix"),
            ("Services", 1, "Name", "x", "Services.Rows[1].Name"),
            ("Tenants", 1, "Name", "one", "Tenants.Rows[1].Name"),
            ("Tenants", 1, "ApiKeys", [""], "Tenants.Rows[1].ApiKeys[0]"),
            (
                "Tenants",
                1,
                "ApiKeys",
                ["key-of-one"],
                "Tenants.Rows[1].ApiKeys",
            ),
            ("Tenants", 1, "RatePerS", "80", "Tenants.Rows[1].RatePerS"),
        ],
    )
    def test_row(
        self, table: str, row: int, name: str, value: object, place: str
    ) -> None:
        """A value of a row."""
        values = make_values()
        values[table][row][name] = value
        with pytest.raises(errors.InvalidObject) as raised:
            decode(values)
        assert raised.value.place == place
        assert raised.value.version == "r3"
        assert "key-of" not in f"{raised.value} {raised.value.value}"

    @pytest.mark.parametrize("table", [*TABLES, "Limits"])
    def test_null_table(self, table: str) -> None:
        """A table that is null is neither absent nor empty."""
        values = make_values()
        values[table] = None
        with pytest.raises(errors.InvalidObject):
            decode(values)

    @pytest.mark.parametrize("table", TABLES)
    @pytest.mark.parametrize("length", [-1, 1])
    def test_row_length(self, table: str, length: int) -> None:
        """A row with a value too many or too few."""
        spec = json.loads(encode(make_values()))
        row = spec[table]["Rows"][1]
        spec[table]["Rows"][1] = row[:-1] if length < 0 else [*row, 1]
        with pytest.raises(errors.InvalidObject) as raised:
            objects.decode_configuration(json.dumps(spec).encode())
        assert raised.value.place == f"{table}.Rows[1]"

    @pytest.mark.parametrize("table", TABLES)
    def test_column_twice(self, table: str) -> None:
        """A column that is given twice."""
        spec = json.loads(encode(make_values()))
        spec[table]["Columns"][1] = spec[table]["Columns"][0]
        with pytest.raises(errors.InvalidObject) as raised:
            objects.decode_configuration(json.dumps(spec).encode())
        assert raised.value.place == f"{table}.Columns"

    @pytest.mark.parametrize("text", ["1e999", "1" + "0" * 400])
    def test_number_without_bound(self, text: str) -> None:
        """A number that is too large for its type."""
        spec = encode(make_values()).replace(
            b'"HeaderTimeoutS": 4', (f'"HeaderTimeoutS": {text}'.encode())
        )
        with pytest.raises(errors.InvalidObject):
            objects.decode_configuration(spec)

    def test_names_of_fields(self) -> None:
        """Each field with a bound has a name in the platform's format."""
        for field in validity.BOUNDS_BY_FIELD:
            assert violations.find_place(field, 0)
