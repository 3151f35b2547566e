"""Task that writes control objects to the store."""

import asyncio
import collections

from absl import logging

from dragonflyshelf.core import errors
from dragonflyshelf.core.grantor import messages as grantor
from dragonflyshelf.core import ids
from dragonflyshelf.core import settings
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.platform import store as client
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import logs
from dragonflyshelf.runtime import task

_LOGGER = logging.get_absl_logger()


class StoreWriteTask(task.Task):
    """Executes conditional writes, those of one object in order.

    Each object has its own connection, so that a renewal of the lease does
    not wait for the write of a plan.
    """

    def __init__(
        self, config: settings.StoreSettings, control_inbox: inbox.Inbox
    ) -> None:
        """Create a task without a connection."""
        super().__init__("store-write")
        self._config = config
        self._control_inbox = control_inbox
        self._clients_by_name: dict[ids.ObjectName, client.StoreClient] = {}
        self._queues_by_name: dict[
            ids.ObjectName, collections.deque[grantor.WriteControl]
        ] = {}
        self._write_tasks: set[asyncio.Task[None]] = set()

    @task.handles(grantor.WriteControl)
    def _on_write_control(self, message: grantor.WriteControl) -> None:
        queue = self._queues_by_name.get(message.name)
        if queue is not None:
            queue.append(message)
            return
        self._queues_by_name[message.name] = collections.deque([message])
        write_task = asyncio.create_task(self._async_run_writes(message.name))
        self._write_tasks.add(write_task)
        write_task.add_done_callback(self._write_tasks.discard)

    def on_end(self) -> None:
        """Cancel the writes and close the connections."""
        for write_task in self._write_tasks:
            write_task.cancel()
        for store_client in self._clients_by_name.values():
            store_client.close()

    def _get_client(self, name: ids.ObjectName) -> client.StoreClient:
        store_client = self._clients_by_name.get(name)
        if store_client is None:
            store_client = client.StoreClient(self._config)
            self._clients_by_name[name] = store_client
        return store_client

    async def _async_run_writes(self, name: ids.ObjectName) -> None:
        """Execute the writes of an object until none is queued."""
        queue = self._queues_by_name[name]
        while queue:
            write = queue.popleft()
            self._control_inbox.post(await self._async_write(write))
        del self._queues_by_name[name]

    async def _async_write(
        self, write: grantor.WriteControl
    ) -> grantor.ControlWriteCompleted:
        sent_at = self.now
        try:
            return await self._get_client(write.name).async_write(
                write, sent_at
            )
        except errors.RouterError as error:
            _LOGGER.warning(
                "writing control object %s failed: %s",
                write.name,
                error,
                extra=logs.error_fields(error),
            )
        except Exception:
            _LOGGER.exception("writing control object %s failed", write.name)
        return grantor.ControlWriteCompleted(
            write=write, outcome=store.WriteOutcome.UNKNOWN, sent_at=sent_at
        )
