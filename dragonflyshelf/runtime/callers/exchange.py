"""State of the one exchange that a caller's connection runs."""

import dataclasses

from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core import settings
from dragonflyshelf.core import states
from dragonflyshelf.runtime import inbox

NO_EXCHANGE = ids.ExchangeId(0)


@dataclasses.dataclass(kw_only=True, slots=True)
class CallerExchange:
    """A request from its head to the end of its answer.

    ``chunks`` holds the body until a target takes it, and afterwards
    only while the whole body is small enough to be sent again.
    """

    config: settings.RequestSettings
    id: ids.ExchangeId = NO_EXCHANGE
    started: ids.Instant = ids.Instant(0.0)
    method: bytes = b""
    head: messages.RequestHead | None = None
    target: inbox.Inbox | None = None
    chunks: list[bytes] = dataclasses.field(default_factory=list)
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
    priority: states.Priority | None = None

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
