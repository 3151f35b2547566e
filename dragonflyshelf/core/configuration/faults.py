"""Why the newest version of a stored object is not in force."""

import dataclasses

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.store import messages as store


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ObjectFault:
    """Fault of one object at a revision.

    ``version`` is that which the object gives itself, ``place`` the field
    at fault and ``value`` what it holds; they are empty if unknown.
    """

    kind: store.ObjectKind
    name: ids.ObjectName
    revision: ids.Revision
    reason: str
    version: str = ""
    place: str = ""
    value: str = ""

    def __str__(self) -> str:
        """Return the fault on one line."""
        version = f" {self.version}" if self.version else ""
        place = f"{self.place}: " if self.place else ""
        value = f", is {self.value}" if self.value else ""
        return (
            f"{self.name}{version} at revision {self.revision}:"
            f" {place}{self.reason}{value}"
        )

    def is_same_cause(self, other: "ObjectFault | None") -> bool:
        """Return whether another fault differs in its revision at most."""
        return other is not None and self == dataclasses.replace(
            other, revision=self.revision
        )


def find_fault(
    change: store.Change, error: errors.InvalidObject
) -> ObjectFault:
    """Return the fault of a change that can't be decoded."""
    return ObjectFault(
        kind=change.kind,
        name=change.name,
        revision=change.revision,
        reason=error.message,
        version=error.version,
        place=error.place,
        value=error.value,
    )
