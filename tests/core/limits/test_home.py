"""Tests of the home of one workspace's tokens."""

from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core import ids
from dragonflyshelf.core.limits import holder as holders
from dragonflyshelf.core.limits import home as homes
from dragonflyshelf.core.limits import messages
from dragonflyshelf.core import settings

START = ids.Instant(100.0)


def opened(workspace: objects.Workspace, held: int = 0) -> homes.Home:
    """Return a home that starts at ``START``."""
    home = homes.Home(workspace, held=held, until=ids.Instant(START + 1))
    home.accrue(START)
    return home


def at(seconds: float) -> ids.Instant:
    """Return an instant after the start."""
    return ids.Instant(START + seconds)


class TestHome:
    """The home never has and lends more than the burst."""

    def test_starts_empty(self, workspace: objects.Workspace) -> None:
        """Nothing is there before it is earned."""
        home = opened(workspace)
        assert home.lend(1, 0, 8, at(1), START) == (0, 0)
        home.accrue(at(0.1))
        assert round(home.tokens, 6) == 20

    def test_held_by_others(self, workspace: objects.Workspace) -> None:
        """What others may still spend counts until their time is over."""
        home = opened(workspace, held=30)
        home.accrue(at(0.9))
        assert home.tokens == 20
        home.accrue(at(2.0))
        assert home.tokens == 50

    def test_lent_until_end(self, workspace: objects.Workspace) -> None:
        """A batch counts as unspent until its end."""
        home = opened(workspace)
        home.accrue(at(1))
        assert home.lend(40, 0, 8, at(2), at(1))[1] == 40
        home.accrue(at(1.9))
        assert home.tokens == 10
        home.accrue(at(2.5))
        assert home.tokens == 50

    def test_given_back_once(self, workspace: objects.Workspace) -> None:
        """A repeated message gives tokens back only once."""
        home = opened(workspace)
        home.accrue(at(1))
        batch, _ = home.lend(40, 0, 8, at(2), at(1))
        closed = (messages.BatchLeft(batch=batch, left=10),)
        home.close(closed, at(1))
        home.close(closed, at(1))
        assert home.tokens == 20

    def test_standing_share(self, workspace: objects.Workspace) -> None:
        """Expected requests get an equal share of what is there."""
        home = opened(workspace)
        home.accrue(at(1))
        assert home.lend(2, 40, 8, at(2), at(1))[1] == 2 + 48 // 8


class TestHolder:
    """A holder spends a batch once and only in its time."""

    def make(self) -> holders.Holder:
        """Return a holder with a batch of two tokens."""
        one = holders.Holder(
            ids.WorkspaceId("w"), settings.LimitSettings(), ids.Incarnation(1)
        )
        home = holders.HomeId(
            instance=ids.InstanceId("h"), claim=ids.ClaimId(7)
        )
        one.accept(home)
        borrow = one.ask(START)
        lend = messages.Lend(
            workspace=one.workspace,
            ask=borrow.ask,
            batch=1,
            tokens=2,
            wait=0.0,
            claim=home.claim,
        )
        one.receive(home, lend, at(0.4))
        one.receive(home, lend, at(0.4))
        return one

    def test_spent_once(self) -> None:
        """A repeated answer adds nothing."""
        one = self.make()
        assert one.spend(at(0.5)) is not None
        assert one.spend(at(0.5)) is not None
        assert one.spend(at(0.5)) is None

    def test_life_from_asking(self) -> None:
        """The life of a batch runs from when it was asked for."""
        one = self.make()
        life = settings.LimitSettings().batch_life
        assert one.spend(at(life)) is None

    def test_other_claim(self) -> None:
        """A batch of an earlier home is not given back to the next."""
        one = self.make()
        other = holders.HomeId(
            instance=ids.InstanceId("g"), claim=ids.ClaimId(9)
        )
        one.accept(other)
        one.close_surplus(at(0.9))
        assert one.take_closed() == ()

    def test_returned(self) -> None:
        """A token of an open batch can be put back."""
        one = self.make()
        batch = one.spend(at(0.5))
        assert batch is not None
        assert one.put_back(batch, at(0.5))
        assert one.left == 2
