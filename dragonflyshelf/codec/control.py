"""Encoding of control objects in the store: leases and plans.

Every instance reads a plan at each change. To keep it small, a row is an
array of numbers that refers to its holders by their index in a list.
"""

from collections import abc
from typing import Any, Final

import msgspec

from dragonflyshelf.core import errors
from dragonflyshelf.core.grantor import messages
from dragonflyshelf.core.grantor import objects
from dragonflyshelf.core import ids
from dragonflyshelf.core import registry
from dragonflyshelf.core.rollouts import objects as rollouts

KIND_FIELD: Final = "kind"
"""Field that selects the decoder of a record."""

NO_HOLDER_INDEX: Final = -1
"""Index of the former holder of a range that has not been held before."""

Decoder = abc.Callable[[Any], messages.ControlValue]
Encoder = abc.Callable[[Any], Any]

DECODERS: Final[registry.Registry[str, Decoder]] = registry.Registry(
    "decoders of control objects"
)
ENCODERS: Final[registry.Registry[type, Encoder]] = registry.Registry(
    "encoders of control objects"
)


class LeaseRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Stored form of a lease."""

    kind: str
    lease: objects.Lease


class RolloutRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Stored form of a roll-out plan."""

    kind: str
    plan: rollouts.RolloutPlan


class Holder(msgspec.Struct, frozen=True, array_like=True):
    """Incarnation of an upstream that holds ranges of a plan."""

    upstream: ids.UpstreamId
    incarnation: ids.UpstreamIncarnation


class Row(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """Stored assignment.

    ``former_holder_index`` is set only while the range is moving.
    """

    first: ids.ShardKey
    last: ids.ShardKey
    epoch: ids.Epoch
    holder_index: int
    former_holder_index: int | None = None


class PlanRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Stored form of a shard plan."""

    kind: str
    service: ids.ServiceName
    holders: tuple[Holder, ...]
    rows: tuple[Row, ...]


class HolderTable:
    """Assigns indexes to the holders of a plan."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._index_by_holder: dict[Holder, int] = {}

    def get_index(
        self, upstream: ids.UpstreamId, incarnation: ids.UpstreamIncarnation
    ) -> int:
        """Return the index of a holder, added if it is new.

        An empty incarnation has ``NO_HOLDER_INDEX``.
        """
        if not incarnation:
            return NO_HOLDER_INDEX
        holder = Holder(upstream, incarnation)
        indexes = self._index_by_holder
        return indexes.setdefault(holder, len(indexes))

    def holders(self) -> tuple[Holder, ...]:
        """Return the holders in the order of their indexes."""
        return tuple(self._index_by_holder)


@ENCODERS.register(objects.Lease)
def encode_lease(lease: objects.Lease) -> LeaseRecord:
    """Return the stored form of a lease."""
    return LeaseRecord(kind="lease", lease=lease)


@DECODERS.register("lease")
def decode_lease(record: Any) -> objects.Lease:
    """Return the lease of a parsed record.

    Raises ``msgspec.ValidationError`` if the record is invalid.
    """
    return msgspec.convert(record, LeaseRecord).lease


@ENCODERS.register(rollouts.RolloutPlan)
def encode_rollout(plan: rollouts.RolloutPlan) -> RolloutRecord:
    """Return the stored form of a roll-out plan."""
    return RolloutRecord(kind="rollout", plan=plan)


@DECODERS.register("rollout")
def decode_rollout(record: Any) -> rollouts.RolloutPlan:
    """Return the roll-out plan of a parsed record.

    Raises ``msgspec.ValidationError`` if the record is invalid.
    """
    return msgspec.convert(record, RolloutRecord).plan


@ENCODERS.register(objects.ShardPlan)
def encode_plan(plan: objects.ShardPlan) -> PlanRecord:
    """Return the stored form of a shard plan."""
    table = HolderTable()
    rows = tuple(_to_row(assignment, table) for assignment in plan.assignments)
    return PlanRecord(
        kind="shard_plan",
        service=plan.service,
        holders=table.holders(),
        rows=rows,
    )


def _to_row(assignment: objects.Assignment, table: HolderTable) -> Row:
    former_holder_index = None
    if not assignment.is_settled:
        former_holder_index = table.get_index(
            assignment.former_upstream, assignment.former_life
        )
    return Row(
        first=assignment.first,
        last=assignment.last,
        epoch=assignment.epoch,
        holder_index=table.get_index(assignment.upstream, assignment.life),
        former_holder_index=former_holder_index,
    )


@DECODERS.register("shard_plan")
def decode_plan(record: Any) -> objects.ShardPlan:
    """Return the shard plan of a parsed record.

    Raises ``msgspec.ValidationError`` if the record is invalid and
    ``InvalidObject`` if a row refers to a holder that is not listed.
    """
    plan = msgspec.convert(record, PlanRecord)
    return objects.ShardPlan(
        service=plan.service,
        assignments=tuple(
            _to_assignment(row, plan.holders) for row in plan.rows
        ),
    )


def _to_assignment(
    row: Row, holders: tuple[Holder, ...]
) -> objects.Assignment:
    holder = _get_holder(row.holder_index, holders)
    former = Holder(ids.UpstreamId(""), ids.UpstreamIncarnation(""))
    if (
        row.former_holder_index is not None
        and row.former_holder_index != NO_HOLDER_INDEX
    ):
        former = _get_holder(row.former_holder_index, holders)
    return objects.Assignment(
        first=row.first,
        last=row.last,
        upstream=holder.upstream,
        life=holder.incarnation,
        epoch=row.epoch,
        former_upstream=former.upstream,
        former_life=former.incarnation,
        is_settled=row.former_holder_index is None,
    )


def _get_holder(index: int, holders: tuple[Holder, ...]) -> Holder:
    if not 0 <= index < len(holders):
        raise errors.InvalidObject(
            f"control object: no holder at index {index}"
        )
    return holders[index]


def to_builtins(value: messages.ControlValue) -> Any:
    """Return the stored form of a value, made of JSON types."""
    return msgspec.to_builtins(ENCODERS.get(type(value))(value))


def encode(value: messages.ControlValue) -> bytes:
    """Return the stored form of a value as JSON."""
    return msgspec.json.encode(ENCODERS.get(type(value))(value))


def decode(spec: bytes) -> messages.ControlValue:
    """Return the value of a stored control object.

    Raises ``InvalidObject`` if this version cannot decode it.
    """
    try:
        record = msgspec.json.decode(spec)
        return DECODERS.get(record[KIND_FIELD])(record)
    except (
        msgspec.MsgspecError,
        errors.NotRegistered,
        KeyError,
        RecursionError,
        TypeError,
    ) as error:
        raise errors.InvalidObject(f"control object: {error}") from error
