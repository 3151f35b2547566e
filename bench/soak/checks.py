"""Registry of the checks of the guarantees on the record of an episode.

A check yields a description of each violation.
"""

from collections import abc
import itertools
from typing import Final

from bench import processes
from bench.soak import record
from dragonflyshelf.core import registry

Check = abc.Callable[[record.EpisodeRecord], abc.Iterator[str]]

CHECKS: Final[registry.Registry[str, Check]] = registry.Registry("soak checks")

MAX_STOP_SECONDS: Final = 10.0
"""Time in which an instance must exit after SIGTERM."""

NOT_EXECUTED_STATUSES: Final = frozenset({"408", "421", "429", "503"})
"""Statuses that guarantee that the request is never executed."""

NOT_FOUND_STATUS: Final = "404"
"""Status on a route that is not in force."""

QUOTA_OVERAGE_RATIO: Final = 1.1
"""Ratio to rate and burst that the guarantee allows within a window."""

QUOTA_SLACK_COUNT: Final = 20
"""Requests allowed in a window in addition to that ratio."""

QUOTA_WINDOW_SECONDS: Final = 5.0
"""Sliding window in which the requests of a workspace are counted."""

BACKOFF_GRACE_SECONDS: Final = 0.5
"""Time after a refusal in which further requests may still arrive."""

MAX_BACKOFF_REQUEST_COUNT: Final = 2
"""Requests that may arrive in the rest of the time that was named."""

MAX_RECOVERY_SECONDS: Final = 15.0
"""Time after the last fault in which all requests must succeed again."""

MAX_KEY_REVOCATION_SECONDS: Final = 5.0
"""Time in which a withdrawn key must become invalid everywhere."""

DISRUPTION_GRACE_SECONDS: Final = 3.0
"""Time after a disruption in which an instance's failures are ignored."""


@CHECKS.register("at most once")
def check_at_most_once(episode: record.EpisodeRecord) -> abc.Iterator[str]:
    """Check that orders are executed at most once, and once on success."""
    executed_by_id = episode.executed_requests_by_id()
    for request in episode.observed_requests:
        if request.kind is not record.Kind.ORDER:
            continue
        execution_count = len(executed_by_id.get(request.request_id, ()))
        if execution_count > 1 or (
            request.status == "200" and execution_count != 1
        ):
            yield (
                f"{request.request_id} was executed {execution_count} times,"
                f" status {request.status}"
            )


@CHECKS.register("not run is true")
def check_not_executed(episode: record.EpisodeRecord) -> abc.Iterator[str]:
    """Check that statuses that rule out an execution are true."""
    executed_by_id = episode.executed_requests_by_id()
    for request in episode.observed_requests:
        if request.status in NOT_EXECUTED_STATUSES and executed_by_id.get(
            request.request_id
        ):
            yield f"{request.request_id} was executed, status {request.status}"


@CHECKS.register("own whole answers")
def check_responses(episode: record.EpisodeRecord) -> abc.Iterator[str]:
    """Check that a success has the upstream's response to that request."""
    for request in episode.observed_requests:
        if request.status == "200" and not request.is_response_valid:
            yield f"{request.request_id} got a wrong or incomplete response"


@CHECKS.register("workspaces and keys")
def check_workspaces(episode: record.EpisodeRecord) -> abc.Iterator[str]:
    """Check the workspace of executed requests, and for caller keys."""
    observed_by_id = {
        request.request_id: request for request in episode.observed_requests
    }
    for request_id, executed in episode.executed_requests_by_id().items():
        observed_request = observed_by_id.get(request_id)
        for execution in executed:
            if execution.had_caller_key:
                yield f"an upstream received the caller key of {request_id}"
            if (
                observed_request is not None
                and execution.tenant != observed_request.workspace
            ):
                yield (
                    f"{request_id} was executed for workspace"
                    f" {execution.tenant}"
                )


@CHECKS.register("withdrawn keys")
def check_withdrawn_keys(episode: record.EpisodeRecord) -> abc.Iterator[str]:
    """Check that a withdrawn key becomes invalid in time."""
    executed_by_id = episode.executed_requests_by_id()
    for request in episode.observed_requests:
        withdrawn_at = episode.withdrawn_at_by_workspace.get(request.workspace)
        if (
            withdrawn_at is None
            or request.sent_at < withdrawn_at + MAX_KEY_REVOCATION_SECONDS
        ):
            continue
        if executed_by_id.get(request.request_id):
            delay = request.sent_at - withdrawn_at
            yield (
                f"{request.request_id} was executed {delay:.1f} s after the"
                " withdrawal of its key"
            )


@CHECKS.register("leaving upstreams")
def check_leaving_upstreams(
    episode: record.EpisodeRecord,
) -> abc.Iterator[str]:
    """Check that instances in touch leave leaving upstreams alone in time."""
    instance_by_id = {
        request.request_id: request.instance
        for request in episode.observed_requests
    }
    executed_by_upstream = {
        server.name: server.executed_requests for server in episode.upstreams
    }
    for leaving in episode.leavings:
        late_from = leaving.started_at + processes.PROMISED_CHANGE_SECONDS
        for execution in executed_by_upstream[leaving.upstream]:
            instance = instance_by_id.get(execution.request_id)
            arrived_at = execution.arrived_at
            if instance is None or arrived_at <= late_from:
                continue
            if arrived_at >= leaving.ended_at:
                continue
            if episode.was_in_touch(
                instance, leaving.started_at, arrived_at
            ) and episode.was_link_sound(leaving.upstream, arrived_at):
                yield (
                    f"{execution.request_id} reached {leaving.upstream} from"
                    f" {instance} {arrived_at - leaving.started_at:.2f} s"
                    " after it began to leave"
                )


@CHECKS.register("leaving upstreams by their responses")
def check_leaving_responses(
    episode: record.EpisodeRecord,
) -> abc.Iterator[str]:
    """Check that an instance that was told so leaves an upstream alone."""
    for told in episode.told_notices():
        if told.notice.backoff_seconds:
            continue
        told_at = told.notice.responded_at
        for request, _ in told.later_arrivals:
            delay = request.sent_at - told_at
            if delay <= processes.PROMISED_CHANGE_SECONDS:
                continue
            if not episode.was_interrupted(
                told.instance, told_at, request.ended_at
            ):
                yield (
                    f"{request.request_id}, sent to {told.instance}"
                    f" {delay:.2f} s after {told.upstream_name} had told it"
                    " that it leaves, arrived there"
                )


@CHECKS.register("upstreams that want nothing for a time")
def check_backoffs(episode: record.EpisodeRecord) -> abc.Iterator[str]:
    """Check that an instance keeps to the time that an upstream named."""
    for told in episode.told_notices():
        told_at = told.notice.responded_at
        until = told_at + told.notice.backoff_seconds
        arrival_count = sum(
            told_at + BACKOFF_GRACE_SECONDS < arrived_at < until
            for _, arrived_at in told.later_arrivals
        )
        if arrival_count <= MAX_BACKOFF_REQUEST_COUNT:
            continue
        if episode.was_interrupted(told.instance, told_at, until):
            continue
        if episode.was_link_sound(told.upstream_name, until):
            yield (
                f"{arrival_count} requests reached {told.upstream_name} from"
                f" {told.instance}, told to wait"
                f" {told.notice.backoff_seconds:.2f} s"
            )


@CHECKS.register("configurations in force")
def check_configurations(episode: record.EpisodeRecord) -> abc.Iterator[str]:
    """Check that instances in touch apply a configuration in time."""
    for probe in episode.route_probes:
        if not probe.status.isdigit():
            continue
        if (probe.status != NOT_FOUND_STATUS) is probe.is_added:
            continue
        if episode.was_in_touch(
            probe.instance, probe.changed_at, probe.sent_at
        ):
            change = "added" if probe.is_added else "removed"
            yield (
                f"{probe.instance} responded with {probe.status} on"
                f" {probe.prefix}, {change}"
                f" {probe.sent_at - probe.changed_at:.2f} s before"
            )


@CHECKS.register("one holder")
def check_shard_holders(episode: record.EpisodeRecord) -> abc.Iterator[str]:
    """Check that no shard key was held by two upstreams at a time."""
    yield from episode.double_grants


@CHECKS.register("rates")
def check_rates(episode: record.EpisodeRecord) -> abc.Iterator[str]:
    """Check that no workspace exceeds its rate and burst."""
    workspace_by_id = {
        request.request_id: request.workspace
        for request in episode.observed_requests
    }
    bound = (
        episode.max_requests_per_second
        * (QUOTA_WINDOW_SECONDS + 1)
        * QUOTA_OVERAGE_RATIO
        + QUOTA_SLACK_COUNT
    )
    starts = sorted(
        (workspace_by_id.get(request_id, ""), executed[0].started_at)
        for request_id, executed in episode.executed_requests_by_id().items()
    )
    for workspace, group in itertools.groupby(
        starts, key=lambda start: start[0]
    ):
        start_times = [started_at for _, started_at in group]
        first_index = 0
        for last_index, started_at in enumerate(start_times):
            while start_times[first_index] < started_at - QUOTA_WINDOW_SECONDS:
                first_index += 1
            if last_index - first_index + 1 > bound:
                yield (
                    f"{workspace}: {last_index - first_index + 1} in a window,"
                    f" bound {bound}"
                )
                break


@CHECKS.register("no request is lost")
def check_lost_requests(episode: record.EpisodeRecord) -> abc.Iterator[str]:
    """Check that executed requests get a response, even at shutdown."""
    executed_by_id = episode.executed_requests_by_id()
    for request in episode.observed_requests:
        if request.status.isdigit() or not executed_by_id.get(
            request.request_id
        ):
            continue
        if not episode.was_disrupted(request, DISRUPTION_GRACE_SECONDS):
            yield (
                f"{request.request_id} at {request.instance} executed:"
                f" {request.status}"
            )


@CHECKS.register("nothing is held")
def check_deadlines(episode: record.EpisodeRecord) -> abc.Iterator[str]:
    """Check that every request ends by its deadline."""
    max_seconds = processes.DEADLINE_MS / 1000 + 0.5
    for request in episode.observed_requests:
        duration = request.ended_at - request.sent_at
        if duration < max_seconds or episode.was_disrupted(
            request, DISRUPTION_GRACE_SECONDS
        ):
            continue
        yield (
            f"{request.request_id} at {request.instance} took"
            f" {duration:.1f} s"
        )


@CHECKS.register("ends in time")
def check_stop_times(episode: record.EpisodeRecord) -> abc.Iterator[str]:
    """Check that instances exit in time after SIGTERM."""
    for name, stop_seconds in episode.stop_seconds_by_instance.items():
        for seconds in stop_seconds:
            if seconds >= MAX_STOP_SECONDS:
                yield f"{name} had not exited {seconds:.1f} s after SIGTERM"


@CHECKS.register("recovery")
def check_recovery(episode: record.EpisodeRecord) -> abc.Iterator[str]:
    """Check that all requests succeed in time after the last fault."""
    if episode.recovery_seconds is None:
        yield f"requests fail {MAX_RECOVERY_SECONDS} s after the last fault"


@CHECKS.register("ready after a start")
def check_readiness(episode: record.EpisodeRecord) -> abc.Iterator[str]:
    """Check that started instances become ready in time."""
    for reason in episode.readiness_failures:
        yield f"after {processes.READY_SECONDS} s: {reason}"
