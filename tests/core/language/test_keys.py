"""Tests of conditions on a key."""

import pytest

from dragonflyshelf.core.configuration import diagnostics
from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core.dispatch import routes
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.language import keys
from dragonflyshelf.core.language import parser
from dragonflyshelf.core import states

SERVICES = tuple(
    diagnostics.ServiceRow(
        name=ids.ServiceName(name),
        access="open",
        key_source="path",
        priority="urgent",
        shards=shards,
        upstreams=1,
        version=ids.Version(1),
    )
    for name, shards in (("letters", 64), ("maps", 7))
)


class TestWithShard:
    """A key stands for its shard in its service."""

    def test_shard(self) -> None:
        """The shard is the one that requests are routed by."""
        show = parser.parse(
            'show timeline where key = "child-17" and service = letters'
        )
        found = keys.with_shard(show, SERVICES)
        service = objects.Service(
            name=ids.ServiceName("letters"),
            key_source=states.KeySource.PATH,
            shards=64,
        )
        assert found.where[0].name == "shard"
        assert found.where[0].value == routes.shard_of(
            service, b"child-17", ()
        )
        assert found.where[1] == show.where[1]

    @pytest.mark.parametrize(
        "text",
        [
            "show timeline where key = a",
            "show timeline where service = nobody and key = a",
            "show timeline where service = letters and key ~ a",
        ],
    )
    def test_mistake(self, text: str) -> None:
        """A key without its service is pointed at."""
        with pytest.raises(errors.BadStatement) as caught:
            keys.with_shard(parser.parse(text), SERVICES)
        assert text[caught.value.column - 1 :].startswith("key")
