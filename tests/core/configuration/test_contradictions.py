"""Tests of what contradicts itself in a valid configuration."""

import dataclasses

import pytest

from dragonflyshelf.core.configuration import contradictions
from dragonflyshelf.core.configuration import findings
from dragonflyshelf.core import ids
from dragonflyshelf.core.routing import objects
from dragonflyshelf.core import states
from tests.core.scheduling import world

SOUND = world.configuration(workspaces=(world.workspace(20.0),))


def find_texts(configuration: objects.Configuration) -> list[str]:
    """Return the texts of all findings, which are warnings."""
    found = list(contradictions.find_contradictions(configuration))
    assert {finding.severity for finding in found} <= {
        findings.Severity.WARNING
    }
    return [finding.text for finding in found]


def change_route(**values: object) -> objects.Configuration:
    """Return a configuration whose first route has other values."""
    first, *others = SOUND.routes
    changed = dataclasses.replace(first, **values)  # type: ignore[arg-type]
    return dataclasses.replace(SOUND, routes=(changed, *others))


def change_workspace(**values: object) -> objects.Configuration:
    """Return a configuration whose workspace has other values."""
    (workspace,) = SOUND.workspaces
    changed = dataclasses.replace(
        workspace, **values  # type: ignore[arg-type]
    )
    return dataclasses.replace(SOUND, workspaces=(changed,))


def split_to(weight: float) -> tuple[objects.WeightedService, ...]:
    """Return a split among both services, one of them with a weight."""
    return (
        objects.WeightedService(service=world.LETTERS, weight=1.0),
        objects.WeightedService(service=world.ARCHIVE, weight=weight),
    )


class TestContradictions:
    """Each contradiction is a warning with its place."""

    def test_sound_configuration(self) -> None:
        """A configuration without contradictions has no warning."""
        assert find_texts(SOUND) == []

    @pytest.mark.parametrize(
        ("configuration", "text"),
        [
            (change_route(timeout=0.4), "before its objective of 0.5 s"),
            (change_route(path_prefix="/a?/"), "can never match"),
            (change_route(host="a.b:80"), "without their port"),
            (change_route(traffic_split=split_to(0.0)), "its weight is 0"),
            (change_workspace(burst=0.0), "5 requests at once"),
            (change_workspace(rate=0.0), "it has no limit"),
        ],
    )
    def test_one(
        self, configuration: objects.Configuration, text: str
    ) -> None:
        """A single contradiction is found once."""
        (found,) = find_texts(configuration)
        assert text in found

    def test_unused_service(self) -> None:
        """A service without a route, which nothing is sent to while cold."""
        service = dataclasses.replace(world.service("spare"), warmup_rate=0.0)
        configuration = dataclasses.replace(
            SOUND, services=(*SOUND.services, service)
        )
        unused, cold = find_texts(configuration)
        assert unused == "no route leads to service spare"
        assert "nothing is sent to an upstream of spare" in cold

    def test_no_keys(self) -> None:
        """Nobody is let in without a key, unless the access is open."""
        without_keys = change_workspace(key_digests=())
        assert [text.partition(":")[0] for text in find_texts(without_keys)]
        assert "nobody is let in" in find_texts(without_keys)[-1]
        opened = dataclasses.replace(without_keys, access=states.Access.OPEN)
        assert find_texts(opened) == []

    def test_no_routes(self) -> None:
        """Every request gets 404, and no service is used."""
        texts = find_texts(dataclasses.replace(SOUND, routes=()))
        assert "there is no route: every request gets 404" in texts

    def test_place(self) -> None:
        """A finding names the row and the field."""
        (found,) = contradictions.find_contradictions(
            change_route(timeout=0.4, name=ids.RouteName("late"))
        )
        assert found.field is not None
        assert (found.field.name, found.row) == ("timeout", 0)
        assert "route late" in found.text
