"""Conditions on a key, in tables that have only its shard."""

import dataclasses
from typing import Final

from dragonflyshelf.core.configuration import diagnostics
from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core.dispatch import routes
from dragonflyshelf.core import errors
from dragonflyshelf.core.language import statements
from dragonflyshelf.core import messages
from dragonflyshelf.core import states

COLUMN_KEY: Final = "key"
COLUMN_SERVICE: Final = "service"
COLUMN_SHARD: Final = "shard"


def asks_for_key(show: statements.Show) -> bool:
    """Tell whether a statement has a condition on a key."""
    return any(one.name == COLUMN_KEY for one in show.where)


def with_shard(
    show: statements.Show, services: tuple[diagnostics.ServiceRow, ...]
) -> statements.Show:
    """Return the statement with its key replaced by the key's shard.

    The service is known by a condition of its own. Raises
    ``BadStatement`` without it.
    """
    names = {
        one.value
        for one in show.where
        if one.name == COLUMN_SERVICE
        and one.comparison is statements.Comparison.EQUAL
    }
    found = [one for one in services if one.name in names]
    where = []
    for one in show.where:
        if one.name != COLUMN_KEY:
            where.append(one)
            continue
        if one.comparison is not statements.Comparison.EQUAL or not found:
            raise errors.BadStatement(
                "a key is found by key = and the service = it belongs to",
                column=one.column,
                expected=(f"{COLUMN_SERVICE} = NAME and {COLUMN_KEY} = KEY",),
            )
        shard = _shard(found[0], str(one.value))
        where.append(dataclasses.replace(one, name=COLUMN_SHARD, value=shard))
    return dataclasses.replace(show, where=tuple(where))


def _shard(row: diagnostics.ServiceRow, key: str) -> int:
    service = objects.Service(
        name=row.name,
        key_source=states.KeySource(row.key_source),
        shards=row.shards,
    )
    data = key.encode()
    header = messages.Header(name=routes.HEADER_KEY, value=data)
    return routes.shard_of(service, data, (header,))
