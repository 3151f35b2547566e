"""Tests that the checker finds each violation when it is planted."""

import pytest

from bench import answers
from bench import checker
from stand_ins import account
from tests.bench import conftest

Violation = checker.Violation

PLANTED: dict[Violation, tuple[list[account.Run], list[answers.Answer]]] = {
    Violation.CALLER_KEY_SEEN: (
        [conftest.run("a", saw_caller_key=True)],
        [conftest.answer("a")],
    ),
    Violation.CROSSED: (
        [conftest.run("a")],
        [conftest.answer("a", body_request_id="b")],
    ),
    Violation.DOUBLED: (
        [conftest.run("a"), conftest.run("a", at=1.0)],
        [conftest.answer("a")],
    ),
    Violation.FALSE_NOT_RUN: (
        [conftest.run("a")],
        [conftest.answer("a", status=503, outcome="not-run")],
    ),
    Violation.LOST: ([], [conftest.answer("a")]),
    Violation.OVER_RATE: (
        [conftest.run(f"r{n}", at=n * 0.01) for n in range(8)],
        [conftest.answer(f"r{n}", at=n * 0.01) for n in range(8)],
    ),
    Violation.WRONG_OWNER: (
        [conftest.run("a"), conftest.run("b", upstream="u2")],
        [conftest.answer("a"), conftest.answer("b", upstream="u2")],
    ),
}


def accounts(
    runs: list[account.Run], found: list[answers.Answer]
) -> checker.Accounts:
    """Return accounts with a limit of one a second and a burst of five."""
    return checker.Accounts(
        runs=tuple(runs),
        answers=tuple(found),
        limits_by_workspace={"w": checker.Limit(rate=1.0, burst=5.0)},
    )


class TestPlantedViolations:
    """Each violation is found, and only that one."""

    @pytest.mark.parametrize("violation", list(Violation))
    def test_found(self, violation: Violation) -> None:
        """The planted violation is the only kind that is found."""
        findings = checker.check(accounts(*PLANTED[violation]))
        assert {one.violation for one in findings} == {violation}

    def test_nothing_planted(self) -> None:
        """A run as it should be has no finding."""
        runs = [conftest.run(f"r{n}", at=float(n)) for n in range(9)]
        found = [conftest.answer(f"r{n}", at=float(n)) for n in range(9)]
        assert not checker.check(accounts(runs, found))

    def test_older_epoch_after_newer(self) -> None:
        """A former owner that still runs is found."""
        runs = [
            conftest.run("a", epoch=2, upstream="u2", at=1.0),
            conftest.run("b", epoch=1, upstream="u1", at=2.0),
        ]
        findings = checker.find_wrong_owner(accounts(runs, []))
        assert [one.subject for one in findings] == ["s/1"]

    def test_never_answered(self) -> None:
        """A request that ran into the load tool's timeout is lost."""
        found = [conftest.answer("a", status=0, error="timeout")]
        findings = checker.find_lost(accounts([], found))
        assert [one.subject for one in findings] == ["a"]


class TestAllowed:
    """What looks like a violation but is none."""

    def test_idempotent_twice(self) -> None:
        """An idempotent request may run twice."""
        runs = [conftest.run("a"), conftest.run("a", at=1.0)]
        found = [conftest.answer("a", idempotent=True)]
        assert not checker.check(accounts(runs, found))

    def test_lost_account(self) -> None:
        """Runs of an upstream that was killed are not called lost."""
        wanted = checker.Accounts(
            runs=(),
            answers=(conftest.answer("a"),),
            missing=frozenset({"u1"}),
        )
        assert not checker.check(wanted)

    def test_late_runs(self) -> None:
        """Requests that were admitted early and ran late together."""
        runs = [conftest.run(f"r{n}", at=9.0) for n in range(9)]
        found = [conftest.answer(f"r{n}", at=float(n)) for n in range(9)]
        assert not checker.check(accounts(runs, found))


class TestCounts:
    """The counts name every kind."""

    def test_zeros(self) -> None:
        """Kinds without a finding count zero."""
        assert set(checker.counts([]).values()) == {0}
