"""Tests of the account of the bytes that connections hold."""

import hypothesis
from hypothesis import strategies

from dragonflyshelf.core import ids
from dragonflyshelf.core.memory import account
from dragonflyshelf.core.memory import messages

KIB = 1024
SUM_BYTES = 1024 * KIB
NOW = ids.Instant(100.0)
HOLDER_IDS = strategies.integers(0, 9).map(ids.HolderId)
EVENTS = strategies.one_of(
    strategies.builds(
        messages.HoldingChanged,
        holder=HOLDER_IDS,
        held_bytes=strategies.integers(0, 300 * KIB),
        moved_bytes=strategies.integers(0, 300 * KIB),
    ),
    strategies.builds(messages.HoldingEnded, holder=HOLDER_IDS),
)


def report(
    byte_account: account.ByteAccount,
    number: int,
    held_bytes: int,
    moved_bytes: int = 0,
    now: ids.Instant = NOW,
) -> list[ids.HolderId]:
    """Report a holding; return the holders to be closed."""
    effects = byte_account.handle(
        messages.HoldingChanged(
            holder=ids.HolderId(number),
            held_bytes=held_bytes,
            moved_bytes=moved_bytes,
        ),
        now,
    )
    return [effect.holder for effect in effects]


class TestSum:
    """The sum is what the open connections hold."""

    @hypothesis.given(events=strategies.lists(EVENTS, max_size=40))
    def test_any_order(self, events: list[messages.MemoryEvent]) -> None:
        """The sum follows reports and ends in any order."""
        byte_account = account.ByteAccount(SUM_BYTES)
        held_by_holder: dict[ids.HolderId, int] = {}
        for event in events:
            byte_account.handle(event, NOW)
            if isinstance(event, messages.HoldingChanged):
                held_by_holder[event.holder] = event.held_bytes
            else:
                held_by_holder.pop(event.holder, None)
            assert byte_account.held_bytes == sum(
                held_by_holder.values()
            ) + account.CONNECTION_BYTES * len(held_by_holder)
            assert byte_account.holder_count == len(held_by_holder)

    def test_connections_that_hold_nothing(self) -> None:
        """Their number is limited by the memory that each one takes."""
        byte_account = account.ByteAccount(SUM_BYTES)
        limit = SUM_BYTES // account.CONNECTION_BYTES
        for number in range(limit):
            assert report(byte_account, number, 0) == []
        assert report(byte_account, limit, 0)


class TestRelease:
    """Over the limit, the connections that stand still are closed."""

    def test_below_limit(self) -> None:
        """Nothing is closed below the limit."""
        byte_account = account.ByteAccount(SUM_BYTES)
        assert report(byte_account, 1, SUM_BYTES // 2) == []

    def test_holds_most(self) -> None:
        """Of those that move nothing, the one that holds most is closed."""
        byte_account = account.ByteAccount(SUM_BYTES)
        report(byte_account, 1, 300 * KIB)
        report(byte_account, 2, 500 * KIB)
        assert report(byte_account, 3, 200 * KIB) == [2]

    def test_moves_least(self) -> None:
        """One that moves is kept, also if it holds more."""
        byte_account = account.ByteAccount(SUM_BYTES)
        report(byte_account, 1, 500 * KIB, moved_bytes=500 * KIB)
        report(byte_account, 2, 300 * KIB)
        assert report(byte_account, 3, 200 * KIB) == [2]

    def test_moved_long_ago(self) -> None:
        """What moved long ago no longer counts."""
        byte_account = account.ByteAccount(SUM_BYTES)
        report(byte_account, 1, 500 * KIB, moved_bytes=500 * KIB)
        report(byte_account, 2, 300 * KIB)
        later = ids.Instant(NOW + 60)
        assert report(byte_account, 3, 200 * KIB, now=later) == [1]

    def test_enough_at_once(self) -> None:
        """As many are closed as it takes, and none of them twice."""
        byte_account = account.ByteAccount(SUM_BYTES)
        for number in range(8):
            report(byte_account, number, 90 * KIB)
        released = report(byte_account, 8, 400 * KIB)
        assert released == [8, 0]
        assert report(byte_account, 9, 0) == []

    def test_holds_less_by_now(self) -> None:
        """One that reports again instead may be selected again."""
        byte_account = account.ByteAccount(SUM_BYTES)
        report(byte_account, 1, 900 * KIB)
        assert report(byte_account, 2, 100 * KIB) == [1]
        assert report(byte_account, 1, 10 * KIB) == []
        assert report(byte_account, 1, 990 * KIB) == [1]

    @hypothesis.given(events=strategies.lists(EVENTS, max_size=40))
    def test_sum_returns_below_limit(
        self, events: list[messages.MemoryEvent]
    ) -> None:
        """Once the released are closed, the sum is below its limit."""
        byte_account = account.ByteAccount(SUM_BYTES)
        for event in events:
            for effect in byte_account.handle(event, NOW):
                byte_account.handle(
                    messages.HoldingEnded(holder=effect.holder), NOW
                )
            assert byte_account.held_bytes <= SUM_BYTES
