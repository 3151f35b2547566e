"""Orders of roll-outs: their decoding, and the encoding of their status."""

import math
from typing import Any

import msgspec

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.rollouts import messages
from dragonflyshelf.core.rollouts import objects
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.platform import objects as platform_objects

MAX_DURATION_SECONDS = 86400.0
"""Duration above which an order is not believed."""

STATE_WORDS = {
    objects.RolloutState.COMPLETE: "complete",
    objects.RolloutState.ROLLED_BACK: "rolled_back",
    objects.RolloutState.RUNNING: "running",
}


class OrderRecord(msgspec.Struct, rename="pascal"):
    """Order; fields of another type than expected are told apart later."""

    service: Any = None
    target: Any = None
    duration_s: Any = None


def decode_order(stored: store.StoredObject) -> objects.RolloutOrder:
    """Return the order of a roll-out.

    A missing or odd target is decoded as empty and a duration as 0, so that
    the order can be refused in its status. The order is for the service
    that the object is named after. Raises ``RolloutRefused`` if it is for
    another one or cannot be decoded.
    """
    try:
        record = msgspec.json.decode(stored.spec, type=OrderRecord)
    except platform_objects.DECODING_ERRORS as error:
        raise errors.RolloutRefused(f"{stored.name}: {error}") from error
    if record.service != stored.name:
        raise errors.RolloutRefused(
            f"{stored.name}: order names another service"
        )
    target = record.target if isinstance(record.target, str) else ""
    return objects.RolloutOrder(
        name=stored.name,
        revision=stored.revision,
        service=ids.ServiceName(record.service),
        target=ids.UpstreamVersion(target),
        duration=_to_seconds(record.duration_s),
    )


def _to_seconds(value: Any) -> float:
    """Return a duration in seconds, 0 for one that can't be used."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return 0.0
    if not math.isfinite(value) or not 0 < value <= MAX_DURATION_SECONDS:
        return 0.0
    return float(value)


def encode_status(write: messages.WriteStatus) -> bytes:
    """Return the body of the call that writes a status."""
    return msgspec.json.encode(
        {
            "Metadata": {
                "Name": write.name,
                "Revision": write.expected_revision,
            },
            "Status": {
                "State": STATE_WORDS[write.status.state],
                "Target": write.status.target,
            },
        }
    )
