"""Typed events that core modules record on the timeline."""

import dataclasses
import enum

from dragonflyshelf.core import ids


class EventKind(enum.Enum):
    """Kind of an event on the timeline."""

    COLD_START = "cold_start"
    COMMAND_ACCEPTED = "command_accepted"
    COMMAND_REFUSED = "command_refused"
    CONFIGURATION_IN_FORCE = "configuration_in_force"
    DRAIN_ENDED = "drain_ended"
    DRAIN_STARTED = "drain_started"
    EJECTED = "ejected"
    GRANT_LOST = "grant_lost"
    GRANTED = "granted"
    INSTANCE_ADMITTED = "instance_admitted"
    INSTANCE_REMOVED = "instance_removed"
    KEY_WITHDRAWN = "key_withdrawn"
    LEADERSHIP_LOST = "leadership_lost"
    LEADERSHIP_TAKEN = "leadership_taken"
    LEASE_LOST = "lease_lost"
    LEASE_STARTED = "lease_started"
    MOVE_FINISHED = "move_finished"
    MOVE_STARTED = "move_started"
    PLATFORM_BACK = "platform_back"
    PLATFORM_LOST = "platform_lost"
    PROMISE_GIVEN = "promise_given"
    RAMP_ENDED = "ramp_ended"
    RAMP_STARTED = "ramp_started"
    REQUEST_ENDED = "request_ended"
    REQUEST_REFUSED = "request_refused"
    STARTED = "started"
    STOPPED = "stopped"
    UPSTREAM_BACK = "upstream_back"
    UPSTREAM_LOST = "upstream_lost"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TimelineEvent:
    """An event; a field that does not apply is empty or 0, ``shard`` is -1.

    ``detail`` is for operators: routing decisions never depend on it, and
    it never contains a caller key. With ``CONFIGURATION_IN_FORCE`` it
    begins with the kind and name of the object, which the audit reads.
    The timeline of the process adds the instance, the sequence number
    and the timestamp.
    """

    kind: EventKind
    service: ids.ServiceName = ids.ServiceName("")
    workspace: ids.WorkspaceId = ids.WorkspaceId("")
    upstream: ids.UpstreamId = ids.UpstreamId("")
    peer: ids.InstanceId = ids.InstanceId("")
    request_id: ids.RequestId = ids.RequestId("")
    shard: ids.ShardId = ids.ShardId(-1)
    epoch: ids.Epoch = ids.Epoch(0)
    term: ids.Term = ids.Term(0)
    version: ids.Version = ids.Version(0)
    code: str = ""
    detail: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecordEvent:
    """Effect: record an event on the timeline of this process."""

    event: TimelineEvent
