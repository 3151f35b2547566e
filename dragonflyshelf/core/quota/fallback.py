"""Share of each rate that is used while the leader does not respond."""

from dragonflyshelf.core import ids
from dragonflyshelf.core.quota import bucket
from dragonflyshelf.core.quota import const
from dragonflyshelf.core.routing import objects


class FallbackShare:
    """Token buckets of the same share of each workspace's rate.

    The share belongs to one instance, or to a relay and its members. The
    shares of all instances add up to ``FALLBACK_RATIO``.
    """

    def __init__(self, min_burst: float) -> None:
        """Create the share of one of the assumed number of instances.

        Up to ``min_burst`` tokens accrue, however small the share is.
        """
        self._min_burst = min_burst
        self._ratio = const.FALLBACK_RATIO / const.DEFAULT_INSTANCE_COUNT
        self._workspaces_by_name: dict[ids.WorkspaceId, objects.Workspace] = {}
        self._buckets_by_workspace: dict[
            ids.WorkspaceId, bucket.TokenBucket
        ] = {}
        self._used_at_by_workspace: dict[ids.WorkspaceId, ids.Instant] = {}

    def set_workspaces(
        self, workspaces: tuple[objects.Workspace, ...]
    ) -> None:
        """Apply the rates and bursts of a new configuration."""
        self._workspaces_by_name = {
            workspace.name: workspace for workspace in workspaces
        }
        for name in list(self._buckets_by_workspace):
            if name not in self._workspaces_by_name:
                del self._buckets_by_workspace[name]
                del self._used_at_by_workspace[name]

    def set_instances(self, own_count: int, instance_count: int) -> None:
        """Set how many of the instances the share is for."""
        self._ratio = (
            const.FALLBACK_RATIO
            * min(own_count, instance_count)
            / max(instance_count, 1)
        )

    def take(self, workspace: ids.WorkspaceId, now: ids.Instant) -> bool:
        """Take a token if one is available; return whether it was."""
        token_bucket = self._bucket(workspace, now)
        return token_bucket is not None and token_bucket.take(now)

    def seconds_to_token(
        self, workspace: ids.WorkspaceId, now: ids.Instant
    ) -> float:
        """Return the seconds until a token is available."""
        token_bucket = self._buckets_by_workspace.get(workspace)
        if token_bucket is None:
            return 0.0
        return token_bucket.seconds_to_token(now)

    def _bucket(
        self, name: ids.WorkspaceId, now: ids.Instant
    ) -> bucket.TokenBucket | None:
        """Return the bucket of a workspace, None if it is not known.

        It is reset after a time without use; tokens are kept when the share
        changes.
        """
        workspace = self._workspaces_by_name.get(name)
        if workspace is None:
            return None
        used_at = self._used_at_by_workspace.get(name, now)
        self._used_at_by_workspace[name] = now
        token_bucket = self._buckets_by_workspace.get(name)
        is_idle = now - used_at > const.FALLBACK_RESET_SECONDS
        rate = workspace.rate * self._ratio
        burst = workspace.burst * self._ratio
        if token_bucket is not None and not is_idle:
            token_bucket.set_rate(rate, max(burst, self._min_burst), now)
            return token_bucket
        token_bucket = bucket.TokenBucket(
            rate=rate,
            burst=max(burst, self._min_burst),
            now=now,
            tokens=burst,
        )
        self._buckets_by_workspace[name] = token_bucket
        return token_bucket
