"""Reference of all settings as text, made from their types."""

import dataclasses
import enum
import typing
from typing import Any

import tabulate

from dragonflyshelf.core import ranges
from dragonflyshelf.core import settings

EXAMPLES = {
    ("instance", "data_centre"): "local",
    ("instance", "name"): "solo",
}
INTRODUCTION = """# Settings

Times are in seconds and sizes in bytes. Every option has a default but the
two that are required. `dragonflyshelf check FILE` names every mistake.
"""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Option:
    """One option and what it may be."""

    section: str
    name: str
    default: str
    allowed: str


def sections() -> dict[str, type]:
    """Return the types of all sections."""
    hints = typing.get_type_hints(settings.Settings)
    return {
        one.name: hints[one.name]
        for one in dataclasses.fields(settings.Settings)
    }


def options(section: str, kind: Any) -> list[Option]:
    """Return the options of a section."""
    hints = typing.get_type_hints(kind, include_extras=True)
    return [
        Option(
            section=section,
            name=one.name,
            default=_text(one.default),
            allowed=_allowed(hints[one.name]),
        )
        for one in dataclasses.fields(kind)
    ]


def _text(value: Any) -> str:
    if value is dataclasses.MISSING:
        return "required"
    if isinstance(value, enum.Enum):
        return str(value.value)
    return str(value)


def _allowed(hint: Any) -> str:
    if typing.get_origin(hint) is typing.Annotated:
        hint, bounds = typing.get_args(hint)
        assert isinstance(bounds, ranges.Range)
        whole = "whole number, " if hint is int else ""
        return f"{whole}{bounds}"
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return ", ".join(str(one.value) for one in hint)
    return "text"


def _summary(kind: Any) -> str:
    """Return what the first line of a docstring says of a section."""
    line = (kind.__doc__ or "").splitlines()[0]
    text = line.partition(": ")[2].rstrip(".")
    return text[:1].upper() + text[1:]


def settings_page() -> str:
    """Return the page of all settings."""
    parts = [INTRODUCTION]
    for section, kind in sections().items():
        rows = [
            (f"`{one.name}`", one.default, one.allowed)
            for one in options(section, kind)
        ]
        table = tabulate.tabulate(
            rows, headers=("option", "default", "allowed"), tablefmt="github"
        )
        parts.append(f"## `[{section}]`\n\n{_summary(kind)}.\n\n{table}\n")
    return "\n".join(parts)


def example() -> str:
    """Return an INI file with every option at its default."""
    lines = ["; Every option with its default, made from the program."]
    for section, kind in sections().items():
        lines += ["", f"; {_summary(kind)}.", f"[{section}]"]
        for one in options(section, kind):
            value = EXAMPLES.get((section, one.name), one.default)
            lines += [f"; {one.allowed}", f"{one.name} = {value}"]
    return "\n".join(lines) + "\n"
