"""Registry of the ways to count a workspace's rate and burst."""

from collections import abc
from typing import ClassVar, Final

from dragonflyshelf.core import ids
from dragonflyshelf.core.limits import messages
from dragonflyshelf.core import registry
from dragonflyshelf.core import settings

Effects = list[messages.Effect]
Handler = abc.Callable[["LimitPolicy", object, ids.Instant], Effects]


class LimitPolicy:
    """Decides which exchanges get a token, and when.

    A policy answers each ``AskToken`` with exactly one ``TokenGranted``
    or ``TokenRefused``, at once or later, unless ``ForgetToken`` comes
    first. Events without a handler change nothing.
    """

    handlers: ClassVar[registry.Registry[type, Handler]]

    def __init__(
        self, config: settings.Settings, incarnation: ids.Incarnation
    ) -> None:
        """Create the policy of one instance that knows no other."""
        self.wake_at = ids.Instant(float("inf"))
        """When the policy wants ``TimePassed``."""

    def handle(self, event: messages.Event, now: ids.Instant) -> Effects:
        """Take in one event and return what is to be done."""
        if type(event) not in self.handlers:
            return []
        return self.handlers.get(type(event))(self, event, now)

    def tokens_by_workspace(self) -> dict[ids.WorkspaceId, float]:
        """Return the tokens that this instance can hand out now."""
        return {}


LIMIT_POLICIES: Final[registry.Registry[str, type[LimitPolicy]]] = (
    registry.Registry("limit policies")
)
