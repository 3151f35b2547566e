"""Fixtures and the list of known faults.

A test that ``KNOWN-RED.txt`` names may fail; it still runs, and the end
of the run prints every such entry with what happened. An entry starts
with ``test:`` and the id of a test, as pytest prints it.
"""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
FAULT_PREFIX = "fault:"
PREFIX = "test:"


def known_red() -> frozenset[str]:
    """Return the ids of the tests that may fail."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return frozenset(
        line.removeprefix(PREFIX).strip()
        for line in lines
        if line.startswith(PREFIX)
    )


def known_faults() -> list[str]:
    """Return the known faults that a command shows, not a test."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return [line for line in lines if line.startswith(FAULT_PREFIX)]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests."""
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt"))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print what became of the listed tests."""
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.stats.get(outcome, []):
            terminalreporter.write_line(f"known red: {report.nodeid}")
    for nodeid in sorted(known_red()):
        terminalreporter.write_line(f"listed in KNOWN-RED.txt: {nodeid}")
    for line in known_faults():
        terminalreporter.write_line(f"KNOWN-RED.txt: {line}")
