"""Task that owns the time line of the process."""

from typing import Any

from dragonflyshelf.core import diagnostics
from dragonflyshelf.core import ids
from dragonflyshelf.core import settings
from dragonflyshelf.core.timeline import coordinator
from dragonflyshelf.core.timeline import events
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import messages
from dragonflyshelf.runtime import task
from dragonflyshelf.runtime.timeline import clock


class StampingInbox(inbox.Inbox):
    """Inbox that stamps an event at the moment it is posted."""

    __slots__ = ("_clock",)

    def __init__(self, name: str, process_clock: clock.ProcessClock) -> None:
        """Create an empty inbox."""
        super().__init__(name)
        self._clock = process_clock

    def post(self, message: Any) -> None:
        """Append a message; an event gets its stamp."""
        if isinstance(message, events.RecordEvent):
            message = coordinator.StampedEvent(
                stamp=self._clock.tick(), event=message.event
            )
        super().post(message)


class TimelineTask(task.Task):
    """Records events and answers questions about them."""

    def __init__(
        self,
        config: settings.Settings,
        incarnation: ids.Incarnation,
        process_clock: clock.ProcessClock,
    ) -> None:
        """Create the task with an empty time line."""
        super().__init__("timeline")
        self.inbox = StampingInbox("timeline", process_clock)
        self._core = coordinator.TimelineCoordinator(
            config.instance.name, incarnation, config.timeline.entries
        )

    @task.handles(coordinator.StampedEvent)
    def _on_event(self, message: coordinator.StampedEvent) -> None:
        self._core.handle(message)

    @task.handles(messages.TableWanted)
    def _on_table(self, message: messages.TableWanted) -> None:
        rows = diagnostics.rows(message.table, self._core, self.now)
        message.reply_to.post(
            messages.TableAnswer(table=message.table, rows=rows)
        )
