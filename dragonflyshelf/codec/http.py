"""HTTP/1.1 heads and refusals as bytes, over ``h11`` events."""

import hashlib
import json
import re

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
        HEADER_REQUEST_ID,
    }
)
ROUTER_PREFIX = b"x-router-"
DROPPED_FROM_REQUEST = (
    HOP_BY_HOP | CALLER_KEY_HEADERS | ROUTER_HEADERS | {b"expect"}
)
NEVER_NAMED_BY_CONNECTION = frozenset(
    {b"content-length", b"host", HEADER_WORKSPACE}
)
DEADLINE_DIGITS = 12
REQUEST_ID = re.compile(rb"[!-~]{1,64}")
ABSOLUTE_FORM = re.compile(rb"https?://([^/?#]*)([^#]*)", re.IGNORECASE)
METHODS_REFUSED = frozenset({b"CONNECT", b"TRACE"})
METHOD_HEAD = b"HEAD"
STATUSES_WITHOUT_BODY = frozenset({204, 304})
MILLISECONDS = 1000
NOT_RUN_STATUSES = frozenset({409, 429, 503})
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
    private: bool = False,
) -> messages.RequestHead:
    """Return the typed head of a request without its caller key.

    ``longest`` is the longest allowed deadline in seconds. Only a
    ``private`` listener believes the caller about its workspace.
    """
    if event.method in METHODS_REFUSED:
        raise errors.BadRequest("the method is not served")
    headers = list(event.headers)
    key = caller_key(headers)
    dropped = DROPPED_FROM_REQUEST | _named_by_connection(headers)
    if not private:
        dropped = dropped | {HEADER_WORKSPACE}
    kept = []
    timeout = longest
    length = -1
    has_body = False
    for name, value in headers:
        if name == HEADER_DEADLINE:
            timeout = min(longest, _deadline(value))
        elif name == HEADER_REQUEST_ID:
            request_id = _request_id(value)
        elif name == b"content-length":
            length = int(value)
            has_body = length > 0
        elif name == b"transfer-encoding":
            has_body = True
        if name not in dropped and not name.startswith(ROUTER_PREFIX):
            kept.append(messages.Header(name=name, value=value))
    target, kept = _origin_form(event.target, kept)
    return messages.RequestHead(
        request_id=request_id,
        method=event.method,
        target=target,
        headers=tuple(kept),
        key_digest=digest_key(key) if key else ids.KeyDigest(""),
        deadline=ids.Instant(now + timeout),
        private=private,
        has_body=has_body,
        body_length=length,
    )


def _named_by_connection(
    headers: list[tuple[bytes, bytes]],
) -> frozenset[bytes]:
    """Return the headers that belong to this connection alone."""
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            named.update(one.strip() for one in value.lower().split(b","))
    return frozenset(named - NEVER_NAMED_BY_CONNECTION)


def _origin_form(
    target: bytes, headers: list[messages.Header]
) -> tuple[bytes, list[messages.Header]]:
    """Return the path of a target and the headers with its host."""
    if target.startswith(b"/"):
        return target, headers
    found = ABSOLUTE_FORM.fullmatch(target)
    if found is None:
        raise errors.BadRequest("target is not a path")
    host, path = found.groups()
    if not path.startswith(b"/"):
        path = b"/" + path
    kept = [one for one in headers if one.name != b"host"]
    return path, [messages.Header(name=b"host", value=host), *kept]


def _request_id(value: bytes) -> ids.RequestId:
    if REQUEST_ID.fullmatch(value) is None:
        raise errors.BadRequest("request id is not 1 to 64 visible characters")
    return ids.RequestId(value.decode("ascii"))


def _deadline(value: bytes) -> float:
    if not value.isdigit() or len(value) > DEADLINE_DIGITS:
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


def protocol_error(
    error: h11.RemoteProtocolError, outcome: states.Outcome
) -> errors.RouterError:
    """Return the coded error for bytes that are not valid HTTP."""
    kind: type[errors.RouterError] = errors.BadRequest
    if error.error_status_hint == errors.HeadTooLarge.status:
        kind = errors.HeadTooLarge
    text, _, _ = str(error).partition(":")
    return kind(text, outcome=outcome)


def says_not_run(event: h11.Response) -> bool:
    """Tell whether an upstream's answer says that nothing was run."""
    if event.status_code not in NOT_RUN_STATUSES:
        return False
    not_run = states.Outcome.NOT_RUN.value.encode()
    return (HEADER_OUTCOME, not_run) in list(event.headers)


def answer_headers(
    headers: list[tuple[bytes, bytes]],
) -> tuple[messages.Header, ...]:
    """Return the headers of an answer that may go on to the caller."""
    dropped = HOP_BY_HOP | _named_by_connection(headers)
    if any(name == b"transfer-encoding" for name, _ in headers):
        dropped = dropped | {b"content-length"}
    return tuple(
        messages.Header(name=name, value=value)
        for name, value in headers
        if name not in dropped
    )


def is_framed(method: bytes, event: h11.Response) -> bool:
    """Tell whether the end of an answer can be told from a cut."""
    if method == METHOD_HEAD or event.status_code in STATUSES_WITHOUT_BODY:
        return True
    return any(
        name in (b"content-length", b"transfer-encoding")
        for name, _ in event.headers
    )
