"""Task that lists and watches the objects of the store."""

import asyncio
import random

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import settings
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.platform import store as client
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime.store import messages
from dragonflyshelf.runtime import task

BACKOFF_FIRST = 0.15
"""Seconds before the first retry of a failed call."""

BACKOFF_LONGEST = 0.8
"""Longest delay between retries if followers wait for the objects."""

BACKOFF_LONGEST_ALONE = 5.0
"""Longest delay between retries if there are no followers."""

EVENT_PAUSE = 0.08
"""Seconds to wait before watching a busy kind again, to batch changes."""

BUSY_KINDS = frozenset({store.ObjectKind.REGISTRATION})


class StoreWatchTask(task.Task):
    """Watches kinds of objects, each with its own connection."""

    def __init__(
        self, config: settings.StoreSettings, control: inbox.Inbox
    ) -> None:
        """Create a task that is not watching yet."""
        super().__init__("store-watch")
        self._config = config
        self._control = control
        self._running: set[asyncio.Task[None]] = set()
        self._longest_backoff = BACKOFF_LONGEST

    @task.handles(messages.WatchKinds)
    def _on_watch(self, message: messages.WatchKinds) -> None:
        self._cancel()
        self._longest_backoff = (
            BACKOFF_LONGEST if message.is_awaited else BACKOFF_LONGEST_ALONE
        )
        for kind, since in message.revisions_by_kind.items():
            running = asyncio.create_task(self._async_follow(kind, since))
            self._running.add(running)
            running.add_done_callback(self._running.discard)

    @task.handles(messages.StopWatching)
    def _on_stop(self, message: messages.StopWatching) -> None:
        self._cancel()

    def on_end(self) -> None:
        """Stop all watches."""
        self._cancel()

    def _cancel(self) -> None:
        for one in self._running:
            one.cancel()

    async def _async_follow(
        self, kind: store.ObjectKind, since: ids.Revision
    ) -> None:
        """List a kind if needed, and watch it until cancelled."""
        calls = client.StoreClient(self._config)
        backoff = BACKOFF_FIRST
        try:
            while True:
                try:
                    since = await self._async_step(calls, kind, since)
                    backoff = BACKOFF_FIRST
                except errors.WatchExpired:
                    since = ids.Revision(0)
                except errors.RouterError as error:
                    failed = store.StoreCallFailed(kind=kind, error=error)
                    self._control.post(failed)
                    await asyncio.sleep(backoff * random.uniform(0.7, 1.0))
                    backoff = min(backoff * 2, self._longest_backoff)
        finally:
            calls.close()

    async def _async_step(
        self,
        calls: client.StoreClient,
        kind: store.ObjectKind,
        since: ids.Revision,
    ) -> ids.Revision:
        if not since:
            listed = await calls.async_list(kind, self.now)
            self._control.post(listed)
            return listed.revision
        wait = self._config.slow_watch_wait
        if kind is store.ObjectKind.CONFIGURATION:
            wait = self._config.watch_wait
        changed = await calls.async_watch(kind, since, wait, self.now)
        self._control.post(changed)
        if changed.changes and kind in BUSY_KINDS:
            await asyncio.sleep(EVENT_PAUSE)
        return changed.revision
