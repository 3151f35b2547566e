"""Tests of the tables for operators."""

import pytest

from dragonflyshelf.core.configuration import diagnostics as tables
from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core.configuration import view
from dragonflyshelf.core import diagnostics
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.platform import messages
from dragonflyshelf.core import states

NOW = ids.Instant(0.0)


def sources_with(kind: states.ObjectKind, name: str, value: object):
    """Return sources whose view has one object at version 5."""
    shared = view.ObjectView()
    shared.apply(
        messages.ObjectChanged(
            key=messages.ObjectKey(kind=kind, name=ids.ObjectName(name)),
            version=ids.Version(5),
            write_id=ids.WriteId("w"),
            value=value,
        )
    )
    return diagnostics.ControlSources(
        view=shared, membership=None, ownership=None, grants=None
    )


class TestTables:
    """Rows are typed and taken from the registry."""

    def test_workspace(self) -> None:
        """A workspace is shown with its version."""
        value = objects.Workspace(
            name=ids.WorkspaceId("w"), rate=2.0, burst=3.0
        )
        sources = sources_with(states.ObjectKind.WORKSPACE, "w", value)
        (row,) = diagnostics.rows("workspaces", sources, NOW)
        assert row == tables.WorkspaceRow(
            name=ids.WorkspaceId("w"),
            rate=2.0,
            burst=3.0,
            weight=1.0,
            version=ids.Version(5),
        )

    def test_caller_key_shows_no_digest(self) -> None:
        """A caller key is listed by its id only."""
        value = objects.CallerKey(
            key_id=ids.CallerKeyId("k"),
            digest=ids.KeyDigest("feed"),
            workspace=ids.WorkspaceId("w"),
        )
        sources = sources_with(states.ObjectKind.CALLER_KEY, "k", value)
        (row,) = diagnostics.rows("caller_keys", sources, NOW)
        assert "feed" not in repr(row)
        assert row.name == "k"

    def test_unknown_table(self) -> None:
        """A table that nobody registered is a coded error."""
        with pytest.raises(errors.NotRegistered):
            diagnostics.rows("nothing", None, NOW)
