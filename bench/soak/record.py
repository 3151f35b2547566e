"""Record of one episode, as input of the checks."""

import collections
from collections import abc
import dataclasses
import enum
from typing import Final

from stand_ins import upstream

ALL_INSTANCES: Final = "*"
"""Name of a disruption that concerns every instance."""

CONTACT_SECONDS: Final = 3.0
"""Time without disruption after which an instance is in touch again."""


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
    """Period in which an instance, a link or the store was disrupted.

    ``name`` is that of the instance, or of the upstream behind the link.
    """

    name: str
    started_at: float
    ended_at: float

    def overlaps(self, started_at: float, ended_at: float) -> bool:
        """Return whether it was going on at some time of a period."""
        return self.started_at <= ended_at and self.ended_at >= started_at


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Leaving:
    """Period in which an upstream was registered as leaving."""

    upstream: str
    started_at: float
    ended_at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RouteProbe:
    """Request on a route that was added or removed by the last change."""

    instance: str
    prefix: str
    is_added: bool
    changed_at: float
    sent_at: float
    status: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ToldNotice:
    """What an upstream told an instance about further requests.

    ``later_arrivals`` are that instance's requests that arrived at the same
    start of the upstream afterwards, with the time of their arrival.
    """

    upstream_name: str
    instance: str
    notice: upstream.Notice
    later_arrivals: tuple[tuple[ObservedRequest, float], ...]


@dataclasses.dataclass(kw_only=True)
class EpisodeRecord:
    """Observations of callers, upstreams and faults during an episode.

    ``disruptions`` are those in which an instance was killed, suspended or
    stalled, and ``contact_losses`` those in which it was shut down or could
    not reach the store; ``link_faults`` are those of upstreams.
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
    contact_losses: list[Disruption] = dataclasses.field(default_factory=list)
    link_faults: list[Disruption] = dataclasses.field(default_factory=list)
    leavings: list[Leaving] = dataclasses.field(default_factory=list)
    route_probes: list[RouteProbe] = dataclasses.field(default_factory=list)
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

    def told_notices(self) -> abc.Iterator[ToldNotice]:
        """Yield what upstreams told instances about further requests."""
        request_by_id = {
            request.request_id: request for request in self.observed_requests
        }
        for server in self.upstreams:
            for notice in server.notices:
                told_request = request_by_id.get(notice.request_id)
                if told_request is None:
                    continue
                instance = told_request.instance
                yield ToldNotice(
                    upstream_name=server.name,
                    instance=instance,
                    notice=notice,
                    later_arrivals=tuple(
                        (request_by_id[arrival.request_id], arrival.arrived_at)
                        for arrival in server.arrivals
                        if arrival.start == notice.start
                        and arrival.arrived_at > notice.responded_at
                        and arrival.request_id in request_by_id
                        and request_by_id[arrival.request_id].instance
                        == instance
                    ),
                )

    def was_interrupted(
        self, instance: str, since: float, until: float
    ) -> bool:
        """Return whether an instance was restarted, suspended or cut off."""
        return any(
            disruption.name == instance and disruption.overlaps(since, until)
            for disruption in (*self.disruptions, *self.contact_losses)
        )

    def was_disrupted(
        self, request: ObservedRequest, grace_seconds: float
    ) -> bool:
        """Return whether the request's instance was disrupted meanwhile.

        Disruptions that ended up to ``grace_seconds`` before it count.
        """
        return any(
            disruption.name == request.instance
            and disruption.overlaps(
                request.sent_at - grace_seconds, request.ended_at
            )
            for disruption in self.disruptions
        )

    def was_in_touch(self, instance: str, since: float, until: float) -> bool:
        """Return whether an instance ran and reached the store meanwhile.

        The time in which contact is established again counts too.
        """
        return not any(
            disruption.name in (instance, ALL_INSTANCES)
            and disruption.overlaps(since - CONTACT_SECONDS, until)
            for disruption in (*self.disruptions, *self.contact_losses)
        )

    def was_link_sound(self, name: str, until: float) -> bool:
        """Return whether the link to an upstream had no fault before."""
        return not any(
            fault.name == name
            and fault.overlaps(until - CONTACT_SECONDS, until)
            for fault in self.link_faults
        )
