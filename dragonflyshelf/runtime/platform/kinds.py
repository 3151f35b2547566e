"""Registry of the ways to reach the platform's object API."""

from typing import Final, Protocol

from dragonflyshelf.core import ids
from dragonflyshelf.core.platform import store
from dragonflyshelf.core import registry
from dragonflyshelf.core import settings
from dragonflyshelf.core import states


class PlatformClient(Protocol):
    """Calls of the object API; values are plain JSON types.

    Every method raises ``PlatformUnavailable`` when no answer came.
    """

    async def async_list(
        self, kinds: frozenset[states.ObjectKind]
    ) -> tuple[ids.Version, tuple[store.StoredObject, ...]]:
        """Return the store version and all objects of these kinds."""

    async def async_get(
        self, kind: states.ObjectKind, name: ids.ObjectName
    ) -> store.StoredObject | None:
        """Return one object."""

    async def async_put(
        self,
        kind: states.ObjectKind,
        name: ids.ObjectName,
        expected: ids.Version,
        write_id: ids.WriteId,
        value: object,
    ) -> ids.Version:
        """Change an object, or raise ``VersionConflict``."""

    async def async_changes(
        self,
        kinds: frozenset[states.ObjectKind],
        since: ids.Version,
        wait: float,
    ) -> tuple[ids.Version, tuple[store.StoredObject, ...]]:
        """Wait up to so many seconds for changes after a version."""

    def close(self) -> None:
        """Release the connection."""


class PlatformFactory(Protocol):
    """Creates clients, one for each task that needs one."""

    def __call__(self, config: settings.PlatformSettings) -> PlatformClient:
        """Return a client of its own connection."""


PLATFORM_KINDS: Final[
    registry.Registry[settings.PlatformKind, PlatformFactory]
] = registry.Registry("platform kinds")
