"""Tests of the parser of the operator language."""

import hypothesis
import pytest

from dragonflyshelf.core import errors
from dragonflyshelf.core.language import parser
from dragonflyshelf.core.language import printer
from dragonflyshelf.core.language import statements
from dragonflyshelf.core import states
from tests.core.language import strategies

pytestmark = pytest.mark.usefixtures("character_tables")

DETERMINISTIC = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=300, database=None
)


class TestRoundTrip:
    """A printed statement is parsed to an equal statement."""

    @DETERMINISTIC
    @hypothesis.given(strategies.commands())
    def test_commands(self, statement: statements.Command) -> None:
        """Every command survives the round trip."""
        text = printer.print_statement(statement)
        assert parser.parse(text) == statement

    @DETERMINISTIC
    @hypothesis.given(strategies.QUERIES)
    def test_queries(self, statement: statements.Query) -> None:
        """Every query survives the round trip."""
        text = printer.print_statement(statement)
        assert parser.parse(text) == statement


class TestAnyText:
    """Any text is either parsed or refused with ``InvalidStatement``."""

    @DETERMINISTIC
    @hypothesis.given(hypothesis.strategies.text(max_size=60))
    def test_random(self, text: str) -> None:
        """A random text is parsed, or refused with a valid column."""
        self.assert_parsed_or_refused(text)

    @DETERMINISTIC
    @hypothesis.given(
        strategies.commands(),
        hypothesis.strategies.integers(0, 200),
        hypothesis.strategies.text(max_size=3),
    )
    def test_corrupted(
        self, command: statements.Command, position: int, inserted: str
    ) -> None:
        """A corrupted command is parsed, or refused with a valid column."""
        text = printer.print_statement(command)
        self.assert_parsed_or_refused(
            text[:position] + inserted + text[position + 1 :]
        )

    def assert_parsed_or_refused(self, text: str) -> None:
        """Parse a text; an error has a column and the expected tokens."""
        try:
            parser.parse(text)
        except errors.InvalidStatement as error:
            assert 1 <= error.column <= len(text) + 1
            assert error.expected


class TestErrors:
    """An error gives its column and what was expected there."""

    @pytest.mark.parametrize(
        ("text", "column", "expected"),
        [
            ("", 1, "create"),
            ("show", 5, "a name"),
            ("shw services", 1, "show"),
            ("show services limit -1", 21, "a whole number from 0"),
            ("show services order rate", 21, "by"),
            ("show services where rate", 25, "one of = != < <= > >= ~"),
            ("create workspac demo", 8, "workspace"),
            ("create workspace demo rate 1", 22, "burst"),
            ("create workspace demo rate x burst 1", 28, "a number"),
            ("create workspace demo rate 1e400 burst 1", 28, "a number"),
            ("create service s shards 99999", 25, "a whole number from 1"),
            ("create service s shards 1.5", 25, "a whole number from 1"),
            ("create service s priority high", 27, "patient or urgent"),
            ("create key k", 8, "workspace"),
            ("create upstream u host 127.0.0.1", 24, "a quoted string"),
            ("alter workspace demo rat 3", 22, "rate"),
            ("alter workspace demo rate 3 rate 4", 29, "weight"),
            ("alter workspace demo", 21, "a name"),
            ("drop key k ; x", 12, "force"),
            ('drop key ""', 10, "a name"),
            ('create service "a\\q"', 16, "uXXXX"),
            ("grant key k demo", 13, "to"),
            ("dry run show services", 9, "create"),
            ("drop service s if version 1.5", 27, "a whole number from 0"),
        ],
    )
    def test_error(self, text: str, column: int, expected: str) -> None:
        """The error has the column and lists the expected token."""
        with pytest.raises(errors.InvalidStatement) as caught:
            parser.parse(text)
        assert caught.value.column == column
        assert expected in " ".join(caught.value.expected)

    def test_too_long(self) -> None:
        """A statement over the length limit is refused."""
        with pytest.raises(errors.InvalidStatement):
            parser.parse("x" * (parser.MAX_STATEMENT_CHARACTER_COUNT + 1))


class TestStatements:
    """Individual forms are parsed to the right statement."""

    def test_list_is_show(self) -> None:
        """``list`` is short for ``show`` without clauses."""
        assert parser.parse("list services") == parser.parse("show services")

    def test_keyword_as_name(self) -> None:
        """A name may begin with a keyword."""
        statement = parser.parse("create workspace iffy rate 1 burst 2 force")
        assert statement == statements.Create(
            kind=states.ConfigurationKind.WORKSPACE,
            name="iffy",
            option_values=(
                statements.OptionValue(name="rate", value=1.0),
                statements.OptionValue(name="burst", value=2.0),
            ),
            forced=True,
        )
