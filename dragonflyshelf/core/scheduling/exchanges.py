"""State of unfinished requests."""

import dataclasses
import enum

from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core.routing import table
from dragonflyshelf.core.scheduling import queue
from dragonflyshelf.core.upstreams import state


class Phase(enum.Enum):
    """Processing phase of a request.

    A request is ``DONE`` when it is refused or cancelled, and when its
    attempt has ended without a retry.
    """

    DONE = "done"
    RETRY_DELAY = "paused"
    AWAITING_TOKEN = "borrowing"
    AWAITING_SLOT = "awaiting_slot"
    QUEUED = "queued"
    IN_FLIGHT = "sent"


@dataclasses.dataclass(kw_only=True, slots=True)
class Exchange:
    """One request, from the arrival of its head to its end.

    ``deadline`` is the earlier of the caller's deadline and the route's
    timeout. ``possible_run_count`` counts the attempts in which the
    upstream may have executed the request. ``has_slot`` is set while it is
    in a slot that was assigned, and ``is_local_full`` once no upstream of
    this data centre had a free one.
    """

    id: ids.ExchangeId
    head: messages.RequestHead
    match: table.RouteMatch
    service: ids.ServiceName
    arrived_at: ids.Instant
    deadline: ids.Instant
    phase: Phase = Phase.QUEUED
    current_queue: queue.FairQueue | None = None
    upstream: state.UpstreamState | None = None
    attempt_started_at: ids.Instant = ids.Instant(0.0)
    tried_upstreams: set[ids.UpstreamId] = dataclasses.field(
        default_factory=set
    )
    attempt_count: int = 0
    possible_run_count: int = 0
    has_token: bool = False
    has_slot: bool = False
    is_local_full: bool = False

    @property
    def workspace(self) -> ids.WorkspaceId | None:
        """Return the workspace of the request's caller key."""
        workspace = self.match.workspace
        return workspace.name if workspace is not None else None

    @property
    def is_idempotent(self) -> bool:
        """Return whether the request may be executed more than once."""
        return self.match.route.kind.is_idempotent

    @property
    def may_have_run(self) -> bool:
        """Return whether any upstream may have executed the request."""
        return self.possible_run_count > 0
