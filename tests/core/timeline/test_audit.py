"""Tests of the audit of promises."""

from typing import Any

from dragonflyshelf.core.language import tables
from dragonflyshelf.core.timeline import audit
from dragonflyshelf.core.timeline import events

COLUMNS = (
    "stamp",
    "time",
    "instance",
    "incarnation",
    "kind",
    "version",
    "detail",
)


def table(columns: tuple[str, ...], *rows: tuple[Any, ...]) -> Any:
    """Return a result table."""
    return tables.ResultTable(columns=columns, rows=rows)


def event(
    stamp: int, instance: str, kind: events.EventKind, version: int
) -> tuple[Any, ...]:
    """Return a row of the time line about one workspace."""
    return (
        stamp,
        float(stamp),
        instance,
        1,
        kind.value,
        version,
        "workspace w set",
    )


STARTS = (
    event(-9, "i1", events.EventKind.LEASE_STARTED, 0),
    event(-8, "i2", events.EventKind.LEASE_STARTED, 0),
)


def verdicts(missing: int = 0, **named: Any) -> dict[str, str]:
    """Return the verdict on each promise."""
    found = audit.audit(audit.Records(named, missing))
    return {one.promise: one.verdict for one in found}


class TestOneOwner:
    """Two upstreams of one epoch are a violation."""

    NAME = "one owner"
    COLUMNS = ("service", "shard", "epoch", "upstream")

    def test_holds(self) -> None:
        """Epochs of a shard may have different upstreams."""
        shards = table(
            self.COLUMNS, ("s", 1, 1, "a"), ("s", 1, 2, "b"), ("s", 1, 2, "b")
        )
        assert verdicts(shards=shards)[self.NAME] == "holds"

    def test_violated(self) -> None:
        """One epoch with two upstreams is found."""
        shards = table(self.COLUMNS, ("s", 1, 2, "a"), ("s", 1, 2, "b"))
        assert verdicts(shards=shards)[self.NAME] == "violated"


class TestInForce:
    """Versions only grow and come into force in time."""

    NAME = "configuration in force and never reverting"
    APPLIED = events.EventKind.CONFIGURATION_IN_FORCE
    ACCEPTED = events.EventKind.COMMAND_ACCEPTED

    def verdict(self, *rows: tuple[Any, ...]) -> str:
        """Return the verdict on some events of instances that ran."""
        return verdicts(timeline=table(COLUMNS, *STARTS, *rows))[self.NAME]

    def test_holds(self) -> None:
        """A change that is applied soon holds."""
        assert "holds" == self.verdict(
            event(1, "i1", self.ACCEPTED, 5),
            event(2, "i1", self.APPLIED, 5),
            event(9, "i2", self.APPLIED, 5),
        )

    def test_late(self) -> None:
        """A change that one instance applied late is found."""
        assert "violated" == self.verdict(
            event(1, "i1", self.ACCEPTED, 5), event(20, "i2", self.APPLIED, 5)
        )

    def test_reverted(self) -> None:
        """An older version after a newer one is found."""
        assert "violated" == self.verdict(
            event(1, "i1", self.ACCEPTED, 5),
            event(2, "i2", self.APPLIED, 6),
            event(3, "i2", self.APPLIED, 5),
        )

    def test_seen_twice(self) -> None:
        """The same version twice is no way back."""
        assert "holds" == self.verdict(
            event(1, "i1", self.ACCEPTED, 5),
            event(2, "i2", self.APPLIED, 5),
            event(3, "i2", self.APPLIED, 5),
        )


class TestWithdrawn:
    """A withdrawal is applied by every member."""

    NAME = "withdrawn key stops within seconds"

    def test_absent(self) -> None:
        """A member without the withdrawal is found."""
        members = table(("instance",), ("i1",), ("i2",))
        applied = event(1, "i1", events.EventKind.KEY_WITHDRAWN, 5)
        timeline = table(COLUMNS, *STARTS, applied)
        found = verdicts(members=members, timeline=timeline)
        assert found[self.NAME] == "violated"

    def test_joined_later(self) -> None:
        """An instance that listed the withdrawal at its start is left out."""
        kind = events.EventKind.KEY_WITHDRAWN
        members = table(("instance",), ("i1",), ("i3",))
        timeline = table(
            COLUMNS, *STARTS, event(1, "i1", kind, 5), event(90, "i3", kind, 5)
        )
        found = verdicts(members=members, timeline=timeline)
        assert found[self.NAME] == "holds"


class TestLimits:
    """What the records cannot show is said."""

    def test_nothing_recorded(self) -> None:
        """Without records no promise holds."""
        assert set(verdicts().values()) == {"not shown"}

    def test_gaps(self) -> None:
        """Dropped events and missing instances are named."""
        counts = table(("kind", "recorded", "dropped"), ("granted", 9, 4))
        records = audit.Records({"timeline_counts": counts}, 2)
        for one in audit.audit(records):
            assert "4 events were dropped" in one.limits
            assert "2 instances did not answer" in one.limits

    def test_tokens(self) -> None:
        """Tokens over the burst are not taken for a proof."""
        limits = table(
            ("workspace", "tokens", "burst"), ("w", 8.0, 10.0), ("w", 8.0, 10)
        )
        found = verdicts(limits=limits)["rate and burst over all instances"]
        assert found == "not shown"
