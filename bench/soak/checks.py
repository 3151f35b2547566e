"""Registry of the checks of the guarantees on the record of an episode.

A check yields a description of each violation.
"""

from collections import abc
import itertools
from typing import Final

from bench import processes
from bench.soak import record
from dragonflyshelf.core import registry

Check = abc.Callable[[record.Record], abc.Iterator[str]]

CHECKS: Final[registry.Registry[str, Check]] = registry.Registry("soak checks")

END_SECONDS: Final = 10.0
"""Time in which an instance must exit after SIGTERM."""

NOT_RUN: Final = frozenset({"408", "421", "429", "503"})
"""Statuses that guarantee that the request is never executed."""

QUOTA_OVERAGE: Final = 1.1
"""Ratio to rate and burst that the guarantee allows within a window."""

QUOTA_SLACK: Final = 20
"""Requests allowed in a window in addition to that ratio."""

QUOTA_WINDOW: Final = 5.0
"""Sliding window in which the requests of a workspace are counted."""

RECOVERY_SECONDS: Final = 15.0
"""Time after the last fault in which all requests must succeed again."""

REVOKE_SECONDS: Final = 5.0
"""Time in which a withdrawn key must become invalid everywhere."""

SETTLED_SECONDS: Final = 3.0
"""Time after a disruption in which an instance's failures are ignored."""


@CHECKS.register("at most once")
def check_orders(found: record.Record) -> abc.Iterator[str]:
    """Check that orders run at most once, and exactly once on success."""
    runs = found.runs_by_request()
    for one in found.seen:
        if one.kind is not record.Kind.ORDER:
            continue
        count = len(runs.get(one.request_id, ()))
        if count > 1 or (one.status == "200" and count != 1):
            yield (
                f"{one.request_id} was executed {count} times,"
                f" status {one.status}"
            )


@CHECKS.register("not run is true")
def check_refusals(found: record.Record) -> abc.Iterator[str]:
    """Check that statuses that rule out an execution are true."""
    runs = found.runs_by_request()
    for one in found.seen:
        if one.status in NOT_RUN and runs.get(one.request_id):
            yield f"{one.request_id} was executed, status {one.status}"


@CHECKS.register("own whole answers")
def check_answers(found: record.Record) -> abc.Iterator[str]:
    """Check that a success has the upstream's response to that request."""
    for one in found.seen:
        if one.status == "200" and not one.is_whole:
            yield f"{one.request_id} got a wrong or incomplete response"


@CHECKS.register("workspaces and keys")
def check_workspaces(found: record.Record) -> abc.Iterator[str]:
    """Check the workspace of executed requests, and for caller keys."""
    sent = {one.request_id: one for one in found.seen}
    for request_id, runs in found.runs_by_request().items():
        known = sent.get(request_id)
        for run in runs:
            if run.had_caller_key:
                yield f"an upstream received the caller key of {request_id}"
            if known is not None and run.tenant != known.workspace:
                yield f"{request_id} was executed for workspace {run.tenant}"


@CHECKS.register("withdrawn keys")
def check_withdrawn(found: record.Record) -> abc.Iterator[str]:
    """Check that a withdrawn key becomes invalid in time."""
    runs = found.runs_by_request()
    for one in found.seen:
        withdrawn = found.withdrawn_at.get(one.workspace)
        if withdrawn is None or one.sent_at < withdrawn + REVOKE_SECONDS:
            continue
        if runs.get(one.request_id):
            late = one.sent_at - withdrawn
            yield (
                f"{one.request_id} was executed {late:.1f} s after the"
                " withdrawal of its key"
            )


@CHECKS.register("one holder")
def check_holders(found: record.Record) -> abc.Iterator[str]:
    """Check that no shard key was held by two upstreams at a time."""
    yield from found.held_twice


@CHECKS.register("rates")
def check_rates(found: record.Record) -> abc.Iterator[str]:
    """Check that no workspace exceeds its rate and burst."""
    workspace_by_id = {one.request_id: one.workspace for one in found.seen}
    bound = found.rate * (QUOTA_WINDOW + 1) * QUOTA_OVERAGE + QUOTA_SLACK
    starts = sorted(
        (workspace_by_id.get(request_id, ""), runs[0].started_at)
        for request_id, runs in found.runs_by_request().items()
    )
    for name, group in itertools.groupby(starts, key=lambda one: one[0]):
        times = [at for _, at in group]
        first = 0
        for last, at in enumerate(times):
            while times[first] < at - QUOTA_WINDOW:
                first += 1
            if last - first + 1 > bound:
                yield f"{name}: {last - first + 1} in a window, bound {bound}"
                break


@CHECKS.register("no request is lost")
def check_lost(found: record.Record) -> abc.Iterator[str]:
    """Check that executed requests get a response, even at shutdown."""
    runs = found.runs_by_request()
    for one in found.seen:
        if one.status.isdigit() or not runs.get(one.request_id):
            continue
        if not found.was_disturbed(one, SETTLED_SECONDS):
            yield f"{one.request_id} at {one.instance} executed: {one.status}"


@CHECKS.register("nothing is held")
def check_held(found: record.Record) -> abc.Iterator[str]:
    """Check that every request ends by its deadline."""
    deadline = processes.DEADLINE_MS / 1000 + 0.5
    for one in found.seen:
        lasted = one.ended_at - one.sent_at
        if lasted < deadline or found.was_disturbed(one, SETTLED_SECONDS):
            continue
        yield f"{one.request_id} at {one.instance} took {lasted:.1f} s"


@CHECKS.register("ends in time")
def check_ends(found: record.Record) -> abc.Iterator[str]:
    """Check that instances exit in time after SIGTERM."""
    for name, ends in found.ends.items():
        for seconds in ends:
            if seconds >= END_SECONDS:
                yield f"{name} had not exited {seconds:.1f} s after SIGTERM"


@CHECKS.register("recovery")
def check_recovery(found: record.Record) -> abc.Iterator[str]:
    """Check that all requests succeed in time after the last fault."""
    if found.recovered_after is None:
        yield f"requests fail {RECOVERY_SECONDS} s after the last fault"


@CHECKS.register("ready after a start")
def check_ready(found: record.Record) -> abc.Iterator[str]:
    """Check that started instances become ready in time."""
    for reason in found.not_ready:
        yield f"after {processes.READY_SECONDS} s: {reason}"
