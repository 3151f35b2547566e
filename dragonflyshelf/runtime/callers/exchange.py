"""State of one request on a caller's connection."""

import dataclasses

import h11

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core import settings
from dragonflyshelf.core import states
from dragonflyshelf.runtime import inbox

Answer = messages.ResponseHead | messages.ResponseChunk | messages.ResponseEnd
METHODS_WITHOUT_EFFECT = frozenset({b"GET", b"HEAD", b"OPTIONS"})


@dataclasses.dataclass(kw_only=True, slots=True)
class CallerExchange:
    """A request from its head to the end of its answer.

    Each exchange has an HTTP state of its own, so that the next request
    can be parsed before this one is answered. ``chunks`` holds the body
    until a target takes it, and afterwards only while the whole body is
    small enough to be sent again. ``held`` has the parts of an answer
    that came while an earlier request was not answered yet.
    """

    config: settings.RequestSettings
    http: h11.Connection
    id: ids.ExchangeId
    started: ids.Instant
    method: bytes = b""
    head: messages.RequestHead | None = None
    target: inbox.Inbox | None = None
    chunks: list[bytes] = dataclasses.field(default_factory=list)
    held: list[Answer] = dataclasses.field(default_factory=list)
    refusal: errors.RouterError | None = None
    body_size: int = 0
    body_complete: bool = False
    chunks_dropped: bool = False
    unacknowledged: int = 0
    routed: bool = False
    answering: bool = False
    answered: bool = False
    owed_credit: int = 0
    status: int = 0
    code: str = ""

    def add_chunk(self, data: bytes) -> None:
        """Take in part of the body."""
        self.body_size += len(data)
        self.chunks.append(data)
        if self.target is not None:
            self.drop_chunks()

    def drop_chunks(self) -> None:
        """Forget the body if it is too large to be sent again."""
        if self.body_size > self.config.replay_bytes:
            self.chunks = []
            self.chunks_dropped = True

    @property
    def has_body(self) -> bool:
        """Tell whether a body comes with the request."""
        return self.head is not None and self.head.has_body

    @property
    def may_run_early(self) -> bool:
        """Tell whether it may be routed before earlier ones end."""
        return self.method in METHODS_WITHOUT_EFFECT and not self.has_body

    @property
    def must_wait(self) -> bool:
        """Tell whether the caller has to send more slowly."""
        waiting = self.unacknowledged
        if self.target is None:
            waiting = self.body_size
        return waiting >= self.config.window_bytes

    @property
    def over_bound(self) -> bool:
        """Tell whether the body is larger than it may be."""
        size = self.body_size
        if self.head is not None:
            size = max(size, self.head.body_length)
        return size > self.config.body_bytes

    @property
    def outcome(self) -> states.Outcome:
        """Return what is known of a request that is given up."""
        if self.routed:
            return states.Outcome.UNKNOWN
        return states.Outcome.NOT_RUN

    @property
    def request_id(self) -> ids.RequestId:
        """Return the id of the request, empty before its head."""
        if self.head is None:
            return ids.RequestId("")
        return self.head.request_id
