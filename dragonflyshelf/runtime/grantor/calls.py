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

Call = messages.GrantRange | messages.ReleaseRange

RELEASE_TIMEOUT = 1.5
"""Time-out for a release; the upstream first finishes running requests."""

FAILURES = frozenset({messages.CallOutcome.LOST, messages.CallOutcome.UNSENT})


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Lane:
    """Key of a queue of calls, which are made in order on one connection.

    Releases have their own queue, as they may take long and must not
    delay grants.
    """

    life: ids.UpstreamIncarnation
    releases: bool


class GrantCallsTask(task.Task):
    """Makes grant calls and release calls, each in order per upstream."""

    def __init__(
        self, config: settings.GrantSettings, control: inbox.Inbox
    ) -> None:
        """Create a task without connections."""
        super().__init__("grant-calls")
        self._config = config
        self._control = control
        self._calls_by_lane: dict[Lane, collections.deque[Call]] = {}
        self._running: set[asyncio.Task[None]] = set()
        self._clients_by_lane: dict[Lane, http_client.HttpClient] = {}

    @task.handles(messages.GrantRange)
    def _on_grant(self, message: messages.GrantRange) -> None:
        self._add(message)

    @task.handles(messages.ReleaseRange)
    def _on_release(self, message: messages.ReleaseRange) -> None:
        self._add(message)

    def on_end(self) -> None:
        """Cancel the calls and close the connections."""
        for running in self._running:
            running.cancel()
        for one in self._clients_by_lane.values():
            one.close()

    def _add(self, call: Call) -> None:
        lane = Lane(
            life=call.registration.incarnation,
            releases=isinstance(call, messages.ReleaseRange),
        )
        waiting = self._calls_by_lane.get(lane)
        if waiting is not None:
            waiting.append(call)
            return
        self._calls_by_lane[lane] = collections.deque([call])
        running = asyncio.create_task(self._async_work(lane))
        self._running.add(running)
        running.add_done_callback(self._running.discard)

    def _client(self, lane: Lane, call: Call) -> http_client.HttpClient:
        found = self._clients_by_lane.get(lane)
        if found is None:
            found = http_client.HttpClient(
                call.registration.host, call.registration.port
            )
            self._clients_by_lane[lane] = found
        return found

    async def _async_work(self, lane: Lane) -> None:
        """Make the calls of a queue until it is empty.

        After a failure the rest is reported as unsent, as each further
        call would probably run into the time-out too.
        """
        waiting = self._calls_by_lane[lane]
        timeout = self._config.call_timeout
        if lane.releases:
            timeout = RELEASE_TIMEOUT
        with contextlib.ExitStack() as stack:
            stack.callback(self._calls_by_lane.pop, lane)
            while waiting:
                call = waiting.popleft()
                if self._is_overdue(call):
                    self._give_back_one(call)
                    continue
                answered = await grants.async_call(
                    self._client(lane, call),
                    call,
                    timeout,
                    self.now,
                )
                self._control.post(answered)
                if answered.outcome in FAILURES:
                    self._give_back(waiting)

    def _is_overdue(self, call: Call) -> bool:
        if not isinstance(call, messages.GrantRange):
            return False
        return self.now > call.send_deadline

    def _give_back(self, waiting: collections.deque[Call]) -> None:
        while waiting:
            self._give_back_one(waiting.popleft())

    def _give_back_one(self, call: Call) -> None:
        self._control.post(
            messages.RangeCallCompleted(
                call=call,
                outcome=messages.CallOutcome.UNSENT,
                sent_at=self.now,
            )
        )
