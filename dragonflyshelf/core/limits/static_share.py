"""Baseline: each instance has an equal share of rate and burst."""

import dataclasses

from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core import ids
from dragonflyshelf.core.limits import policies


@dataclasses.dataclass(kw_only=True, slots=True)
class Bucket:
    """Tokens of one workspace at an instant."""

    tokens: float
    filled_at: ids.Instant


@policies.LIMIT_POLICIES.register("static_share")
class StaticShare:
    """Token buckets with a fixed share of each workspace's rate."""

    def __init__(self) -> None:
        """Create the policy for one instance that shares with none."""
        self._instances = 1
        self._buckets_by_workspace: dict[ids.WorkspaceId, Bucket] = {}

    def set_instances(self, instances: int) -> None:
        """Tell the policy how many instances share the rates."""
        self._instances = max(instances, 1)

    def admit(self, workspace: objects.Workspace, now: ids.Instant) -> float:
        """Take a token; return 0, or the seconds until one is due."""
        rate = workspace.rate / self._instances
        burst = max(workspace.burst / self._instances, 1.0)
        bucket = self._buckets_by_workspace.get(workspace.name)
        if bucket is None:
            bucket = Bucket(tokens=burst, filled_at=now)
            self._buckets_by_workspace[workspace.name] = bucket
        earned = (now - bucket.filled_at) * rate
        bucket.tokens = min(burst, bucket.tokens + earned)
        bucket.filled_at = now
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return 0.0
        return (1.0 - bucket.tokens) / max(rate, 1e-9)
