"""Calls that grant shard ranges to an upstream or release them."""

import asyncio
from typing import Any

import h11
import msgspec

from dragonflyshelf.core.grantor import messages
from dragonflyshelf.core import ids
from dragonflyshelf.platform import names
from dragonflyshelf.runtime import http_client

STATUS_OK = 200
STATUS_FENCED = 409
"""The upstream knows a newer fencing token of the range."""

STATUS_MISDIRECTED = 421
"""The address belongs to another upstream."""

JSON_HEADER = ("content-type", "application/json")


def _encode_body(call: messages.GrantRange | messages.ReleaseRange) -> bytes:
    """Return the JSON body; ``Target`` is the last key of the range."""
    assignment = call.assignment
    body: dict[str, Any] = {
        "From": assignment.first,
        "Target": assignment.last,
    }
    if isinstance(call, messages.ReleaseRange):
        body["fence"] = call.epoch
        return msgspec.json.encode(body)
    body["fence"] = assignment.epoch
    body["HoldS"] = call.hold
    if call.handover:
        body["Handover"] = call.handover
    return msgspec.json.encode(body)


def _select_path(call: messages.GrantRange | messages.ReleaseRange) -> str:
    if isinstance(call, messages.GrantRange):
        return names.PATH_GRANT
    return names.PATH_RELEASE


def _outcome_of_status(status: int) -> messages.CallOutcome:
    if status == STATUS_OK:
        return messages.CallOutcome.DONE
    if status == STATUS_FENCED:
        return messages.CallOutcome.FENCED
    if status == STATUS_MISDIRECTED:
        return messages.CallOutcome.GONE
    return messages.CallOutcome.LOST


async def async_call(
    client: http_client.HttpClient,
    call: messages.GrantRange | messages.ReleaseRange,
    timeout: float,
    sent_at: ids.Instant,
) -> messages.RangeCallCompleted:
    """Send a grant or a release and return its outcome.

    ``timeout`` is in seconds. Connection and protocol errors become
    outcomes.
    """
    headers = (
        JSON_HEADER,
        (names.HEADER_EXPECTED_UPSTREAM, call.registration.id),
    )
    handover = ""
    try:
        async with asyncio.timeout(timeout):
            response = await client.async_call(
                "POST", _select_path(call), _encode_body(call), headers
            )
        outcome = _outcome_of_status(response.status)
        encoded = dict(response.headers).get(names.HEADER_HANDOVER, b"")
        handover = encoded.decode("latin-1")
    except (OSError, TimeoutError, h11.ProtocolError):
        outcome = messages.CallOutcome.UNSENT
        if client.was_sent:
            outcome = messages.CallOutcome.LOST
    return messages.RangeCallCompleted(
        call=call, outcome=outcome, sent_at=sent_at, handover=handover
    )
