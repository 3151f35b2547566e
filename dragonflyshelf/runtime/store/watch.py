"""Task that lists and watches the objects of the store."""

import asyncio
import random

from absl import logging

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import settings
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.platform import store as client
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime.store import backoff
from dragonflyshelf.runtime.store import messages
from dragonflyshelf.runtime import task

_LOGGER = logging.get_absl_logger()

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
        self._watch_tasks_by_kind: dict[
            store.ObjectKind, asyncio.Task[None]
        ] = {}
        self._has_followers = False

    @task.handles(messages.WatchKinds)
    def _on_watch_kinds(self, message: messages.WatchKinds) -> None:
        """Start the watches that are missing; the others go on.

        If followers begin to wait for the objects, all watches start anew,
        as some may be in a long delay after failures.
        """
        if message.has_followers and not self._has_followers:
            self._cancel()
        self._has_followers = message.has_followers
        for kind in set(self._watch_tasks_by_kind):
            if kind not in message.revisions_by_kind:
                self._watch_tasks_by_kind.pop(kind).cancel()
        for kind, revision in message.revisions_by_kind.items():
            if kind not in self._watch_tasks_by_kind:
                self._watch_tasks_by_kind[kind] = asyncio.create_task(
                    self._async_watch_kind(kind, revision)
                )

    @task.handles(messages.StopWatching)
    def _on_stop_watching(self, message: messages.StopWatching) -> None:
        self._cancel()

    def on_end(self) -> None:
        """Stop all watches."""
        self._cancel()

    def _cancel(self) -> None:
        for watch_task in self._watch_tasks_by_kind.values():
            watch_task.cancel()
        self._watch_tasks_by_kind.clear()

    async def _async_watch_kind(
        self, kind: store.ObjectKind, revision: ids.Revision
    ) -> None:
        """List a kind if needed, and watch it until cancelled."""
        store_client = client.StoreClient(self._config)
        failure_backoff = backoff.Backoff(kind)
        try:
            while True:
                try:
                    revision = await self._async_list_or_watch(
                        store_client, kind, revision
                    )
                    failure_backoff.reset()
                except errors.WatchExpired:
                    revision = ids.Revision(0)
                except Exception as error:
                    self._report_failure(kind, error)
                    delay = failure_backoff.next_delay(self._has_followers)
                    await asyncio.sleep(delay * random.uniform(0.7, 1.0))
        finally:
            store_client.close()

    def _report_failure(
        self, kind: store.ObjectKind, error: Exception
    ) -> None:
        """Report that a call failed, also by an error of our own.

        Such an error must not end the watch, as nothing else begins it anew.
        """
        if not isinstance(error, errors.RouterError):
            _LOGGER.exception("reading %s failed", kind.value)
            error = errors.PlatformUnavailable(f"reading failed: {error!r}")
        self._control_inbox.post(store.StoreCallFailed(kind=kind, error=error))

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
