"""Tests of the delays between failed calls to the store."""

import pytest

from dragonflyshelf.core.store import messages as store
from dragonflyshelf.runtime.store import backoff

FAILURE_COUNT = 10
OUT_OF_TOUCH_SECONDS = 3.0
"""Time after an outage in which promises do not bind an instance."""


def longest_delay(kind: store.ObjectKind, has_followers: bool) -> float:
    """Return the longest delay of several failures in a row."""
    failure_backoff = backoff.Backoff(kind)
    return max(
        failure_backoff.next_delay(has_followers) for _ in range(FAILURE_COUNT)
    )


class TestBackoff:
    """How long an instance does not ask again."""

    def test_lease_after_an_outage(self) -> None:
        """CONFIG: an instance without source finds the leader in time.

        It would otherwise ask only after it is bound by promises again.
        """
        delay = longest_delay(store.ObjectKind.CONTROL, has_followers=False)
        assert delay < OUT_OF_TOUCH_SECONDS / 2

    @pytest.mark.parametrize("kind", list(store.ObjectKind))
    def test_followers_wait(self, kind: store.ObjectKind) -> None:
        """Objects that followers wait for are asked for often."""
        delay = longest_delay(kind, has_followers=True)
        assert delay == backoff.MAX_SECONDS

    def test_objects_of_one_instance(self) -> None:
        """Objects that the leader sends too are asked for less often."""
        kind = store.ObjectKind.REGISTRATION
        delay = longest_delay(kind, has_followers=False)
        assert delay == backoff.MAX_UNSHARED_SECONDS

    def test_success(self) -> None:
        """The first delay after a success is short again."""
        failure_backoff = backoff.Backoff(store.ObjectKind.CONTROL)
        first = failure_backoff.next_delay(False)
        failure_backoff.next_delay(False)
        failure_backoff.reset()
        assert failure_backoff.next_delay(False) == first
