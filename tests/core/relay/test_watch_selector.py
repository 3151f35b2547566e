"""Tests of the selection of the kinds that are watched in the store."""

import pytest

from dragonflyshelf.core.relay import watch_selector
from dragonflyshelf.core import settings
from tests.core.relay import test_relay

LEADERSHIP = test_relay.LEADERSHIP
PROMISES = test_relay.PROMISES
SHORT_PROMISES = test_relay.SHORT_PROMISES
TICK_SECONDS = test_relay.TICK_SECONDS
at = test_relay.at


def make_watch_selector() -> watch_selector.WatchSelector:
    """Return a selector with the usual lease."""
    return watch_selector.WatchSelector(LEADERSHIP, PROMISES)


def make_state(
    age: float, complete_age: float = 0.5, **values: bool
) -> watch_selector.ReplicaState:
    """Return a state whose configuration has an age in seconds."""
    return watch_selector.ReplicaState(
        configuration_age=age, complete_age=complete_age, **values
    )


class TestWatchSelector:
    """Selection of the kinds to watch in the store."""

    def test_fresh_follower_makes_no_call(self) -> None:
        """A follower with fresh updates does not watch the store."""
        selector = make_watch_selector()
        selector.start(at(0.0))
        for tenth in range(1, 50):
            selector.record_update(at(tenth / 10))
            kinds = selector.select_kinds(make_state(age=1.0), at(tenth / 10))
        assert kinds == watch_selector.NO_KINDS

    def test_silent_leader(self) -> None:
        """Without updates the store is watched within a second."""
        selector = make_watch_selector()
        selector.start(at(0.0))
        selector.record_update(at(5.0))
        kinds = selector.select_kinds(make_state(age=1.0), at(5.8))
        assert kinds == watch_selector.NO_KINDS
        kinds = selector.select_kinds(make_state(age=1.0), at(6.0))
        assert kinds == watch_selector.ALL_KINDS

    def test_leader_without_store(self) -> None:
        """Outdated updates make a follower watch the store itself.

        Relays do so before their members, and watch only the kinds that
        decide whether requests are refused and which instance leads.
        """
        assert watch_selector.LEASE_KINDS < watch_selector.FRESHNESS_KINDS
        selector = make_watch_selector()
        selector.start(at(0.0))
        selector.record_update(at(5.0))
        age = watch_selector.RELAY_DIRECT_WATCH_AGE_SECONDS + 0.1
        kinds = selector.select_kinds(make_state(age=age), at(5.1))
        assert kinds == watch_selector.NO_KINDS
        kinds = selector.select_kinds(
            make_state(is_relay=True, age=age), at(5.1)
        )
        assert kinds == watch_selector.FRESHNESS_KINDS
        age = watch_selector.MEMBER_DIRECT_WATCH_AGE_SECONDS + 0.1
        kinds = selector.select_kinds(make_state(age=age), at(6.8))
        assert kinds == watch_selector.ALL_KINDS
        selector.record_update(at(7.6))
        kinds = selector.select_kinds(make_state(age=age), at(7.6))
        assert kinds == watch_selector.FRESHNESS_KINDS

    def test_start(self) -> None:
        """Only the lease is watched until a leader is found or time is up."""
        selector = make_watch_selector()
        selector.start(at(5.0))
        unconfirmed = float("inf")
        assert (
            selector.select_kinds(make_state(age=unconfirmed), at(5.1))
            == watch_selector.LEASE_KINDS
        )
        timeout_at = at(5.1 + watch_selector.LEADER_DISCOVERY_SECONDS)
        assert (
            selector.select_kinds(make_state(age=unconfirmed), timeout_at)
            == watch_selector.ALL_KINDS
        )

    def test_start_with_a_leader(self) -> None:
        """A started instance that receives updates watches nothing."""
        selector = make_watch_selector()
        selector.start(at(5.0))
        selector.record_update(at(5.2))
        assert (
            selector.select_kinds(make_state(age=0.3), at(5.3))
            == watch_selector.NO_KINDS
        )

    def test_leader_skips_the_kind_it_writes(self) -> None:
        """The leader does not watch the kind that it writes."""
        selector = make_watch_selector()
        selector.start(at(0.0))
        kinds = selector.select_kinds(
            make_state(is_leading=True, age=0.1), at(50.0)
        )
        assert kinds == watch_selector.LEADER_WATCHED_KINDS

    def test_leader(self) -> None:
        """The leader watches the store whatever the age."""
        selector = make_watch_selector()
        selector.start(at(0.0))
        kinds = selector.select_kinds(
            make_state(is_leading=True, is_relay=True, age=9.0), at(50.0)
        )
        assert kinds == watch_selector.LEADER_WATCHED_KINDS


class TestLeaderThatLostTheStore:
    """A leader that no longer renews its lease is not relied upon."""

    def make_selector(self) -> watch_selector.WatchSelector:
        """Return the selector of a follower that just got an update."""
        selector = make_watch_selector()
        selector.start(at(0.0))
        selector.record_update(at(5.0))
        return selector

    def test_lease_that_is_renewed(self) -> None:
        """A follower watches nothing while the lease is valid."""
        state = make_state(age=2.1, complete_age=LEADERSHIP.lease - 0.1)
        kinds = self.make_selector().select_kinds(state, at(5.1))
        assert kinds == watch_selector.NO_KINDS

    def test_lease_that_has_ended(self) -> None:
        """The lease is watched first, as another may take it any moment."""
        state = make_state(age=0.5, complete_age=LEADERSHIP.lease + 0.1)
        kinds = self.make_selector().select_kinds(state, at(5.1))
        assert kinds == watch_selector.LEASE_KINDS

    def test_drain_under_a_refused_leader(self) -> None:
        """DRAIN: then all kinds are watched, registrations too."""
        complete_age = LEADERSHIP.lease + watch_selector.TAKEOVER_SECONDS + 0.1
        state = make_state(age=0.5, complete_age=complete_age)
        kinds = self.make_selector().select_kinds(state, at(5.1))
        assert kinds == watch_selector.ALL_KINDS

    def test_member_of_a_relay(self) -> None:
        """A member allows for the time that its relay takes."""
        selector = self.make_selector()
        complete_age = LEADERSHIP.lease + watch_selector.RELAY_DELAY_SECONDS
        for excess, kinds in (
            (-0.1, watch_selector.NO_KINDS),
            (0.1, watch_selector.LEASE_KINDS),
            (0.4, watch_selector.ALL_KINDS),
        ):
            state = make_state(
                age=0.5, complete_age=complete_age + excess, uses_relay=True
            )
            assert selector.select_kinds(state, at(5.1)) == kinds

    @pytest.mark.parametrize(
        "promises", [PROMISES, settings.PromiseSettings(apply=3.0, drain=3.0)]
    )
    def test_members_one_after_the_other(
        self, promises: settings.PromiseSettings
    ) -> None:
        """Not all of 39 members read the store at once, but all in time.

        Else a lost leader costs calls for each instance.
        """
        first_age = LEADERSHIP.lease + watch_selector.RELAY_DELAY_SECONDS
        last_age = promises.drain - watch_selector.DIRECT_READ_SECONDS
        kinds_by_age = {
            age: [
                self.select_kinds(promises, number / 39, age)
                for number in range(39)
            ]
            for age in (first_age + 0.05, last_age + 0.01)
        }
        early_kinds, late_kinds = kinds_by_age.values()
        assert late_kinds == [watch_selector.ALL_KINDS] * 39
        reading_count = sum(map(bool, early_kinds))
        assert 1 <= reading_count <= 10

    def select_kinds(
        self,
        promises: settings.PromiseSettings,
        stagger_ratio: float,
        complete_age: float,
    ) -> object:
        """Return the kinds that a member with a place watches."""
        selector = watch_selector.WatchSelector(
            LEADERSHIP, promises, stagger_ratio
        )
        selector.start(at(0.0))
        selector.record_update(at(5.0))
        state = make_state(0.5, complete_age, uses_relay=True)
        return selector.select_kinds(state, at(5.1))

    def test_drain_seen_late_behind_a_refused_relay(self) -> None:
        """Leader and relay lost the store: a member read it after 2.1 s."""
        selector = watch_selector.WatchSelector(LEADERSHIP, SHORT_PROMISES)
        selector.start(at(0.0))
        selector.record_update(at(5.0))
        read_seconds = watch_selector.DIRECT_READ_SECONDS - TICK_SECONDS
        state = make_state(
            age=0.5,
            complete_age=SHORT_PROMISES.drain - read_seconds,
            uses_relay=True,
        )
        kinds = selector.select_kinds(state, at(5.1))
        assert kinds == watch_selector.ALL_KINDS

    def test_new_leader(self) -> None:
        """With a lease that is renewed again the watches end."""
        selector = self.make_selector()
        selector.select_kinds(make_state(age=0.5, complete_age=2.0), at(5.1))
        selector.record_update(at(6.0))
        kinds = selector.select_kinds(make_state(age=0.5), at(6.0))
        assert kinds == watch_selector.NO_KINDS


class TestAgesUnderASoundLeader:
    """Followers of a leader that reaches the store make no calls."""

    SLOW_PROCESS_SECONDS = 0.3
    """Time that instances with little processor time add."""

    @pytest.mark.parametrize(
        ("hop_count", "max_age"),
        [
            (1, watch_selector.RELAY_DIRECT_WATCH_AGE_SECONDS),
            (2, watch_selector.MEMBER_DIRECT_WATCH_AGE_SECONDS),
        ],
    )
    def test_oldest_confirmation(self, hop_count: int, max_age: float) -> None:
        """Repeated direct watches on blixt-gw-grown, store and leader sound.

        A confirmation counts from the sending of its call, so it is two
        waits old when the next one arrives.
        """
        oldest = 2 * settings.StoreSettings().watch_wait
        oldest += hop_count * watch_selector.RELAY_DELAY_SECONDS
        assert oldest + self.SLOW_PROCESS_SECONDS < max_age
