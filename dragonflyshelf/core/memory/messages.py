"""Messages between the connections and the account of their bytes."""

import dataclasses

from dragonflyshelf.core import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HoldingChanged:
    """A connection holds ``held_bytes`` now.

    The first one of a holder says that its connection is open.
    ``moved_bytes`` were taken by the peer or by an upstream since the last
    such message.
    """

    holder: ids.HolderId
    held_bytes: int = 0
    moved_bytes: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HoldingEnded:
    """The connection is closed and holds nothing any more."""

    holder: ids.HolderId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Release:
    """Effect: the connection is to be closed to free memory.

    A connection that holds much less than ``held_bytes`` by now reports
    that instead.
    """

    holder: ids.HolderId
    held_bytes: int


MemoryEvent = HoldingChanged | HoldingEnded
