"""Tests of what a version changes, in an operator's words."""

import dataclasses

import pytest

from dragonflyshelf.core.configuration import differences
from dragonflyshelf.core.configuration import findings
from dragonflyshelf.core.configuration import succession
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.routing import objects
from dragonflyshelf.core import states
from tests.core.scheduling import world

CURRENT = world.configuration(workspaces=(world.workspace(20.0),))
NOTE = findings.Severity.NOTE
WARNING = findings.Severity.WARNING


def find(
    newer: objects.Configuration, current: objects.Configuration = CURRENT
) -> list[tuple[findings.Severity, str]]:
    """Return the severity and text of each difference."""
    versions = differences.Versions(current=current, newer=newer)
    return [
        (finding.severity, finding.text)
        for finding in differences.find_differences(versions)
    ]


def with_routes(*routes: objects.Route) -> objects.Configuration:
    """Return the configuration with other routes."""
    return dataclasses.replace(CURRENT, routes=routes)


def with_workspaces(*workspaces: objects.Workspace) -> objects.Configuration:
    """Return the configuration with other workspaces."""
    return dataclasses.replace(CURRENT, workspaces=workspaces)


class TestRoutes:
    """Routes are told apart by host and prefix, as requests find them."""

    def test_nothing(self) -> None:
        """A version with the same content has no differences."""
        assert find(CURRENT) == []

    def test_opened(self) -> None:
        """A new route says from which other one it takes requests."""
        opened = world.route("read/new", "archive")
        ((severity, text),) = find(with_routes(*CURRENT.routes, opened))
        assert severity is NOTE
        assert text.startswith("opened: route read/new")
        assert "to archive, was part of route read " in text

    def test_opened_to_everyone(self) -> None:
        """A new public route of a private configuration is a warning."""
        opened = world.route("new", "letters", is_public=True)
        newer = with_routes(*CURRENT.routes, opened)
        ((severity, text),) = find(newer)
        assert severity is WARNING and "needs no caller key" in text
        current = dataclasses.replace(CURRENT, access=states.Access.OPEN)
        newer = dataclasses.replace(newer, access=states.Access.OPEN)
        ((severity, _),) = find(newer, current)
        assert severity is NOTE

    def test_closed(self) -> None:
        """A removed route says what its requests get now."""
        specific = world.route("read/old", "archive")
        current = with_routes(*CURRENT.routes, specific)
        ((_, text),) = find(CURRENT, current)
        assert "closed: route read/old" in text
        assert "now part of route read " in text
        ((_, text),) = find(with_routes(*CURRENT.routes[1:]))
        assert text.startswith("closed: route read ") and "now 404" in text

    def test_redirected(self) -> None:
        """A route to another service names both."""
        redirected = world.route("read", "archive")
        newer = with_routes(redirected, *CURRENT.routes[1:])
        assert find(newer) == [
            (
                NOTE,
                "redirected: route read (letters.example/read/) to archive,"
                " was letters",
            )
        ]

    @pytest.mark.parametrize(
        ("values", "severity", "text"),
        [
            ({"is_public": True}, WARNING, "needs no caller key any more"),
            ({"timeout": 3.0}, NOTE, "timeout in seconds 3.0, was 2.0"),
            (
                {"kind": objects.RequestKind.UPLOAD},
                NOTE,
                "is of kind upload, was safe",
            ),
            ({"name": "other"}, NOTE, "was named read"),
        ],
    )
    def test_changed(
        self,
        values: dict[str, object],
        severity: findings.Severity,
        text: str,
    ) -> None:
        """A route that stays tells what is different."""
        changed = dataclasses.replace(
            CURRENT.routes[0], **values  # type: ignore[arg-type]
        )
        newer = with_routes(changed, *CURRENT.routes[1:])
        ((found_severity, found_text),) = find(newer)
        assert found_severity is severity
        assert text in found_text

    def test_repeated_orders(self) -> None:
        """An order that may be run again is a warning."""
        read, order, *others = CURRENT.routes
        changed = dataclasses.replace(
            order, kind=objects.RequestKind.IDEMPOTENT
        )
        ((severity, text),) = find(with_routes(read, changed, *others))
        assert severity is WARNING
        assert "its requests may run more than once" in text


class TestAccess:
    """Who is let in that was not, and who is not any more."""

    def test_open_to_everyone(self) -> None:
        """Without the table of workspaces nobody needs a key."""
        newer = dataclasses.replace(
            with_workspaces(), access=states.Access.OPEN
        )
        assert (
            WARNING,
            "everyone is let in on every route, without a caller key",
        ) in find(newer)

    def test_last_workspace(self) -> None:
        """Without a workspace nobody is let in."""
        found = find(with_workspaces())
        assert (NOTE, "withdrawn: 1 caller key of workspace one") in found
        assert (NOTE, "workspace one is removed") in found
        assert any(
            severity is WARNING and "nobody has one" in text
            for severity, text in found
        )

    def test_keys(self) -> None:
        """Keys are counted, and none is told."""
        (workspace,) = CURRENT.workspaces
        digests = (ids.KeyDigest("d2"), ids.KeyDigest("d3"))
        found = find(
            with_workspaces(
                dataclasses.replace(workspace, key_digests=digests)
            )
        )
        assert found == [
            (NOTE, "withdrawn: 1 caller key of workspace one"),
            (NOTE, "let in: 2 caller keys of workspace one"),
        ]

    def test_moved_key(self) -> None:
        """A key that becomes another workspace's is a warning."""
        (workspace,) = CURRENT.workspaces
        other = dataclasses.replace(workspace, name=ids.WorkspaceId("two"))
        found = find(with_workspaces(other))
        assert (
            WARNING,
            "now of two: 1 caller key of workspace one",
        ) in found

    @pytest.mark.parametrize(
        ("rate", "severity", "text"),
        [
            (0.0, WARNING, "no limit, was 20/s with a burst of 20"),
            (5.0, NOTE, "5/s with a burst of 5, was 20/s with a burst of 20"),
        ],
    )
    def test_limit(
        self, rate: float, severity: findings.Severity, text: str
    ) -> None:
        """A limit that is gone is a warning."""
        newer = with_workspaces(world.workspace(rate))
        assert find(newer) == [(severity, f"workspace one: {text}")]


class TestServicesAndLimits:
    """Numbers of services and limits, with what they were."""

    def test_services(self) -> None:
        """Services that come and go, and one that is sharded now."""
        letters, _ = CURRENT.services
        newer = dataclasses.replace(
            CURRENT,
            services=(
                dataclasses.replace(letters, is_sharded=True),
                world.service("spare"),
            ),
        )
        assert find(newer) == [
            (NOTE, "service letters: sharded True, was False"),
            (NOTE, "service spare is added"),
            (NOTE, "service archive is removed"),
        ]

    def test_limits(self) -> None:
        """A limit that is different."""
        limits = dataclasses.replace(CURRENT.limits, body_bytes=1000)
        assert find(dataclasses.replace(CURRENT, limits=limits)) == [
            (NOTE, "limits: bytes of a body 1000, was 1000000")
        ]


class TestSuccession:
    """Versions only increase."""

    @pytest.mark.parametrize("version", [0, 1])
    def test_older_version(self, version: int) -> None:
        """An older one, or the same with other content, may not follow."""
        newer = dataclasses.replace(
            with_routes(), version=ids.ConfigurationVersion(version)
        )
        with pytest.raises(errors.InvalidObject):
            succession.check_successor(CURRENT, newer)

    def test_allowed_versions(self) -> None:
        """A newer one, the same one and the first one may follow."""
        newer = dataclasses.replace(
            with_routes(), version=ids.ConfigurationVersion(2)
        )
        succession.check_successor(CURRENT, newer)
        succession.check_successor(CURRENT, CURRENT)
        succession.check_successor(None, CURRENT)
