"""Messages about requests, exchanged by tasks and the core.

An exchange is the processing of one request in one process. Its origin
is the task that owns the caller connection, its target the task that
owns the upstream connection. Request and response bodies are passed
between them with credit-based flow control in bytes, so that neither
side outruns the other.
"""

import dataclasses

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Header:
    """HTTP header; the name is in lower case."""

    name: bytes
    value: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestHead:
    """Head of a request, with the caller key already removed.

    ``key_digest`` is empty without a caller key. ``deadline`` is on the
    monotonic clock of this process. ``host`` is in lower case, without
    a port. ``body_length`` is -1 if unknown.
    """

    request_id: ids.RequestId
    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    key_digest: ids.KeyDigest
    deadline: ids.Instant
    has_body: bool = False
    body_length: int = -1
    host: str = ""
    shard_key: ids.ShardKey | None = None

    @property
    def path(self) -> str:
        """Return the path of the request target, without its query."""
        path, _, _ = self.target.partition(b"?")
        return path.decode("latin-1")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BodyChunk:
    """Chunk of the request body."""

    exchange: ids.ExchangeId
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BodyEnd:
    """The request body is complete."""

    exchange: ids.ExchangeId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Cancel:
    """The origin has cancelled the exchange."""

    exchange: ids.ExchangeId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ResponseHead:
    """Head of the upstream's response."""

    exchange: ids.ExchangeId
    status: int
    reason: bytes
    headers: tuple[Header, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ResponseChunk:
    """Chunk of the response body."""

    exchange: ids.ExchangeId
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ResponseEnd:
    """The response is complete."""

    exchange: ids.ExchangeId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ResponseFailed:
    """The upstream's response is missing or incomplete."""

    exchange: ids.ExchangeId
    error: errors.RouterError


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Credit:
    """The receiver can buffer ``size`` more bytes of a body."""

    exchange: ids.ExchangeId
    size: int
