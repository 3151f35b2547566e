"""Status of an order, told until the store has acknowledged it."""

from typing import Final

from dragonflyshelf.core.grantor import const
from dragonflyshelf.core import ids
from dragonflyshelf.core.rollouts import messages
from dragonflyshelf.core.rollouts import objects
from dragonflyshelf.core.store import messages as store

DISTANT_PAST: Final = ids.Instant(float("-inf"))


class StatusWriter:
    """Writes the state of the plan that is in the store."""

    def __init__(self) -> None:
        """Create a writer that has written nothing."""
        self._pending: messages.WriteStatus | None = None
        self._written: objects.RolloutStatus | None = None
        self._next_at = DISTANT_PAST

    def reset(self) -> None:
        """Forget what was written or is being written, for another order."""
        self._pending = None
        self._written = None

    def find_due(
        self,
        order: objects.RolloutOrder,
        plan: objects.RolloutPlan,
        now: ids.Instant,
    ) -> list[messages.Effect]:
        """Return the write that is due, if any.

        An order without a target gets no status.
        """
        status = objects.RolloutStatus(
            state=plan.step.state, target=plan.target
        )
        if not order.target or not plan.is_for(order):
            return []
        if self._pending is not None or status == self._written:
            return []
        if now < self._next_at:
            return []
        self._pending = messages.WriteStatus(
            name=order.name,
            expected_revision=order.revision,
            status=status,
            timeout=const.WRITE_TIMEOUT_SECONDS,
        )
        return [self._pending]

    def complete(
        self, event: messages.StatusWriteCompleted, now: ids.Instant
    ) -> None:
        """Process the outcome of a write.

        After a conflict the newer order is awaited: it may be another one.
        """
        if event.write is not self._pending:
            return
        self._pending = None
        if event.outcome is store.WriteOutcome.DONE:
            self._written = event.write.status
            return
        self._next_at = ids.Instant(now + const.RETRY_INTERVAL_SECONDS)
