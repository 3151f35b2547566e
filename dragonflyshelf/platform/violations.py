"""Where a value of the platform's format is at fault, and what it holds."""

import re
from typing import Any, Final

import msgspec

from dragonflyshelf.core.configuration import validity

MAX_VALUE_LENGTH: Final = 64
"""Characters of a value that are shown."""

HIDDEN_VALUE: Final = "not shown"
SECRET_TABLE: Final = "Tenants"
"""Table whose texts may be caller keys, also in the wrong column."""

MISSING_FIELD: Final = re.compile(r"missing required field `(\w+)`")
PATH_SUFFIX: Final = re.compile(r" - at `(?:key in )?\$(.*)`$")
STEP: Final = re.compile(r"\.(\w+)|\[(\d+)\]")


TABLE_NAMES: Final = {
    validity.Table.LIMITS: "Limits",
    validity.Table.ROUTES: "Routes",
    validity.Table.SERVICES: "Services",
    validity.Table.WORKSPACES: "Tenants",
}
FIELD_NAMES: Final = {
    "body_bytes": "MaxBodyBytes",
    "burst": "Burst",
    "head_bytes": "MaxHeaderBytes",
    "head_timeout": "HeaderTimeoutS",
    "host": "Host",
    "idle_timeout": "IdleTimeoutS",
    "key_digests": "ApiKeys",
    "latency_objective": "SloLatencyS",
    "max_attempts": "MaxAttempts",
    "max_connections": "MaxConnections",
    "name": "Name",
    "path_prefix": "PathPrefix",
    "priority": "Priority",
    "rate": "RatePerS",
    "timeout": "TimeoutS",
    "traffic_split": "TrafficSplit",
    "warmup_rate": "WarmupPerS",
    "warmup_seconds": "WarmupS",
}
"""The platform's names of the fields that a finding can be about."""


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
    missing = MISSING_FIELD.search(text)
    if missing:
        path = f"{path}.{missing.group(1)}"
    reason = text[: match.start()] if match else text
    field_place = (place + path).removeprefix(".")
    return FieldViolation(
        reason, field_place, show(_look_up(root, path), field_place)
    )


def find_place(field: validity.Field, row: int) -> str:
    """Return the path of a field in the platform's format."""
    table = TABLE_NAMES[field.table]
    rows = "" if field.table is validity.Table.LIMITS else f".Rows[{row}]"
    return f"{table}{rows}.{FIELD_NAMES[field.name]}"


def translate(violation: validity.Violation) -> FieldViolation:
    """Return a violation of a rule with the platform's names."""
    place = find_place(violation.field, violation.row)
    value = violation.value
    return FieldViolation(
        violation.reason, place, "" if value is None else show(value, place)
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
