"""Rate limits of workspaces at one instance.

Each request needs a token that the leader has allocated. A few tokens
are prefetched, and discarded when they stay unused. While the leader
does not answer, a fallback share of each rate is used instead.
"""

import dataclasses
import enum

from dragonflyshelf.core import ids
from dragonflyshelf.core.quota import bucket
from dragonflyshelf.core.quota import const
from dragonflyshelf.core.quota import demand
from dragonflyshelf.core.quota import messages
from dragonflyshelf.core.routing import objects


class Verdict(enum.Enum):
    """Whether a request got a token.

    A pending request waits for a token that is to be requested.
    """

    ADMITTED = "admitted"
    BORROWING = "borrowing"
    OVER = "over"


@dataclasses.dataclass(kw_only=True, slots=True)
class Stock:
    """Allocated tokens of one workspace, and the demand for them.

    ``asked_at`` is the time of the token request under way.
    """

    tokens: int = 0
    borrowed_at: ids.Instant = ids.Instant(0.0)
    asked_at: ids.Instant | None = None
    fallback_at: ids.Instant = ids.Instant(0.0)
    fallback_taken: int = 0
    empty_until: ids.Instant = ids.Instant(0.0)
    demanded: demand.Demand = dataclasses.field(default_factory=demand.Demand)
    fallback: bucket.TokenBucket | None = None

    def expire(self, now: ids.Instant) -> None:
        """Discard tokens that were allocated too long ago."""
        if now - self.borrowed_at > const.STOCK_LIFE:
            self.tokens = 0


class WorkspaceLimiter:
    """Token caches of the workspaces that have a rate limit."""

    def __init__(self) -> None:
        """Create a limiter without tokens."""
        self._workspaces_by_name: dict[ids.WorkspaceId, objects.Workspace] = {}
        self._stocks_by_workspace: dict[ids.WorkspaceId, Stock] = {}
        self._instances = const.INSTANCES_UNKNOWN
        self._leader_is_silent = False

    def set_workspaces(
        self, workspaces: tuple[objects.Workspace, ...]
    ) -> None:
        """Apply the rates and bursts of a new configuration."""
        self._workspaces_by_name = {one.name: one for one in workspaces}
        for name in list(self._stocks_by_workspace):
            if name not in self._workspaces_by_name:
                del self._stocks_by_workspace[name]
                continue
            self._stocks_by_workspace[name].fallback = None

    def set_instances(self, count: int) -> None:
        """Set the number of instances that divide the fallback share."""
        if count != self._instances:
            self._instances = max(count, 1)
            for stock in self._stocks_by_workspace.values():
                stock.fallback = None

    def take(self, workspace: ids.WorkspaceId, now: ids.Instant) -> Verdict:
        """Take a token for a new request, and count it as demand."""
        if self._workspaces_by_name[workspace].rate <= 0:
            return Verdict.ADMITTED
        stock = self._stock(workspace)
        stock.demanded.count(1, now)
        return self._take(workspace, stock, now)

    def retake(self, workspace: ids.WorkspaceId, now: ids.Instant) -> bool:
        """Take a token for a request that was pending."""
        stock = self._stock(workspace)
        return self._take(workspace, stock, now) is Verdict.ADMITTED

    def _take(
        self, workspace: ids.WorkspaceId, stock: Stock, now: ids.Instant
    ) -> Verdict:
        stock.expire(now)
        if stock.tokens > 0:
            stock.tokens -= 1
            return Verdict.ADMITTED
        if self._leader_is_silent:
            return self._take_fallback(workspace, stock, now)
        if now < stock.empty_until:
            return Verdict.OVER
        return Verdict.BORROWING

    def _take_fallback(
        self, workspace: ids.WorkspaceId, stock: Stock, now: ids.Instant
    ) -> Verdict:
        if self._fallback(workspace, stock, now).take(now):
            stock.fallback_taken += 1
            return Verdict.ADMITTED
        return Verdict.OVER

    def wanted(
        self, workspace: ids.WorkspaceId, waiting: int, now: ids.Instant
    ) -> messages.BorrowTokens | None:
        """Return the token request that is due, if any.

        It covers the ``waiting`` requests and a prefetch.
        """
        if workspace not in self._workspaces_by_name:
            return None
        if self._workspaces_by_name[workspace].rate <= 0:
            return None
        stock = self._stock(workspace)
        if stock.asked_at is not None:
            if now - stock.asked_at < const.PROBE_INTERVAL:
                return None
        elif now < stock.empty_until:
            return None
        ahead = stock.demanded.ahead(now)
        if self._leader_is_silent:
            ahead = max(ahead, const.PROBE_TOKENS)
        if not waiting and stock.tokens * 2 >= ahead:
            return None
        tokens = min(waiting + ahead, const.MOST_BORROWED)
        stock.asked_at = now
        return messages.BorrowTokens(workspace=workspace, tokens=tokens)

    def lent(self, lend: messages.LendTokens, now: ids.Instant) -> None:
        """Add the tokens that the leader has allocated.

        Tokens of the fallback share that were used before a late answer
        are subtracted, as the leader has not accounted for them.
        """
        stock = self._stocks_by_workspace.get(lend.workspace)
        if stock is None:
            return
        self._leader_is_silent = False
        stock.asked_at = None
        stock.expire(now)
        stock.tokens += max(lend.tokens - stock.fallback_taken, 0)
        stock.fallback_taken = 0
        if lend.tokens:
            stock.borrowed_at = now
        else:
            stock.empty_until = ids.Instant(now + lend.wait)

    def overdue(self, workspace: ids.WorkspaceId, now: ids.Instant) -> bool:
        """Return whether the token request under way has timed out.

        After a time-out the fallback share is used until the leader
        answers.
        """
        stock = self._stocks_by_workspace.get(workspace)
        if stock is None or stock.asked_at is None:
            return False
        if now - stock.asked_at < const.LEADER_SILENCE:
            return False
        self._leader_is_silent = True
        return True

    def give_back(self, workspace: ids.WorkspaceId) -> None:
        """Give back the token of a request that did not run."""
        stock = self._stocks_by_workspace.get(workspace)
        if stock is not None:
            stock.tokens += 1

    def wait_for(self, workspace: ids.WorkspaceId, now: ids.Instant) -> float:
        """Return the seconds until a token may be available."""
        stock = self._stock(workspace)
        if self._leader_is_silent and stock.fallback is not None:
            return stock.fallback.seconds_to_token(now)
        return max(stock.empty_until - now, 0.0)

    def describe(self, workspace: ids.WorkspaceId) -> str:
        """Return limit and demand of a workspace, for error messages."""
        one = self._workspaces_by_name[workspace]
        stock = self._stock(workspace)
        return (
            f"{one.rate:g}/s, burst {one.burst:g}, demand at this"
            f" instance {stock.demanded.mean:.1f}/s"
        )

    def _stock(self, workspace: ids.WorkspaceId) -> Stock:
        return self._stocks_by_workspace.setdefault(workspace, Stock())

    def _fallback(
        self, workspace: ids.WorkspaceId, stock: Stock, now: ids.Instant
    ) -> bucket.TokenBucket:
        is_old = now - stock.fallback_at > const.FALLBACK_LIFE
        stock.fallback_at = now
        if stock.fallback is None or is_old:
            one = self._workspaces_by_name[workspace]
            part = const.FALLBACK_PART / self._instances
            stock.fallback = bucket.TokenBucket(
                rate=one.rate * part,
                burst=max(one.burst * part, 1.0),
                now=now,
                tokens=one.burst * part,
            )
        return stock.fallback
