"""Metrics of the slots that this instance assigns as a broker."""

import enum
from typing import Final

import prometheus_client

from dragonflyshelf.core.slots import messages as slots


class Response(enum.Enum):
    """What a broker responds to a slot request."""

    ASSIGNED = "assigned"
    NO_SLOT = "none"
    QUEUED = "queued"
    REFUSED = "refused"


SLOT_RESPONSES: Final = prometheus_client.Counter(
    "dragonflyshelf_slot_responses",
    "Responses to slot requests of other instances",
    ("response",),
)
TURNED_AWAY: Final = prometheus_client.Counter(
    "dragonflyshelf_turned_away",
    "Attempts whose connection was reset without a byte of a response",
)


def response_of(assignment: slots.SlotAssignment) -> Response:
    """Return the kind of a response."""
    if assignment.is_queued:
        return Response.QUEUED
    if assignment.retry_after > 0:
        return Response.REFUSED
    if assignment.incarnation == slots.NO_UPSTREAM:
        return Response.NO_SLOT
    return Response.ASSIGNED


def record_response(assignment: slots.SlotAssignment) -> None:
    """Count a response that is sent."""
    if assignment.number != slots.CAPABILITY_QUERY_NUMBER:
        SLOT_RESPONSES.labels(response_of(assignment).value).inc()
