"""Hypothesis strategies for statements of the operator language."""

from typing import Any

from hypothesis import strategies

from dragonflyshelf.core.language import kinds
from dragonflyshelf.core.language import statements

NAMES = strategies.text(min_size=1, max_size=12)
IDENTIFIERS = strategies.from_regex(r"[a-z_][a-z0-9_]{0,8}", fullmatch=True)
VERSIONS = strategies.none() | strategies.integers(0, 2**40)
KEYWORDS = [keyword for keyword in kinds.KINDS if keyword != "key"]
SCALARS = (
    strategies.integers(-(10**9), 10**9)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=12)
)


def values_of(option: kinds.Option) -> Any:
    """Return a strategy for the valid values of an option."""
    if option.value_type is bool:
        return strategies.booleans()
    if option.value_type is str:
        return NAMES
    if option.bounds is None:
        return strategies.sampled_from(list(option.value_type))
    if option.value_type is int:
        return strategies.integers(
            option.bounds.minimum, option.bounds.maximum
        )
    return strategies.floats(option.bounds.minimum, option.bounds.maximum)


@strategies.composite
def option_values(
    draw: Any, kind: kinds.KindDefinition, required: bool
) -> tuple[statements.OptionValue, ...]:
    """Draw options of a kind, in random order."""
    options = kind.options_by_name.values()
    chosen = [
        option
        for option in options
        if (required and option.is_required) or draw(strategies.booleans())
    ]
    if not chosen and not required:
        chosen = [draw(strategies.sampled_from(list(options)))]
    return tuple(
        statements.OptionValue(name=option.name, value=draw(values_of(option)))
        for option in draw(strategies.permutations(chosen))
    )


@strategies.composite
def commands(draw: Any) -> statements.Command:
    """Draw any command."""
    kind = kinds.KINDS.get(draw(strategies.sampled_from(KEYWORDS)))
    name = draw(NAMES)
    expected_version = draw(VERSIONS)
    forced = draw(strategies.booleans())
    return draw(
        strategies.sampled_from(
            [
                statements.Alter(
                    kind=kind.kind,
                    name=name,
                    option_values=draw(option_values(kind, False)),
                    expected_version=expected_version,
                    forced=forced,
                ),
                statements.Create(
                    kind=kind.kind,
                    name=name,
                    option_values=draw(option_values(kind, True)),
                    forced=forced,
                ),
                statements.Drop(
                    kind=kind.kind,
                    name=name,
                    expected_version=expected_version,
                    forced=forced,
                ),
                statements.GrantKey(key_id=name, workspace=draw(NAMES)),
                statements.WithdrawKey(
                    key_id=name, expected_version=expected_version
                ),
            ]
        )
    )


CONDITIONS = strategies.builds(
    statements.Condition,
    name=IDENTIFIERS,
    comparison=strategies.sampled_from(list(statements.Comparison)),
    value=SCALARS,
    column=strategies.just(0),
)
SHOWS = strategies.builds(
    statements.Show,
    table=NAMES,
    everywhere=strategies.booleans(),
    where=strategies.lists(CONDITIONS, max_size=3).map(tuple),
    columns=strategies.lists(
        strategies.builds(
            statements.ColumnName, name=IDENTIFIERS, column=strategies.just(0)
        ),
        max_size=3,
    ).map(tuple),
    order=strategies.lists(
        strategies.builds(
            statements.OrderTerm,
            name=IDENTIFIERS,
            descending=strategies.booleans(),
            column=strategies.just(0),
        ),
        max_size=3,
    ).map(tuple),
    limit=strategies.none() | strategies.integers(0, 10**6),
    column=strategies.just(0),
)
QUERIES = strategies.one_of(
    SHOWS,
    strategies.builds(
        statements.ExplainKey, service=NAMES, key=strategies.text(max_size=9)
    ),
    strategies.builds(
        statements.ExplainRequest,
        method=NAMES,
        target=strategies.text(max_size=9),
        workspace=strategies.just("") | NAMES,
    ),
    strategies.builds(
        statements.Wait,
        kind=strategies.sampled_from(list(kinds.KEYWORDS_BY_KIND)),
        name=NAMES,
        version=strategies.integers(0, 2**40),
        timeout=strategies.integers(0, 600).map(float),
    ),
    strategies.just(statements.Audit()),
    strategies.builds(statements.DryRun, command=commands()),
)
