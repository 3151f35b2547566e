"""Parser of the operator language."""

import json
from typing import Any, Final

import lark

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.language import grammar
from dragonflyshelf.core.language import kinds
from dragonflyshelf.core.language import statements

LONGEST_STATEMENT: Final = 4096

_LARK: Final = lark.Lark(
    grammar.GRAMMAR, parser="lalr", maybe_placeholders=True
)


def parse(text: str) -> statements.Statement:
    """Parse one statement, or raise ``BadStatement``."""
    if len(text) > LONGEST_STATEMENT:
        raise errors.BadStatement(
            f"the statement has more than {LONGEST_STATEMENT} characters",
            column=LONGEST_STATEMENT + 1,
        )
    try:
        tree = _LARK.parse(text)
        return _Builder().transform(tree)
    except lark.exceptions.VisitError as error:
        raise error.orig_exc from error
    except lark.exceptions.UnexpectedCharacters as error:
        position = error.pos_in_stream
        raise _unexpected(
            repr(text[position]), position + 1, _accepted(text[:position])
        ) from error
    except lark.exceptions.UnexpectedToken as error:
        raise _unexpected_token(text, error) from error


def _unexpected_token(
    text: str, error: lark.exceptions.UnexpectedToken
) -> errors.BadStatement:
    token = error.token
    if token.type == "$END":
        column = len(text.rstrip()) + 1
        return _unexpected("end of statement", column, error.accepts)
    return _unexpected(
        repr(str(token)), token.start_pos + 1, error.accepts or error.expected
    )


def _accepted(prefix: str) -> set[str]:
    """Return the terminals that may follow a valid prefix."""
    interactive = _LARK.parse_interactive(prefix)
    interactive.exhaust_lexer()
    return set(interactive.accepts())


def _unexpected(
    found: str, column: int, terminals: Any
) -> errors.BadStatement:
    words = sorted(_word(one) for one in terminals if one != "WS")
    return errors.BadStatement(
        f"unexpected {found}", column=column, expected=tuple(words)
    )


def _word(terminal: str) -> str:
    known = grammar.EXPECTED_BY_TERMINAL.get(terminal)
    return known or terminal.lower()


def _column(token: lark.Token) -> int:
    return int(token.start_pos or 0) + 1


class _Name(str):
    """A name with its column in the statement."""

    column: int = 0


class _Value:
    """A scalar with its column in the statement."""

    def __init__(self, value: statements.Scalar, column: int) -> None:
        self.value = value
        self.column = column


class _Option:
    """An option of a command before validation."""

    def __init__(self, name: lark.Token, value: _Value) -> None:
        self.name = str(name)
        self.column = _column(name)
        self.value = value


def _scalar(token: lark.Token) -> statements.Scalar:
    if token.type == "STRING":
        try:
            return str(json.loads(token, strict=False))
        except ValueError as error:
            raise errors.BadStatement(
                "invalid escape in the quoted string",
                column=_column(token),
                expected=('\\" \\\\ \\n \\t or \\uXXXX',),
            ) from error
    if token.type != "NUMBER":
        return str(token)
    if set(token) & set(".eE"):
        return float(token)
    return int(token)


def _whole(token: lark.Token) -> int:
    value = _scalar(token)
    if not isinstance(value, int) or value < 0:
        raise errors.BadStatement(
            f"unexpected {str(token)!r}",
            column=_column(token),
            expected=("a whole number from 0",),
        )
    return value


class _Builder(lark.Transformer):
    """Builds the typed statement from the parse tree, bottom-up.

    The methods are named after the rules of the grammar.
    """

    def start(self, items: list[Any]) -> statements.Statement:
        return items[0]

    def value(self, items: list[Any]) -> _Value:
        return _Value(_scalar(items[0]), _column(items[0]))

    def name(self, items: list[Any]) -> _Name:
        found = _Name(_scalar(items[0]))
        found.column = _column(items[0])
        if not found:
            raise errors.BadStatement(
                "the name is empty",
                column=found.column,
                expected=("a name",),
            )
        return found

    def text(self, items: list[Any]) -> str:
        if items[0].type == "NUMBER":
            return str(items[0])
        return str(_scalar(items[0]))

    def option(self, items: list[Any]) -> _Option:
        return _Option(items[0], items[1])

    def expected(self, items: list[Any]) -> ids.Version:
        return ids.Version(_whole(items[0]))

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
            column=_column(name),
        )

    def where(self, items: list[Any]) -> tuple[Any, ...]:
        return tuple(items)

    def columns(self, items: list[Any]) -> tuple[Any, ...]:
        return tuple(
            statements.ColumnName(name=str(one), column=_column(one))
            for one in items
        )

    def term(self, items: list[Any]) -> statements.OrderTerm:
        name, direction = items
        return statements.OrderTerm(
            name=str(name),
            descending=str(direction) == "desc",
            column=_column(name),
        )

    def order(self, items: list[Any]) -> tuple[Any, ...]:
        return tuple(items)

    def limit(self, items: list[Any]) -> int:
        return _whole(items[0])

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
        word, name, version, timeout = items
        return statements.Wait(
            kind=_kind(word).kind,
            name=ids.ObjectName(str(name)),
            version=ids.Version(0 if version is None else _whole(version)),
            timeout=0.0 if timeout is None else float(timeout),
        )

    def audit(self, items: list[Any]) -> statements.Audit:
        return statements.Audit()

    def dry_run(self, items: list[Any]) -> statements.DryRun:
        return statements.DryRun(command=items[0])

    def create(self, items: list[Any]) -> statements.Create:
        word, name, *options, forced = items
        kind = _settable(word)
        settings = _settings(kind, options)
        given = {one.name for one in settings}
        missing = [
            one.name
            for one in kind.options_by_name.values()
            if one.required and one.name not in given
        ]
        if missing:
            raise errors.BadStatement(
                f"{kind.word} {name} needs the options"
                f" {', '.join(missing)}",
                column=name.column + len(name),
                expected=tuple(missing),
            )
        return statements.Create(
            kind=kind.kind,
            name=ids.ObjectName(str(name)),
            settings=settings,
            forced=bool(forced),
        )

    def alter(self, items: list[Any]) -> statements.Alter:
        word, name, *options, expected, forced = items
        kind = _settable(word)
        return statements.Alter(
            kind=kind.kind,
            name=ids.ObjectName(str(name)),
            settings=_settings(kind, options),
            expected=expected,
            forced=bool(forced),
        )

    def drop(self, items: list[Any]) -> statements.Drop:
        word, name, expected, forced = items
        return statements.Drop(
            kind=_kind(word).kind,
            name=ids.ObjectName(str(name)),
            expected=expected,
            forced=bool(forced),
        )

    def grant(self, items: list[Any]) -> statements.GrantKey:
        return statements.GrantKey(
            key_id=ids.CallerKeyId(str(items[0])),
            workspace=ids.WorkspaceId(str(items[1])),
        )

    def withdraw(self, items: list[Any]) -> statements.WithdrawKey:
        return statements.WithdrawKey(
            key_id=ids.CallerKeyId(str(items[0])), expected=items[1]
        )


def _kind(word: _Name) -> kinds.Kind:
    if str(word) in kinds.KINDS:
        return kinds.KINDS.get(str(word))
    raise errors.BadStatement(
        f"unexpected {str(word)!r}",
        column=word.column,
        expected=tuple(sorted(kinds.KINDS)),
    )


def _settable(word: _Name) -> kinds.Kind:
    kind = _kind(word)
    if kind is kinds.KINDS.get("key"):
        raise errors.BadStatement(
            "keys are changed with grant key and withdraw key only",
            column=word.column,
            expected=tuple(one for one in sorted(kinds.KINDS) if one != "key"),
        )
    return kind


def _settings(
    kind: kinds.Kind, options: list[_Option]
) -> tuple[statements.Setting, ...]:
    found: dict[str, statements.Setting] = {}
    for one in options:
        option = kind.options_by_name.get(one.name)
        left = sorted(set(kind.options_by_name) - set(found))
        if option is None or one.name in found:
            what = "unknown" if option is None else "repeated"
            raise errors.BadStatement(
                f"{what} option {one.name!r} of {kind.word}",
                column=one.column,
                expected=tuple(left),
            )
        try:
            value = option.convert(one.value.value)
        except (OverflowError, ValueError) as error:
            raise errors.BadStatement(
                f"{one.value.value!r} is not a valid {one.name}",
                column=one.value.column,
                expected=(option.expected(),),
            ) from error
        found[one.name] = statements.Setting(name=one.name, value=value)
    return tuple(found.values())
