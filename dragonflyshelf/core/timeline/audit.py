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

IN_FORCE_SECONDS: Final = 17.0
"""Bound on the time until all instances have applied a change."""

TABLES: Final = (
    "limits",
    "members",
    "shards",
    "timeline",
    "timeline_counts",
)


class Verdict(enum.Enum):
    """Result of the check of a guarantee."""

    HOLDS = "holds"
    NOT_SHOWN = "not shown"
    VIOLATED = "violated"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """Verdict on a guarantee, the evidence and the check's limitations."""

    promise: str
    verdict: str
    evidence: str
    limits: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Evidence:
    """Verdict of a check and the measurements that support it."""

    verdict: Verdict
    text: str


Row = dict[str, Any]


class Records:
    """Rows of the tables of all instances as dictionaries by column."""

    def __init__(
        self, tables_by_name: dict[str, tables.ResultTable], missing: int
    ) -> None:
        """Create the records; ``missing`` counts silent instances."""
        self.missing = missing
        self._rows_by_table = {
            name: [
                dict(zip(one.columns, row, strict=True)) for row in one.rows
            ]
            for name, one in tables_by_name.items()
        }

    def rows(self, table: str) -> list[Row]:
        """Return the rows of a table, none if it is missing."""
        return self._rows_by_table.get(table, [])

    def of_kind(self, kind: events.EventKind) -> list[Row]:
        """Return the events of a kind in causal order."""
        found = [
            one for one in self.rows("timeline") if one["kind"] == kind.value
        ]
        return sorted(found, key=lambda one: (one["stamp"], one["instance"]))

    @property
    def dropped(self) -> int:
        """Return how many events were dropped from the timelines."""
        return sum(one["dropped"] for one in self.rows("timeline_counts"))

    def began(self) -> dict[tuple[str, int], float]:
        """Return the time of the first retained event by incarnation."""
        found: dict[tuple[str, int], float] = {}
        for row in self.rows("timeline"):
            key = (row["instance"], row["incarnation"])
            found[key] = min(found.get(key, row["time"]), row["time"])
        return found

    def applied(self, kind: events.EventKind) -> dict[int, dict[str, float]]:
        """Return when each instance applied each version.

        Events at the time of an incarnation's first event are left out:
        an instance lists all objects at its start, so that time does not
        show how fast a version was applied.
        """
        began = self.began()
        found: dict[int, dict[str, float]] = collections.defaultdict(dict)
        for row in self.of_kind(kind):
            if began[row["instance"], row["incarnation"]] < row["time"]:
                found[row["version"]].setdefault(row["instance"], row["time"])
        return found

    @property
    def instances(self) -> set[str]:
        """Return the instances that the rosters list."""
        return {one["instance"] for one in self.rows("members")}


Check = abc.Callable[[Records], Evidence]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Promise:
    """A guarantee's check, and what the check cannot observe."""

    check: Check
    limits: str


PROMISES: Final[registry.Registry[str, Promise]] = registry.Registry(
    "guarantees"
)


def promise(name: str, limits: str) -> abc.Callable[[Check], Check]:
    """Return a decorator that registers the check of a guarantee."""

    def decorate(check: Check) -> Check:
        PROMISES.register(name)(Promise(check=check, limits=limits))
        return check

    return decorate


def audit(records: Records) -> tuple[Finding, ...]:
    """Check all guarantees; return a finding for each."""
    gaps = ""
    if records.dropped:
        gaps += f"; {records.dropped} events were dropped"
    if records.missing:
        gaps += f"; {records.missing} instances did not answer"
    found = []
    for name in PROMISES:
        one = PROMISES.get(name)
        evidence = one.check(records)
        found.append(
            Finding(
                promise=name,
                verdict=evidence.verdict.value,
                evidence=evidence.text,
                limits=one.limits + gaps,
            )
        )
    return tuple(found)


def _verdict(bad: list[str], seen: int, text: str) -> Evidence:
    if bad:
        return Evidence(verdict=Verdict.VIOLATED, text="; ".join(bad[:5]))
    if not seen:
        return Evidence(verdict=Verdict.NOT_SHOWN, text="nothing recorded")
    return Evidence(verdict=Verdict.HOLDS, text=text)


@promise(
    "one owner",
    "compares assignments and epochs, not the requests that upstreams ran",
)
def one_owner(records: Records) -> Evidence:
    """Check that instances agree on the upstream of each shard epoch."""
    owners: dict[tuple[Any, ...], set[str]] = collections.defaultdict(set)
    for row in records.rows("shards"):
        key = (row["service"], row["shard"], row["epoch"])
        owners[key].add(row["upstream"])
    bad = [
        f"{service}/{shard} epoch {epoch}: {', '.join(sorted(found))}"
        for (service, shard, epoch), found in owners.items()
        if len(found) > 1
    ]
    return _verdict(bad, len(owners), f"{len(owners)} epochs, one owner each")


@promise(
    "configuration in force and never reverting",
    "durations compare wall clocks of different instances; instances that"
    " joined later or have left are not counted",
)
def in_force(records: Records) -> Evidence:
    """Check the order in which versions were applied, and the delay."""
    bad = []
    latest: dict[tuple[str, int, str], int] = {}
    began = records.began()
    seen = records.applied(events.EventKind.CONFIGURATION_IN_FORCE)
    for row in records.of_kind(events.EventKind.CONFIGURATION_IN_FORCE):
        kind, name = row["detail"].split(" ")[:2]
        key = (row["instance"], row["incarnation"], f"{kind} {name}")
        if row["version"] < latest.get(key, 0):
            bad.append(f"{key[2]} was reverted on {row['instance']}")
        latest[key] = row["version"]
    worst = 0.0
    accepted = records.of_kind(events.EventKind.COMMAND_ACCEPTED)
    started = {name: at for (name, _), at in sorted(began.items())}
    for row in accepted:
        for name, time in seen.get(row["version"], {}).items():
            if started[name] < row["time"]:
                worst = max(worst, time - row["time"])
    if worst > IN_FORCE_SECONDS:
        bad.append(f"a change was in force after {worst:.1f} s only")
    text = f"{len(accepted)} changes, the slowest in force in {worst:.3f} s"
    return _verdict(bad, len(accepted), text)


@promise(
    "withdrawn key stops within seconds",
    "compares when instances applied the withdrawal, not their responses",
)
def withdrawn(records: Records) -> Evidence:
    """Check that all instances applied each withdrawal in time."""
    times = records.applied(events.EventKind.KEY_WITHDRAWN)
    started = {name: at for (name, _), at in sorted(records.began().items())}
    bad = []
    worst = 0.0
    for version, found in times.items():
        first = min(found.values())
        found = {
            name: at for name, at in found.items() if started[name] < first
        }
        spread = max(found.values(), default=first) - first
        worst = max(worst, spread)
        ran = {name for name, at in started.items() if at < first}
        absent = (records.instances & ran) - set(found)
        if absent and not records.dropped:
            bad.append(
                f"version {version}: not on {', '.join(sorted(absent))}"
            )
        if spread > IN_FORCE_SECONDS:
            bad.append(f"version {version}: {spread:.1f} s apart")
    text = f"{len(times)} withdrawals, at most {worst:.3f} s apart"
    return _verdict(bad, len(times), text)


@promise(
    "rate and burst over all instances",
    "compares the tokens held at present, sampled at slightly different"
    " times, not the admitted requests",
)
def rate_and_burst(records: Records) -> Evidence:
    """Check that all tokens of a workspace are within its burst.

    The samples are not simultaneous, so a larger sum is no proof of a
    violation.
    """
    tokens: dict[str, float] = collections.defaultdict(float)
    bursts: dict[str, float] = {}
    for row in records.rows("limits"):
        tokens[row["workspace"]] += row["tokens"]
        bursts[row["workspace"]] = row["burst"]
    over = [name for name in bursts if tokens[name] > bursts[name] + 1]
    if over:
        text = f"more tokens than burst for {', '.join(sorted(over))}"
        return Evidence(verdict=Verdict.NOT_SHOWN, text=text)
    text = f"{len(bursts)} workspaces hold no more than their burst"
    return _verdict([], len(bursts), text)


def _unrecorded(name: str, reason: str) -> None:
    """Register a guarantee for which no events are recorded yet."""

    @promise(name, reason)
    def not_shown(records: Records) -> Evidence:
        return Evidence(verdict=Verdict.NOT_SHOWN, text="nothing recorded")


for _name, _reason in (
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
    _unrecorded(_name, _reason)
