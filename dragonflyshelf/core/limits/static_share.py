"""Baselines: token buckets that no instance shares with another."""

import dataclasses
from typing import ClassVar, Final

from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core import ids
from dragonflyshelf.core.limits import messages
from dragonflyshelf.core.limits import policies
from dragonflyshelf.core import registry
from dragonflyshelf.core import settings

SLOWEST_RATE: Final = 1e-9


@dataclasses.dataclass(kw_only=True, slots=True)
class Bucket:
    """Tokens of one workspace at an instant."""

    tokens: float
    filled_at: ids.Instant


@policies.LIMIT_POLICIES.register("local")
class LocalBuckets(policies.LimitPolicy):
    """Each instance counts the whole rate and burst by itself."""

    handlers: ClassVar[registry.Registry[type, policies.Handler]] = (
        registry.Registry("handlers of local limits")
    )

    def __init__(
        self, config: settings.Settings, incarnation: ids.Incarnation
    ) -> None:
        """Create the policy without buckets."""
        super().__init__(config, incarnation)
        self._buckets_by_workspace: dict[ids.WorkspaceId, Bucket] = {}
        self.shares = 1

    def tokens_by_workspace(self) -> dict[ids.WorkspaceId, float]:
        """Return the tokens that this instance can hand out now."""
        return {
            name: bucket.tokens
            for name, bucket in self._buckets_by_workspace.items()
        }

    @handlers.register(messages.AskToken)
    def _on_ask(
        self, event: messages.AskToken, now: ids.Instant
    ) -> policies.Effects:
        wait = self._take(event.workspace, now)
        if wait > 0:
            return [messages.TokenRefused(exchange=event.exchange, wait=wait)]
        return [messages.TokenGranted(exchange=event.exchange)]

    def _take(self, workspace: objects.Workspace, now: ids.Instant) -> float:
        """Take a token; return 0, or the seconds until one is due."""
        rate = workspace.rate / self.shares
        burst = max(workspace.burst / self.shares, 1.0)
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
        return (1.0 - bucket.tokens) / max(rate, SLOWEST_RATE)


@policies.LIMIT_POLICIES.register("static_share")
class StaticShare(LocalBuckets):
    """Each instance has an equal share of every rate and burst."""

    handlers: ClassVar[registry.Registry[type, policies.Handler]] = (
        registry.Registry("handlers of static shares")
    )
    handlers.register(messages.AskToken)(LocalBuckets._on_ask)

    @handlers.register(messages.LimitsChanged)
    def _on_changed(
        self, event: messages.LimitsChanged, now: ids.Instant
    ) -> policies.Effects:
        self.shares = max(len(event.instances), 1)
        return []
