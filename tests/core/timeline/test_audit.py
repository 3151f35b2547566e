"""Tests of the audit of guarantees."""

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


def make_table(columns: tuple[str, ...], *rows: tuple[Any, ...]) -> Any:
    """Return a result table."""
    return tables.ResultTable(columns=columns, rows=rows)


def event_row(
    stamp: int, instance: str, kind: events.EventKind, version: int
) -> tuple[Any, ...]:
    """Return a row of the timeline about one workspace."""
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
    event_row(-9, "i1", events.EventKind.LEASE_STARTED, 0),
    event_row(-8, "i2", events.EventKind.LEASE_STARTED, 0),
)


def verdicts(silent_count: int = 0, **tables_by_name: Any) -> dict[str, str]:
    """Return the verdict by guarantee."""
    findings = audit.audit(audit.AuditRecords(tables_by_name, silent_count))
    return {finding.guarantee: finding.verdict for finding in findings}


class TestShardOwners:
    """A shard epoch has one upstream on all instances."""

    NAME = "one owner"
    COLUMNS = ("service", "shard", "epoch", "upstream")

    def test_holds(self) -> None:
        """Different epochs of a shard may have different upstreams."""
        shards = make_table(
            self.COLUMNS, ("s", 1, 1, "a"), ("s", 1, 2, "b"), ("s", 1, 2, "b")
        )
        assert verdicts(shards=shards)[self.NAME] == "holds"

    def test_violated(self) -> None:
        """One epoch with two upstreams is a violation."""
        shards = make_table(self.COLUMNS, ("s", 1, 2, "a"), ("s", 1, 2, "b"))
        assert verdicts(shards=shards)[self.NAME] == "violated"


class TestConfigurationVersions:
    """Versions are not reverted and are applied in time."""

    NAME = "configuration in force and never reverting"
    APPLIED = events.EventKind.CONFIGURATION_IN_FORCE
    ACCEPTED = events.EventKind.COMMAND_ACCEPTED

    def verdict(self, *rows: tuple[Any, ...]) -> str:
        """Return the verdict on events of instances that run already."""
        return verdicts(timeline=make_table(COLUMNS, *STARTS, *rows))[
            self.NAME
        ]

    def test_holds(self) -> None:
        """A change that is applied within the bound is accepted."""
        assert "holds" == self.verdict(
            event_row(1, "i1", self.ACCEPTED, 5),
            event_row(2, "i1", self.APPLIED, 5),
            event_row(9, "i2", self.APPLIED, 5),
        )

    def test_late(self) -> None:
        """A change that one instance applies late is a violation."""
        assert "violated" == self.verdict(
            event_row(1, "i1", self.ACCEPTED, 5),
            event_row(20, "i2", self.APPLIED, 5),
        )

    def test_reverted(self) -> None:
        """An older version after a newer one is a violation."""
        assert "violated" == self.verdict(
            event_row(1, "i1", self.ACCEPTED, 5),
            event_row(2, "i2", self.APPLIED, 6),
            event_row(3, "i2", self.APPLIED, 5),
        )

    def test_applied_twice(self) -> None:
        """The same version applied twice is no reversion."""
        assert "holds" == self.verdict(
            event_row(1, "i1", self.ACCEPTED, 5),
            event_row(2, "i2", self.APPLIED, 5),
            event_row(3, "i2", self.APPLIED, 5),
        )


class TestKeyWithdrawals:
    """Every member applies the withdrawal of a key."""

    NAME = "withdrawn key stops within seconds"

    def test_not_applied(self) -> None:
        """A member that did not apply the withdrawal is a violation."""
        members = make_table(("instance",), ("i1",), ("i2",))
        applied = event_row(1, "i1", events.EventKind.KEY_WITHDRAWN, 5)
        timeline = make_table(COLUMNS, *STARTS, applied)
        verdicts_by_name = verdicts(members=members, timeline=timeline)
        assert verdicts_by_name[self.NAME] == "violated"

    def test_joined_later(self) -> None:
        """An instance that started after the withdrawal is left out."""
        kind = events.EventKind.KEY_WITHDRAWN
        members = make_table(("instance",), ("i1",), ("i3",))
        timeline = make_table(
            COLUMNS,
            *STARTS,
            event_row(1, "i1", kind, 5),
            event_row(90, "i3", kind, 5),
        )
        verdicts_by_name = verdicts(members=members, timeline=timeline)
        assert verdicts_by_name[self.NAME] == "holds"


class TestLimitations:
    """Gaps in the records are reported."""

    def test_nothing_recorded(self) -> None:
        """Without records no guarantee is reported as holding."""
        assert set(verdicts().values()) == {"not shown"}

    def test_gaps(self) -> None:
        """Dropped events and silent instances are reported."""
        counts = make_table(("kind", "recorded", "dropped"), ("granted", 9, 4))
        records = audit.AuditRecords({"timeline_counts": counts}, 2)
        for finding in audit.audit(records):
            assert "4 events were dropped" in finding.limitations
            assert "2 instances did not respond" in finding.limitations

    def test_tokens(self) -> None:
        """Tokens above the burst are not proof of a violation."""
        limits = make_table(
            ("workspace", "tokens", "burst"), ("w", 8.0, 10.0), ("w", 8.0, 10)
        )
        verdict = verdicts(limits=limits)["rate and burst over all instances"]
        assert verdict == "not shown"
