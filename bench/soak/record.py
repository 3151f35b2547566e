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
class Seen:
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
    is_whole: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Disturbed:
    """Period in which an instance was killed, suspended or stalled."""

    instance: str
    begin: float
    end: float


@dataclasses.dataclass(kw_only=True)
class Record:
    """Observations of callers, upstreams and faults during an episode.

    ``rate`` is the highest rate of a workspace in the episode, in
    requests per second. ``withdrawn_at`` has the times at which the keys
    of workspaces were withdrawn, ``ends`` the seconds from SIGTERM to
    the exit and ``not_ready`` the failures to become ready.
    ``recovered_after`` is None if requests still failed at the end.
    """

    seen: list[Seen] = dataclasses.field(default_factory=list)
    disturbed: list[Disturbed] = dataclasses.field(default_factory=list)
    upstreams: list[upstream.UpstreamServer] = dataclasses.field(
        default_factory=list
    )
    withdrawn_at: dict[str, float] = dataclasses.field(default_factory=dict)
    rate: float = 0.0
    held_twice: list[str] = dataclasses.field(default_factory=list)
    ends: dict[str, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    not_ready: list[str] = dataclasses.field(default_factory=list)
    recovered_after: float | None = None

    def runs_by_request(self) -> dict[str, list[upstream.ExecutedRequest]]:
        """Return the requests that upstreams executed, by request id."""
        found: dict[str, list[upstream.ExecutedRequest]] = (
            collections.defaultdict(list)
        )
        for one in self.upstreams:
            for run in one.executed_requests:
                found[run.request_id].append(run)
        return found

    def was_disturbed(self, one: Seen, before: float) -> bool:
        """Return whether the request's instance was disrupted meanwhile.

        Disruptions that ended up to ``before`` seconds earlier count.
        """
        return any(
            span.instance == one.instance
            and span.begin <= one.ended_at
            and span.end >= one.sent_at - before
            for span in self.disturbed
        )
