"""Task that owns the account of the memory held for connections."""

from collections import abc
import dataclasses
import itertools
from typing import Final

import prometheus_client

from dragonflyshelf.core import ids
from dragonflyshelf.core.memory import account
from dragonflyshelf.core.memory import limits
from dragonflyshelf.core.memory import messages
from dragonflyshelf.core import settings
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import limit_log
from dragonflyshelf.runtime import task

HELD_BYTES: Final = prometheus_client.Gauge(
    "dragonflyshelf_held_bytes",
    "Memory that is held for all connections together",
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HolderOpened:
    """A connection is open; ``owner`` gets ``Release`` if need be."""

    holder: ids.HolderId
    owner: inbox.Inbox


class HoldingReporter:
    """Reports what one connection holds, if that has changed enough.

    Its owner gets ``Release`` if the connection is to be closed. Without
    an account nothing is reported.
    """

    def __init__(
        self,
        account_inbox: inbox.Inbox | None,
        owner: inbox.Inbox,
        holder: ids.HolderId,
    ) -> None:
        """Create a reporter for a connection that is not open yet."""
        self._account_inbox = account_inbox
        self._owner = owner
        self._holder = holder
        self._reported_bytes = 0
        self._reported_moved_bytes = 0

    def open(self) -> None:
        """Report that the connection is open."""
        self._post(HolderOpened(holder=self._holder, owner=self._owner))

    def report(self, held_bytes: int, moved_bytes: int) -> None:
        """Report what is held, and how much has moved since the start."""
        step_bytes = account.REPORT_STEP_BYTES
        is_changed = abs(held_bytes - self._reported_bytes) >= step_bytes
        has_moved = (
            self._reported_bytes > 0
            and moved_bytes - self._reported_moved_bytes >= step_bytes
        )
        if is_changed or has_moved:
            self.report_now(held_bytes, moved_bytes)

    def report_now(self, held_bytes: int, moved_bytes: int) -> None:
        """Report also what has changed little."""
        self._post(
            messages.HoldingChanged(
                holder=self._holder,
                held_bytes=held_bytes,
                moved_bytes=moved_bytes - self._reported_moved_bytes,
            )
        )
        self._reported_bytes = held_bytes
        self._reported_moved_bytes = moved_bytes

    def end(self) -> None:
        """Report that the connection is closed."""
        self._post(messages.HoldingEnded(holder=self._holder))

    def _post(self, message: object) -> None:
        if self._account_inbox is not None:
            self._account_inbox.post(message)


ReporterFactory = abc.Callable[[inbox.Inbox], HoldingReporter]
"""Returns the reporter of the connection whose owner has the inbox."""


def make_silent_reporter(owner: inbox.Inbox) -> HoldingReporter:
    """Return a reporter without an account."""
    return HoldingReporter(None, owner, ids.HolderId(0))


class MemoryTask(task.Task):
    """Passes reports to the account, and its effects to connections."""

    def __init__(self, sum_bytes: int) -> None:
        """Create the task; ``sum_bytes`` limits all connections together."""
        super().__init__("memory")
        self._account = account.ByteAccount(sum_bytes)
        self._owners_by_holder: dict[ids.HolderId, inbox.Inbox] = {}
        self._holder_numbers = itertools.count(1)
        self._log = limit_log.LimitLog("held_bytes")

    def make_reporter(self, owner: inbox.Inbox) -> HoldingReporter:
        """Return the reporter of a new connection."""
        holder = ids.HolderId(next(self._holder_numbers))
        return HoldingReporter(self.inbox, owner, holder)

    @task.handles(settings.SettingsChanged)
    def _on_settings_changed(self, message: settings.SettingsChanged) -> None:
        self._account.sum_bytes = limits.derive(message.settings).sum_bytes

    @task.handles(HolderOpened)
    def _on_holder_opened(self, message: HolderOpened) -> None:
        self._owners_by_holder[message.holder] = message.owner
        self._handle_event(messages.HoldingChanged(holder=message.holder))

    @task.handles(messages.HoldingChanged)
    def _on_holding_changed(self, message: messages.HoldingChanged) -> None:
        if message.holder in self._owners_by_holder:
            self._handle_event(message)

    @task.handles(messages.HoldingEnded)
    def _on_holding_ended(self, message: messages.HoldingEnded) -> None:
        self._owners_by_holder.pop(message.holder, None)
        self._handle_event(message)

    def _handle_event(self, event: messages.MemoryEvent) -> None:
        for effect in self._account.handle(event, self.now):
            self._log.record(self.now)
            self._owners_by_holder[effect.holder].post(effect)
        HELD_BYTES.set(self._account.held_bytes)
