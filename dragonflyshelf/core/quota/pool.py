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
        self._accounts_by_workspace: collections.defaultdict[
            ids.WorkspaceId, Account
        ] = collections.defaultdict(Account)

    def borrow(
        self, link: Link, wanted: messages.BorrowTokens, now: ids.Instant
    ) -> abc.Iterator[Answer]:
        """Add the token request of a member; yield the replies now due."""
        account = self._accounts_by_workspace[wanted.workspace]
        account.demanded.count(wanted.tokens, now)
        account.waiting.append(
            Waiting(link=link, tokens=wanted.tokens, since=now)
        )
        yield from self._serve(wanted.workspace, account, now)

    def wanted(
        self, workspace: ids.WorkspaceId, reads_ahead: bool, now: ids.Instant
    ) -> messages.BorrowTokens | None:
        """Return the token request that is due, if any.

        An instance without members does not prefetch here, as its own
        limiter does.
        """
        account = self._accounts_by_workspace[workspace]
        if account.asked_at is not None:
            if now - account.asked_at < const.PROBE_INTERVAL:
                return None
        elif now < account.empty_until:
            return None
        waiting = sum(one.tokens for one in account.waiting)
        ahead = account.demanded.ahead(now) if reads_ahead else 0
        if not waiting and account.tokens * 2 >= ahead:
            return None
        account.asked_at = now
        return messages.BorrowTokens(
            workspace=workspace,
            tokens=min(waiting + ahead, const.MOST_BORROWED),
        )

    def lent(
        self, lend: messages.LendTokens, now: ids.Instant
    ) -> abc.Iterator[Answer]:
        """Add tokens allocated by the leader; yield the replies now due."""
        account = self._accounts_by_workspace[lend.workspace]
        account.asked_at = None
        self._expire(account, now)
        account.tokens += lend.tokens
        if lend.tokens:
            account.borrowed_at = now
        else:
            account.empty_until = ids.Instant(now + lend.wait)
        yield from self._serve(lend.workspace, account, now)

    def _serve(
        self, workspace: ids.WorkspaceId, account: Account, now: ids.Instant
    ) -> abc.Iterator[Answer]:
        self._expire(account, now)
        while account.waiting:
            if not account.tokens and now >= account.empty_until:
                return
            first = account.waiting.popleft()
            given = min(first.tokens, account.tokens)
            account.tokens -= given
            wait = 0.0 if given else account.empty_until - now
            yield Answer(
                link=first.link,
                lend=messages.LendTokens(
                    workspace=workspace, tokens=given, wait=wait
                ),
            )

    def _expire(self, account: Account, now: ids.Instant) -> None:
        if now - account.borrowed_at > const.RELAY_STOCK_LIFE:
            account.tokens = 0
        while account.waiting and (
            now - account.waiting[0].since > const.RELAY_WAIT_LIFE
        ):
            account.waiting.popleft()
