"""Builders of answers and runs."""

from typing import Any

from bench import answers
from dragonflyshelf.core import states
from stand_ins import account


def answer(request_id: str, **changes: Any) -> answers.Answer:
    """Return a good answer to a non-idempotent request."""
    values: dict[str, Any] = {
        "request_id": request_id,
        "workspace": "w",
        "service": "s",
        "target": "/s/k",
        "idempotent": False,
        "priority": states.Priority.URGENT,
        "port": 1,
        "status": 200,
        "at": 0.0,
        "latency": 0.01,
        "body_request_id": request_id,
        "upstream": "u1",
    }
    return answers.Answer(**{**values, **changes})


def run(request_id: str, **changes: Any) -> account.Run:
    """Return a run of a keyed request."""
    values: dict[str, Any] = {
        "request_id": request_id,
        "method": "POST",
        "target": "/s/k",
        "shard": 1,
        "epoch": 1,
        "at": 0.0,
        "upstream": "u1",
    }
    return account.Run(**{**values, **changes})
