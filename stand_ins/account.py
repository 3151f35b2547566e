"""What an upstream stand-in has run, and what it has counted."""

import dataclasses

import h11

HEADER_EPOCH = b"x-router-epoch"
HEADER_INSTANCE = b"x-router-instance"
HEADER_REQUEST_ID = b"x-request-id"
HEADER_SHARD = b"x-router-shard"
HEADER_TERM = b"x-router-term"
HEADER_WORKSPACE = b"x-workspace"
KEY_MARKS = (b"authorization", b"caller-key")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """One request that started to run; ``at`` is wall-clock seconds.

    ``saw_caller_key`` tells whether any part of the request held what
    looks like a caller key. The caller keys of the bench all contain
    one of ``KEY_MARKS``.
    """

    request_id: str
    method: str
    target: str
    shard: int = -1
    epoch: int = 0
    term: int = 0
    instance: str = ""
    workspace: str = ""
    at: float = 0.0
    upstream: str = ""
    saw_caller_key: bool = False


@dataclasses.dataclass(kw_only=True)
class Counts:
    """Counted outcomes since the start of the process."""

    answered: int = 0
    cancelled: int = 0
    connections: int = 0
    deadlines: int = 0
    fenced_off: int = 0
    in_flight: int = 0
    most_connections: int = 0
    most_in_flight: int = 0
    refused_draining: int = 0
    shed: int = 0
    toppled: int = 0


def describe(head: h11.Request, body: bytes, upstream: str, at: float) -> Run:
    """Return the run of a whole request."""
    headers = dict(head.headers)
    return Run(
        request_id=headers.get(HEADER_REQUEST_ID, b"").decode(),
        method=head.method.decode(),
        target=head.target.decode(),
        shard=int(headers.get(HEADER_SHARD, b"-1")),
        epoch=int(headers.get(HEADER_EPOCH, b"0")),
        term=int(headers.get(HEADER_TERM, b"0")),
        instance=headers.get(HEADER_INSTANCE, b"").decode(),
        workspace=headers.get(HEADER_WORKSPACE, b"").decode(),
        at=at,
        upstream=upstream,
        saw_caller_key=_has_caller_key(head, body),
    )


def _has_caller_key(head: h11.Request, body: bytes) -> bool:
    parts = [head.target, body]
    for name, value in head.headers:
        parts.extend((name, value))
    text = b"\n".join(parts).lower()
    return any(mark in text for mark in KEY_MARKS)
