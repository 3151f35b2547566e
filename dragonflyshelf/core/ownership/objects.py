"""Values of the assignment segments."""

import dataclasses

from dragonflyshelf.core import ids
from dragonflyshelf.core import states


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Leadership:
    """The instance that alone sends to an upstream.

    ``next_instance`` names the successor to which the leader is to hand
    over. ``former`` is a leader that was silent but not removed when it
    was succeeded; the upstream has to refuse it before others may send.
    """

    upstream: ids.UpstreamId
    instance: ids.InstanceId
    incarnation: ids.Incarnation
    term: ids.Term
    upstream_state: states.UpstreamState = states.UpstreamState.UP
    next_instance: ids.InstanceId = ids.InstanceId("")
    former: ids.InstanceId = ids.InstanceId("")
    former_incarnation: ids.Incarnation = ids.Incarnation(0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Assignment:
    """The owner of a shard; ``next_upstream`` while it is moved."""

    shard: ids.ShardId
    upstream: ids.UpstreamId
    epoch: ids.Epoch
    state: states.ShardState = states.ShardState.OWNED
    next_upstream: ids.UpstreamId = ids.UpstreamId("")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Segment:
    """Leaders and shard owners of one service.

    ``leaders`` is sorted by upstream and ``assignments`` by shard.
    """

    service: ids.ServiceName
    leaders: tuple[Leadership, ...] = ()
    assignments: tuple[Assignment, ...] = ()
