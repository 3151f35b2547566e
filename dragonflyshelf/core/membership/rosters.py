"""The rosters as this instance sees them."""

from dragonflyshelf.core.configuration import view
from dragonflyshelf.core import ids
from dragonflyshelf.core.membership import objects
from dragonflyshelf.core import states

KIND = states.ObjectKind.ROSTER


class Rosters:
    """Reads rosters from the view."""

    def __init__(self, shared_view: view.ObjectView) -> None:
        """Create a reader of a view."""
        self._view = shared_view

    def all(self) -> list[objects.Roster]:
        """Return every roster, by the names of the data centres."""
        return self._view.values(KIND)

    def get(self, data_centre: ids.DataCentreId) -> objects.Roster:
        """Return a roster, empty if there is none."""
        known = self._view.get(KIND, data_centre)
        if known is None:
            return objects.Roster(data_centre=data_centre)
        return known.value

    def version(self, data_centre: ids.DataCentreId) -> ids.Version:
        """Return the version to expect in an update; 0 for none."""
        return self._view.version_of(KIND, data_centre)

    def members(self) -> tuple[objects.Member, ...]:
        """Return the members of all rosters."""
        return tuple(
            member for roster in self.all() for member in roster.members
        )
