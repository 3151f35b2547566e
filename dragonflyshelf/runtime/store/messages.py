"""Messages to the tasks that call the store."""

import dataclasses

from dragonflyshelf.core import ids
from dragonflyshelf.core.store import messages as store


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WatchKinds:
    """Watch these kinds from the given revisions on; 0 lists first.

    ``is_awaited`` tells that other instances wait for what is read.
    """

    revisions_by_kind: dict[store.ObjectKind, ids.Revision]
    is_awaited: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StopWatching:
    """Make no more calls; the objects come from another instance."""
