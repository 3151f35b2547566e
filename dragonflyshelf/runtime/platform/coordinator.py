"""Tasks that watch the platform and change its objects."""

import asyncio
import collections
import dataclasses
import random

from absl import logging

from dragonflyshelf.codec import objects
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.platform import budget
from dragonflyshelf.core.platform import messages
from dragonflyshelf.core.platform import relay
from dragonflyshelf.core.platform import store
from dragonflyshelf.core import settings
from dragonflyshelf.core import states
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime.platform import http  # noqa: F401
from dragonflyshelf.runtime.platform import kinds
from dragonflyshelf.runtime.platform import memory  # noqa: F401
from dragonflyshelf.runtime import task

_LOGGER = logging.get_absl_logger()

BACKOFF_FIRST = 0.1
BACKOFF_LONGEST = 2.0
WATCH_BUDGET_PART = 0.5
WRITERS = 4
WRITE_BUDGET_PART = 0.5
WATCHED_KINDS = tuple(states.ObjectKind)


def typed_event(
    stored: store.StoredObject,
) -> messages.ObjectChanged | messages.ObjectDeleted:
    """Return the event for a stored object with a plain value."""
    key = messages.ObjectKey(kind=stored.kind, name=stored.name)
    if stored.value is None:
        return messages.ObjectDeleted(key=key, version=stored.version)
    return messages.ObjectChanged(
        key=key,
        version=stored.version,
        write_id=stored.write_ids[0],
        value=objects.from_plain(stored.kind, stored.value),
    )


class Backoff:
    """Growing waits with jitter between attempts."""

    def __init__(self) -> None:
        """Create a back-off at its first step."""
        self._wait = BACKOFF_FIRST

    def reset(self) -> None:
        """Return to the first step after a success."""
        self._wait = BACKOFF_FIRST

    def next_wait(self) -> float:
        """Return the next wait in seconds."""
        wait = self._wait
        self._wait = min(self._wait * 2, BACKOFF_LONGEST)
        return wait * random.uniform(0.5, 1.0)


class PlatformWatchTask(task.Task):
    """Lists and watches objects and posts events to one inbox."""

    def __init__(
        self, config: settings.PlatformSettings, control: inbox.Inbox
    ) -> None:
        """Create the task; it watches once it is told to."""
        super().__init__("platform-watch")
        self._config = config
        self._control = control
        self._kinds = frozenset(WATCHED_KINDS)
        self._client = kinds.PLATFORM_KINDS.get(config.kind)(config)
        self._backoff = Backoff()
        self._budget = budget.CallBudget(
            config.calls_per_second * WATCH_BUDGET_PART
        )
        self._watching: asyncio.Task[None] | None = None

    @task.handles(relay.SwitchWatch)
    def _on_switch(self, message: relay.SwitchWatch) -> None:
        if self._watching is not None:
            self._watching.cancel()
            self._watching = None
        if message.enabled:
            self._watching = asyncio.create_task(
                self._async_watch_on(message.since)
            )

    def on_end(self) -> None:
        """Stop watching and close the connection."""
        if self._watching is not None:
            self._watching.cancel()
        self._client.close()

    async def _async_watch_on(self, since: ids.Version) -> None:
        """List if needed, then watch; list again when the place is lost."""
        placed = since > 0
        while True:
            try:
                if not placed:
                    since = await self._async_list()
                    placed = True
                since = await self._async_watch(since)
            except errors.WatchLost:
                placed = False
            except errors.RouterError as error:
                self._control.post(messages.PlatformLost(error=error))
                await asyncio.sleep(self._backoff.next_wait())

    async def _async_spend(self) -> None:
        while not self._budget.spend(self.now):
            await asyncio.sleep(self._budget.wait_for(self.now))

    async def _async_list(self) -> ids.Version:
        await self._async_spend()
        sent_at = self.now
        version, stored = await self._client.async_list(self._kinds)
        events = tuple(typed_event(one) for one in stored)
        self._backoff.reset()
        self._control.post(messages.PlatformReached(sent_at=sent_at))
        self._control.post(
            messages.ObjectsListed(
                kinds=WATCHED_KINDS, version=version, objects=events
            )
        )
        return version

    async def _async_watch(self, since: ids.Version) -> ids.Version:
        await self._async_spend()
        sent_at = self.now
        version, stored = await self._client.async_changes(
            self._kinds, since, self._config.watch_timeout
        )
        self._backoff.reset()
        self._control.post(
            messages.ChangesWatched(
                since=since,
                position=version,
                events=tuple(typed_event(one) for one in stored),
            )
        )
        self._control.post(messages.PlatformReached(sent_at=sent_at))
        if stored:
            await asyncio.sleep(self._config.watch_interval)
        return version


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WriteRequest:
    """A write together with the inbox that waits for its result."""

    write: messages.WriteObject
    reply_to: inbox.Inbox


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WriterFree:
    """A writer has finished."""

    writer: int


class PlatformWriteTask(task.Task):
    """Carries out conditional updates, a few at a time."""

    def __init__(self, config: settings.PlatformSettings) -> None:
        """Create the task with idle writers."""
        super().__init__("platform-writes")
        self._config = config
        self._waiting: collections.deque[WriteRequest] = collections.deque()
        factory = kinds.PLATFORM_KINDS.get(config.kind)
        self._clients = [factory(config) for _ in range(WRITERS)]
        self._free = list(range(WRITERS))
        self._running: set[asyncio.Task[None]] = set()
        self._budget = budget.CallBudget(
            config.calls_per_second * WRITE_BUDGET_PART
        )

    @task.handles(WriteRequest)
    def _on_write(self, message: WriteRequest) -> None:
        if not self._budget.spend(self.now):
            self._refuse(message)
            return
        self._waiting.append(message)
        self._dispatch()

    def _refuse(self, message: WriteRequest) -> None:
        error = errors.CallBudgetExceeded("the call budget is used up")
        _LOGGER.warning("update of %s refused: %s", message.write.key, error)
        message.reply_to.post(
            messages.WriteFinished(
                key=message.write.key,
                write_id=message.write.write_id,
                result=states.WriteResult.REFUSED,
                version=ids.Version(0),
                sent_at=self.now,
            )
        )

    @task.handles(WriterFree)
    def _on_free(self, message: WriterFree) -> None:
        self._free.append(message.writer)
        self._dispatch()

    def on_end(self) -> None:
        """Stop the writers and close their connections."""
        for one in self._running:
            one.cancel()
        for client in self._clients:
            client.close()

    def _dispatch(self) -> None:
        while self._free and self._waiting:
            writer = self._free.pop()
            request = self._waiting.popleft()
            running = asyncio.create_task(self._async_write(writer, request))
            self._running.add(running)
            running.add_done_callback(self._running.discard)

    async def _async_write(self, writer: int, request: WriteRequest) -> None:
        sent_at = self.now
        try:
            result, version = await async_write(
                self._clients[writer], request.write
            )
        finally:
            self.inbox.post(WriterFree(writer=writer))
        written = None
        if result is states.WriteResult.DONE and version > 0:
            written = request.write.value
        request.reply_to.post(
            messages.WriteFinished(
                key=request.write.key,
                write_id=request.write.write_id,
                result=result,
                version=version,
                sent_at=sent_at,
                written=written,
            )
        )


async def async_write(
    client: kinds.PlatformClient, write: messages.WriteObject
) -> tuple[states.WriteResult, ids.Version]:
    """Carry out one conditional update and resolve lost answers.

    An update is repeated with the same write id, so that it takes
    effect at most once; a conflict is read back, because it may be the
    update's own effect.
    """
    kind, name = write.key.kind, write.key.name
    plain = None if write.value is None else objects.to_plain(write.value)
    backoff = Backoff()
    lost = False
    for left in reversed(range(write.attempts)):
        try:
            version = await client.async_put(
                kind, name, write.expected, write.write_id, plain
            )
            return states.WriteResult.DONE, version
        except errors.VersionConflict:
            try:
                return await _async_read_back(client, write, lost)
            except errors.PlatformUnavailable:
                lost = True
        except errors.PlatformUnavailable as error:
            _LOGGER.debug("update of %s has no answer: %s", name, error)
            lost = True
        if left:
            await asyncio.sleep(backoff.next_wait())
    return states.WriteResult.UNKNOWN, ids.Version(0)


async def _async_read_back(
    client: kinds.PlatformClient, write: messages.WriteObject, lost: bool
) -> tuple[states.WriteResult, ids.Version]:
    present = await client.async_get(write.key.kind, write.key.name)
    if present is None:
        if lost and write.value is None:
            return states.WriteResult.DONE, ids.Version(0)
        if lost:
            return states.WriteResult.UNKNOWN, ids.Version(0)
        return states.WriteResult.CONFLICT, ids.Version(0)
    if write.write_id == present.write_ids[0]:
        return states.WriteResult.DONE, present.version
    if write.write_id in present.write_ids:
        return states.WriteResult.DONE, ids.Version(0)
    if lost and len(present.write_ids) >= store.KEPT_WRITE_IDS:
        return states.WriteResult.UNKNOWN, present.version
    return states.WriteResult.CONFLICT, present.version
