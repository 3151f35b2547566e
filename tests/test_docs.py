"""Tests that the documentation agrees with the code."""

import pathlib
import re

import pytest

from dragonflyshelf.core.language import parser
from dragonflyshelf.core.language import statements
from tools import error_table

DOCS = pathlib.Path(__file__).parent.parent / "docs"
EXAMPLE_BLOCK = re.compile(r"```(query|command)\n(.*?)```", re.DOTALL)


def examples() -> list[tuple[str, str]]:
    """Return kind and text of each example in the query reference."""
    page = (DOCS / "QUERY.md").read_text(encoding="utf-8")
    return [
        (kind, line)
        for kind, block in EXAMPLE_BLOCK.findall(page)
        for line in block.splitlines()
        if line
    ]


class TestQueryPage:
    """The examples are valid and cover every type of statement."""

    @pytest.mark.parametrize(("kind", "text"), examples())
    def test_example(self, kind: str, text: str) -> None:
        """An example is parsed as a query or command, as it is marked."""
        is_command = isinstance(parser.parse(text), statements.COMMAND_TYPES)
        assert is_command is (kind == "command")

    def test_each_form(self) -> None:
        """Every type of statement has an example."""
        example_types = {type(parser.parse(text)) for _, text in examples()}
        statement_types = {
            *statements.COMMAND_TYPES,
            statements.Audit,
            statements.DryRun,
            statements.ExplainKey,
            statements.ExplainRequest,
            statements.Show,
            statements.Wait,
        }
        assert example_types == statement_types


class TestOperatorsPage:
    """The table of error codes is generated from the registry."""

    def test_codes(self) -> None:
        """The page contains the current table."""
        page = error_table.PAGE_PATH.read_text(encoding="utf-8")
        assert error_table.replace_table(page) == page
