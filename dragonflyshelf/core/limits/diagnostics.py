"""Rows about rate limits for operators."""

from collections import abc
import dataclasses
from typing import Any

from dragonflyshelf.core import diagnostics
from dragonflyshelf.core import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LimitRow:
    """Tokens of one workspace at this instance; ``home`` if it lends."""

    workspace: ids.WorkspaceId
    rate: float
    burst: float
    tokens: float
    home: bool


@diagnostics.table("limits", diagnostics.Owner.ROUTER)
def limit_rows(
    sources: diagnostics.RouterSources, now: ids.Instant
) -> abc.Iterator[LimitRow]:
    """Yield a row for each workspace."""
    policy: Any = sources.dispatch.limits
    tokens_by_workspace = policy.tokens_by_workspace()
    homes = getattr(policy, "homes_by_workspace", {})
    workspaces = sources.dispatch.view.workspaces_by_id
    for name, workspace in sorted(workspaces.items()):
        yield LimitRow(
            workspace=name,
            rate=workspace.rate,
            burst=workspace.burst,
            tokens=tokens_by_workspace.get(name, 0.0),
            home=name in homes,
        )
