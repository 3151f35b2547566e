"""State of one exchange on a caller connection."""

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
    """A request from its head to the end of its response.

    Each exchange has its own ``h11.Connection``, so that the next request
    can be parsed before the response to this one is complete. ``chunks``
    buffers the body until a target is attached; afterwards the body is
    kept for a retry if it does not exceed the setting ``replay_bytes``.
    ``held`` has the response parts received before the responses to
    earlier requests were complete.
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
        """Add a chunk of the request body."""
        self.body_size += len(data)
        self.chunks.append(data)
        if self.target is not None:
            self.drop_chunks()

    def drop_chunks(self) -> None:
        """Discard the buffered body if it is too large for a retry."""
        if self.body_size > self.config.replay_bytes:
            self.chunks = []
            self.chunks_dropped = True

    @property
    def has_body(self) -> bool:
        """Return whether the request has a body."""
        return self.head is not None and self.head.has_body

    @property
    def may_run_early(self) -> bool:
        """Return whether it may be routed before earlier ones finish."""
        return self.method in METHODS_WITHOUT_EFFECT and not self.has_body

    @property
    def must_wait(self) -> bool:
        """Return whether the flow control window is exhausted."""
        outstanding_bytes = self.unacknowledged
        if self.target is None:
            outstanding_bytes = self.body_size
        return outstanding_bytes >= self.config.window_bytes

    @property
    def over_bound(self) -> bool:
        """Return whether the body exceeds the size limit."""
        size = self.body_size
        if self.head is not None:
            size = max(size, self.head.body_length)
        return size > self.config.body_bytes

    @property
    def outcome(self) -> states.Outcome:
        """Return the outcome to report if the exchange fails now."""
        if self.routed:
            return states.Outcome.UNKNOWN
        return states.Outcome.NOT_RUN

    @property
    def request_id(self) -> ids.RequestId:
        """Return the request id, empty before the head is parsed."""
        if self.head is None:
            return ids.RequestId("")
        return self.head.request_id
