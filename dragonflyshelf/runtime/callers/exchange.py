"""State of one exchange on a caller connection."""

import dataclasses
from typing import Final

import h11

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core import settings
from dragonflyshelf.core import states
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import messages as runtime_messages

SAFE_METHODS = frozenset({b"GET", b"HEAD", b"OPTIONS"})
"""Methods of requests that may be routed before earlier ones finish."""

EXCHANGE_BYTES: Final = 4096
"""Memory of an exchange beside what it holds."""

HEADER_BYTES: Final = 320
"""Memory of a header beside its name and value."""

PIECE_BYTES: Final = 128
"""Memory of a piece of a body beside its data."""

UPSTREAM_BUFFER_BYTES: Final = 65536
"""Part of a forwarded body that may wait in the buffer to the upstream."""


@dataclasses.dataclass(kw_only=True, slots=True)
class CallerExchange:
    """A request from its head to the end of its response.

    Each exchange has its own ``h11.Connection``, so that the next request
    can be parsed before the response to this one is complete.
    ``buffered_chunks`` buffers the body until a target is attached;
    afterwards the body is kept for a retry if it does not exceed the
    setting ``replay_bytes``. ``deferred_parts`` and ``deferred_refusal``
    are the response as far as it was received before the responses to
    earlier requests were complete, ``deferred_bytes`` its size.
    ``pending_credit`` is withheld while the write buffer of the connection
    is full. ``buffered_bytes`` is the memory of ``buffered_chunks``.
    """

    config: settings.RequestSettings
    http: h11.Connection
    id: ids.ExchangeId
    started_at: ids.Instant
    method: bytes = b""
    head: messages.RequestHead | None = None
    target: inbox.Inbox | None = None
    buffered_chunks: list[bytes] = dataclasses.field(default_factory=list)
    deferred_parts: list[runtime_messages.ResponsePart] = dataclasses.field(
        default_factory=list
    )
    deferred_bytes: int = 0
    deferred_refusal: errors.RouterError | None = None
    head_size: int = 0
    buffered_bytes: int = 0
    body_size: int = 0
    body_complete: bool = False
    body_discarded: bool = False
    unacknowledged_bytes: int = 0
    routed: bool = False
    response_started: bool = False
    response_complete: bool = False
    pending_credit: int = 0
    status: int = 0
    error_code: str = ""

    def add_chunk(self, data: bytes) -> None:
        """Add a chunk of the request body."""
        self.body_size += len(data)
        self.buffered_bytes += len(data) + PIECE_BYTES
        self.buffered_chunks.append(data)
        if self.target is not None:
            self.discard_unreplayable_body()

    def discard_unreplayable_body(self) -> None:
        """Discard the buffered body if it is too large for a retry."""
        if self.body_size > self.config.replay_bytes:
            self.buffered_chunks = []
            self.buffered_bytes = 0
            self.body_discarded = True

    def defer(self, part: runtime_messages.ResponsePart) -> None:
        """Keep a part of the response until earlier ones are complete.

        After a refusal, the rest of the response is dropped.
        """
        if self.deferred_refusal is not None:
            return
        self.deferred_parts.append(part)
        self.deferred_bytes += PIECE_BYTES
        if isinstance(part, messages.ResponseChunk):
            self.deferred_bytes += len(part.data)

    def defer_refusal(self, error: errors.RouterError) -> None:
        """Refuse the request once earlier responses are complete.

        The first refusal counts, and a complete response goes before it.
        """
        if self.is_response_ready or self.deferred_refusal is not None:
            return
        self.deferred_refusal = error
        self.take_deferred()

    @property
    def is_response_ready(self) -> bool:
        """Return whether a complete response waits for earlier ones."""
        return bool(self.deferred_parts) and isinstance(
            self.deferred_parts[-1], messages.ResponseEnd
        )

    def take_deferred(self) -> list[runtime_messages.ResponsePart]:
        """Return the parts that were kept, which are no longer."""
        parts = self.deferred_parts
        self.deferred_parts = []
        self.deferred_bytes = 0
        return parts

    @property
    def held_bytes(self) -> int:
        """Return the memory that the exchange holds."""
        forwarded_bytes = 0
        if self.target is not None:
            forwarded_bytes = self.unacknowledged_bytes + min(
                self.body_size - self.unacknowledged_bytes,
                UPSTREAM_BUFFER_BYTES,
            )
        return (
            EXCHANGE_BYTES
            + self.head_size
            + self.buffered_bytes
            + self.deferred_bytes
            + forwarded_bytes
        )

    @property
    def has_body(self) -> bool:
        """Return whether the request has a body."""
        return self.head is not None and self.head.has_body

    @property
    def is_pipelinable(self) -> bool:
        """Return whether it may be routed before earlier ones finish."""
        return self.method in SAFE_METHODS and not self.has_body

    @property
    def is_window_full(self) -> bool:
        """Return whether the flow control window is exhausted."""
        outstanding_bytes = self.unacknowledged_bytes
        if self.target is None:
            outstanding_bytes = self.body_size
        return outstanding_bytes >= self.config.window_bytes

    @property
    def exceeds_body_limit(self) -> bool:
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
