"""HTTP/1.1 heads and refusals as bytes, over ``h11`` events."""

import hashlib
import json

import h11

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core import states

HEADER_AUTHORIZATION = b"authorization"
HEADER_CALLER_KEY = b"x-caller-key"
HEADER_DEADLINE = b"x-deadline-ms"
HEADER_OUTCOME = b"x-outcome"
HEADER_REQUEST_ID = b"x-request-id"
HEADER_ROUTER_EPOCH = b"x-router-epoch"
HEADER_ROUTER_INSTANCE = b"x-router-instance"
HEADER_ROUTER_SHARD = b"x-router-shard"
HEADER_ROUTER_TERM = b"x-router-term"
HEADER_WORKSPACE = b"x-workspace"

BEARER = b"bearer "
CALLER_KEY_HEADERS = frozenset({HEADER_AUTHORIZATION, HEADER_CALLER_KEY})
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
ROUTER_HEADERS = frozenset(
    {
        HEADER_DEADLINE,
        HEADER_ROUTER_EPOCH,
        HEADER_ROUTER_INSTANCE,
        HEADER_ROUTER_SHARD,
        HEADER_ROUTER_TERM,
    }
)
DROPPED_FROM_REQUEST = HOP_BY_HOP | CALLER_KEY_HEADERS | ROUTER_HEADERS
MILLISECONDS = 1000
REASONS = {
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
    505: b"HTTP Version Not Supported",
}


def digest_key(key: bytes) -> ids.KeyDigest:
    """Return the digest under which a caller key is kept."""
    return ids.KeyDigest(hashlib.sha256(key).hexdigest())


def caller_key(headers: list[tuple[bytes, bytes]]) -> bytes:
    """Return the caller key of a request, empty if none came."""
    for name, value in headers:
        if name == HEADER_CALLER_KEY:
            return value
        if name == HEADER_AUTHORIZATION and value[:7].lower() == BEARER:
            return value[7:].strip()
    return b""


def request_head(
    event: h11.Request,
    request_id: ids.RequestId,
    now: ids.Instant,
    longest: float,
) -> messages.RequestHead:
    """Return the typed head of a request without its caller key.

    ``longest`` is the longest allowed deadline in seconds.
    """
    headers = list(event.headers)
    key = caller_key(headers)
    kept = []
    timeout = longest
    length = -1
    has_body = False
    for name, value in headers:
        if name == HEADER_DEADLINE:
            timeout = min(longest, _deadline(value))
        elif name == HEADER_REQUEST_ID and len(value) <= 64:
            request_id = ids.RequestId(value.decode("ascii"))
        elif name == b"content-length":
            length = int(value)
            has_body = length > 0
        elif name == b"transfer-encoding":
            has_body = True
        if name not in DROPPED_FROM_REQUEST:
            kept.append(messages.Header(name=name, value=value))
    return messages.RequestHead(
        request_id=request_id,
        method=event.method,
        target=event.target,
        headers=tuple(kept),
        key_digest=digest_key(key) if key else ids.KeyDigest(""),
        deadline=ids.Instant(now + timeout),
        has_body=has_body,
        body_length=length,
    )


def _deadline(value: bytes) -> float:
    if not value.isdigit():
        raise errors.BadRequest("deadline is not a number of milliseconds")
    return int(value) / MILLISECONDS


def error_headers(
    error: errors.RouterError, length: int
) -> list[tuple[bytes, bytes]]:
    """Return the headers of an answer that reports an error."""
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % length),
        (HEADER_OUTCOME, error.outcome.value.encode()),
    ]
    if error.retry_after > 0:
        seconds = max(1, round(error.retry_after))
        headers.append((b"retry-after", b"%d" % seconds))
    return headers


def error_body(error: errors.RouterError, request_id: ids.RequestId) -> bytes:
    """Return the JSON body of an answer that reports an error."""
    body = {
        "code": error.code,
        "message": error.message,
        "outcome": error.outcome.value,
        "peer": error.peer,
        "request_id": request_id,
        "step": error.step.value,
    }
    return json.dumps(body).encode()


def error_response(
    error: errors.RouterError, length: int, close: bool
) -> h11.Response:
    """Return the head of an answer that reports an error."""
    headers = error_headers(error, length)
    if close:
        headers.append((b"connection", b"close"))
    reason = REASONS.get(error.status, b"")
    return h11.Response(
        status_code=error.status, headers=headers, reason=reason
    )


def protocol_error(error: h11.RemoteProtocolError) -> errors.RouterError:
    """Return the coded error for bytes that are not valid HTTP."""
    refused = errors.BadRequest(str(error), outcome=states.Outcome.NOT_RUN)
    return refused


def answer_headers(
    headers: list[tuple[bytes, bytes]],
) -> tuple[messages.Header, ...]:
    """Return the headers of an answer that may go on to the caller."""
    return tuple(
        messages.Header(name=name, value=value)
        for name, value in headers
        if name not in HOP_BY_HOP
    )
