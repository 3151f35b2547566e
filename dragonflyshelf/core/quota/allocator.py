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


class TokenAllocator:
    """Token buckets of the workspaces that have a rate limit."""

    def __init__(self) -> None:
        """Create an allocator without workspaces."""
        self._rate_ratio = 1.0
        self._workspaces_by_name: dict[ids.WorkspaceId, objects.Workspace] = {}
        self._buckets_by_workspace: dict[
            ids.WorkspaceId, bucket.TokenBucket
        ] = {}

    def set_workspaces(
        self, workspaces: tuple[objects.Workspace, ...], now: ids.Instant
    ) -> None:
        """Apply the rates and bursts of a new configuration."""
        self._workspaces_by_name = {
            workspace.name: workspace for workspace in workspaces
        }
        for name, token_bucket in list(self._buckets_by_workspace.items()):
            workspace = self._workspaces_by_name.get(name)
            if workspace is None:
                del self._buckets_by_workspace[name]
            else:
                token_bucket.set_rate(
                    workspace.rate * self._rate_ratio,
                    bucket.find_capacity(workspace.rate, workspace.burst),
                    now,
                )

    def reserve_fallback(
        self, silent_count: int, instance_count: int, now: ids.Instant
    ) -> None:
        """Set aside the fallback shares of instances that do not report.

        ``silent_count`` of the instances may be using their fallback share.
        """
        ratio = 1.0
        if instance_count:
            ratio -= const.FALLBACK_RATIO * silent_count / instance_count
        if ratio == self._rate_ratio:
            return
        self._rate_ratio = ratio
        for name, token_bucket in self._buckets_by_workspace.items():
            workspace = self._workspaces_by_name[name]
            token_bucket.set_rate(
                workspace.rate * ratio,
                bucket.find_capacity(workspace.rate, workspace.burst),
                now,
            )

    def reset(self) -> None:
        """Drop all buckets, when this instance becomes the leader."""
        self._buckets_by_workspace.clear()

    def allocate(
        self, request: messages.TokenRequest, now: ids.Instant
    ) -> messages.TokenAllocation:
        """Allocate the requested tokens, or as many as are available.

        None is allocated to a workspace that this instance does not know.
        """
        token_bucket = self._bucket(request.workspace, now)
        if token_bucket is None:
            return messages.TokenAllocation(
                workspace=request.workspace, tokens=0, wait=1.0
            )
        allocated = 0
        while allocated < request.tokens and token_bucket.take(now):
            allocated += 1
        return messages.TokenAllocation(
            workspace=request.workspace,
            tokens=allocated,
            wait=min(
                max(
                    token_bucket.seconds_to_token(now), const.MIN_WAIT_SECONDS
                ),
                const.MAX_WAIT_SECONDS,
            ),
        )

    def _bucket(
        self, name: ids.WorkspaceId, now: ids.Instant
    ) -> bucket.TokenBucket | None:
        token_bucket = self._buckets_by_workspace.get(name)
        workspace = self._workspaces_by_name.get(name)
        if token_bucket is None and workspace is not None:
            capacity = bucket.find_capacity(workspace.rate, workspace.burst)
            token_bucket = bucket.TokenBucket(
                rate=workspace.rate * self._rate_ratio,
                burst=capacity,
                now=now,
                tokens=capacity * const.INITIAL_BURST_RATIO,
            )
            self._buckets_by_workspace[name] = token_bucket
        return token_bucket
