"""Allocation of tokens by the leader.

Only the leader allocates tokens, so the tokens of a workspace accrue in
one place. The buckets of a new leader start partly filled, as tokens
that the former leader allocated may still be in use.
"""

from dragonflyshelf.core import ids
from dragonflyshelf.core.quota import bucket
from dragonflyshelf.core.quota import const
from dragonflyshelf.core.quota import messages
from dragonflyshelf.core.routing import objects


class TokenLender:
    """Token buckets of the workspaces that have a rate limit."""

    def __init__(self) -> None:
        """Create an allocator without workspaces."""
        self._part = 1.0
        self._workspaces_by_name: dict[ids.WorkspaceId, objects.Workspace] = {}
        self._buckets_by_workspace: dict[
            ids.WorkspaceId, bucket.TokenBucket
        ] = {}

    def set_workspaces(
        self, workspaces: tuple[objects.Workspace, ...], now: ids.Instant
    ) -> None:
        """Apply the rates and bursts of a new configuration."""
        self._workspaces_by_name = {one.name: one for one in workspaces}
        for name, found in list(self._buckets_by_workspace.items()):
            one = self._workspaces_by_name.get(name)
            if one is None:
                del self._buckets_by_workspace[name]
            else:
                found.set_rate(one.rate * self._part, one.burst, now)

    def reserve(self, missing: int, instances: int, now: ids.Instant) -> None:
        """Set aside the fallback shares of instances that do not report.

        ``missing`` of the instances may be using their fallback share.
        """
        part = 1.0
        if instances:
            part -= const.FALLBACK_PART * missing / instances
        if part == self._part:
            return
        self._part = part
        for name, found in self._buckets_by_workspace.items():
            one = self._workspaces_by_name[name]
            found.set_rate(one.rate * part, one.burst, now)

    def start(self) -> None:
        """Drop all buckets, when this instance becomes the leader."""
        self._buckets_by_workspace.clear()

    def lend(
        self, borrow: messages.BorrowTokens, now: ids.Instant
    ) -> messages.LendTokens:
        """Allocate the requested tokens, or as many as are available."""
        found = self._bucket(borrow.workspace, now)
        if found is None:
            return messages.LendTokens(
                workspace=borrow.workspace, tokens=0, wait=1.0
            )
        given = 0
        while given < borrow.tokens and found.take(now):
            given += 1
        return messages.LendTokens(
            workspace=borrow.workspace,
            tokens=given,
            wait=min(
                max(found.seconds_to_token(now), const.SHORTEST_WAIT),
                const.LONGEST_WAIT,
            ),
        )

    def _bucket(
        self, name: ids.WorkspaceId, now: ids.Instant
    ) -> bucket.TokenBucket | None:
        found = self._buckets_by_workspace.get(name)
        one = self._workspaces_by_name.get(name)
        if found is None and one is not None:
            found = bucket.TokenBucket(
                rate=one.rate * self._part,
                burst=one.burst,
                now=now,
                tokens=one.burst * const.FIRST_LEVEL,
            )
            self._buckets_by_workspace[name] = found
        return found
