"""Conversion between ``h11`` events and typed heads and errors."""

import dataclasses
import hashlib
import json
import re
from typing import Final

import h11

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core import states
from dragonflyshelf.core.upstreams import objects as upstreams

HEADER_OUTCOME = b"x-outcome"
HEADER_RETRY_AFTER = b"retry-after"
RETRY_AFTER_PATTERN = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
MAX_UPSTREAM_RETRY_AFTER_SECONDS = 60.0
"""Longest time for which an upstream can keep requests away."""

HOP_BY_HOP_HEADERS = frozenset(
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
ALWAYS_DROPPED_HEADERS = HOP_BY_HOP_HEADERS | {b"expect"}
ALWAYS_END_TO_END_HEADERS = frozenset({b"content-length", b"host"})
"""Headers that are forwarded even if ``Connection`` names them."""

MAX_DEADLINE_DIGIT_COUNT = 12
"""Maximum length of a deadline header, which is in milliseconds."""

REQUEST_ID_PATTERN = re.compile(rb"[!-~]{1,64}")
ABSOLUTE_FORM_PATTERN = re.compile(
    rb"https?://([^/?#]*)([^#]*)", re.IGNORECASE
)
UNSUPPORTED_METHODS = frozenset({b"CONNECT", b"TRACE"})
METHOD_HEAD = b"HEAD"
MILLISECONDS_PER_SECOND = 1000
MAX_SHARD_KEY_DIGIT_COUNT = 5
MIN_LOAD_FIELD_COUNT = 3
"""Required fields of a load report; the fourth is optional."""

MAX_LOAD_DIGIT_COUNT = 9
"""Maximum length of a field of a load report."""

MAX_SHARD_KEY = 65535
"""Shard keys are unsigned 16-bit numbers."""

NOT_RUN_HEADER_STATUSES = frozenset({400, 421, 429, 503})
"""Upstream statuses with which the ``not_run`` header is accepted."""

UNKNOWN_OUTCOME_STATUSES = frozenset({500, 502, 504})
"""Statuses that leave open whether the request was executed."""

NOT_RUN_OUTCOME_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell callers that the request was not executed."""

STATUS_MISDIRECTED = 421
STATUS_SERVICE_UNAVAILABLE = 503
STATUS_BAD_GATEWAY = 502
REASON_BY_STATUS = {
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
    505: b"HTTP Version Not Supported",
}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeaderNames:
    """Names of the headers exchanged with callers and upstreams.

    ``expected_upstream`` names the only upstream that may execute the
    request. ``not_run`` marks a response to a request that was not
    executed, ``leaving`` one of an upstream that begins to leave.
    ``signature`` is the header with the upstream's signature of its
    response, empty if upstreams do not sign.
    """

    caller_key: bytes = b"x-caller-key"
    deadline: bytes = b"x-deadline-ms"
    expected_upstream: bytes = b"x-upstream"
    leaving: bytes = b"x-leaving"
    load: bytes = b"x-load"
    not_run: bytes = b"x-not-run"
    request_id: bytes = b"x-request-id"
    signature: bytes = b""
    shard_key: bytes = b"x-shard-key"
    workspace: bytes = b"x-workspace"

    @property
    def dropped_request_headers(self) -> frozenset[bytes]:
        """Return the request headers that are not forwarded."""
        return ALWAYS_DROPPED_HEADERS | {
            b"authorization",
            self.caller_key,
            self.deadline,
            self.expected_upstream,
            self.workspace,
        }


DEFAULT_HEADER_NAMES: Final = HeaderNames()


def digest_key(key: bytes) -> ids.KeyDigest:
    """Return the digest that is kept in place of a caller key."""
    return ids.KeyDigest(hashlib.sha256(key).hexdigest())


def parse_request_head(
    event: h11.Request,
    header_names: HeaderNames,
    request_id: ids.RequestId,
    now: ids.Instant,
    max_timeout: float,
) -> messages.RequestHead:
    """Return the typed head of a request, with the caller key hashed.

    ``request_id`` is used if the request has none. ``max_timeout`` is in
    seconds. Raises ``BadRequest`` if the method, the target or a header
    is invalid.
    """
    if event.method in UNSUPPORTED_METHODS:
        raise errors.BadRequest("method is not supported")
    headers = list(event.headers)
    dropped = header_names.dropped_request_headers | _find_connection_headers(
        headers
    )
    values_by_name: dict[bytes, bytes] = {}
    forwarded = []
    for name, value in headers:
        values_by_name.setdefault(name, value)
        if name not in dropped:
            forwarded.append(messages.Header(name=name, value=value))
    host, target, forwarded = _to_origin_form(
        event.target, values_by_name, forwarded
    )
    length = int(values_by_name.get(b"content-length", b"-1"))
    if header_names.request_id in values_by_name:
        request_id = _parse_request_id(values_by_name[header_names.request_id])
    timeout = max_timeout
    if header_names.deadline in values_by_name:
        timeout = min(
            max_timeout, _parse_timeout(values_by_name[header_names.deadline])
        )
    caller_key = values_by_name.get(header_names.caller_key, b"")
    return messages.RequestHead(
        request_id=request_id,
        method=event.method,
        target=target,
        headers=tuple(forwarded),
        key_digest=digest_key(caller_key) if caller_key else ids.KeyDigest(""),
        deadline=ids.Instant(now + timeout),
        has_body=length > 0 or b"transfer-encoding" in values_by_name,
        body_length=length,
        host=host,
        shard_key=_parse_shard_key(
            values_by_name.get(header_names.shard_key, b"")
        ),
    )


def _parse_shard_key(value: bytes) -> ids.ShardKey | None:
    if not value:
        return None
    if not value.isdigit() or len(value) > MAX_SHARD_KEY_DIGIT_COUNT:
        raise errors.BadRequest("shard key is not a decimal number")
    if int(value) > MAX_SHARD_KEY:
        raise errors.BadRequest("shard key is out of range")
    return ids.ShardKey(int(value))


def upstream_headers(
    header_names: HeaderNames,
    head: messages.RequestHead,
    upstream: ids.UpstreamId,
    workspace: ids.WorkspaceId | None,
    remaining: float,
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request to an upstream.

    ``remaining`` is the time until the request's deadline, in seconds.
    """
    headers = [(header.name, header.value) for header in head.headers]
    milliseconds = int(max(remaining, 0) * MILLISECONDS_PER_SECOND)
    headers.append((header_names.deadline, b"%d" % milliseconds))
    headers.append((header_names.expected_upstream, upstream.encode()))
    if workspace is not None:
        headers.append((header_names.workspace, workspace.encode()))
    present_names = {header.name for header in head.headers}
    if header_names.request_id not in present_names:
        headers.append((header_names.request_id, head.request_id.encode()))
    if b"host" not in present_names:
        headers.append((b"host", b"upstream"))
    if head.has_body and head.body_length < 0:
        headers.append((b"transfer-encoding", b"chunked"))
    return headers


def _find_connection_headers(
    headers: list[tuple[bytes, bytes]],
) -> frozenset[bytes]:
    """Return the headers that ``Connection`` declares hop-by-hop."""
    connection_names: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            connection_names.update(
                option.strip() for option in value.lower().split(b",")
            )
    return frozenset(connection_names - ALWAYS_END_TO_END_HEADERS)


def _to_origin_form(
    target: bytes,
    values_by_name: dict[bytes, bytes],
    headers: list[messages.Header],
) -> tuple[str, bytes, list[messages.Header]]:
    """Return host, path and headers of a request in origin form.

    In absolute form, the authority of the target replaces the ``Host``
    header (RFC 9112, section 3.2.2).
    """
    host = values_by_name.get(b"host", b"")
    if not target.startswith(b"/"):
        match = ABSOLUTE_FORM_PATTERN.fullmatch(target)
        if match is None:
            raise errors.BadRequest("request target is not a path")
        host, target = match.groups()
        if not target.startswith(b"/"):
            target = b"/" + target
        headers = [header for header in headers if header.name != b"host"]
        headers.insert(0, messages.Header(name=b"host", value=host))
    hostname, _, _ = host.decode("latin-1").partition(":")
    return hostname.lower(), target, headers


def _parse_request_id(value: bytes) -> ids.RequestId:
    if REQUEST_ID_PATTERN.fullmatch(value) is None:
        raise errors.BadRequest(
            "request id is not 1 to 64 printable characters"
        )
    return ids.RequestId(value.decode("ascii"))


def _parse_timeout(value: bytes) -> float:
    if not value.isdigit() or len(value) > MAX_DEADLINE_DIGIT_COUNT:
        raise errors.BadRequest("deadline is not a number of milliseconds")
    return int(value) / MILLISECONDS_PER_SECOND


def error_status(error: errors.RouterError) -> int:
    """Return the status that matches the error and its outcome.

    Some statuses say that the request was not executed, others leave it
    open. The former are replaced if the outcome is unknown, the latter if
    the request was certainly not executed.
    """
    if error.outcome is states.Outcome.UNKNOWN:
        if error.status in NOT_RUN_OUTCOME_STATUSES:
            return STATUS_BAD_GATEWAY
        return error.status
    if error.status in UNKNOWN_OUTCOME_STATUSES:
        return STATUS_SERVICE_UNAVAILABLE
    return error.status


def error_headers(
    error: errors.RouterError, length: int
) -> list[tuple[bytes, bytes]]:
    """Return the headers of an error response.

    ``length`` is that of the body, in bytes.
    """
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % length),
        (HEADER_OUTCOME, error.outcome.value.encode()),
    ]
    if error.retry_after > 0:
        headers.append((HEADER_RETRY_AFTER, b"%.2f" % error.retry_after))
    return headers


def error_body(error: errors.RouterError, request_id: ids.RequestId) -> bytes:
    """Return the JSON body of an error response."""
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
    """Return the head of an error response.

    ``length`` is that of the body, in bytes. With ``close``, the caller is
    told that the connection will be closed.
    """
    headers = error_headers(error, length)
    if close:
        headers.append((b"connection", b"close"))
    status = error_status(error)
    reason = REASON_BY_STATUS.get(status, b"")
    return h11.Response(status_code=status, headers=headers, reason=reason)


def protocol_error(
    error: h11.RemoteProtocolError, outcome: states.Outcome
) -> errors.RouterError:
    """Return the router error for bytes that are not valid HTTP."""
    error_type: type[errors.RouterError] = errors.BadRequest
    if error.error_status_hint == errors.HeadTooLarge.status:
        error_type = errors.HeadTooLarge
    message, _, _ = str(error).partition(":")
    return error_type(message, outcome=outcome)


def is_not_run_response(
    header_names: HeaderNames, event: h11.Response
) -> bool:
    """Return whether a response says that the request was not executed."""
    if event.status_code == STATUS_MISDIRECTED:
        return True
    if event.status_code not in NOT_RUN_HEADER_STATUSES:
        return False
    return any(name == header_names.not_run for name, _ in event.headers)


def parse_load_report(value: bytes) -> upstreams.LoadReport | None:
    """Return the load that an upstream reports, None if it is invalid.

    The fields are the numbers of running and waiting requests, the slots
    and optionally the current service time in percent of the usual one.
    """
    fields = [field.strip() for field in value.split(b",")]
    if len(fields) < MIN_LOAD_FIELD_COUNT or not all(
        field.isdigit() and len(field) <= MAX_LOAD_DIGIT_COUNT
        for field in fields
    ):
        return None
    running, waiting, slots, *optional = (int(field) for field in fields)
    slowdown = optional[0] / 100 if optional else 1.0
    return upstreams.LoadReport(
        running=running, waiting=waiting, slots=slots, slowdown=slowdown
    )


def is_leaving(
    header_names: HeaderNames, values_by_name: dict[bytes, bytes]
) -> bool:
    """Return whether an upstream says that it leaves."""
    return values_by_name.get(header_names.leaving, b"").strip() == b"1"


def parse_retry_after(
    status: int, values_by_name: dict[bytes, bytes]
) -> float:
    """Return for how many seconds an upstream wants no requests.

    It is 0 if the response does not say so, or not as a number.
    """
    value = values_by_name.get(HEADER_RETRY_AFTER, b"").strip()
    if status != STATUS_SERVICE_UNAVAILABLE:
        return 0.0
    if RETRY_AFTER_PATTERN.fullmatch(value) is None:
        return 0.0
    return min(float(value), MAX_UPSTREAM_RETRY_AFTER_SECONDS)


def response_headers(
    header_names: HeaderNames, headers: list[tuple[bytes, bytes]]
) -> tuple[messages.Header, ...]:
    """Return the headers of a response that are forwarded to the caller."""
    dropped = (
        HOP_BY_HOP_HEADERS
        | _find_connection_headers(headers)
        | {header_names.leaving, header_names.load}
    )
    if any(name == b"transfer-encoding" for name, _ in headers):
        dropped = dropped | {b"content-length"}
    return tuple(
        messages.Header(name=name, value=value)
        for name, value in headers
        if name not in dropped
    )
