"""Tokens that a relay requests on behalf of its members.

While the leader does not respond, the relay hands out the share of each
rate that is for itself and its members.

The relay has one token request under way for each workspace and
prefetches some tokens, so that most members get tokens at once and few
requests cross data centres. Unused tokens are discarded after a short
time, so that the rate limit stays strict over all instances.
"""

import collections
from collections import abc
import dataclasses
from typing import Any

from dragonflyshelf.core import ids
from dragonflyshelf.core.quota import const
from dragonflyshelf.core.quota import demand
from dragonflyshelf.core.quota import fallback
from dragonflyshelf.core.quota import messages

Link = Any
"""Identifies the connection of a member; the runtime uses its inbox."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """Token allocation to be sent to a member."""

    link: Link
    allocation: messages.TokenAllocation


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PendingRequest:
    """Token request of a member that has no reply yet."""

    link: Link
    tokens: int
    received_at: ids.Instant


@dataclasses.dataclass(kw_only=True, slots=True)
class RelayTokenCache:
    """Tokens of one workspace, and the pending requests for them."""

    demand_estimate: demand.DemandEstimate = dataclasses.field(
        default_factory=demand.DemandEstimate
    )
    tokens: int = 0
    allocated_at: ids.Instant = ids.Instant(0.0)
    requested_at: ids.Instant | None = None
    exhausted_until: ids.Instant = ids.Instant(0.0)
    fallback_used_count: int = 0
    pending: collections.deque[PendingRequest] = dataclasses.field(
        default_factory=collections.deque
    )


class TokenPool:
    """Tokens of all workspaces at a relay."""

    def __init__(self) -> None:
        """Create a pool without tokens."""
        self._caches_by_workspace: collections.defaultdict[
            ids.WorkspaceId, RelayTokenCache
        ] = collections.defaultdict(RelayTokenCache)
        self._waiting_workspaces: set[ids.WorkspaceId] = set()
        self._leader_is_unresponsive = False
        self.fallback_share = fallback.FallbackShare(const.RELAY_MIN_BURST)

    def request_tokens(
        self, link: Link, request: messages.TokenRequest, now: ids.Instant
    ) -> abc.Iterator[Reply]:
        """Add the token request of a member; yield the replies now due."""
        cache = self._caches_by_workspace[request.workspace]
        cache.demand_estimate.add(request.tokens, now)
        cache.pending.append(
            PendingRequest(link=link, tokens=request.tokens, received_at=now)
        )
        self._waiting_workspaces.add(request.workspace)
        yield from self._reply(request.workspace, cache, now)

    def next_request(
        self, workspace: ids.WorkspaceId, may_prefetch: bool, now: ids.Instant
    ) -> messages.TokenRequest | None:
        """Return the token request that is due, if any.

        An instance without members does not prefetch here, as its own
        limiter does.
        """
        cache = self._caches_by_workspace[workspace]
        if cache.requested_at is not None:
            if now - cache.requested_at < const.PROBE_INTERVAL_SECONDS:
                return None
        elif now < cache.exhausted_until:
            return None
        pending_tokens = sum(pending.tokens for pending in cache.pending)
        prefetch_count = (
            cache.demand_estimate.prefetch_count(now) if may_prefetch else 0
        )
        if self._leader_is_unresponsive:
            prefetch_count = max(prefetch_count, const.PROBE_TOKEN_COUNT)
        if not pending_tokens and cache.tokens * 2 >= prefetch_count:
            return None
        cache.requested_at = now
        return messages.TokenRequest(
            workspace=workspace,
            tokens=min(
                pending_tokens + prefetch_count,
                const.MAX_REQUESTED_TOKEN_COUNT,
            ),
        )

    def add_allocation(
        self, allocation: messages.TokenAllocation, now: ids.Instant
    ) -> abc.Iterator[Reply]:
        """Add tokens allocated by the leader; yield the replies now due."""
        cache = self._caches_by_workspace[allocation.workspace]
        self._leader_is_unresponsive = False
        cache.requested_at = None
        self._expire(cache, now)
        cache.tokens += max(allocation.tokens - cache.fallback_used_count, 0)
        cache.fallback_used_count = 0
        if allocation.tokens:
            cache.allocated_at = now
        else:
            cache.exhausted_until = ids.Instant(now + allocation.wait)
        yield from self._reply(allocation.workspace, cache, now)

    def resolve_overdue(self, now: ids.Instant) -> abc.Iterator[Reply]:
        """Yield replies to members whose tokens the leader does not send."""
        for workspace in tuple(self._waiting_workspaces):
            cache = self._caches_by_workspace[workspace]
            if not cache.pending:
                self._waiting_workspaces.discard(workspace)
                continue
            if cache.requested_at is None:
                continue
            waited = now - cache.requested_at
            if waited >= const.RELAY_REQUEST_TIMEOUT_SECONDS:
                self._leader_is_unresponsive = True
                yield from self._reply(workspace, cache, now)

    def _reply(
        self,
        workspace: ids.WorkspaceId,
        cache: RelayTokenCache,
        now: ids.Instant,
    ) -> abc.Iterator[Reply]:
        self._expire(cache, now)
        while cache.pending:
            is_exhausted = now < cache.exhausted_until
            if not cache.tokens and not is_exhausted:
                if not self._leader_is_unresponsive:
                    return
                self._take_fallback(workspace, cache, now)
            oldest = cache.pending.popleft()
            allocated = min(oldest.tokens, cache.tokens)
            cache.tokens -= allocated
            wait = 0.0
            if not allocated:
                wait = self._seconds_to_token(workspace, cache, now)
            yield Reply(
                link=oldest.link,
                allocation=messages.TokenAllocation(
                    workspace=workspace, tokens=allocated, wait=wait
                ),
            )

    def _take_fallback(
        self,
        workspace: ids.WorkspaceId,
        cache: RelayTokenCache,
        now: ids.Instant,
    ) -> None:
        """Add tokens of the share for the oldest request."""
        while cache.tokens < cache.pending[0].tokens:
            if not self.fallback_share.take(workspace, now):
                return
            cache.tokens += 1
            cache.allocated_at = now
            cache.fallback_used_count += 1

    def _seconds_to_token(
        self,
        workspace: ids.WorkspaceId,
        cache: RelayTokenCache,
        now: ids.Instant,
    ) -> float:
        if now < cache.exhausted_until:
            return cache.exhausted_until - now
        wait = self.fallback_share.seconds_to_token(workspace, now)
        return min(
            max(wait, const.MIN_WAIT_SECONDS), const.MAX_FALLBACK_WAIT_SECONDS
        )

    def _expire(self, cache: RelayTokenCache, now: ids.Instant) -> None:
        if now - cache.allocated_at > const.RELAY_TOKEN_TTL_SECONDS:
            cache.tokens = 0
        while cache.pending and (
            now - cache.pending[0].received_at
            > const.RELAY_REQUEST_TTL_SECONDS
        ):
            cache.pending.popleft()
