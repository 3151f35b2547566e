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
        if now - self.borrowed_at > const.TOKEN_TTL_SECONDS:
            self.tokens = 0


class WorkspaceLimiter:
    """Token caches of the workspaces that have a rate limit."""

    def __init__(self) -> None:
        """Create a limiter without tokens."""
        self._workspaces_by_name: dict[ids.WorkspaceId, objects.Workspace] = {}
        self._caches_by_workspace: dict[ids.WorkspaceId, Stock] = {}
        self._instance_count = const.DEFAULT_INSTANCE_COUNT
        self._leader_is_unresponsive = False

    def set_workspaces(
        self, workspaces: tuple[objects.Workspace, ...]
    ) -> None:
        """Apply the rates and bursts of a new configuration."""
        self._workspaces_by_name = {
            workspace.name: workspace for workspace in workspaces
        }
        for name in list(self._caches_by_workspace):
            if name not in self._workspaces_by_name:
                del self._caches_by_workspace[name]
                continue
            self._caches_by_workspace[name].fallback = None

    def set_instances(self, count: int) -> None:
        """Set the number of instances that divide the fallback share."""
        if count != self._instance_count:
            self._instance_count = max(count, 1)
            for cache in self._caches_by_workspace.values():
                cache.fallback = None

    def take(self, workspace: ids.WorkspaceId, now: ids.Instant) -> Verdict:
        """Take a token for a new request, and count it as demand."""
        if self._workspaces_by_name[workspace].rate <= 0:
            return Verdict.ADMITTED
        cache = self._cache(workspace)
        cache.demanded.count(1, now)
        return self._take(workspace, cache, now)

    def retake(self, workspace: ids.WorkspaceId, now: ids.Instant) -> bool:
        """Take a token for a request that was pending."""
        cache = self._cache(workspace)
        return self._take(workspace, cache, now) is Verdict.ADMITTED

    def _take(
        self, workspace: ids.WorkspaceId, cache: Stock, now: ids.Instant
    ) -> Verdict:
        cache.expire(now)
        if cache.tokens > 0:
            cache.tokens -= 1
            return Verdict.ADMITTED
        if self._leader_is_unresponsive:
            return self._take_fallback(workspace, cache, now)
        if now < cache.empty_until:
            return Verdict.OVER
        return Verdict.BORROWING

    def _take_fallback(
        self, workspace: ids.WorkspaceId, cache: Stock, now: ids.Instant
    ) -> Verdict:
        if self._fallback_bucket(workspace, cache, now).take(now):
            cache.fallback_taken += 1
            return Verdict.ADMITTED
        return Verdict.OVER

    def wanted(
        self, workspace: ids.WorkspaceId, pending_count: int, now: ids.Instant
    ) -> messages.BorrowTokens | None:
        """Return the token request that is due, if any.

        It covers the ``pending_count`` requests and a prefetch.
        """
        if workspace not in self._workspaces_by_name:
            return None
        if self._workspaces_by_name[workspace].rate <= 0:
            return None
        cache = self._cache(workspace)
        if cache.asked_at is not None:
            if now - cache.asked_at < const.PROBE_INTERVAL_SECONDS:
                return None
        elif now < cache.empty_until:
            return None
        prefetch_count = cache.demanded.ahead(now)
        if self._leader_is_unresponsive:
            prefetch_count = max(prefetch_count, const.PROBE_TOKEN_COUNT)
        if not pending_count and cache.tokens * 2 >= prefetch_count:
            return None
        tokens = min(
            pending_count + prefetch_count, const.MAX_REQUESTED_TOKEN_COUNT
        )
        cache.asked_at = now
        return messages.BorrowTokens(workspace=workspace, tokens=tokens)

    def lent(self, lend: messages.LendTokens, now: ids.Instant) -> None:
        """Add the tokens that the leader has allocated.

        Tokens of the fallback share that were used before a late answer
        are subtracted, as the leader has not accounted for them.
        """
        cache = self._caches_by_workspace.get(lend.workspace)
        if cache is None:
            return
        self._leader_is_unresponsive = False
        cache.asked_at = None
        cache.expire(now)
        cache.tokens += max(lend.tokens - cache.fallback_taken, 0)
        cache.fallback_taken = 0
        if lend.tokens:
            cache.borrowed_at = now
        else:
            cache.empty_until = ids.Instant(now + lend.wait)

    def overdue(self, workspace: ids.WorkspaceId, now: ids.Instant) -> bool:
        """Return whether the token request under way has timed out.

        After a time-out the fallback share is used until the leader
        answers.
        """
        cache = self._caches_by_workspace.get(workspace)
        if cache is None or cache.asked_at is None:
            return False
        if now - cache.asked_at < const.TOKEN_REQUEST_TIMEOUT_SECONDS:
            return False
        self._leader_is_unresponsive = True
        return True

    def give_back(self, workspace: ids.WorkspaceId) -> None:
        """Give back the token of a request that did not run."""
        cache = self._caches_by_workspace.get(workspace)
        if cache is not None:
            cache.tokens += 1

    def wait_for(self, workspace: ids.WorkspaceId, now: ids.Instant) -> float:
        """Return the seconds until a token may be available."""
        cache = self._cache(workspace)
        if self._leader_is_unresponsive and cache.fallback is not None:
            return cache.fallback.seconds_to_token(now)
        return max(cache.empty_until - now, 0.0)

    def describe(self, workspace: ids.WorkspaceId) -> str:
        """Return limit and demand of a workspace, for error messages."""
        configured = self._workspaces_by_name[workspace]
        cache = self._cache(workspace)
        return (
            f"{configured.rate:g}/s, burst {configured.burst:g}, demand at"
            f" this instance {cache.demanded.mean:.1f}/s"
        )

    def _cache(self, workspace: ids.WorkspaceId) -> Stock:
        return self._caches_by_workspace.setdefault(workspace, Stock())

    def _fallback_bucket(
        self, workspace: ids.WorkspaceId, cache: Stock, now: ids.Instant
    ) -> bucket.TokenBucket:
        is_idle = now - cache.fallback_at > const.FALLBACK_RESET_SECONDS
        cache.fallback_at = now
        if cache.fallback is None or is_idle:
            configured = self._workspaces_by_name[workspace]
            ratio = const.FALLBACK_RATIO / self._instance_count
            cache.fallback = bucket.TokenBucket(
                rate=configured.rate * ratio,
                burst=max(configured.burst * ratio, 1.0),
                now=now,
                tokens=configured.burst * ratio,
            )
        return cache.fallback
