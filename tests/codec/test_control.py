"""Tests of the encoding of control objects."""

import json

import hypothesis
from hypothesis import strategies
import pytest

from dragonflyshelf.codec import control
from dragonflyshelf.core import errors
from dragonflyshelf.core.grantor import objects
from dragonflyshelf.core.grantor import planning
from dragonflyshelf.core import ids
from tests.core.scheduling import world

LEASE = objects.Lease(
    holder=ids.InstanceId("front-a-1"),
    incarnation=ids.Incarnation(1788000000000000001),
    host="10.0.0.1",
    port=7100,
    count=7,
)
KEYS = strategies.integers(0, objects.SHARD_KEY_COUNT - 1)
NAMES = strategies.sampled_from(["u1", "u2", "u3"])
FIELD_VALUES = strategies.sampled_from(
    [None, 3, -1, "u1", [], {}, [[]], [["u1", "u1@1"]], [[0, 65535, 2, 0]]]
)


@strategies.composite
def assignments(draw: strategies.DrawFn) -> objects.Assignment:
    """Generate settled assignments and assignments that are moving."""
    name = draw(NAMES)
    assignment = objects.Assignment(
        first=ids.ShardKey(draw(KEYS)),
        last=ids.ShardKey(draw(KEYS)),
        upstream=ids.UpstreamId(name),
        life=ids.UpstreamIncarnation(f"{name}@{draw(KEYS)}"),
        epoch=ids.Epoch(draw(KEYS)),
    )
    if draw(strategies.booleans()):
        return planning.moved(assignment, world.upstream(draw(NAMES)))
    return assignment


class TestPlan:
    """Shard plans are encoded and decoded."""

    @hypothesis.given(strategies.lists(assignments(), max_size=9))
    def test_round_trip(
        self, plan_assignments: list[objects.Assignment]
    ) -> None:
        """A decoded plan equals the encoded one, for all assignments."""
        plan = objects.ShardPlan(
            service=world.ARCHIVE, assignments=tuple(plan_assignments)
        )
        assert control.decode(control.encode(plan)) == plan

    def test_size(self) -> None:
        """A plan of 64 ranges over 54 upstreams takes 4 KiB at most."""
        upstreams = [
            world.upstream(
                f"i-{number:08x}", started_at_ms=1788000000000 + number
            )
            for number in range(54)
        ]
        plan = objects.ShardPlan(
            service=world.ARCHIVE,
            assignments=planning.initial_assignments(upstreams),
        )
        assert len(control.encode(plan)) <= 4096

    def test_holder_out_of_range(self) -> None:
        """A row with an invalid holder index is rejected."""
        spec = (
            b'{"kind":"shard_plan","service":"archive",'
            b'"holders":[["u1","u1@1"]],"rows":[[0,65535,2,1]]}'
        )
        with pytest.raises(errors.InvalidObject):
            control.decode(spec)


class TestLease:
    """The leader's lease is encoded and decoded."""

    def test_round_trip(self) -> None:
        """A decoded lease equals the encoded one."""
        assert control.decode(control.encode(LEASE)) == LEASE


class TestInvalidObjects:
    """Objects of other versions or writers are rejected if invalid."""

    @hypothesis.given(
        strategies.sampled_from(["shard_plan", "lease", "other"]),
        strategies.dictionaries(
            strategies.sampled_from(["holders", "rows", "service", "lease"]),
            FIELD_VALUES,
        ),
    )
    def test_any_value(self, kind: str, fields: dict[str, object]) -> None:
        """An object is decoded or rejected with a coded error."""
        record = {**fields, control.KIND_FIELD: kind}
        try:
            control.decode(json.dumps(record).encode())
        except errors.InvalidObject as error:
            assert error.code

    @pytest.mark.parametrize("spec", [b"", b"[]", b"{}", b"3", b"\xff"])
    def test_not_a_record(self, spec: bytes) -> None:
        """Data that is not a record is rejected with a coded error."""
        with pytest.raises(errors.InvalidObject):
            control.decode(spec)
