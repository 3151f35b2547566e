"""Tests of tests.collection."""

import ast
import gc

import pytest

from tests import collection
from tests import conftest

GARBAGE_COUNT = 2000
"""Unreachable objects, more than the collector leaves alone."""

SOURCE = "values = [" + ", ".join(["(a + b)"] * 3000) + "]\n"
"""Source whose tree takes more objects than one collection allows."""


class ParsingFinalizer:
    """An unreachable cycle whose finalizer parses source code."""

    def __init__(self) -> None:
        """Refer to itself, so that only the collector frees it."""
        self.cycle = self

    def __del__(self) -> None:
        """Parse, as the traceback of a warning does."""
        ast.parse("a + b")


def leave_garbage() -> None:
    """Leave objects to the garbage collector, as an unclosed server does."""
    for _ in range(GARBAGE_COUNT):
        ParsingFinalizer()


class TestParseAmidFinalizers:
    """SystemError: AST constructor recursion depth mismatch."""

    def test_collection_is_paused(self) -> None:
        """No finalizer runs within the parse, and they run afterwards."""
        for _ in range(10):
            with collection.collection_paused():
                leave_garbage()
                ast.parse(SOURCE)
        assert gc.isenabled()

    def test_collection_that_was_off(self) -> None:
        """It stays off."""
        gc.disable()
        try:
            with collection.collection_paused():
                pass
            assert not gc.isenabled()
        finally:
            gc.enable()

    def test_report_of_a_failure(self) -> None:
        """The report of a failed test parses its source, in a hook."""
        hook = conftest.pytest_runtest_makereport()
        next(hook)
        assert not gc.isenabled()
        with pytest.raises(StopIteration):
            hook.send(None)
        assert gc.isenabled()
