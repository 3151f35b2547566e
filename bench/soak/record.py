"""Record of one episode, as input of the checks."""

import collections
import dataclasses
import enum

from stand_ins import upstream


class Kind(enum.Enum):
    """Kinds of requests; the value is the first segment of the path."""

    OLD = "old"
    ORDER = "order"
    READ = "read"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ObservedRequest:
    """One request as its caller observed it; times are monotonic.

    ``status`` is the HTTP status or, without a response, the error type.
    """

    request_id: str
    kind: Kind
    workspace: str
    instance: str
    sent_at: float
    ended_at: float
    status: str
    is_response_valid: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Disruption:
    """Period in which an instance was killed, suspended or stalled."""

    instance: str
    started_at: float
    ended_at: float


@dataclasses.dataclass(kw_only=True)
class EpisodeRecord:
    """Observations of callers, upstreams and faults during an episode.

    ``max_requests_per_second`` is the highest rate of a workspace in the
    episode. ``withdrawn_at_by_workspace`` has the times at which keys of
    workspaces were withdrawn, ``stop_seconds_by_instance`` the seconds
    from SIGTERM to the exit, and ``readiness_failures`` a text for each
    instance that did not become ready after a start. ``recovery_seconds``
    is None if requests still failed at the end.
    """

    observed_requests: list[ObservedRequest] = dataclasses.field(
        default_factory=list
    )
    disruptions: list[Disruption] = dataclasses.field(default_factory=list)
    upstreams: list[upstream.UpstreamServer] = dataclasses.field(
        default_factory=list
    )
    withdrawn_at_by_workspace: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    max_requests_per_second: float = 0.0
    double_grants: list[str] = dataclasses.field(default_factory=list)
    stop_seconds_by_instance: dict[str, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    readiness_failures: list[str] = dataclasses.field(default_factory=list)
    recovery_seconds: float | None = None

    def executed_requests_by_id(
        self,
    ) -> dict[str, list[upstream.ExecutedRequest]]:
        """Return the requests that upstreams executed, by request id."""
        requests_by_id: dict[str, list[upstream.ExecutedRequest]] = (
            collections.defaultdict(list)
        )
        for server in self.upstreams:
            for request in server.executed_requests:
                requests_by_id[request.request_id].append(request)
        return requests_by_id

    def was_disrupted(
        self, request: ObservedRequest, grace_seconds: float
    ) -> bool:
        """Return whether the request's instance was disrupted meanwhile.

        Disruptions that ended up to ``grace_seconds`` before it count.
        """
        return any(
            disruption.instance == request.instance
            and disruption.started_at <= request.ended_at
            and disruption.ended_at >= request.sent_at - grace_seconds
            for disruption in self.disruptions
        )
