"""Task that sends grant and release calls to upstreams."""

import asyncio
import collections
import contextlib
import dataclasses

from dragonflyshelf.core.grantor import messages
from dragonflyshelf.core import ids
from dragonflyshelf.core import settings
from dragonflyshelf.platform import grants
from dragonflyshelf.runtime import http_client
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import task

RangeCall = messages.GrantRange | messages.ReleaseRange

MAX_RESPONSE_BODY_BYTES = 64 * 1024
"""Limit of the response to a grant or a release, whose body is not used."""

RELEASE_TIMEOUT_SECONDS = 1.5
"""Timeout for a release, which waits for running requests to finish."""

FAILED_OUTCOMES = frozenset(
    {messages.CallOutcome.LOST, messages.CallOutcome.UNSENT}
)
"""Outcomes after which the rest of the queue is reported as unsent."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QueueKey:
    """Key of a queue of calls, which are made in order on one connection.

    Releases have their own queue, as they may take long and must not
    delay grants.
    """

    incarnation: ids.UpstreamIncarnation
    is_release: bool


class GrantCallsTask(task.Task):
    """Makes grant calls and release calls, each in order per upstream."""

    def __init__(
        self, config: settings.GrantSettings, control_inbox: inbox.Inbox
    ) -> None:
        """Create a task without connections."""
        super().__init__("grant-calls")
        self._config = config
        self._control_inbox = control_inbox
        self._queues_by_key: dict[QueueKey, collections.deque[RangeCall]] = {}
        self._queue_tasks: set[asyncio.Task[None]] = set()
        self._clients_by_key: dict[QueueKey, http_client.HttpClient] = {}

    @task.handles(messages.GrantRange)
    def _on_grant_range(self, message: messages.GrantRange) -> None:
        self._enqueue(message)

    @task.handles(messages.ReleaseRange)
    def _on_release_range(self, message: messages.ReleaseRange) -> None:
        self._enqueue(message)

    def on_end(self) -> None:
        """Cancel the calls and close the connections."""
        for queue_task in self._queue_tasks:
            queue_task.cancel()
        for client in self._clients_by_key.values():
            client.close()

    def _enqueue(self, call: RangeCall) -> None:
        key = QueueKey(
            incarnation=call.registration.incarnation,
            is_release=isinstance(call, messages.ReleaseRange),
        )
        queue = self._queues_by_key.get(key)
        if queue is not None:
            queue.append(call)
            return
        self._queues_by_key[key] = collections.deque([call])
        queue_task = asyncio.create_task(self._async_run_queue(key))
        self._queue_tasks.add(queue_task)
        queue_task.add_done_callback(self._queue_tasks.discard)

    def _get_client(
        self, key: QueueKey, call: RangeCall
    ) -> http_client.HttpClient:
        client = self._clients_by_key.get(key)
        if client is None:
            client = http_client.HttpClient(
                call.registration.host,
                call.registration.port,
                MAX_RESPONSE_BODY_BYTES,
            )
            self._clients_by_key[key] = client
        return client

    async def _async_run_queue(self, key: QueueKey) -> None:
        """Make the calls of a queue until it is empty.

        After a failure the rest is reported as unsent, as each further
        call would probably time out too.
        """
        queue = self._queues_by_key[key]
        timeout_seconds = self._config.call_timeout
        if key.is_release:
            timeout_seconds = RELEASE_TIMEOUT_SECONDS
        with contextlib.ExitStack() as stack:
            stack.callback(self._queues_by_key.pop, key)
            while queue:
                call = queue.popleft()
                if self._is_expired(call):
                    self._report_unsent(call)
                    continue
                completed = await grants.async_call(
                    self._get_client(key, call),
                    call,
                    timeout_seconds,
                    self.now,
                )
                self._control_inbox.post(completed)
                if completed.outcome in FAILED_OUTCOMES:
                    self._report_all_unsent(queue)

    def _is_expired(self, call: RangeCall) -> bool:
        if not isinstance(call, messages.GrantRange):
            return False
        return self.now > call.send_deadline

    def _report_all_unsent(self, queue: collections.deque[RangeCall]) -> None:
        while queue:
            self._report_unsent(queue.popleft())

    def _report_unsent(self, call: RangeCall) -> None:
        self._control_inbox.post(
            messages.RangeCallCompleted(
                call=call,
                outcome=messages.CallOutcome.UNSENT,
                sent_at=self.now,
            )
        )
