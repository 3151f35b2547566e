"""Parsing of settings from INI text; reports all errors with lines."""

import dataclasses
import difflib
import enum
import typing
from typing import Any

import iniconfig

from dragonflyshelf.core import errors
from dragonflyshelf.core import ranges
from dragonflyshelf.core import settings
from dragonflyshelf.core import settings_rules


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Mistake:
    """Problem in a settings file; ``line`` counts from 1, 0 if unknown."""

    path: str
    line: int
    section: str
    option: str
    message: str

    def __str__(self) -> str:
        """Return the problem in the format of compiler errors."""
        parts = [f"{self.path}:{self.line}"]
        if self.section:
            parts.append(f"[{self.section}] {self.option}".rstrip())
        return ": ".join([*parts, self.message])


class BadSettingsFile(errors.InvalidSettings):
    """The settings file has the listed problems."""

    def __init__(self, mistakes: list[Mistake]) -> None:
        """Create an error whose message lists all problems."""
        super().__init__("; ".join(str(one) for one in mistakes))
        self.mistakes = mistakes


def parse(path: str, text: str) -> settings.Settings:
    """Return the settings in the text of a file.

    ``path`` is used in messages. Raises ``BadSettingsFile`` with all
    problems of the file.
    """
    try:
        parsed = iniconfig.IniConfig(path, text)
    except iniconfig.ParseError as error:
        mistake = Mistake(
            path=path,
            line=error.lineno + 1,
            section="",
            option="",
            message=error.msg,
        )
        raise BadSettingsFile([mistake]) from error
    reader = _Reader(path, parsed)
    found = reader.read()
    if reader.mistakes:
        raise BadSettingsFile(reader.mistakes)
    return found


class _Reader:
    """Converts one parsed file to settings and collects its problems."""

    def __init__(self, path: str, parsed: iniconfig.IniConfig) -> None:
        self._path = path
        self._parsed = parsed
        self.mistakes: list[Mistake] = []

    def read(self) -> Any:
        """Return the settings, None if the file has problems."""
        hints = typing.get_type_hints(settings.Settings)
        known = [one.name for one in dataclasses.fields(settings.Settings)]
        for section in self._parsed.sections:
            if section not in known:
                self._add(section, "", _unknown("section", section, known))
        sections = {
            name: self._read_section(name, hints[name]) for name in known
        }
        if self.mistakes:
            return None
        found = settings.Settings(**sections)
        for one in settings_rules.find_violations(found):
            self._add(one.section, one.option, one.message)
        return found

    def _read_section(self, name: str, kind: Any) -> Any:
        options = self._parsed.sections.get(name, {})
        hints = typing.get_type_hints(kind, include_extras=True)
        for option in options:
            if option not in hints:
                text = _unknown("option", option, sorted(hints))
                self._add(name, option, text)
        values = {}
        for field in dataclasses.fields(kind):
            if field.name in options:
                values[field.name] = self._read_option(
                    name, field.name, hints[field.name], options[field.name]
                )
            elif field.default is dataclasses.MISSING:
                self._add(name, field.name, "is required")
        if self.mistakes:
            return None
        return kind(**values)

    def _read_option(
        self, section: str, option: str, hint: Any, text: str
    ) -> Any:
        kind, bounds = _split(hint)
        if "\n" in text:
            self._add(section, option, "must be a single line")
            return None
        try:
            value = kind(text)
        except ValueError:
            self._add(section, option, _not_a(text, kind, bounds))
            return None
        if bounds is not None and not bounds.allows(value):
            self._add(section, option, f"{text} is not within {bounds}")
        return value

    def _add(self, section: str, option: str, message: str) -> None:
        line = self._parsed.lineof(section, option or None)
        if line is None:
            line = self._parsed.lineof(section)
        self.mistakes.append(
            Mistake(
                path=self._path,
                line=(line or 0),
                section=section,
                option=option,
                message=message,
            )
        )


def _split(hint: Any) -> tuple[Any, ranges.Range | None]:
    bounds = None
    if typing.get_origin(hint) is typing.Annotated:
        hint, bounds = typing.get_args(hint)
    while isinstance(hint, typing.NewType):
        hint = hint.__supertype__
    return hint, bounds


def _unknown(what: str, name: str, known: list[str]) -> str:
    near = difflib.get_close_matches(name, known, n=1)
    if near:
        return f"unknown {what}; did you mean {near[0]!r}?"
    return f"unknown {what}; expected one of {', '.join(known)}"


def _not_a(text: str, kind: Any, bounds: ranges.Range | None) -> str:
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        allowed = ", ".join(str(one.value) for one in kind)
        return f"{text!r} is not one of {allowed}"
    what = "an integer" if kind is int else "a number"
    return f"{text!r} is not {what} from {bounds}"
