"""Handling of the tests that are known to fail.

A test that ``KNOWN-RED.txt`` lists may fail; it still runs, and the
summary of the run prints every entry with its result. An entry starts
with ``test:`` and the node id of the test.
"""

from collections import abc
import pathlib

import hypothesis
from hypothesis import strategies
import pytest

from tests import collection

KNOWN_RED_PATH = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
FAULT_PREFIX = "fault:"
TEST_PREFIX = "test:"


@pytest.fixture(scope="session")
def character_tables() -> None:
    """Load the tables of characters of hypothesis before the first test.

    The first text that is drawn loads them, which takes seconds on a busy
    machine and would count as slow generation by that test.
    """
    hypothesis.find(strategies.text(), lambda value: True)


def listed_tests() -> frozenset[str]:
    """Return the node ids of the tests that may fail."""
    if not KNOWN_RED_PATH.exists():
        return frozenset()
    lines = KNOWN_RED_PATH.read_text(encoding="utf-8").splitlines()
    return frozenset(
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    )


def listed_faults() -> list[str]:
    """Return the known faults that are shown by a command, not a test."""
    if not KNOWN_RED_PATH.exists():
        return []
    lines = KNOWN_RED_PATH.read_text(encoding="utf-8").splitlines()
    return [line for line in lines if line.startswith(FAULT_PREFIX)]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures."""
    listed = listed_tests()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt"))


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport() -> (
    abc.Generator[None, pytest.TestReport, pytest.TestReport]
):
    """Build the report of a test, which parses the source of a failure."""
    with collection.collection_paused():
        return (yield)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the results of the listed tests and the known faults."""
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.stats.get(outcome, []):
            terminalreporter.write_line(f"known red: {report.nodeid}")
    for nodeid in sorted(listed_tests()):
        terminalreporter.write_line(f"listed in KNOWN-RED.txt: {nodeid}")
    for line in listed_faults():
        terminalreporter.write_line(f"KNOWN-RED.txt: {line}")
