"""Audit of the guarantees against the timeline and the tables.

A check receives the tables that all instances returned at about the
same time, and decides whether its guarantee holds as far as they show.
A guarantee without any evidence is reported as not shown, never as
holding.
"""

import collections
from collections import abc
import dataclasses
import enum
from typing import Any, Final

from dragonflyshelf.core.language import tables
from dragonflyshelf.core import registry
from dragonflyshelf.core.timeline import events

APPLY_BOUND_SECONDS: Final = 17.0
"""Bound on the time until all instances have applied a change."""


class Verdict(enum.Enum):
    """Result of the check of a guarantee."""

    HOLDS = "holds"
    NOT_SHOWN = "not shown"
    VIOLATED = "violated"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """Verdict on a guarantee, the evidence and the check's limitations."""

    guarantee: str
    verdict: str
    evidence: str
    limitations: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Evidence:
    """Verdict of a check and the measurements that support it."""

    verdict: Verdict
    text: str


Row = dict[str, Any]


class AuditRecords:
    """Rows of the tables of all instances as dictionaries by column."""

    def __init__(
        self, tables_by_name: dict[str, tables.ResultTable], silent_count: int
    ) -> None:
        """Create the records; ``silent_count`` instances did not respond."""
        self.silent_count = silent_count
        self._rows_by_table = {
            name: [
                dict(zip(table.columns, row, strict=True))
                for row in table.rows
            ]
            for name, table in tables_by_name.items()
        }

    def rows(self, table: str) -> list[Row]:
        """Return the rows of a table, none if it is missing."""
        return self._rows_by_table.get(table, [])

    def events_of_kind(self, kind: events.EventKind) -> list[Row]:
        """Return the events of a kind in causal order."""
        event_rows = [
            row for row in self.rows("timeline") if row["kind"] == kind.value
        ]
        return sorted(
            event_rows, key=lambda row: (row["stamp"], row["instance"])
        )

    @property
    def dropped_count(self) -> int:
        """Return how many events were dropped from the timelines."""
        return sum(row["dropped"] for row in self.rows("timeline_counts"))

    def first_event_times(self) -> dict[tuple[str, int], float]:
        """Return the time of the first retained event by incarnation."""
        times: dict[tuple[str, int], float] = {}
        for row in self.rows("timeline"):
            key = (row["instance"], row["incarnation"])
            times[key] = min(times.get(key, row["time"]), row["time"])
        return times

    def apply_times_by_version(
        self, kind: events.EventKind
    ) -> dict[int, dict[str, float]]:
        """Return when each instance applied each version.

        Events at the time of an incarnation's first event are left out:
        an instance lists all objects at its start, so that time does not
        show how fast a version was applied.
        """
        first_times = self.first_event_times()
        times_by_version: dict[int, dict[str, float]] = (
            collections.defaultdict(dict)
        )
        for row in self.events_of_kind(kind):
            if first_times[row["instance"], row["incarnation"]] < row["time"]:
                times_by_version[row["version"]].setdefault(
                    row["instance"], row["time"]
                )
        return times_by_version

    @property
    def members(self) -> set[str]:
        """Return the instances that the rosters list."""
        return {row["instance"] for row in self.rows("members")}


Check = abc.Callable[[AuditRecords], Evidence]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Guarantee:
    """A guarantee's check, and what the check cannot observe."""

    check: Check
    limitations: str


GUARANTEES: Final[registry.Registry[str, Guarantee]] = registry.Registry(
    "guarantees"
)


def register_guarantee(
    name: str, limitations: str
) -> abc.Callable[[Check], Check]:
    """Return a decorator that registers the check of a guarantee."""

    def decorate(check: Check) -> Check:
        GUARANTEES.register(name)(
            Guarantee(check=check, limitations=limitations)
        )
        return check

    return decorate


def audit(records: AuditRecords) -> tuple[Finding, ...]:
    """Check all guarantees; return a finding for each."""
    gaps = ""
    if records.dropped_count:
        gaps += f"; {records.dropped_count} events were dropped"
    if records.silent_count:
        gaps += f"; {records.silent_count} instances did not respond"
    findings = []
    for name in GUARANTEES:
        guarantee = GUARANTEES.get(name)
        evidence = guarantee.check(records)
        findings.append(
            Finding(
                guarantee=name,
                verdict=evidence.verdict.value,
                evidence=evidence.text,
                limitations=guarantee.limitations + gaps,
            )
        )
    return tuple(findings)


def _evaluate(
    violations: list[str], evidence_count: int, text: str
) -> Evidence:
    if violations:
        return Evidence(
            verdict=Verdict.VIOLATED, text="; ".join(violations[:5])
        )
    if not evidence_count:
        return Evidence(verdict=Verdict.NOT_SHOWN, text="nothing recorded")
    return Evidence(verdict=Verdict.HOLDS, text=text)


@register_guarantee(
    "one owner",
    "compares assignments and epochs, not the requests that upstreams ran",
)
def check_shard_owners(records: AuditRecords) -> Evidence:
    """Check that instances agree on the upstream of each shard epoch."""
    upstreams_by_epoch: dict[tuple[Any, ...], set[str]] = (
        collections.defaultdict(set)
    )
    for row in records.rows("shards"):
        key = (row["service"], row["shard"], row["epoch"])
        upstreams_by_epoch[key].add(row["upstream"])
    violations = [
        f"{service}/{shard} epoch {epoch}: {', '.join(sorted(upstreams))}"
        for (service, shard, epoch), upstreams in upstreams_by_epoch.items()
        if len(upstreams) > 1
    ]
    return _evaluate(
        violations,
        len(upstreams_by_epoch),
        f"{len(upstreams_by_epoch)} epochs, one owner each",
    )


@register_guarantee(
    "configuration in force and never reverting",
    "durations compare wall clocks of different instances; instances that"
    " joined later or have left are not counted",
)
def check_configuration_versions(records: AuditRecords) -> Evidence:
    """Check the order in which versions were applied, and the delay."""
    violations = []
    latest_versions: dict[tuple[str, int, str], int] = {}
    first_times = records.first_event_times()
    apply_times = records.apply_times_by_version(
        events.EventKind.CONFIGURATION_IN_FORCE
    )
    for row in records.events_of_kind(events.EventKind.CONFIGURATION_IN_FORCE):
        kind, name = row["detail"].split(" ")[:2]
        key = (row["instance"], row["incarnation"], f"{kind} {name}")
        if row["version"] < latest_versions.get(key, 0):
            violations.append(f"{key[2]} was reverted on {row['instance']}")
        latest_versions[key] = row["version"]
    max_delay = 0.0
    accepted = records.events_of_kind(events.EventKind.COMMAND_ACCEPTED)
    start_times = {
        instance: time for (instance, _), time in sorted(first_times.items())
    }
    for row in accepted:
        for instance, time in apply_times.get(row["version"], {}).items():
            if start_times[instance] < row["time"]:
                max_delay = max(max_delay, time - row["time"])
    if max_delay > APPLY_BOUND_SECONDS:
        violations.append(
            f"a change was in force only after {max_delay:.1f} s"
        )
    text = (
        f"{len(accepted)} changes, the slowest in force in {max_delay:.3f} s"
    )
    return _evaluate(violations, len(accepted), text)


@register_guarantee(
    "withdrawn key stops within seconds",
    "compares when instances applied the withdrawal, not their responses",
)
def check_key_withdrawals(records: AuditRecords) -> Evidence:
    """Check that all instances applied each withdrawal in time."""
    times_by_version = records.apply_times_by_version(
        events.EventKind.KEY_WITHDRAWN
    )
    start_times = {
        instance: time
        for (instance, _), time in sorted(records.first_event_times().items())
    }
    violations = []
    max_delay = 0.0
    for version, apply_times in times_by_version.items():
        first_time = min(apply_times.values())
        apply_times = {
            instance: time
            for instance, time in apply_times.items()
            if start_times[instance] < first_time
        }
        spread = max(apply_times.values(), default=first_time) - first_time
        max_delay = max(max_delay, spread)
        running = {
            instance
            for instance, time in start_times.items()
            if time < first_time
        }
        not_applied = (records.members & running) - set(apply_times)
        if not_applied and not records.dropped_count:
            violations.append(
                f"version {version}: not on {', '.join(sorted(not_applied))}"
            )
        if spread > APPLY_BOUND_SECONDS:
            violations.append(f"version {version}: {spread:.1f} s apart")
    text = (
        f"{len(times_by_version)} withdrawals, at most {max_delay:.3f} s apart"
    )
    return _evaluate(violations, len(times_by_version), text)


@register_guarantee(
    "rate and burst over all instances",
    "compares the tokens held at present, sampled at slightly different"
    " times, not the admitted requests",
)
def check_token_totals(records: AuditRecords) -> Evidence:
    """Check that all tokens of a workspace are within its burst.

    The samples are not simultaneous, so a larger sum is no proof of a
    violation.
    """
    tokens_by_workspace: dict[str, float] = collections.defaultdict(float)
    bursts_by_workspace: dict[str, float] = {}
    for row in records.rows("limits"):
        tokens_by_workspace[row["workspace"]] += row["tokens"]
        bursts_by_workspace[row["workspace"]] = row["burst"]
    exceeded = [
        name
        for name in bursts_by_workspace
        if tokens_by_workspace[name] > bursts_by_workspace[name] + 1
    ]
    if exceeded:
        text = f"more tokens than burst for {', '.join(sorted(exceeded))}"
        return Evidence(verdict=Verdict.NOT_SHOWN, text=text)
    text = (
        f"{len(bursts_by_workspace)} workspaces hold no more than their burst"
    )
    return _evaluate([], len(bursts_by_workspace), text)


def _register_unobserved(name: str, limitation: str) -> None:
    """Register a guarantee for which no events are recorded yet."""

    @register_guarantee(name, limitation)
    def check_nothing(records: AuditRecords) -> Evidence:
        return Evidence(verdict=Verdict.NOT_SHOWN, text="nothing recorded")


for _name, _limitation in (
    ("acknowledged assignment survives", "needs events of shard moves"),
    (
        "cold upstream gets no more load than its ramp",
        "needs admission events",
    ),
    (
        "data centre out of service gets no new requests",
        "needs request events",
    ),
    ("response is complete and for its request", "needs records of callers"),
    ("request reported as not run was not run", "needs records of upstreams"),
    ("non-idempotent request runs at most once", "needs records of upstreams"),
    ("draining upstream gets no new requests", "needs request events"),
    ("graceful shutdown cuts no request", "needs shutdown events"),
):
    _register_unobserved(_name, _limitation)
