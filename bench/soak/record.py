"""What callers, upstreams and the operator have seen in one episode."""

import collections
import dataclasses
import enum

from stand_ins import upstream


class Kind(enum.Enum):
    """Kinds of requests, by their path."""

    OLD = "old"
    ORDER = "order"
    READ = "read"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Seen:
    """One request as its caller saw it; times of the monotonic clock.

    ``status`` is that of the answer, or the kind of the error.
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
    """A span in which an instance was killed, paused or cut off."""

    instance: str
    begin: float
    end: float


@dataclasses.dataclass(kw_only=True)
class Record:
    """All that the checks go by.

    ``withdrawn_at`` has the instants at which workspaces lost their
    keys, and ``rate`` is the highest rate of a workspace over the
    episode. ``ends`` has, by instance, the seconds from SIGTERM to the
    end, ``not_ready`` the instances that were not ready after a start.
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
        """Return what upstreams ran, by the id of the request."""
        found: dict[str, list[upstream.ExecutedRequest]] = (
            collections.defaultdict(list)
        )
        for one in self.upstreams:
            for run in one.executed_requests:
                found[run.request_id].append(run)
        return found

    def was_disturbed(self, one: Seen, before: float) -> bool:
        """Tell whether the instance of a request was disturbed.

        ``before`` is for how many seconds before the request it counts.
        """
        return any(
            span.instance == one.instance
            and span.begin <= one.ended_at
            and span.end >= one.sent_at - before
            for span in self.disturbed
        )
