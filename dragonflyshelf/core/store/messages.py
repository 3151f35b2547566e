"""Messages about the platform's object store."""

import dataclasses
import enum
from typing import Final

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids


class ObjectKind(enum.Enum):
    """Kinds of objects that an instance reads."""

    CONFIGURATION = "configuration"
    CONTROL = "control"
    EVACUATION = "evacuation"
    REGISTRATION = "registration"
    ROLLOUT = "rollout"


REPLICATED_KINDS: Final = tuple(
    kind for kind in ObjectKind if kind is not ObjectKind.ROLLOUT
)
"""Kinds that every instance replicates.

Only the leader reads the orders of roll-outs; what the others need to know
of them is in control objects.
"""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredObject:
    """Object read from the store; ``spec`` is its encoded value."""

    kind: ObjectKind
    name: ids.ObjectName
    revision: ids.Revision
    spec: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ObjectRemoved:
    """Removal of an object at a revision."""

    kind: ObjectKind
    name: ids.ObjectName
    revision: ids.Revision


Change = StoredObject | ObjectRemoved


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KindListed:
    """Event: full list of a kind, requested at ``sent_at``."""

    kind: ObjectKind
    revision: ids.Revision
    objects: tuple[StoredObject, ...]
    sent_at: ids.Instant


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KindChanged:
    """Event: changes of a kind up to ``revision``, oldest first.

    They are complete for a replica that has revision ``since`` or a newer
    one. ``confirmed_at`` is the latest time, on the clock of this process, at
    which a replica with these changes is known to have been up to date.
    """

    kind: ObjectKind
    revision: ids.Revision
    changes: tuple[Change, ...]
    confirmed_at: ids.Instant
    since: ids.Revision = ids.Revision(0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreCallFailed:
    """Event: a call to the store failed."""

    kind: ObjectKind
    error: errors.RouterError


class WriteOutcome(enum.Enum):
    """Result of a conditional write."""

    CONFLICT = "conflict"
    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"
