"""Joins what upstreams ran with what callers were told.

Pure functions over the accounts of a run; each returns what it found
wrong, so that an empty report is the claim that nothing was.
"""

import collections
from collections import abc
import dataclasses
import enum

from bench import answers
from bench import windows
from stand_ins import account

NOT_RUN = "not-run"
RATE_TOLERANCE = 1e-6
TIMEOUT = "timeout"


class Violation(enum.Enum):
    """Kinds of broken promises."""

    CALLER_KEY_SEEN = "caller_key_seen"
    CROSSED = "crossed"
    DOUBLED = "doubled"
    FALSE_NOT_RUN = "false_not_run"
    LOST = "lost"
    OVER_RATE = "over_rate"
    WRONG_OWNER = "wrong_owner"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finding:
    """One broken promise; ``subject`` names request, shard or workspace."""

    violation: Violation
    subject: str
    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limit:
    """Rate in requests a second and burst in requests of a workspace."""

    rate: float
    burst: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accounts:
    """All that is known of a run.

    ``missing`` names upstreams whose account was lost with them; what
    was answered by them is not called lost.
    """

    runs: tuple[account.Run, ...]
    answers: tuple[answers.Answer, ...]
    limits_by_workspace: dict[str, Limit] = dataclasses.field(
        default_factory=dict
    )
    missing: frozenset[str] = frozenset()


Check = abc.Callable[[Accounts], list[Finding]]


def check(accounts: Accounts) -> list[Finding]:
    """Return every finding of every check."""
    return [finding for one in CHECKS for finding in one(accounts)]


def counts(findings: list[Finding]) -> dict[str, int]:
    """Return the number of findings of each kind, zeros included."""
    by_kind = collections.Counter(one.violation for one in findings)
    return {kind.value: by_kind[kind] for kind in Violation}


def find_doubled(accounts: Accounts) -> list[Finding]:
    """Find non-idempotent requests that ran more than once."""
    runs = _runs_by_request(accounts)
    idempotent = {one.request_id: one.idempotent for one in accounts.answers}
    return [
        Finding(
            violation=Violation.DOUBLED,
            subject=request_id,
            detail=", ".join(one.upstream for one in found),
        )
        for request_id, found in runs.items()
        if len(found) > 1 and not idempotent.get(request_id, True)
    ]


def find_lost(accounts: Accounts) -> list[Finding]:
    """Find answers of 200 without a run, and requests without an end."""
    runs = _runs_by_request(accounts)
    unanswered = [
        Finding(
            violation=Violation.LOST,
            subject=one.request_id,
            detail="never answered",
        )
        for one in accounts.answers
        if one.error == TIMEOUT
    ]
    return unanswered + [
        Finding(
            violation=Violation.LOST,
            subject=one.request_id,
            detail=f"answered by {one.upstream}",
        )
        for one in accounts.answers
        if one.status == answers.STATUS_OK
        and one.request_id not in runs
        and one.upstream not in accounts.missing
    ]


def find_false_not_run(accounts: Accounts) -> list[Finding]:
    """Find refusals that said not-run of a request that ran."""
    runs = _runs_by_request(accounts)
    return [
        Finding(
            violation=Violation.FALSE_NOT_RUN,
            subject=one.request_id,
            detail=f"status {one.status} {one.code}",
        )
        for one in accounts.answers
        if one.outcome == NOT_RUN and one.request_id in runs
    ]


def find_crossed(accounts: Accounts) -> list[Finding]:
    """Find answers to another request than the caller's own."""
    return [
        Finding(
            violation=Violation.CROSSED,
            subject=one.request_id,
            detail=f"got the answer to {one.body_request_id}",
        )
        for one in accounts.answers
        if one.status == answers.STATUS_OK
        and one.body_request_id != one.request_id
    ]


def find_caller_keys(accounts: Accounts) -> list[Finding]:
    """Find runs in which the upstream saw a caller key."""
    return [
        Finding(
            violation=Violation.CALLER_KEY_SEEN,
            subject=one.request_id,
            detail=one.upstream,
        )
        for one in accounts.runs
        if one.saw_caller_key
    ]


def find_wrong_owner(accounts: Accounts) -> list[Finding]:
    """Find shards run by two upstreams in one epoch or interleaved.

    Epochs of a shard only grow, so in order of time a run of an older
    epoch after one of a newer epoch has run at a former owner.
    """
    by_shard = collections.defaultdict(list)
    for one in accounts.runs:
        if one.shard >= 0:
            by_shard[_service(one), one.shard].append(one)
    found = []
    for (service, shard), runs in by_shard.items():
        runs.sort(key=lambda one: one.at)
        found.extend(_owner_findings(f"{service}/{shard}", runs))
    return found


def _owner_findings(subject: str, runs: list[account.Run]) -> list[Finding]:
    owner_by_epoch: dict[int, str] = {}
    newest = -1
    found = []
    for one in runs:
        owner = owner_by_epoch.setdefault(one.epoch, one.upstream)
        if owner != one.upstream:
            detail = f"epoch {one.epoch} at {owner} and {one.upstream}"
        elif one.epoch < newest:
            detail = f"epoch {one.epoch} ran after epoch {newest}"
        else:
            newest = one.epoch
            continue
        found.append(
            Finding(
                violation=Violation.WRONG_OWNER,
                subject=subject,
                detail=detail,
            )
        )
    return found


def find_over_rate(accounts: Accounts) -> list[Finding]:
    """Find workspaces that ran more than rate and burst in a window.

    Each request counts once. It was admitted between the instant at
    which it was meant to be sent and that of its first run.
    """
    asked = {one.request_id: one for one in accounts.answers}
    admitted: dict[str, list[windows.Interval]] = collections.defaultdict(list)
    for request_id, runs in _runs_by_request(accounts).items():
        answer = asked.get(request_id)
        if answer is None:
            continue
        latest = min(one.at for one in runs)
        admitted[answer.workspace].append(
            windows.Interval(earliest=min(answer.at, latest), latest=latest)
        )
    found = []
    for workspace, limit in accounts.limits_by_workspace.items():
        over = windows.most_over(limit.rate, limit.burst, admitted[workspace])
        if over > RATE_TOLERANCE:
            found.append(
                Finding(
                    violation=Violation.OVER_RATE,
                    subject=workspace,
                    detail=f"{over:.2f} requests too many in a window",
                )
            )
    return found


def _runs_by_request(accounts: Accounts) -> dict[str, list[account.Run]]:
    found: dict[str, list[account.Run]] = collections.defaultdict(list)
    for one in accounts.runs:
        found[one.request_id].append(one)
    return found


def _service(run: account.Run) -> str:
    return run.target.split("/", 2)[1]


CHECKS: tuple[Check, ...] = (
    find_caller_keys,
    find_crossed,
    find_doubled,
    find_false_not_run,
    find_lost,
    find_over_rate,
    find_wrong_owner,
)
