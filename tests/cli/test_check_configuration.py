"""Tests of the check of a configuration, and of its transcripts."""

import json
import pathlib
import re
from typing import Any, Final

import pytest

from dragonflyshelf.cli import check_configuration
from dragonflyshelf.platform import objects
from tests.cli import test_command
from tests.platform import test_configuration_fields as fields

ROOT: Final = pathlib.Path(__file__).parents[2]
PAGE_PATH: Final = ROOT / "docs" / "operators" / "CHECKING.md"
TRANSCRIPT: Final = re.compile(
    r"    \$ dragonflyshelf (check-config .*)\n((?:    .*\n)*?)"
    r"    \$ echo \$\?\n    (\d)\n"
)
EXAMPLES: Final = "examples/configurations"


def find_lines(spec: bytes, current: Any = None) -> list[str]:
    """Return the lines of a check."""
    return [
        str(line) for line in check_configuration.find_lines(spec, current)
    ]


class TestTranscripts:
    """The page shows what the command prints."""

    @pytest.mark.parametrize(
        ("command", "output", "status"),
        TRANSCRIPT.findall(PAGE_PATH.read_text(encoding="utf-8")),
    )
    def test_transcript(self, command: str, output: str, status: str) -> None:
        """A transcript has the lines and the exit status of the command."""
        completed = test_command.run_command(*command.split())
        lines = [line.removeprefix("    ") for line in output.splitlines()]
        assert completed.stdout.splitlines() == lines
        assert completed.returncode == int(status)

    def test_count(self) -> None:
        """The page has a good, an odd, a dangerous and an invalid one."""
        found = TRANSCRIPT.findall(PAGE_PATH.read_text(encoding="utf-8"))
        assert [status for *_, status in found] == ["0", "4", "4", "5"]


class TestCheck:
    """The check agrees with what an instance would do."""

    def test_valid_configuration(self) -> None:
        """A configuration without findings has none."""
        assert find_lines(fields.encode(fields.make_values())) == []

    @pytest.mark.parametrize(
        ("field", "value"),
        [
            (field, fields.find_state_value(field, state))
            for field, state, text in fields.page_rows()
            if text.startswith(fields.VOID)
        ],
    )
    def test_void(self, field: str, value: object) -> None:
        """What voids a version on the page is an error."""
        values = fields.make_values()
        fields.set_field(values, field, value)
        lines = find_lines(fields.encode(values))
        assert lines and all(line.startswith("error") for line in lines)

    def test_all_errors(self) -> None:
        """Each row at fault is told, not just the first one."""
        values = fields.make_values()
        values["Routes"][0]["Kind"] = "odd"
        values["Services"][1]["Sharded"] = "no"
        first, second = find_lines(fields.encode(values))
        assert "Routes.Rows[0].Kind" in first
        assert "Services.Rows[1].Sharded" in second

    @pytest.mark.parametrize("spec", [b"", b"{", b"[]", b"\xff", b"[" * 5000])
    def test_no_configuration(self, spec: bytes) -> None:
        """What is no configuration is an error."""
        (line,) = find_lines(spec)
        assert line.startswith("error")

    def test_older_version(self) -> None:
        """A version that is not above the one in force is an error."""
        values = fields.make_values()
        current = fields.decode(values)
        values["Version"] = "r2"
        assert (
            "versions must increase"
            in find_lines(fields.encode(values), current)[0]
        )

    def test_ignored_fields(self) -> None:
        """A field that the decoder doesn't know is told if it says a lot."""
        spec = json.loads(fields.encode(fields.make_values()))
        spec["Services"]["Columns"] += ["Protocol", "Tls", "WarmS"]
        for row, is_secure in zip(spec["Services"]["Rows"], (False, True)):
            row += ["h1", is_secure, 5.0]
        spec["More"] = 1
        assert find_lines(json.dumps(spec).encode()) == [
            "warning More: is not known to the router and ignored",
            "warning Services.Tls: is not known to the router and ignored",
        ]

    def test_no_key_is_printed(self) -> None:
        """Neither errors nor differences contain a caller key."""
        values = fields.make_values()
        current = objects.decode_configuration(fields.encode(values))
        values["Version"] = "r4"
        values["Tenants"][0]["ApiKeys"] = ["another-key-of-one"]
        values["Tenants"][1]["ApiKeys"] = []
        lines = find_lines(fields.encode(values), current)
        values["Tenants"][0]["Priority"] = "another-key-of-one"
        lines += find_lines(fields.encode(values), current)
        assert any("withdrawn" in line for line in lines)
        assert "key-of" not in "".join(lines)


class TestCommand:
    """The command line of the check."""

    def test_json(self) -> None:
        """The findings are one JSON object."""
        completed = test_command.run_command(
            "check-config", f"{EXAMPLES}/invalid.json", "--json"
        )
        report = json.loads(completed.stdout)
        assert completed.returncode == report["status"]
        assert report["status"] == check_configuration.EXIT_INVALID
        places = {finding["place"] for finding in report["findings"]}
        assert "Routes.Rows[0].Kind" in places

    @pytest.mark.parametrize(
        "arguments",
        [
            (f"{EXAMPLES}/none.json",),
            (
                f"{EXAMPLES}/good.json",
                "--against",
                f"{EXAMPLES}/invalid.json",
            ),
        ],
    )
    def test_unusable_file(self, arguments: tuple[str, ...]) -> None:
        """The exit status is 2, and the reason is printed."""
        completed = test_command.run_command("check-config", *arguments)
        assert completed.returncode == check_configuration.EXIT_USAGE
        assert ".json: " in completed.stderr
