"""Platform kept in the memory of this process, for one instance."""

import asyncio

from dragonflyshelf.core import ids
from dragonflyshelf.core.platform import store
from dragonflyshelf.core import settings
from dragonflyshelf.core import states
from dragonflyshelf.runtime.platform import kinds


class SharedStore:
    """The store of this process and the futures that wait on it."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.objects = store.ObjectStore()
        self._waiters: set[asyncio.Future[None]] = set()

    def wake(self) -> None:
        """Wake every waiting watch."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def async_wait_change(self, wait: float) -> None:
        """Return at the next change or after so many seconds."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        try:
            async with asyncio.timeout(wait):
                await waiter
        except TimeoutError:
            return
        finally:
            self._waiters.discard(waiter)


_SHARED = SharedStore()


class MemoryClient:
    """Client of the store of this process."""

    def __init__(self, shared: SharedStore) -> None:
        """Create a client."""
        self._shared = shared

    async def async_list(
        self, kinds_: frozenset[states.ObjectKind]
    ) -> tuple[ids.Version, tuple[store.StoredObject, ...]]:
        """Return the store version and all objects of these kinds."""
        objects = self._shared.objects
        return objects.version, objects.list(kinds_)

    async def async_get(
        self, kind: states.ObjectKind, name: ids.ObjectName
    ) -> store.StoredObject | None:
        """Return one object."""
        return self._shared.objects.get(kind, name)

    async def async_put(
        self,
        kind: states.ObjectKind,
        name: ids.ObjectName,
        expected: ids.Version,
        write_id: ids.WriteId,
        value: object,
    ) -> ids.Version:
        """Change an object, or raise ``VersionConflict``."""
        stored = self._shared.objects.put(
            kind, name, expected, write_id, value
        )
        self._shared.wake()
        return stored.version

    async def async_changes(
        self,
        kinds_: frozenset[states.ObjectKind],
        since: ids.Version,
        wait: float,
    ) -> tuple[ids.Version, tuple[store.StoredObject, ...]]:
        """Wait up to so many seconds for changes after a version."""
        objects = self._shared.objects
        changes = objects.changes_since(since, kinds_)
        if not changes:
            await self._shared.async_wait_change(wait)
            changes = objects.changes_since(since, kinds_)
        return objects.version, changes

    def close(self) -> None:
        """Keep the store; it lives as long as the process."""


@kinds.PLATFORM_KINDS.register(settings.PlatformKind.MEMORY)
def create(config: settings.PlatformSettings) -> MemoryClient:
    """Return a client of this process's store."""
    return MemoryClient(_SHARED)
