"""Tests of moves for load: the load patterns that they answer."""

import dataclasses

from dragonflyshelf.core.grantor import const
from dragonflyshelf.core.grantor import levelling
from dragonflyshelf.core.grantor import objects
from dragonflyshelf.core.grantor import planning
from dragonflyshelf.core import ids
from dragonflyshelf.core.upstreams import service_times
from tests.core.grantor import world as worlds

SERVICE = worlds.SERVICE
ANSWERS = 100.0
TOTAL = objects.ALL_KEYS
UPSTREAMS = [
    worlds.Upstream(name=ids.UpstreamId(f"u{n}")).registration()
    for n in range(4)
]
ROWS = planning.first_assignments(UPSTREAMS)


def level(
    load: dict[int, float], rows: levelling.Rows = ROWS, **paces: float
) -> levelling.Rows:
    """Return the rows after one look at a load."""
    measured = {
        one.incarnation: service_times.ServiceTimeSum(
            life=one.incarnation,
            seconds=ANSWERS * paces.get(str(one.id), 0.1),
            answers=ANSWERS,
        )
        for one in UPSTREAMS
    }
    return levelling.Leveller(
        rows,
        UPSTREAMS,
        {ids.ShardKey(key): rate for key, rate in load.items()},
        levelling.capacities(UPSTREAMS, measured),
    ).level(const.LEAST_MOVES)


def settled(rows: levelling.Rows) -> levelling.Rows:
    """Return the rows once every move has ended."""
    return tuple(dataclasses.replace(one, is_settled=True) for one in rows)


def loads(
    rows: levelling.Rows, load: dict[int, float]
) -> dict[ids.UpstreamId, float]:
    """Return the named load of each holder."""
    plan = objects.ShardPlan(service=SERVICE, assignments=rows)
    found = {one.id: 0.0 for one in UPSTREAMS}
    for key, rate in load.items():
        row = plan.find(ids.ShardKey(key))
        if key != TOTAL and row is not None:
            found[row.upstream] += rate
    return found


class TestBusyNeighbours:
    """Busy keys that lie close to one another."""

    def test_are_spread(self) -> None:
        """After a few looks no holder has much more than the mean."""
        load = {64 * n: 10.0 for n in range(16)}
        load[TOTAL] = 160.0
        rows = ROWS
        for _ in range(8):
            rows = settled(level(load, rows))
        found = loads(rows, load)
        assert max(found.values()) <= 1.5 * 160.0 / 4

    def test_few_keys_move(self) -> None:
        """Only busy buckets change hands, not whole ranges."""
        load = {64 * n: 10.0 for n in range(16)}
        load[TOTAL] = 160.0
        rows = level(load)
        moved = sum(
            one.last - one.first + 1 for one in rows if not one.is_settled
        )
        assert 0 < moved <= 4 * 2048


class TestOneHotKey:
    """One bucket with much of the traffic."""

    def test_goes_to_the_fastest(self) -> None:
        """The hottest bucket ends at the upstream with most capacity."""
        load = {0: 60.0, TOTAL: 100.0}
        rows = ROWS
        for _ in range(8):
            rows = settled(level(load, rows, u3=0.05))
        plan = objects.ShardPlan(service=SERVICE, assignments=rows)
        row = plan.find(ids.ShardKey(0))
        assert row is not None
        assert row.upstream == "u3"


class TestEvenLoad:
    """Load that is spread as it should be."""

    def test_nothing_moves(self) -> None:
        """An even load moves no key."""
        assert level({TOTAL: 100.0}) == ROWS

    def test_empty_newcomer_gets_some(self) -> None:
        """An upstream without ranges is given a part of the load."""
        rows = planning.first_assignments(UPSTREAMS[:3])
        assert any(one.upstream == "u3" for one in level({TOTAL: 100.0}, rows))


class TestRows:
    """Splitting and joining of ranges."""

    def test_split_keeps_every_key(self) -> None:
        """The parts of a range cover it without a gap."""
        row = ROWS[1]
        first = ids.ShardKey(row.first + 64)
        parts = levelling.split(row, first, ids.ShardKey(first + 63))
        assert [one.first for one in parts] == [row.first, first, first + 64]
        assert parts[-1].last == row.last

    def test_neighbours_are_joined(self) -> None:
        """Settled neighbours of one holder become one range."""
        row = ROWS[0]
        parts = levelling.split(row, ids.ShardKey(64), ids.ShardKey(127))
        assert levelling.merged(list(parts)) == (row,)

    def test_joined_range_has_the_highest_epoch(self) -> None:
        """The epoch never falls when ranges are joined."""
        row = ROWS[0]
        first, second, _ = levelling.split(
            row, ids.ShardKey(64), ids.ShardKey(127)
        )
        higher = dataclasses.replace(second, epoch=ids.Epoch(8))
        (joined,) = levelling.merged([first, higher])
        assert joined.epoch == 8


class TestHotKey:
    """One key with most of the traffic of its holder."""

    def test_neighbours_leave_its_holder(self) -> None:
        """The rest of the holder's keys move, and the hot one stays."""
        load = {0: 80.0, 64: 4.0, 640: 4.0, TOTAL: 120.0}
        before = objects.ShardPlan(service=SERVICE, assignments=ROWS)
        holder = before.find(ids.ShardKey(0)).life
        rows = ROWS
        for _ in range(6):
            rows = settled(level(load, rows))
        after = objects.ShardPlan(service=SERVICE, assignments=rows)
        assert after.find(ids.ShardKey(0)).life == holder
        assert after.find(ids.ShardKey(64)).life != holder
        assert after.find(ids.ShardKey(640)).life != holder

    def test_goes_to_a_much_faster_holder(self) -> None:
        """A hot key moves where it is served much better."""
        load = {0: 80.0, TOTAL: 90.0}
        rows = ROWS
        for _ in range(6):
            rows = settled(level(load, rows, u0=0.2, u1=0.1, u2=0.05, u3=0.1))
        after = objects.ShardPlan(service=SERVICE, assignments=rows)
        assert after.find(ids.ShardKey(0)).upstream == "u2"

    def test_others_are_levelled_meanwhile(self) -> None:
        """Another overloaded holder is helped while a key is hot."""
        load = {0: 80.0, TOTAL: 120.0}
        second = ROWS[1]
        for place in range(4):
            load[second.first + 64 * place] = 10.0
        rows = ROWS
        for _ in range(6):
            rows = settled(level(load, rows))
        most = loads(rows, load)[second.upstream]
        assert most <= 20.0

    def test_moves_go_on_beside_one_that_lasts(self) -> None:
        """A range whose former holder is busy does not stop the rest."""
        load = {64 * n: 10.0 for n in range(16)}
        load[TOTAL] = 160.0
        stuck = planning.moved(ROWS[-1], UPSTREAMS[0])
        rows = level(load, (*ROWS[:-1], stuck))
        assert sum(not one.is_settled for one in rows) > 1
