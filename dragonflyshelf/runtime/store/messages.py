"""Messages to the task that watches the store."""

import dataclasses

from dragonflyshelf.core import ids
from dragonflyshelf.core.store import messages as store


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WatchKinds:
    """Watch kinds from the given revisions on; 0 means to list first.

    ``has_followers`` is true if followers get their updates from the result.
    """

    revisions_by_kind: dict[store.ObjectKind, ids.Revision]
    has_followers: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StopWatching:
    """Stop all calls, as another instance sends the objects."""
