"""Registry of the ways to count a workspace's rate and burst."""

from typing import Final, Protocol

from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core import ids
from dragonflyshelf.core import registry


class LimitPolicy(Protocol):
    """Decides whether a request of a workspace may run now."""

    def admit(self, workspace: objects.Workspace, now: ids.Instant) -> float:
        """Take a token; return 0, or the seconds until one is due."""

    def set_instances(self, instances: int) -> None:
        """Tell the policy how many instances share the rates."""


LIMIT_POLICIES: Final[registry.Registry[str, type[LimitPolicy]]] = (
    registry.Registry("limit policies")
)
