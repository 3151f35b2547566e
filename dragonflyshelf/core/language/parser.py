"""Parser of the operator language."""

import json
from typing import Any, Final

import lark

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.language import grammar
from dragonflyshelf.core.language import kinds
from dragonflyshelf.core.language import statements

MAX_STATEMENT_CHARACTER_COUNT: Final = 4096
"""Maximum length of a statement."""

_LARK_PARSER: Final = lark.Lark(
    grammar.GRAMMAR, parser="lalr", maybe_placeholders=True
)


def parse(text: str) -> statements.Statement:
    """Parse one statement, or raise ``InvalidStatement``."""
    if len(text) > MAX_STATEMENT_CHARACTER_COUNT:
        raise errors.InvalidStatement(
            "the statement has more than"
            f" {MAX_STATEMENT_CHARACTER_COUNT} characters",
            column=MAX_STATEMENT_CHARACTER_COUNT + 1,
        )
    try:
        tree = _LARK_PARSER.parse(text)
        return _StatementBuilder().transform(tree)
    except lark.exceptions.VisitError as error:
        raise error.orig_exc from error
    except lark.exceptions.UnexpectedCharacters as error:
        position = error.pos_in_stream
        raise _unexpected_input(
            repr(text[position]),
            position + 1,
            _acceptable_terminals(text[:position]),
        ) from error
    except lark.exceptions.UnexpectedToken as error:
        raise _unexpected_token(text, error) from error


def _unexpected_token(
    text: str, error: lark.exceptions.UnexpectedToken
) -> errors.InvalidStatement:
    token = error.token
    if token.type == "$END":
        column = len(text.rstrip()) + 1
        return _unexpected_input("end of statement", column, error.accepts)
    return _unexpected_input(
        repr(str(token)), token.start_pos + 1, error.accepts or error.expected
    )


def _acceptable_terminals(prefix: str) -> set[str]:
    """Return the terminals that may follow a valid prefix."""
    interactive = _LARK_PARSER.parse_interactive(prefix)
    interactive.exhaust_lexer()
    return set(interactive.accepts())


def _unexpected_input(
    unexpected: str, column: int, terminals: Any
) -> errors.InvalidStatement:
    descriptions = sorted(
        _describe_terminal(terminal)
        for terminal in terminals
        if terminal != "WS"
    )
    return errors.InvalidStatement(
        f"unexpected {unexpected}", column=column, expected=tuple(descriptions)
    )


def _describe_terminal(terminal: str) -> str:
    description = grammar.DESCRIPTIONS_BY_TERMINAL.get(terminal)
    return description or terminal.lower()


def _column_of(token: lark.Token) -> int:
    return int(token.start_pos or 0) + 1


class _NameToken(str):
    """A name with its column in the statement."""

    column: int = 0


class _ValueToken:
    """A scalar with its column in the statement."""

    def __init__(self, value: statements.Scalar, column: int) -> None:
        self.value = value
        self.column = column


class _ParsedOption:
    """An option of a command before validation."""

    def __init__(self, name: lark.Token, value: _ValueToken) -> None:
        self.name = str(name)
        self.column = _column_of(name)
        self.value = value


def _parse_scalar(token: lark.Token) -> statements.Scalar:
    if token.type == "STRING":
        try:
            return str(json.loads(token, strict=False))
        except ValueError as error:
            raise errors.InvalidStatement(
                "invalid escape in the quoted string",
                column=_column_of(token),
                expected=('\\" \\\\ \\n \\t or \\uXXXX',),
            ) from error
    if token.type != "NUMBER":
        return str(token)
    if set(token) & set(".eE"):
        return float(token)
    return int(token)


def _parse_whole_number(token: lark.Token) -> int:
    value = _parse_scalar(token)
    if not isinstance(value, int) or value < 0:
        raise errors.InvalidStatement(
            f"unexpected {str(token)!r}",
            column=_column_of(token),
            expected=("a whole number from 0",),
        )
    return value


class _StatementBuilder(lark.Transformer):
    """Builds the typed statement from the parse tree, bottom-up.

    The methods are named after the rules of the grammar.
    """

    def start(self, items: list[Any]) -> statements.Statement:
        return items[0]

    def value(self, items: list[Any]) -> _ValueToken:
        return _ValueToken(_parse_scalar(items[0]), _column_of(items[0]))

    def name(self, items: list[Any]) -> _NameToken:
        name = _NameToken(_parse_scalar(items[0]))
        name.column = _column_of(items[0])
        if not name:
            raise errors.InvalidStatement(
                "the name is empty",
                column=name.column,
                expected=("a name",),
            )
        return name

    def text(self, items: list[Any]) -> str:
        if items[0].type == "NUMBER":
            return str(items[0])
        return str(_parse_scalar(items[0]))

    def option(self, items: list[Any]) -> _ParsedOption:
        return _ParsedOption(items[0], items[1])

    def expected(self, items: list[Any]) -> ids.Version:
        return ids.Version(_parse_whole_number(items[0]))

    def forced(self, items: list[Any]) -> bool:
        return True

    def everywhere(self, items: list[Any]) -> bool:
        return True

    def workspace(self, items: list[Any]) -> ids.WorkspaceId:
        return ids.WorkspaceId(str(items[0]))

    def condition(self, items: list[Any]) -> statements.Condition:
        name, operator, value = items
        return statements.Condition(
            name=str(name),
            comparison=statements.Comparison(str(operator)),
            value=value.value,
            column=_column_of(name),
        )

    def where(self, items: list[Any]) -> tuple[Any, ...]:
        return tuple(items)

    def columns(self, items: list[Any]) -> tuple[Any, ...]:
        return tuple(
            statements.ColumnName(name=str(token), column=_column_of(token))
            for token in items
        )

    def term(self, items: list[Any]) -> statements.OrderTerm:
        name, direction = items
        return statements.OrderTerm(
            name=str(name),
            descending=str(direction) == "desc",
            column=_column_of(name),
        )

    def order(self, items: list[Any]) -> tuple[Any, ...]:
        return tuple(items)

    def limit(self, items: list[Any]) -> int:
        return _parse_whole_number(items[0])

    def show(self, items: list[Any]) -> statements.Show:
        table, everywhere, where, columns, order, limit = items
        return statements.Show(
            table=str(table),
            everywhere=bool(everywhere),
            where=where or (),
            columns=columns or (),
            order=order or (),
            limit=limit,
            column=table.column,
        )

    def listing(self, items: list[Any]) -> statements.Show:
        return statements.Show(table=str(items[0]), column=items[0].column)

    def explain_key(self, items: list[Any]) -> statements.ExplainKey:
        return statements.ExplainKey(
            service=ids.ServiceName(str(items[0])), key=items[1]
        )

    def explain_request(self, items: list[Any]) -> statements.ExplainRequest:
        return statements.ExplainRequest(
            method=str(items[0]),
            target=items[1],
            workspace=items[2] or ids.WorkspaceId(""),
        )

    def wait(self, items: list[Any]) -> statements.Wait:
        keyword, name, version, timeout = items
        return statements.Wait(
            kind=_kind_definition(keyword).kind,
            name=ids.ObjectName(str(name)),
            version=ids.Version(
                0 if version is None else _parse_whole_number(version)
            ),
            timeout=0.0 if timeout is None else float(timeout),
        )

    def audit(self, items: list[Any]) -> statements.Audit:
        return statements.Audit()

    def dry_run(self, items: list[Any]) -> statements.DryRun:
        return statements.DryRun(command=items[0])

    def create(self, items: list[Any]) -> statements.Create:
        keyword, name, *options, forced = items
        kind = _configurable_kind(keyword)
        option_values = _convert_options(kind, options)
        given = {option.name for option in option_values}
        missing = [
            option.name
            for option in kind.options_by_name.values()
            if option.is_required and option.name not in given
        ]
        if missing:
            raise errors.InvalidStatement(
                f"{kind.keyword} {name} needs the options"
                f" {', '.join(missing)}",
                column=name.column + len(name),
                expected=tuple(missing),
            )
        return statements.Create(
            kind=kind.kind,
            name=ids.ObjectName(str(name)),
            option_values=option_values,
            forced=bool(forced),
        )

    def alter(self, items: list[Any]) -> statements.Alter:
        keyword, name, *options, expected_version, forced = items
        kind = _configurable_kind(keyword)
        return statements.Alter(
            kind=kind.kind,
            name=ids.ObjectName(str(name)),
            option_values=_convert_options(kind, options),
            expected_version=expected_version,
            forced=bool(forced),
        )

    def drop(self, items: list[Any]) -> statements.Drop:
        keyword, name, expected_version, forced = items
        return statements.Drop(
            kind=_kind_definition(keyword).kind,
            name=ids.ObjectName(str(name)),
            expected_version=expected_version,
            forced=bool(forced),
        )

    def grant(self, items: list[Any]) -> statements.GrantKey:
        return statements.GrantKey(
            key_id=ids.CallerKeyId(str(items[0])),
            workspace=ids.WorkspaceId(str(items[1])),
        )

    def withdraw(self, items: list[Any]) -> statements.WithdrawKey:
        return statements.WithdrawKey(
            key_id=ids.CallerKeyId(str(items[0])), expected_version=items[1]
        )


def _kind_definition(keyword: _NameToken) -> kinds.KindDefinition:
    if str(keyword) in kinds.KINDS:
        return kinds.KINDS.get(str(keyword))
    raise errors.InvalidStatement(
        f"unexpected {str(keyword)!r}",
        column=keyword.column,
        expected=tuple(sorted(kinds.KINDS)),
    )


def _configurable_kind(keyword: _NameToken) -> kinds.KindDefinition:
    kind = _kind_definition(keyword)
    if kind is kinds.KINDS.get("key"):
        raise errors.InvalidStatement(
            "keys are changed with grant key and withdraw key only",
            column=keyword.column,
            expected=tuple(
                name for name in sorted(kinds.KINDS) if name != "key"
            ),
        )
    return kind


def _convert_options(
    kind: kinds.KindDefinition, options: list[_ParsedOption]
) -> tuple[statements.OptionValue, ...]:
    values_by_name: dict[str, statements.OptionValue] = {}
    for parsed in options:
        option = kind.options_by_name.get(parsed.name)
        unused = sorted(set(kind.options_by_name) - set(values_by_name))
        if option is None or parsed.name in values_by_name:
            problem = "unknown" if option is None else "repeated"
            raise errors.InvalidStatement(
                f"{problem} option {parsed.name!r} of {kind.keyword}",
                column=parsed.column,
                expected=tuple(unused),
            )
        try:
            value = option.convert(parsed.value.value)
        except (OverflowError, ValueError) as error:
            raise errors.InvalidStatement(
                f"{parsed.value.value!r} is not a valid {parsed.name}",
                column=parsed.value.column,
                expected=(option.describe_values(),),
            ) from error
        values_by_name[parsed.name] = statements.OptionValue(
            name=parsed.name, value=value
        )
    return tuple(values_by_name.values())
