"""Messages that only travel between instances.

``stream`` numbers a request on one link; the instance that opened the
link uses odd numbers and the other one even numbers.
"""

import dataclasses

from dragonflyshelf.core import ids
from dragonflyshelf.core import messages


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Hello:
    """First message on a link: who speaks."""

    instance: ids.InstanceId
    incarnation: ids.Incarnation


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Open:
    """A request is forwarded to the leader of its upstream.

    The deadline is sent as the time that remains, in milliseconds.
    """

    exchange: ids.ExchangeId
    request_id: ids.RequestId
    method: bytes
    target: bytes
    headers: tuple[messages.Header, ...]
    remaining_ms: int
    has_body: bool
    body_length: int
    admitted: messages.Admitted


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat:
    """The sender runs and has seen this store version."""

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    version: ids.Version
