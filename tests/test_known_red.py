"""Tests of the list of known faults."""

import pathlib

from tests import conftest

ROOT = pathlib.Path(__file__).parent.parent


class TestKnownRed:
    """Every entry is complete and names an existing test."""

    def test_entries_name_files(self) -> None:
        """The file of each listed test exists."""
        for nodeid in conftest.listed_tests():
            path, _, name = nodeid.partition("::")
            assert name, nodeid
            assert (ROOT / path).exists(), nodeid

    def test_entries_are_complete(self) -> None:
        """Each entry has a command, an observation and an issue."""
        text = ""
        if conftest.KNOWN_RED_PATH.exists():
            text = conftest.KNOWN_RED_PATH.read_text(encoding="utf-8")
        lines = [line for line in text.split("\n") if not line.startswith("#")]
        for entry in "\n".join(lines).split("\n\n"):
            if not entry.strip():
                continue
            for field in ("command:", "seen:", "issue:"):
                assert field in entry, entry
