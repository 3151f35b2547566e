"""Queue of requests that wait for a rate-limit token."""

from collections import abc
import dataclasses

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.quota import limiter
from dragonflyshelf.core.quota import messages as quota
from dragonflyshelf.core.routing import objects
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
    ) -> limiter.AdmissionResult:
        """Take a token for a request, or queue it until one is available."""
        result = self.limiter.take(workspace, now)
        if result is limiter.AdmissionResult.PENDING:
            waiting = self._waiting_by_workspace.setdefault(workspace, [])
            waiting.append(exchange)
        return result

    def set_workspaces(
        self, workspaces: tuple[objects.Workspace, ...]
    ) -> abc.Iterator[AdmissionDecision]:
        """Apply new rates; yield decisions for requests that they end.

        Those of a workspace that is gone are refused, those of one that has
        no limit any more are admitted.
        """
        self.limiter.set_workspaces(workspaces)
        limited = {
            workspace.name for workspace in workspaces if workspace.rate > 0
        }
        names = {workspace.name for workspace in workspaces}
        ended = [
            name for name in self._waiting_by_workspace if name not in limited
        ]
        for name in ended:
            for exchange in self._waiting_by_workspace.pop(name):
                yield AdmissionDecision(
                    exchange=exchange, is_admitted=name in names
                )

    def next_request(
        self, workspace: ids.WorkspaceId, now: ids.Instant
    ) -> quota.TokenRequest | None:
        """Return the token request to send to the leader, if any."""
        waiting = self._waiting_by_workspace.get(workspace, [])
        return self.limiter.next_request(workspace, len(waiting), now)

    def next_waiting_request(
        self, workspace: ids.WorkspaceId, now: ids.Instant
    ) -> quota.TokenRequest | None:
        """Return the token request for those that still wait, if any do."""
        if workspace not in self._waiting_by_workspace:
            return None
        return self.next_request(workspace, now)

    def add_allocation(
        self, event: quota.TokenAllocation, now: ids.Instant
    ) -> abc.Iterator[AdmissionDecision]:
        """Add allocated tokens; yield decisions for the waiting requests."""
        self.limiter.add_allocation(event, now)
        yield from self._decide_waiting(event.workspace, now)

    def resolve_overdue(
        self, now: ids.Instant
    ) -> abc.Iterator[AdmissionDecision]:
        """Yield decisions for requests whose token request timed out."""
        for workspace in list(self._waiting_by_workspace):
            if self.limiter.check_timeout(workspace, now):
                yield from self._decide_waiting(workspace, now)

    def _decide_waiting(
        self, workspace: ids.WorkspaceId, now: ids.Instant
    ) -> abc.Iterator[AdmissionDecision]:
        """Yield decisions for the requests that need not wait any longer."""
        waiting = self._waiting_by_workspace.pop(workspace, [])
        for position, exchange in enumerate(waiting):
            admitted = self.limiter.take_deferred(workspace, now)
            if not admitted and self.limiter.may_wait(
                workspace, position, now
            ):
                self._waiting_by_workspace[workspace] = waiting[position:]
                return
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

    def refusal(
        self, workspace: ids.WorkspaceId, now: ids.Instant
    ) -> errors.RouterError:
        """Return the error for a request that gets no token.

        Its workspace exceeds its rate limit, or was removed.
        """
        if not self.limiter.knows(workspace):
            return errors.CallerKeyRefused(
                f"workspace {workspace} was removed from the configuration"
            )
        wait_seconds = self.limiter.seconds_to_token(workspace, now)
        return errors.RateExceeded(
            f"workspace {workspace} exceeds its rate limit:"
            f" {self.limiter.describe(workspace)}",
            retry_after=retries.bounded_retry_after(wait_seconds),
        )
