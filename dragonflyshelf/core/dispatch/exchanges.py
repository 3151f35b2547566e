"""State of the requests that this instance has not finished."""

import dataclasses
import enum

from dragonflyshelf.core.dispatch import fences
from dragonflyshelf.core.dispatch import messages as dispatch
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages


class ExchangeState(enum.Enum):
    """Where a request is."""

    FORWARDED = "forwarded"
    QUEUED = "queued"
    SENT = "sent"
    WAITING = "waiting"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Pending:
    """A request of an own caller that waits for its token."""

    event: dispatch.RequestArrived
    service: ids.ServiceName
    shard: ids.ShardId
    workspace: ids.WorkspaceId


@dataclasses.dataclass(kw_only=True, slots=True)
class Exchange:
    """A request that this instance has accepted and not finished.

    ``may_have_run`` is true once an attempt has ended without it being
    known whether it ran. ``upstream`` and ``leader`` are those of the
    present attempt.
    """

    id: ids.ExchangeId
    head: messages.RequestHead
    admitted: messages.Admitted
    forwarded: bool
    accepted_at: ids.Instant
    state: ExchangeState = ExchangeState.WAITING
    attempts: int = 0
    may_have_run: bool = False
    fence: fences.ShardKey | None = None
    upstream: ids.UpstreamId = ids.UpstreamId("")
    leader: ids.InstanceId = ids.InstanceId("")
    queue: str = ""
