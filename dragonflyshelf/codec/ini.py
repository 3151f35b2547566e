"""Parsing of settings from INI text; reports all errors with lines."""

import dataclasses
import difflib
import enum
import typing
from typing import Any

import iniconfig

from dragonflyshelf.core import errors
from dragonflyshelf.core import promises
from dragonflyshelf.core import ranges
from dragonflyshelf.core import settings
from dragonflyshelf.core import settings_rules


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
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


class InvalidSettingsFile(errors.InvalidSettings):
    """The settings file has the listed problems."""

    def __init__(self, problems: list[Problem]) -> None:
        """Create an error whose message lists all problems."""
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = problems


def parse(path: str, text: str) -> settings.Settings:
    """Return the settings in the text of a file, limited by its promises.

    ``path`` is used in messages. Raises ``InvalidSettingsFile`` with all
    problems of the file.
    """
    try:
        parsed = iniconfig.IniConfig(path, text)
    except iniconfig.ParseError as error:
        problem = Problem(
            path=path,
            line=error.lineno + 1,
            section="",
            option="",
            message=error.msg,
        )
        raise InvalidSettingsFile([problem]) from error
    reader = _Reader(path, parsed)
    result = reader.read()
    if reader.problems:
        raise InvalidSettingsFile(reader.problems)
    return promises.limit(result)


class _Reader:
    """Converts one parsed file to settings and collects its problems."""

    def __init__(self, path: str, parsed: iniconfig.IniConfig) -> None:
        self._path = path
        self._parsed = parsed
        self.problems: list[Problem] = []

    def read(self) -> Any:
        """Return the settings, None if the file has problems."""
        hints = typing.get_type_hints(settings.Settings)
        names = [field.name for field in dataclasses.fields(settings.Settings)]
        for section in self._parsed.sections:
            if section not in names:
                self._add_problem(
                    section,
                    "",
                    _describe_unknown_name("section", section, names),
                )
        sections = {
            name: self._read_section(name, hints[name]) for name in names
        }
        if self.problems:
            return None
        result = settings.Settings(**sections)
        for violation in settings_rules.find_violations(result):
            self._add_problem(
                violation.section, violation.option, violation.message
            )
        return result

    def _read_section(self, name: str, section_type: Any) -> Any:
        options = self._parsed.sections.get(name, {})
        hints = typing.get_type_hints(section_type, include_extras=True)
        for option in options:
            if option not in hints:
                message = _describe_unknown_name(
                    "option", option, sorted(hints)
                )
                self._add_problem(name, option, message)
        values = {}
        for field in dataclasses.fields(section_type):
            if field.name in options:
                values[field.name] = self._read_option(
                    name, field.name, hints[field.name], options[field.name]
                )
            elif field.default is dataclasses.MISSING:
                self._add_problem(name, field.name, "is required")
        if self.problems:
            return None
        return section_type(**values)

    def _read_option(
        self, section: str, option: str, hint: Any, text: str
    ) -> Any:
        value_type, bounds = _split_hint(hint)
        if "\n" in text:
            self._add_problem(section, option, "must be a single line")
            return None
        try:
            value = value_type(text)
        except ValueError:
            self._add_problem(
                section,
                option,
                _describe_invalid_value(text, value_type, bounds),
            )
            return None
        if bounds is not None and not bounds.allows(value):
            self._add_problem(
                section, option, f"{text} is not within {bounds}"
            )
        return value

    def _add_problem(self, section: str, option: str, message: str) -> None:
        line = self._parsed.lineof(section, option or None)
        if line is None:
            line = self._parsed.lineof(section)
        self.problems.append(
            Problem(
                path=self._path,
                line=(line or 0),
                section=section,
                option=option,
                message=message,
            )
        )


def _split_hint(hint: Any) -> tuple[Any, ranges.Range | None]:
    bounds = None
    if typing.get_origin(hint) is typing.Annotated:
        hint, bounds = typing.get_args(hint)
    while isinstance(hint, typing.NewType):
        hint = hint.__supertype__
    return hint, bounds


def _describe_unknown_name(
    noun: str, name: str, valid_names: list[str]
) -> str:
    matches = difflib.get_close_matches(name, valid_names, n=1)
    if matches:
        return f"unknown {noun}; did you mean {matches[0]!r}?"
    return f"unknown {noun}; expected one of {', '.join(valid_names)}"


def _describe_invalid_value(
    text: str, value_type: Any, bounds: ranges.Range | None
) -> str:
    if isinstance(value_type, type) and issubclass(value_type, enum.Enum):
        allowed = ", ".join(str(member.value) for member in value_type)
        return f"{text!r} is not one of {allowed}"
    noun = "an integer" if value_type is int else "a number"
    return f"{text!r} is not {noun} from {bounds}"
