"""Events and effects between core parts and the platform's objects."""

import dataclasses

from dragonflyshelf.core.configuration import objects as configuration
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.membership import objects as membership
from dragonflyshelf.core.ownership import objects as ownership
from dragonflyshelf.core import states

Value = (
    configuration.CallerKey
    | configuration.DataCentre
    | configuration.Instance
    | configuration.Service
    | configuration.Upstream
    | configuration.Workspace
    | membership.Roster
    | ownership.Segment
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ObjectKey:
    """Kind and name of an object."""

    kind: states.ObjectKind
    name: ids.ObjectName


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ObjectChanged:
    """Event: an object has this value at this version."""

    key: ObjectKey
    version: ids.Version
    write_id: ids.WriteId
    value: Value


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ObjectDeleted:
    """Event: an object was deleted at this version."""

    key: ObjectKey
    version: ids.Version


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ObjectsListed:
    """Event: all objects of some kinds, as of one store version."""

    kinds: tuple[states.ObjectKind, ...]
    version: ids.Version
    objects: tuple[ObjectChanged, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ChangesWatched:
    """Event: all changes after one store version, up to another."""

    since: ids.Version
    position: ids.Version
    events: tuple[ObjectChanged | ObjectDeleted, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlatformReached:
    """Event: a call sent at this instant was answered."""

    sent_at: ids.Instant


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlatformLost:
    """Event: a call got no answer."""

    error: errors.RouterError


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WriteObject:
    """Effect: a conditional update; the value None deletes the object.

    An update without an answer is repeated up to ``attempts`` calls.
    """

    key: ObjectKey
    expected: ids.Version
    write_id: ids.WriteId
    value: Value | None
    attempts: int = 4


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WriteFinished:
    """Event: what became of a conditional update.

    ``version`` is the object's present version when it is known, and
    ``sent_at`` the instant at which the first attempt was sent.
    ``written`` is the value if it is surely the one of that version.
    """

    key: ObjectKey
    write_id: ids.WriteId
    result: states.WriteResult
    version: ids.Version
    sent_at: ids.Instant
    written: Value | None = None
