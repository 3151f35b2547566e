"""Tests of commands, from the statement to the conditional update."""

import pytest

from dragonflyshelf.core.configuration import checks
from dragonflyshelf.core.configuration import commands
from dragonflyshelf.core.configuration import view
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.language import parser
from dragonflyshelf.core.membership import objects as membership
from dragonflyshelf.core.platform import messages
from dragonflyshelf.core.platform import store
from dragonflyshelf.core import states

SECRET = "a-secret"
SET_UP = (
    "create service letters key_source path shards 64",
    "create workspace fiacail rate 10 burst 20",
    "create upstream u1 service letters host h port 1 data_centre a",
    "create upstream u2 service letters host h port 2 data_centre b",
    "grant key k1 to fiacail",
)


class Operator:
    """Runs commands against a store and keeps a view of it."""

    def __init__(self, shared: store.ObjectStore) -> None:
        """Create an operator who has seen nothing yet."""
        self.store = shared
        self.view = view.ObjectView()
        self._writes = 0

    def watch(self) -> None:
        """Take in all changes since the last time."""
        kinds = frozenset(states.ObjectKind)
        for one in self.store.changes_since(self.view.version, kinds):
            key = messages.ObjectKey(kind=one.kind, name=one.name)
            if one.value is None:
                event = messages.ObjectDeleted(key=key, version=one.version)
            else:
                event = messages.ObjectChanged(
                    key=key,
                    version=one.version,
                    write_id=one.write_ids[0],
                    value=one.value,
                )
            self.view.apply(event)

    def plan(self, text: str) -> commands.Plan:
        """Plan a command on the present view."""
        self._writes += 1
        context = commands.Context(
            view=self.view,
            write_id=ids.WriteId(f"{id(self)}-{self._writes}"),
            new_key=commands.NewKey(secret=SECRET, digest=ids.KeyDigest("d1")),
        )
        return commands.plan(parser.parse(text), context)

    def carry_out(self, plan: commands.Plan) -> None:
        """Apply the update of a plan to the store."""
        write = plan.write
        self.store.put(
            write.key.kind,
            write.key.name,
            write.expected,
            write.write_id,
            write.value,
        )

    def run(self, text: str) -> commands.Plan:
        """Plan and carry out a command, and see it take effect."""
        plan = self.plan(text)
        self.carry_out(plan)
        self.watch()
        return plan


@pytest.fixture(name="operator")
def fixture_operator() -> Operator:
    """Return an operator of a small site."""
    operator = Operator(store.ObjectStore())
    for text in SET_UP:
        operator.run(text)
    return operator


class TestCommands:
    """Each command changes one object."""

    def test_alter(self, operator: Operator) -> None:
        """Settings that are not named stay."""
        operator.run("alter workspace fiacail rate 30")
        value = operator.view.get(states.ObjectKind.WORKSPACE, "fiacail").value
        assert (value.rate, value.burst) == (30, 20)

    def test_drop(self, operator: Operator) -> None:
        """A dropped object is gone."""
        operator.run("create workspace w rate 1 burst 1")
        operator.run("drop workspace w")
        assert operator.view.get(states.ObjectKind.WORKSPACE, "w") is None

    def test_grant(self, operator: Operator) -> None:
        """The object has the digest only; the plan shows the key once."""
        plan = operator.run("grant key k2 to fiacail")
        assert plan.secret == SECRET
        assert SECRET not in repr(plan)
        value = operator.view.get(states.ObjectKind.CALLER_KEY, "k2").value
        assert SECRET not in repr(value)

    def test_withdraw(self, operator: Operator) -> None:
        """A withdrawn key keeps its object."""
        operator.run("withdraw key k1")
        value = operator.view.get(states.ObjectKind.CALLER_KEY, "k1").value
        assert value.withdrawn

    def test_state_without_object(self, operator: Operator) -> None:
        """A data centre has its default state until one is set."""
        operator.run("alter data_centre a state out")
        value = operator.view.get(states.ObjectKind.DATA_CENTRE, "a").value
        assert value.state is states.AdminState.OUT

    @pytest.mark.parametrize(
        ("text", "error"),
        [
            ("alter workspace nobody rate 1", errors.NoSuchObject),
            ("drop data_centre a", errors.NoSuchObject),
            ("withdraw key nobody", errors.NoSuchObject),
            ("create service letters", errors.ObjectExists),
            ("grant key k1 to fiacail", errors.ObjectExists),
            (
                "alter workspace fiacail rate 1 if version 1",
                errors.VersionConflict,
            ),
        ],
    )
    def test_refused(self, operator: Operator, text: str, error: type) -> None:
        """What does not fit the present objects has a code."""
        with pytest.raises(error):
            operator.plan(text)


class TestChecks:
    """A change that breaks a rule is refused before acceptance."""

    @pytest.mark.parametrize(
        ("text", "reason"),
        [
            (
                "create upstream u service x host h port 1 data_centre a",
                "references",
            ),
            ("grant key k9 to nobody", "references"),
            ("drop service letters force", "in use"),
            ("drop workspace fiacail force", "in use"),
            ("drop key k1 force", "withdrawn key"),
            ("alter service letters shards 32 force", "fixed"),
            ("alter upstream u1 port 9 force", "fixed"),
            ("alter upstream u1 slots 200", "slots"),
            ("create workspace w rate 2e7 burst 1", "sum of rates"),
        ],
    )
    def test_refused(self, operator: Operator, text: str, reason: str) -> None:
        """The refusal names the check; force does not help."""
        with pytest.raises(errors.CommandRefused, match=reason):
            operator.plan(text)

    def test_sum_of_shards(self, operator: Operator) -> None:
        """Services together stay under the bound of shards."""
        for number in range(7):
            operator.run(f"create service s{number} shards 8192")
        with pytest.raises(errors.CommandRefused, match="sum of shards"):
            operator.plan("create service last shards 8192")

    def test_last_upstream(self, operator: Operator) -> None:
        """The last upstream in service leaves only by force."""
        operator.run("alter upstream u1 state draining")
        for text in ("drop upstream u2", "alter data_centre b state out"):
            with pytest.raises(errors.CommandRefused, match="last upstream"):
                operator.plan(text)
        plan = operator.run("drop upstream u2 force")
        assert plan.forced

    def test_last_data_centre(self, operator: Operator) -> None:
        """The last data centre leaves only by force."""
        operator.run("alter data_centre a state draining")
        assert "last data centre" in checks.CHECKS
        with pytest.raises(errors.CommandRefused):
            operator.plan("alter data_centre b state out")
        plan = operator.run("alter data_centre b state out force")
        assert any("last data centre" in one for one in plan.forced)

    def test_last_instance(self, operator: Operator) -> None:
        """The last instance leaves only by force."""
        member = membership.Member(
            instance="i1",
            incarnation=1,
            host="h",
            peer_port=1,
            operator_port=2,
        )
        operator.store.put(
            states.ObjectKind.ROSTER,
            "a",
            0,
            "w",
            membership.Roster(data_centre="a", members=(member,)),
        )
        operator.watch()
        with pytest.raises(errors.CommandRefused, match="last instance"):
            operator.plan("alter instance i1 state out")


class TestRaces:
    """Of two operators who race on an object, one wins."""

    def test_two_plans_of_one_version(self, operator: Operator) -> None:
        """The second update conflicts although both plans were good."""
        other = Operator(operator.store)
        other.watch()
        first = operator.plan("alter workspace fiacail rate 1")
        second = other.plan("alter workspace fiacail rate 2")
        operator.carry_out(first)
        with pytest.raises(errors.VersionConflict):
            other.carry_out(second)

    def test_expected_version(self, operator: Operator) -> None:
        """An old expected version is a conflict that names the present."""
        kind = states.ObjectKind.WORKSPACE
        version = operator.view.version_of(kind, "fiacail")
        operator.run(f"alter workspace fiacail rate 1 if version {version}")
        present = operator.view.version_of(kind, "fiacail")
        with pytest.raises(errors.VersionConflict, match=str(present)):
            operator.plan(
                f"alter workspace fiacail rate 2 if version {version}"
            )

    def test_two_creations(self, operator: Operator) -> None:
        """Two operators cannot both create one name."""
        other = Operator(operator.store)
        other.watch()
        second = other.plan("create workspace w rate 2 burst 2")
        operator.run("create workspace w rate 1 burst 1")
        with pytest.raises(errors.VersionConflict):
            other.carry_out(second)
