"""Messages about leases that instances send to each other."""

import dataclasses

from dragonflyshelf.core import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RenewalRequest:
    """Carry this renewal to the roster of the data centre."""

    data_centre: ids.DataCentreId
    instance: ids.InstanceId
    incarnation: ids.Incarnation
    renewal: int
    leaving: bool = False
    released: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PromiseRequest:
    """Ask a remover not to remove the sender for the promise time.

    ``question`` numbers the requests of the sender; ``generation`` is
    that of the removers which the sender has read.
    """

    data_centre: ids.DataCentreId
    instance: ids.InstanceId
    incarnation: ids.Incarnation
    session: int
    generation: int
    question: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Promise:
    """The sender does not remove the receiver for the promise time."""

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    session: int
    generation: int
    question: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PromiseRelease:
    """The sender needs no promise of this session or earlier."""

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    session: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendToInstance:
    """Effect: a message goes to another instance; it may be lost."""

    instance: ids.InstanceId
    message: "Message"


Message = Promise | PromiseRelease | PromiseRequest | RenewalRequest
