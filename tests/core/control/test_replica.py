"""Tests of what a batch of events changes."""

from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core.configuration import view
from dragonflyshelf.core.control import replica
from dragonflyshelf.core import ids
from dragonflyshelf.core.platform import messages
from dragonflyshelf.core import states


def change(version: int) -> messages.ObjectChanged:
    """Return a change of one workspace."""
    return messages.ObjectChanged(
        key=messages.ObjectKey(
            kind=states.ObjectKind.WORKSPACE, name=ids.ObjectName("w")
        ),
        version=ids.Version(version),
        write_id=ids.WriteId(""),
        value=objects.Workspace(
            name=ids.WorkspaceId("w"), rate=version, burst=1
        ),
    )


class TestApply:
    """What is passed on and what is new here differ."""

    def test_known_version(self) -> None:
        """An own update that the watch brings again is not new."""
        found = replica.Replica(view.ObjectView())
        assert [one.version for one in found.apply((change(5),)).new] == [5]
        again = found.apply((change(4), change(5), change(6)))
        assert [one.version for one in again.objects] == [4, 5, 6]
        assert [one.version for one in again.new] == [6]
        assert again.changed
        assert again.structural
