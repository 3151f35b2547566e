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

INITIAL_BACKOFF_SECONDS = 0.15
"""Seconds before the first retry of a failed call."""

MAX_BACKOFF_SECONDS = 0.8
"""Longest delay between retries if followers wait for the objects."""

MAX_BACKOFF_WITHOUT_FOLLOWERS_SECONDS = 5.0
"""Longest delay between retries if there are no followers."""

BATCH_DELAY_SECONDS = 0.08
"""Seconds to wait before watching a busy kind again, to batch changes."""

BATCHED_KINDS = frozenset({store.ObjectKind.REGISTRATION})
"""Kinds that change often, for which ``BATCH_DELAY_SECONDS`` applies."""


class StoreWatchTask(task.Task):
    """Watches kinds of objects, each with its own connection."""

    def __init__(
        self, config: settings.StoreSettings, control_inbox: inbox.Inbox
    ) -> None:
        """Create a task that is not watching yet."""
        super().__init__("store-watch")
        self._config = config
        self._control_inbox = control_inbox
        self._watch_tasks: set[asyncio.Task[None]] = set()
        self._max_backoff_seconds = MAX_BACKOFF_SECONDS

    @task.handles(messages.WatchKinds)
    def _on_watch_kinds(self, message: messages.WatchKinds) -> None:
        self._cancel()
        self._max_backoff_seconds = (
            MAX_BACKOFF_SECONDS
            if message.has_followers
            else MAX_BACKOFF_WITHOUT_FOLLOWERS_SECONDS
        )
        for kind, revision in message.revisions_by_kind.items():
            watch_task = asyncio.create_task(
                self._async_watch_kind(kind, revision)
            )
            self._watch_tasks.add(watch_task)
            watch_task.add_done_callback(self._watch_tasks.discard)

    @task.handles(messages.StopWatching)
    def _on_stop_watching(self, message: messages.StopWatching) -> None:
        self._cancel()

    def on_end(self) -> None:
        """Stop all watches."""
        self._cancel()

    def _cancel(self) -> None:
        for watch_task in self._watch_tasks:
            watch_task.cancel()

    async def _async_watch_kind(
        self, kind: store.ObjectKind, revision: ids.Revision
    ) -> None:
        """List a kind if needed, and watch it until cancelled."""
        store_client = client.StoreClient(self._config)
        backoff_seconds = INITIAL_BACKOFF_SECONDS
        try:
            while True:
                try:
                    revision = await self._async_list_or_watch(
                        store_client, kind, revision
                    )
                    backoff_seconds = INITIAL_BACKOFF_SECONDS
                except errors.WatchExpired:
                    revision = ids.Revision(0)
                except errors.RouterError as error:
                    failure = store.StoreCallFailed(kind=kind, error=error)
                    self._control_inbox.post(failure)
                    await asyncio.sleep(
                        backoff_seconds * random.uniform(0.7, 1.0)
                    )
                    backoff_seconds = min(
                        backoff_seconds * 2, self._max_backoff_seconds
                    )
        finally:
            store_client.close()

    async def _async_list_or_watch(
        self,
        store_client: client.StoreClient,
        kind: store.ObjectKind,
        revision: ids.Revision,
    ) -> ids.Revision:
        if not revision:
            listed = await store_client.async_list(kind, self.now)
            self._control_inbox.post(listed)
            return listed.revision
        watch_wait_seconds = self._config.slow_watch_wait
        if kind is store.ObjectKind.CONFIGURATION:
            watch_wait_seconds = self._config.watch_wait
        changed = await store_client.async_watch(
            kind, revision, watch_wait_seconds, self.now
        )
        self._control_inbox.post(changed)
        if changed.changes and kind in BATCHED_KINDS:
            await asyncio.sleep(BATCH_DELAY_SECONDS)
        return changed.revision
