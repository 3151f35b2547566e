"""Requests that wait for a token of their workspace."""

from collections import abc
import dataclasses

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.quota import limiter
from dragonflyshelf.core.quota import messages as quota
from dragonflyshelf.core.scheduling import retries


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Decided:
    """A request that has waited, and whether it has its token now."""

    exchange: ids.ExchangeId
    is_admitted: bool


class TokenQueue:
    """The limiter of this instance and those who wait for its tokens."""

    def __init__(self) -> None:
        """Create a queue without requests."""
        self.limiter = limiter.WorkspaceLimiter()
        self._waiting_by_workspace: dict[
            ids.WorkspaceId, list[ids.ExchangeId]
        ] = {}

    @property
    def has_waiting(self) -> bool:
        """Tell whether any request waits."""
        return bool(self._waiting_by_workspace)

    def take(
        self,
        exchange: ids.ExchangeId,
        workspace: ids.WorkspaceId,
        now: ids.Instant,
    ) -> limiter.AdmissionResult:
        """Take a token for a request, or let it wait for one."""
        verdict = self.limiter.take(workspace, now)
        if verdict is limiter.AdmissionResult.PENDING:
            waiting = self._waiting_by_workspace.setdefault(workspace, [])
            waiting.append(exchange)
        return verdict

    def wanted(
        self, workspace: ids.WorkspaceId, now: ids.Instant
    ) -> quota.TokenRequest | None:
        """Return the borrowing that is due, if any."""
        waiting = self._waiting_by_workspace.get(workspace, [])
        return self.limiter.next_request(workspace, len(waiting), now)

    def lent(
        self, event: quota.TokenAllocation, now: ids.Instant
    ) -> abc.Iterator[Decided]:
        """Take in lent tokens; decide about those who waited for them."""
        self.limiter.add_allocation(event, now)
        yield from self._decide(event.workspace, now)

    def end_overdue(self, now: ids.Instant) -> abc.Iterator[Decided]:
        """Decide without a leading instance that does not answer."""
        for workspace in list(self._waiting_by_workspace):
            if self.limiter.check_timeout(workspace, now):
                yield from self._decide(workspace, now)

    def _decide(
        self, workspace: ids.WorkspaceId, now: ids.Instant
    ) -> abc.Iterator[Decided]:
        for one in self._waiting_by_workspace.pop(workspace, []):
            admitted = self.limiter.take_deferred(workspace, now)
            yield Decided(exchange=one, is_admitted=admitted)

    def forget(
        self, exchange: ids.ExchangeId, workspace: ids.WorkspaceId
    ) -> None:
        """Remove a request that is no longer wanted."""
        waiting = self._waiting_by_workspace.get(workspace, [])
        if exchange in waiting:
            waiting.remove(exchange)
        if not waiting:
            self._waiting_by_workspace.pop(workspace, None)

    def error(
        self, workspace: ids.WorkspaceId, now: ids.Instant
    ) -> errors.RateExceeded:
        """Return why a workspace is refused, and when it may return."""
        wait = self.limiter.seconds_to_token(workspace, now)
        return errors.RateExceeded(
            f"workspace {workspace} is over its rate:"
            f" {self.limiter.describe(workspace)}",
            retry_after=retries.retry_after(wait),
        )
