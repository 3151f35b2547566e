"""Tests of the readiness of an instance."""

import dataclasses

import pytest

from dragonflyshelf.core.configuration import faults
from dragonflyshelf.core.configuration import readiness
from dragonflyshelf.core import ids
from dragonflyshelf.core.store import messages as store

MAX_AGE = 3.0
STATUS = readiness.ConfigurationStatus(
    version=ids.ConfigurationVersion(5), age=1.0, fault=None
)
FAULT = faults.ObjectFault(
    kind=store.ObjectKind.CONFIGURATION,
    name=ids.ObjectName("main"),
    revision=ids.Revision(42),
    reason="is below zero",
    version="r6",
    place="Limits.Bytes",
    value="-1",
)


class TestReadiness:
    """An instance is ready with a configuration known to be the newest."""

    def test_sound_instance(self) -> None:
        """It is ready, and says which configuration is in force."""
        found = readiness.assess(STATUS, MAX_AGE, False)
        assert found.is_ready
        assert str(found) == "ready\nconfiguration 5 is in force\n"

    @pytest.mark.parametrize(
        ("status", "is_draining", "reason"),
        [
            (STATUS, True, "shutting down"),
            (
                dataclasses.replace(STATUS, version=None),
                False,
                "no valid configuration",
            ),
            (
                dataclasses.replace(STATUS, age=3.1),
                False,
                "last confirmed 3.1 s ago",
            ),
        ],
    )
    def test_obstacle(
        self,
        status: readiness.ConfigurationStatus,
        is_draining: bool,
        reason: str,
    ) -> None:
        """It is not ready, and gives the reason."""
        found = readiness.assess(status, MAX_AGE, is_draining)
        assert not found.is_ready
        assert reason in str(found)

    def test_fault(self) -> None:
        """A version that isn't used is told by an instance that is ready."""
        status = dataclasses.replace(STATUS, fault=FAULT)
        found = readiness.assess(status, MAX_AGE, False)
        assert found.is_ready
        assert (
            "main r6 at revision 42: Limits.Bytes: is below zero, is -1"
            in str(found)
        )


class TestFault:
    """A fault is told once, however often its object is written."""

    def test_new_revision(self) -> None:
        """A later revision with the same fault has the same cause."""
        later = dataclasses.replace(FAULT, revision=ids.Revision(43))
        assert later.is_same_cause(FAULT)

    @pytest.mark.parametrize("field", ["version", "place", "value", "reason"])
    def test_other_cause(self, field: str) -> None:
        """A fault with another version, field, value or reason is new."""
        other = dataclasses.replace(FAULT, **{field: "other"})
        assert not other.is_same_cause(FAULT)
        assert not other.is_same_cause(None)
