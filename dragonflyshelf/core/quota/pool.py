"""Tokens that a relay requests on behalf of its members.

The relay has one token request under way for each workspace and
prefetches some tokens, so that it answers most members at once and few
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
from dragonflyshelf.core.quota import messages

Link = Any
"""Identifies the connection of a member; the runtime uses its inbox."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """Token allocation to be sent to a member."""

    link: Link
    lend: messages.LendTokens


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Waiting:
    """Token request of a member that is not yet answered."""

    link: Link
    tokens: int
    since: ids.Instant


@dataclasses.dataclass(kw_only=True, slots=True)
class Account:
    """Tokens of one workspace, and the unanswered requests for them."""

    demanded: demand.Demand = dataclasses.field(default_factory=demand.Demand)
    tokens: int = 0
    borrowed_at: ids.Instant = ids.Instant(0.0)
    asked_at: ids.Instant | None = None
    empty_until: ids.Instant = ids.Instant(0.0)
    waiting: collections.deque[Waiting] = dataclasses.field(
        default_factory=collections.deque
    )


class TokenPool:
    """Tokens of all workspaces at a relay."""

    def __init__(self) -> None:
        """Create a pool without tokens."""
        self._caches_by_workspace: collections.defaultdict[
            ids.WorkspaceId, Account
        ] = collections.defaultdict(Account)

    def borrow(
        self, link: Link, wanted: messages.BorrowTokens, now: ids.Instant
    ) -> abc.Iterator[Answer]:
        """Add the token request of a member; yield the replies now due."""
        cache = self._caches_by_workspace[wanted.workspace]
        cache.demanded.count(wanted.tokens, now)
        cache.waiting.append(
            Waiting(link=link, tokens=wanted.tokens, since=now)
        )
        yield from self._reply(wanted.workspace, cache, now)

    def wanted(
        self, workspace: ids.WorkspaceId, reads_ahead: bool, now: ids.Instant
    ) -> messages.BorrowTokens | None:
        """Return the token request that is due, if any.

        An instance without members does not prefetch here, as its own
        limiter does.
        """
        cache = self._caches_by_workspace[workspace]
        if cache.asked_at is not None:
            if now - cache.asked_at < const.PROBE_INTERVAL_SECONDS:
                return None
        elif now < cache.empty_until:
            return None
        pending_tokens = sum(pending.tokens for pending in cache.waiting)
        prefetch_count = cache.demanded.ahead(now) if reads_ahead else 0
        if not pending_tokens and cache.tokens * 2 >= prefetch_count:
            return None
        cache.asked_at = now
        return messages.BorrowTokens(
            workspace=workspace,
            tokens=min(
                pending_tokens + prefetch_count,
                const.MAX_REQUESTED_TOKEN_COUNT,
            ),
        )

    def lent(
        self, lend: messages.LendTokens, now: ids.Instant
    ) -> abc.Iterator[Answer]:
        """Add tokens allocated by the leader; yield the replies now due."""
        cache = self._caches_by_workspace[lend.workspace]
        cache.asked_at = None
        self._expire(cache, now)
        cache.tokens += lend.tokens
        if lend.tokens:
            cache.borrowed_at = now
        else:
            cache.empty_until = ids.Instant(now + lend.wait)
        yield from self._reply(lend.workspace, cache, now)

    def _reply(
        self, workspace: ids.WorkspaceId, cache: Account, now: ids.Instant
    ) -> abc.Iterator[Answer]:
        self._expire(cache, now)
        while cache.waiting:
            if not cache.tokens and now >= cache.empty_until:
                return
            oldest = cache.waiting.popleft()
            allocated = min(oldest.tokens, cache.tokens)
            cache.tokens -= allocated
            wait = 0.0 if allocated else cache.empty_until - now
            yield Answer(
                link=oldest.link,
                lend=messages.LendTokens(
                    workspace=workspace, tokens=allocated, wait=wait
                ),
            )

    def _expire(self, cache: Account, now: ids.Instant) -> None:
        if now - cache.borrowed_at > const.RELAY_TOKEN_TTL_SECONDS:
            cache.tokens = 0
        while cache.waiting and (
            now - cache.waiting[0].since > const.RELAY_REQUEST_TTL_SECONDS
        ):
            cache.waiting.popleft()
