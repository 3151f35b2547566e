"""Rate limits of workspaces at one instance.

Each request needs a token that the leader has allocated. A few tokens
are prefetched, and discarded when they stay unused. While the leader
does not respond, a fallback share of each rate is used instead.
"""

import dataclasses
import enum

from dragonflyshelf.core import ids
from dragonflyshelf.core.quota import const
from dragonflyshelf.core.quota import demand
from dragonflyshelf.core.quota import fallback
from dragonflyshelf.core.quota import messages
from dragonflyshelf.core.routing import objects


class AdmissionResult(enum.Enum):
    """Whether a request got a token.

    A pending request waits for a token that is to be requested.
    """

    ADMITTED = "admitted"
    PENDING = "borrowing"
    OVER_LIMIT = "over"


@dataclasses.dataclass(kw_only=True, slots=True)
class TokenCache:
    """Allocated tokens of one workspace, and the demand for them.

    ``requested_at`` is the time of the token request under way, and
    ``covered_count`` the number of pending requests that it covers.
    """

    tokens: int = 0
    allocated_at: ids.Instant = ids.Instant(0.0)
    requested_at: ids.Instant | None = None
    covered_count: int = 0
    fallback_used_count: int = 0
    exhausted_until: ids.Instant = ids.Instant(0.0)
    demand_estimate: demand.DemandEstimate = dataclasses.field(
        default_factory=demand.DemandEstimate
    )

    def expire(self, now: ids.Instant) -> None:
        """Discard tokens that were allocated too long ago."""
        if now - self.allocated_at > const.TOKEN_TTL_SECONDS:
            self.tokens = 0


class WorkspaceLimiter:
    """Token caches of the workspaces that have a rate limit."""

    def __init__(self) -> None:
        """Create a limiter without tokens."""
        self._workspaces_by_name: dict[ids.WorkspaceId, objects.Workspace] = {}
        self._caches_by_workspace: dict[ids.WorkspaceId, TokenCache] = {}
        self._fallback_share = fallback.FallbackShare(const.INSTANCE_MIN_BURST)
        self._leader_is_unresponsive = False

    def set_workspaces(
        self, workspaces: tuple[objects.Workspace, ...]
    ) -> None:
        """Apply the rates and bursts of a new configuration."""
        self._workspaces_by_name = {
            workspace.name: workspace for workspace in workspaces
        }
        self._fallback_share.set_workspaces(workspaces)
        for name in list(self._caches_by_workspace):
            if name not in self._workspaces_by_name:
                del self._caches_by_workspace[name]

    def knows(self, workspace: ids.WorkspaceId) -> bool:
        """Return whether the configuration has a workspace."""
        return workspace in self._workspaces_by_name

    def set_instance_count(self, count: int) -> None:
        """Set the number of instances that divide the fallback share."""
        self._fallback_share.set_instances(1, count)

    def take(
        self, workspace: ids.WorkspaceId, now: ids.Instant
    ) -> AdmissionResult:
        """Take a token for a new request, and count it as demand."""
        if self._workspaces_by_name[workspace].rate <= 0:
            return AdmissionResult.ADMITTED
        cache = self._cache(workspace)
        cache.demand_estimate.add(1, now)
        return self._take(workspace, cache, now)

    def take_deferred(
        self, workspace: ids.WorkspaceId, now: ids.Instant
    ) -> bool:
        """Take a token for a request that was pending."""
        cache = self._cache(workspace)
        return self._take(workspace, cache, now) is AdmissionResult.ADMITTED

    def may_wait(
        self, workspace: ids.WorkspaceId, position: int, now: ids.Instant
    ) -> bool:
        """Return whether a pending request without a token may wait on.

        It may if the last token request did not cover its position among
        the pending ones, counted from 0, unless the leader has said that no
        tokens are left or does not respond.
        """
        cache = self._cache(workspace)
        if self._leader_is_unresponsive or now < cache.exhausted_until:
            return False
        return position >= cache.covered_count

    def _take(
        self, workspace: ids.WorkspaceId, cache: TokenCache, now: ids.Instant
    ) -> AdmissionResult:
        if self._workspaces_by_name[workspace].rate <= 0:
            return AdmissionResult.ADMITTED
        cache.expire(now)
        if cache.tokens > 0:
            cache.tokens -= 1
            return AdmissionResult.ADMITTED
        if self._leader_is_unresponsive:
            return self._take_fallback(workspace, cache, now)
        if now < cache.exhausted_until:
            return AdmissionResult.OVER_LIMIT
        return AdmissionResult.PENDING

    def _take_fallback(
        self, workspace: ids.WorkspaceId, cache: TokenCache, now: ids.Instant
    ) -> AdmissionResult:
        if self._fallback_share.take(workspace, now):
            cache.fallback_used_count += 1
            return AdmissionResult.ADMITTED
        return AdmissionResult.OVER_LIMIT

    def next_request(
        self, workspace: ids.WorkspaceId, pending_count: int, now: ids.Instant
    ) -> messages.TokenRequest | None:
        """Return the token request that is due, if any.

        It covers the ``pending_count`` requests and a prefetch.
        """
        if workspace not in self._workspaces_by_name:
            return None
        if self._workspaces_by_name[workspace].rate <= 0:
            return None
        cache = self._cache(workspace)
        if cache.requested_at is not None:
            if now - cache.requested_at < const.PROBE_INTERVAL_SECONDS:
                return None
        elif now < cache.exhausted_until:
            return None
        prefetch_count = cache.demand_estimate.prefetch_count(now)
        if self._leader_is_unresponsive:
            prefetch_count = max(prefetch_count, const.PROBE_TOKEN_COUNT)
        if not pending_count and cache.tokens * 2 >= prefetch_count:
            return None
        tokens = min(
            pending_count + prefetch_count, const.MAX_REQUESTED_TOKEN_COUNT
        )
        cache.requested_at = now
        cache.covered_count = min(pending_count, tokens)
        return messages.TokenRequest(workspace=workspace, tokens=tokens)

    def add_allocation(
        self, allocation: messages.TokenAllocation, now: ids.Instant
    ) -> None:
        """Add the tokens that the leader has allocated.

        Tokens of the fallback share that were used before a late
        allocation are subtracted, as the leader has not accounted for them.
        """
        cache = self._caches_by_workspace.get(allocation.workspace)
        if cache is None:
            return
        self._leader_is_unresponsive = False
        cache.requested_at = None
        cache.expire(now)
        cache.tokens += max(allocation.tokens - cache.fallback_used_count, 0)
        cache.fallback_used_count = 0
        if allocation.tokens:
            cache.allocated_at = now
        else:
            cache.exhausted_until = ids.Instant(now + allocation.wait)

    def check_timeout(
        self, workspace: ids.WorkspaceId, now: ids.Instant
    ) -> bool:
        """Return whether the token request under way has timed out.

        After a timeout the fallback share is used until the leader
        responds.
        """
        cache = self._caches_by_workspace.get(workspace)
        if cache is None or cache.requested_at is None:
            return False
        if now - cache.requested_at < const.TOKEN_REQUEST_TIMEOUT_SECONDS:
            return False
        self._leader_is_unresponsive = True
        return True

    def refund(self, workspace: ids.WorkspaceId) -> None:
        """Return the token of a request that was not executed."""
        cache = self._caches_by_workspace.get(workspace)
        if cache is not None:
            cache.tokens += 1

    def seconds_to_token(
        self, workspace: ids.WorkspaceId, now: ids.Instant
    ) -> float:
        """Return the seconds until a token may be available."""
        cache = self._cache(workspace)
        if self._leader_is_unresponsive:
            return self._fallback_share.seconds_to_token(workspace, now)
        return max(cache.exhausted_until - now, 0.0)

    def describe(self, workspace: ids.WorkspaceId) -> str:
        """Return limit and demand of a workspace, for error messages."""
        configured = self._workspaces_by_name[workspace]
        cache = self._cache(workspace)
        return (
            f"{configured.rate:g}/s, burst {configured.burst:g}, demand at"
            f" this instance {cache.demand_estimate.mean:.1f}/s"
        )

    def _cache(self, workspace: ids.WorkspaceId) -> TokenCache:
        return self._caches_by_workspace.setdefault(workspace, TokenCache())
