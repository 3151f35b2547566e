"""Tests of the selection of the instance that serves updates."""

from dragonflyshelf.core import addresses
from dragonflyshelf.core.grantor import objects as lease_objects
from dragonflyshelf.core import ids
from dragonflyshelf.core.relay import relay_selector
from dragonflyshelf.core.relay import watch_selector
from tests.core.relay import test_relay

address = test_relay.address
at = test_relay.at


class TestRelaySelector:
    """Selection of the instance that serves updates."""

    def make_selector(self) -> relay_selector.RelaySelector:
        """Return the selector of an instance that knows the leader."""
        selector = relay_selector.RelaySelector(ids.InstanceId("i3"))
        self.observe(selector, "i1")
        return selector

    def observe(
        self,
        selector: relay_selector.RelaySelector,
        holder: str,
        revision: int = 1,
        seconds: float = 1.0,
    ) -> None:
        """Let the selector observe a lease with its holder's address."""
        lease = lease_objects.Lease(
            holder=ids.InstanceId(holder),
            incarnation=ids.Incarnation(1),
            host=holder,
            port=7100,
            count=revision,
        )
        selector.update_lease(lease, ids.Revision(revision), at(seconds))

    def test_leader_then_relay(self) -> None:
        """The leader is used until it assigns a relay."""
        selector = self.make_selector()
        assert selector.address == address("i1")
        selector.record_update(address("i2"), at(1.0))
        assert selector.address == address("i2")
        self.observe(selector, "i1", revision=2)
        assert selector.address == address("i2")

    def test_new_leader(self) -> None:
        """A relay that does not follow a new leader is dropped."""
        selector = self.make_selector()
        selector.record_update(address("i2"), at(1.0))
        self.observe(selector, "i9", revision=7, seconds=1.0)
        for seconds in (1.2, 1.6):
            selector.record_update(addresses.NO_ADDRESS, at(seconds))
            selector.record_known(ids.Revision(6))
            assert not selector.should_drop_relay(0.1, at(seconds))
        selector.record_update(addresses.NO_ADDRESS, at(1.8))
        assert selector.should_drop_relay(0.1, at(1.9))
        selector.drop_relay(at(1.9))
        assert selector.address == address("i9")
        selector.record_update(address("i2"), at(2.0))
        assert selector.address == address("i2")

    def test_relay_that_follows_a_new_leader(self) -> None:
        """It is kept, so that not all instances come to the new leader."""
        selector = self.make_selector()
        selector.record_update(address("i2"), at(1.0))
        self.observe(selector, "i9", revision=7, seconds=1.0)
        selector.record_update(addresses.NO_ADDRESS, at(1.4))
        selector.record_known(ids.Revision(7))
        selector.record_update(addresses.NO_ADDRESS, at(2.4))
        assert not selector.should_drop_relay(0.1, at(2.5))
        assert selector.address == address("i2")

    def test_relay_that_becomes_the_leader(self) -> None:
        """It is the leader from then on, and may assign another relay."""
        selector = self.make_selector()
        selector.record_update(address("i2"), at(1.0))
        self.observe(selector, "i2", revision=7, seconds=1.0)
        assert selector.address == address("i2")
        assert not selector.uses_relay

    def test_own_lease(self) -> None:
        """A leader requests no updates."""
        selector = self.make_selector()
        selector.record_update(address("i2"), at(1.0))
        self.observe(selector, "i3")
        assert selector.address is None

    def test_silent_relay(self) -> None:
        """A silent relay is dropped and not used again at once."""
        selector = self.make_selector()
        selector.record_update(address("i2"), at(1.0))
        assert not selector.should_drop_relay(0.5, at(1.6))
        assert selector.should_drop_relay(0.5, at(1.8))
        selector.drop_relay(at(1.8))
        assert selector.address == address("i1")
        selector.record_update(address("i2"), at(2.0))
        assert selector.address == address("i1")
        selector.record_update(address("i2"), at(7.0))
        assert selector.address == address("i2")

    def test_relay_with_outdated_objects(self) -> None:
        """A relay is kept during a short store outage only."""
        selector = self.make_selector()
        selector.record_update(address("i2"), at(1.0))
        selector.record_update(addresses.NO_ADDRESS, at(1.3))
        assert not selector.should_drop_relay(
            watch_selector.MEMBER_DIRECT_WATCH_AGE_SECONDS, at(1.4)
        )
        assert selector.should_drop_relay(
            relay_selector.MAX_CONFIGURATION_AGE_SECONDS + 0.1, at(1.4)
        )

    def test_relay_of_an_instance_that_has_just_started(self) -> None:
        """It has no objects yet, which its relay can't be blamed for."""
        selector = self.make_selector()
        selector.record_update(address("i2"), at(1.0))
        assert not selector.should_drop_relay(float("inf"), at(1.1))
        selector.record_update(addresses.NO_ADDRESS, at(1.3))
        assert selector.should_drop_relay(float("inf"), at(1.4))
