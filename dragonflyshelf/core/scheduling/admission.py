"""Queue of requests that wait for a rate-limit token."""

from collections import abc
import dataclasses

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.quota import limiter
from dragonflyshelf.core.quota import messages as quota
from dragonflyshelf.core.scheduling import retries


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AdmissionDecision:
    """Admission decision for a request that waited for a token."""

    exchange: ids.ExchangeId
    is_admitted: bool


class TokenQueue:
    """Rate limiter of this instance and the requests waiting for tokens."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self.limiter = limiter.WorkspaceLimiter()
        self._waiting_by_workspace: dict[
            ids.WorkspaceId, list[ids.ExchangeId]
        ] = {}

    @property
    def has_waiting(self) -> bool:
        """Return whether any request is waiting."""
        return bool(self._waiting_by_workspace)

    def take(
        self,
        exchange: ids.ExchangeId,
        workspace: ids.WorkspaceId,
        now: ids.Instant,
    ) -> limiter.Verdict:
        """Take a token for a request, or queue it until one is available."""
        result = self.limiter.take(workspace, now)
        if result is limiter.Verdict.BORROWING:
            waiting = self._waiting_by_workspace.setdefault(workspace, [])
            waiting.append(exchange)
        return result

    def next_request(
        self, workspace: ids.WorkspaceId, now: ids.Instant
    ) -> quota.BorrowTokens | None:
        """Return the token request to send to the leader, if any."""
        waiting = self._waiting_by_workspace.get(workspace, [])
        return self.limiter.wanted(workspace, len(waiting), now)

    def add_allocation(
        self, event: quota.LendTokens, now: ids.Instant
    ) -> abc.Iterator[AdmissionDecision]:
        """Add allocated tokens; yield decisions for the waiting requests."""
        self.limiter.lent(event, now)
        yield from self._decide_waiting(event.workspace, now)

    def resolve_overdue(
        self, now: ids.Instant
    ) -> abc.Iterator[AdmissionDecision]:
        """Yield decisions for requests whose token request timed out."""
        for workspace in list(self._waiting_by_workspace):
            if self.limiter.overdue(workspace, now):
                yield from self._decide_waiting(workspace, now)

    def _decide_waiting(
        self, workspace: ids.WorkspaceId, now: ids.Instant
    ) -> abc.Iterator[AdmissionDecision]:
        for exchange in self._waiting_by_workspace.pop(workspace, []):
            admitted = self.limiter.retake(workspace, now)
            yield AdmissionDecision(exchange=exchange, is_admitted=admitted)

    def cancel(
        self, exchange: ids.ExchangeId, workspace: ids.WorkspaceId
    ) -> None:
        """Remove a cancelled request."""
        waiting = self._waiting_by_workspace.get(workspace, [])
        if exchange in waiting:
            waiting.remove(exchange)
        if not waiting:
            self._waiting_by_workspace.pop(workspace, None)

    def rate_error(
        self, workspace: ids.WorkspaceId, now: ids.Instant
    ) -> errors.RateExceeded:
        """Return the error for a workspace that exceeds its rate limit."""
        wait_seconds = self.limiter.wait_for(workspace, now)
        return errors.RateExceeded(
            f"workspace {workspace} exceeds its rate limit:"
            f" {self.limiter.describe(workspace)}",
            retry_after=retries.bounded_retry_after(wait_seconds),
        )
