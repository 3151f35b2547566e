"""Limits on memory and connections, derived from the machine's size."""

import dataclasses
from typing import Final

from dragonflyshelf.core import settings

ACCOUNT_MEMORY_RATIO: Final = 0.25
"""Part of the memory for what is held for connections.

The rest is for the program, its replicas, and copies of what is on its
way between tasks.
"""

SHARE_RATIO: Final = 1 / 32
"""Part of the sum at which a connection is no longer read."""

FILE_DESCRIPTOR_COUNT: Final = 200
"""Descriptors that are kept for files."""

CALLER_DESCRIPTOR_RATIO: Final = 5 / 8
REFUSED_DESCRIPTOR_RATIO: Final = 1 / 16
HEALTH_DESCRIPTOR_RATIO: Final = 1 / 16
"""Parts of the other descriptors for each kind of connection.

What remains is for upstreams, other instances and the store.
"""

MAX_REFUSED_CONNECTION_COUNT: Final = 256
MAX_HEALTH_CONNECTION_COUNT: Final = 64


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemoryLimits:
    """Limits of one instance.

    ``sum_bytes`` limits what is held for all connections together. A
    connection that holds more than ``share_bytes`` is not read until it
    holds less. ``refused_connections`` beyond ``caller_connections`` get
    an error response; ``health_connections`` is per port.
    """

    sum_bytes: int
    share_bytes: int
    caller_connections: int
    refused_connections: int
    health_connections: int


def derive(config: settings.Settings) -> MemoryLimits:
    """Return the limits that fit the machine and the settings."""
    requests = config.requests
    sum_bytes = requests.held_bytes or int(
        config.instance.memory_mb * settings.MIB * ACCOUNT_MEMORY_RATIO
    )
    least_share_bytes = 2 * requests.window_bytes + 2 * requests.head_bytes
    socket_count = config.instance.descriptors - FILE_DESCRIPTOR_COUNT
    return MemoryLimits(
        sum_bytes=sum_bytes,
        share_bytes=max(int(sum_bytes * SHARE_RATIO), least_share_bytes),
        caller_connections=min(
            requests.connections,
            max(int(socket_count * CALLER_DESCRIPTOR_RATIO), 1),
        ),
        refused_connections=min(
            MAX_REFUSED_CONNECTION_COUNT,
            int(socket_count * REFUSED_DESCRIPTOR_RATIO),
        ),
        health_connections=min(
            MAX_HEALTH_CONNECTION_COUNT,
            max(int(socket_count * HEALTH_DESCRIPTOR_RATIO), 2),
        ),
    )
