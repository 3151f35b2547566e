"""Which version of the configuration may follow on which."""

from dragonflyshelf.core import errors
from dragonflyshelf.core.routing import objects


def check_successor(
    current: objects.Configuration | None, newer: objects.Configuration
) -> None:
    """Check a version that was written after the one in force.

    Raises ``InvalidObject`` if it is older, or has the same version with
    another content. Versions only increase.
    """
    if current is None or newer.version > current.version or newer == current:
        return
    raise errors.InvalidObject(
        f"versions must increase, version {current.version} is in force",
        version=str(newer.version),
    )
