"""Tests of who plans for a service."""

from dragonflyshelf.core import ids
from dragonflyshelf.core.membership import objects as membership
from dragonflyshelf.core.ownership import planners
from dragonflyshelf.core.ownership import topology

HOMES = {"i0": "a", "i1": "a", "i2": "b", "i3": "b", "i4": "c"}
PATIENCE = 0.5
SERVICE = ids.ServiceName("letters")


def known(homes: dict[str, str]) -> topology.Topology:
    """Return a topology of instances in data centres."""
    members = tuple(
        membership.Member(
            instance=ids.InstanceId(name),
            incarnation=ids.Incarnation(1),
            host="127.0.0.1",
            peer_port=1,
            operator_port=2,
        )
        for name in homes
    )
    return topology.Topology(
        members=members,
        serving=members,
        homes_by_instance={
            ids.InstanceId(name): ids.DataCentreId(home)
            for name, home in homes.items()
        },
        upstreams_by_service={},
        closed_data_centres=frozenset(),
    )


class TestRanked:
    """The planners of a service."""

    def test_data_centres_differ(self) -> None:
        """No two planners share a data centre while there are enough."""
        found = planners.ranked(SERVICE, known(HOMES))
        assert len({HOMES[one] for one in found}) == 3

    def test_one_data_centre(self) -> None:
        """One data centre alone gives several planners too."""
        homes = {name: "a" for name in HOMES}
        assert len(planners.ranked(SERVICE, known(homes))) == 3

    def test_nobody(self) -> None:
        """Without members there is no planner."""
        assert planners.ranked(SERVICE, known({})) == ()


class TestStandIns:
    """A later rank plans only what stays due."""

    def test_first_at_once(self) -> None:
        """The first planner never waits."""
        stand_ins = planners.StandIns(PATIENCE)
        assert stand_ins.may_plan(SERVICE, 0, False, ids.Instant(1.0))

    def test_second_after_patience(self) -> None:
        """The second waits while a change stays due."""
        stand_ins = planners.StandIns(PATIENCE)
        assert not stand_ins.may_plan(SERVICE, 1, True, ids.Instant(1.0))
        assert not stand_ins.may_plan(SERVICE, 1, True, ids.Instant(1.4))
        assert stand_ins.may_plan(SERVICE, 1, True, ids.Instant(1.5))

    def test_wait_begins_again(self) -> None:
        """A change that was made ends the wait."""
        stand_ins = planners.StandIns(PATIENCE)
        stand_ins.may_plan(SERVICE, 1, True, ids.Instant(1.0))
        stand_ins.may_plan(SERVICE, 1, False, ids.Instant(1.2))
        assert not stand_ins.may_plan(SERVICE, 1, True, ids.Instant(1.6))
