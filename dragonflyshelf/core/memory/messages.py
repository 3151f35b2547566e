"""Messages between the connections and the account of their bytes."""

import dataclasses

from dragonflyshelf.core import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UsageChanged:
    """A connection holds ``held_bytes`` now.

    The first one of a connection says that its connection is open.
    ``moved_bytes`` were taken by the peer or by an upstream since the last
    such message.
    """

    connection: ids.ConnectionId
    held_bytes: int = 0
    moved_bytes: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionClosed:
    """The connection is closed and holds nothing any more."""

    connection: ids.ConnectionId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Release:
    """Effect: the connection is to be closed to free memory.

    A connection that holds much less than ``held_bytes`` by now reports
    that instead.
    """

    connection: ids.ConnectionId
    held_bytes: int


MemoryEvent = UsageChanged | ConnectionClosed
