"""Fields of a configuration that the router ignores."""

from collections import abc
from typing import Any, Final

import msgspec

from dragonflyshelf.platform import objects

RECORDS_BY_TABLE: Final = {
    "Routes": objects.RouteRecord,
    "Services": objects.ServiceRecord,
    "Tenants": objects.WorkspaceRecord,
}
SUPPORTED_VALUES: Final[dict[str, tuple[Any, ...]]] = {
    "Services.Grants": ("call", None),
    "Services.Protocol": ("h1", None),
    "Services.Tls": (False, None),
}
"""Values of fields that the decoder leaves out: what the router does."""

HINTS: Final = frozenset({"Services.WarmS"})
"""Fields that tell something which the router need not know."""


def find_ignored_fields(spec: bytes) -> abc.Iterator[str]:
    """Yield the fields that a valid configuration has in vain.

    A field with the value of what the router does anyway is none of them.
    """
    values = msgspec.json.decode(spec)
    known = _names(objects.ConfigurationRecord)
    yield from (name for name in values if name not in known)
    limits = values.get("Limits", {})
    known = _names(objects.LimitsRecord)
    yield from (f"Limits.{name}" for name in limits if name not in known)
    for table, record_type in RECORDS_BY_TABLE.items():
        if table in values:
            yield from _find_columns(table, values[table], record_type)


def _find_columns(
    table: str, content: dict[str, Any], record_type: type
) -> abc.Iterator[str]:
    known = _names(record_type)
    for index, name in enumerate(content["Columns"]):
        field = f"{table}.{name}"
        if name in known or field in HINTS:
            continue
        supported = SUPPORTED_VALUES.get(field, (None,))
        if any(row[index] not in supported for row in content["Rows"]):
            yield field


def _names(record_type: type) -> frozenset[str]:
    return frozenset(
        field.encode_name for field in msgspec.structs.fields(record_type)
    )
