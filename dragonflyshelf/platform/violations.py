"""Where a value of the platform's format is at fault, and what it holds."""

import re
from typing import Any, Final

import msgspec

MAX_VALUE_LENGTH: Final = 64
"""Characters of a value that are shown."""

HIDDEN_VALUE: Final = "not shown"
SECRET_TABLE: Final = "Tenants"
"""Table whose texts may be caller keys, also in the wrong column."""

PATH_SUFFIX: Final = re.compile(r" - at `(?:key in )?\$(.*)`$")
STEP: Final = re.compile(r"\.(\w+)|\[(\d+)\]")


class FieldViolation(ValueError):
    """A field holds what it must not."""

    def __init__(self, reason: str, place: str, value: str) -> None:
        """Create an error; ``place`` is the path of the field."""
        super().__init__(reason)
        self.reason = reason
        self.place = place
        self.value = value


def locate(
    error: msgspec.ValidationError, root: Any, place: str
) -> FieldViolation:
    """Return the violation that a decoder found in a value at a place."""
    text = str(error)
    match = PATH_SUFFIX.search(text)
    path = match.group(1) if match else ""
    reason = text[: match.start()] if match else text
    field_place = (place + path).removeprefix(".")
    return FieldViolation(
        reason, field_place, show(_look_up(root, path), field_place)
    )


def show(value: Any, place: str) -> str:
    """Return a value as it may be logged; containers are not shown."""
    if isinstance(value, str):
        if place.startswith(SECRET_TABLE):
            return HIDDEN_VALUE
        return repr(value[:MAX_VALUE_LENGTH])
    if isinstance(value, dict | list):
        return ""
    return msgspec.json.encode(value).decode()[:MAX_VALUE_LENGTH]


def _look_up(root: Any, path: str) -> Any:
    """Return the value at a path, an empty list if there is none."""
    value = root
    for name, index in STEP.findall(path):
        if name and isinstance(value, dict) and name in value:
            value = value[name]
        elif index and isinstance(value, list) and int(index) < len(value):
            value = value[int(index)]
        else:
            return []
    return value
