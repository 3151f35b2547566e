"""Task that writes control objects to the store."""

import asyncio
import collections

from absl import logging

from dragonflyshelf.core import errors
from dragonflyshelf.core.grantor import messages as grantor
from dragonflyshelf.core import settings
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.platform import store as client
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import logs
from dragonflyshelf.runtime import task

_LOGGER = logging.get_absl_logger()


class StoreWriteTask(task.Task):
    """Executes conditional writes in order, one at a time."""

    def __init__(
        self, config: settings.StoreSettings, control_inbox: inbox.Inbox
    ) -> None:
        """Create a task without a connection."""
        super().__init__("store-write")
        self._control_inbox = control_inbox
        self._store_client = client.StoreClient(config)
        self._queued_writes: collections.deque[grantor.WriteControl] = (
            collections.deque()
        )
        self._write_task: asyncio.Task[None] | None = None

    @task.handles(grantor.WriteControl)
    def _on_write_control(self, message: grantor.WriteControl) -> None:
        self._queued_writes.append(message)
        if self._write_task is None:
            self._write_task = asyncio.create_task(self._async_run_writes())

    def on_end(self) -> None:
        """Cancel the writes and close the connection."""
        if self._write_task is not None:
            self._write_task.cancel()
        self._store_client.close()

    async def _async_run_writes(self) -> None:
        while self._queued_writes:
            write = self._queued_writes.popleft()
            self._control_inbox.post(await self._async_write(write))
        self._write_task = None

    async def _async_write(
        self, write: grantor.WriteControl
    ) -> grantor.ControlWriteCompleted:
        sent_at = self.now
        try:
            return await self._store_client.async_write(write, sent_at)
        except errors.RouterError as error:
            _LOGGER.warning(
                "writing control object %s failed: %s",
                write.name,
                error,
                extra=logs.error_fields(error),
            )
        return grantor.ControlWriteCompleted(
            write=write, outcome=store.WriteOutcome.UNKNOWN, sent_at=sent_at
        )
