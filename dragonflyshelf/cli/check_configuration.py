"""Check of a configuration before the operator writes it."""

from collections import abc
import dataclasses
import pathlib
import sys
from typing import Any, Final

import msgspec

from dragonflyshelf.core.configuration import contradictions
from dragonflyshelf.core.configuration import differences
from dragonflyshelf.core.configuration import findings
from dragonflyshelf.core.configuration import succession
from dragonflyshelf.core import errors
from dragonflyshelf.core.routing import objects as routing
from dragonflyshelf.platform import ignored_fields
from dragonflyshelf.platform import objects
from dragonflyshelf.platform import violations

EXIT_USAGE: Final = 2
"""A file can't be read, or the version to compare with is invalid."""

EXIT_WARNINGS: Final = 4
"""The configuration is valid, and there are warnings."""

EXIT_INVALID: Final = 5
"""The configuration would not be used."""

Severity = findings.Severity


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Line:
    """A finding with its place in the platform's format, if it has one."""

    severity: Severity
    place: str
    text: str

    def __str__(self) -> str:
        """Return the finding on one line."""
        place = f"{self.place}: " if self.place else ""
        return f"{self.severity.value:8}{place}{self.text}"


def check_configuration(
    new: pathlib.Path,
    *,
    against: pathlib.Path | None = None,
    json: bool = False,
) -> None:
    """Check a configuration and tell what it changes.

    The exit status is 0 without errors and warnings, 4 with warnings and 5
    for a configuration that no instance would use.

    :param new: file with the configuration as the operator writes it
    :param against: file with the version in force, to compare with
    :param json: print one JSON object
    """
    severities = list(Severity)
    lines = sorted(
        find_lines(_read(new), _read_current(against)),
        key=lambda line: severities.index(line.severity),
    )
    status = find_status(lines)
    if json:
        print(msgspec.json.encode(render(lines)).decode())
    else:
        for line in lines:
            print(line)
        print(f"{new}: {summarize(lines)}")
    raise SystemExit(status)


def _read(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        print(f"{path}: {error.strerror}", file=sys.stderr)
        raise SystemExit(EXIT_USAGE) from error


def _read_current(path: pathlib.Path | None) -> routing.Configuration | None:
    """Return the version in force, None if there is none to compare with."""
    if path is None:
        return None
    try:
        return objects.decode_configuration(_read(path))
    except errors.InvalidObject as error:
        print(f"{path}: {_to_line(error)}", file=sys.stderr)
        raise SystemExit(EXIT_USAGE) from error


def find_lines(
    spec: bytes, current: routing.Configuration | None
) -> abc.Iterator[Line]:
    """Yield what is wrong with a configuration, odd in it, and new."""
    checked = objects.check_configuration(spec)
    yield from (_to_line(fault) for fault in checked.faults)
    newer = checked.configuration
    if newer is None:
        return
    for field in ignored_fields.find_ignored_fields(spec):
        yield Line(
            severity=Severity.WARNING,
            place=field,
            text="is not known to the router and ignored",
        )
    yield from map(_translate, contradictions.find_contradictions(newer))
    if current is None:
        return
    try:
        succession.check_successor(current, newer)
    except errors.InvalidObject as error:
        yield _to_line(error)
    versions = differences.Versions(current=current, newer=newer)
    yield from map(_translate, differences.find_differences(versions))


def _to_line(fault: errors.InvalidObject) -> Line:
    value = f", is {fault.value}" if fault.value else ""
    return Line(
        severity=Severity.ERROR,
        place=fault.place,
        text=f"{fault.message}{value}",
    )


def _translate(finding: findings.Finding) -> Line:
    place = ""
    if finding.field is not None:
        place = violations.find_place(finding.field, finding.row)
    return Line(severity=finding.severity, place=place, text=finding.text)


def find_status(lines: abc.Iterable[Line]) -> int:
    """Return the exit status."""
    severities = {line.severity for line in lines}
    if Severity.ERROR in severities:
        return EXIT_INVALID
    return EXIT_WARNINGS if Severity.WARNING in severities else 0


def summarize(lines: abc.Sequence[Line]) -> str:
    """Return the number of findings of each severity."""
    counts = [
        (severity, sum(line.severity is severity for line in lines))
        for severity in Severity
    ]
    return ", ".join(
        f"{severity.value}s: {count}" for severity, count in counts
    )


def render(lines: abc.Sequence[Line]) -> dict[str, Any]:
    """Return the findings as a value for JSON."""
    return {
        "status": find_status(lines),
        "findings": [
            {
                "severity": line.severity.value,
                "place": line.place,
                "text": line.text,
            }
            for line in lines
        ],
    }
