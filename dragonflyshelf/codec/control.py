"""Encoding of what the system keeps in the store for itself.

A plan is read by every instance at each change, so its rows are lists
of numbers, and the names of upstreams stand once, beside them.
"""

from collections import abc
from typing import Any, Final

import msgspec

from dragonflyshelf.core import errors
from dragonflyshelf.core.grantor import messages
from dragonflyshelf.core.grantor import objects
from dragonflyshelf.core import ids
from dragonflyshelf.core import registry

KIND: Final = "kind"

NO_HOLDER: Final = -1
"""Place of the former holder of a range that never had one."""

Decoder = abc.Callable[[Any], messages.ControlValue]
Encoder = abc.Callable[[Any], Any]

DECODERS: Final[registry.Registry[str, Decoder]] = registry.Registry(
    "decoders of control objects"
)
ENCODERS: Final[registry.Registry[type, Encoder]] = registry.Registry(
    "encoders of control objects"
)


class LeaseRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A lease as it is stored."""

    kind: str
    lease: objects.Lease


class Holder(msgspec.Struct, frozen=True, array_like=True):
    """One start of an upstream, by its place in the list of holders."""

    upstream: ids.UpstreamId
    life: ids.UpstreamIncarnation


class Row(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """A range; ``former`` is there only while the range is moving."""

    first: ids.ShardKey
    last: ids.ShardKey
    epoch: ids.Epoch
    holder: int
    former: int | None = None


class PlanRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A plan as it is stored."""

    kind: str
    service: ids.ServiceName
    holders: tuple[Holder, ...]
    rows: tuple[Row, ...]


class HolderTable:
    """Places of the holders that a plan names."""

    def __init__(self) -> None:
        """Create a table without holders."""
        self._places_by_holder: dict[Holder, int] = {}

    def place(
        self, upstream: ids.UpstreamId, life: ids.UpstreamIncarnation
    ) -> int:
        """Return the place of a holder, ``NO_HOLDER`` for none."""
        if not life:
            return NO_HOLDER
        holder = Holder(upstream, life)
        places = self._places_by_holder
        return places.setdefault(holder, len(places))

    def holders(self) -> tuple[Holder, ...]:
        """Return the holders in the order of their places."""
        return tuple(self._places_by_holder)


@ENCODERS.register(objects.Lease)
def encode_lease(lease: objects.Lease) -> LeaseRecord:
    """Return the record of a lease."""
    return LeaseRecord(kind="lease", lease=lease)


@DECODERS.register("lease")
def decode_lease(plain: Any) -> objects.Lease:
    """Return the lease of a record."""
    return msgspec.convert(plain, LeaseRecord).lease


@ENCODERS.register(objects.ShardPlan)
def encode_plan(plan: objects.ShardPlan) -> PlanRecord:
    """Return the record of a plan."""
    table = HolderTable()
    rows = tuple(_to_row(one, table) for one in plan.assignments)
    return PlanRecord(
        kind="shard_plan",
        service=plan.service,
        holders=table.holders(),
        rows=rows,
    )


def _to_row(one: objects.Assignment, table: HolderTable) -> Row:
    former = None
    if not one.is_settled:
        former = table.place(one.former_upstream, one.former_life)
    return Row(
        first=one.first,
        last=one.last,
        epoch=one.epoch,
        holder=table.place(one.upstream, one.life),
        former=former,
    )


@DECODERS.register("shard_plan")
def decode_plan(plain: Any) -> objects.ShardPlan:
    """Return the plan of a record."""
    record = msgspec.convert(plain, PlanRecord)
    return objects.ShardPlan(
        service=record.service,
        assignments=tuple(
            _to_assignment(one, record.holders) for one in record.rows
        ),
    )


def _to_assignment(
    row: Row, holders: tuple[Holder, ...]
) -> objects.Assignment:
    holder = _holder(row.holder, holders)
    former = Holder(ids.UpstreamId(""), ids.UpstreamIncarnation(""))
    if row.former is not None and row.former != NO_HOLDER:
        former = _holder(row.former, holders)
    return objects.Assignment(
        first=row.first,
        last=row.last,
        upstream=holder.upstream,
        life=holder.life,
        epoch=row.epoch,
        former_upstream=former.upstream,
        former_life=former.life,
        is_settled=row.former is None,
    )


def _holder(place: int, holders: tuple[Holder, ...]) -> Holder:
    if not 0 <= place < len(holders):
        raise errors.InvalidObject(
            f"control object: no holder at place {place}"
        )
    return holders[place]


def to_plain(value: messages.ControlValue) -> Any:
    """Return the value as what JSON can hold."""
    return msgspec.to_builtins(ENCODERS.get(type(value))(value))


def encode(value: messages.ControlValue) -> bytes:
    """Return the value as JSON."""
    return msgspec.json.encode(ENCODERS.get(type(value))(value))


def decode(spec: bytes) -> messages.ControlValue:
    """Return the value of an encoded object.

    Raises ``InvalidObject`` for what this version cannot read.
    """
    try:
        plain = msgspec.json.decode(spec)
        return DECODERS.get(plain[KIND])(plain)
    except (
        msgspec.MsgspecError,
        errors.NotRegistered,
        KeyError,
        TypeError,
    ) as one:
        raise errors.InvalidObject(f"control object: {one}") from one
