"""Tests of replication between instances and of the resulting age."""

import dataclasses

from dragonflyshelf.core import addresses
from dragonflyshelf.core.grantor import messages as grantor
from dragonflyshelf.core import ids
from dragonflyshelf.core.relay import followers
from dragonflyshelf.core.relay import messages
from dragonflyshelf.core.relay import updates
from dragonflyshelf.core import settings
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.core.store import replica
from tests.core.store import test_replica as objects

KIND = objects.KIND


def at(seconds: float) -> ids.Instant:
    """Return an instant."""
    return ids.Instant(seconds)


OWN_SETTINGS = settings.InstanceSettings(
    name=ids.InstanceId("i1"), data_centre=ids.DataCentreId("a")
)


LEADERSHIP = settings.LeadershipSettings()
PROMISES = settings.PromiseSettings(apply=2.5, drain=2.5)
SHORT_PROMISES = settings.PromiseSettings(apply=2.0, drain=2.0)
TICK_SECONDS = 0.1
"""Interval at which the selector is asked."""


def address(name: str) -> addresses.Address:
    """Return the relay address of an instance."""
    return addresses.Address(host=name, port=7100)


def make_request(
    number: int, revision: int, name: str = "i2", **values: object
) -> messages.UpdateRequest:
    """Return the request of a follower that has a revision."""
    fields: dict[str, object] = {"data_centre": ids.DataCentreId("a")}
    fields.update(values)
    return messages.UpdateRequest(
        instance=ids.InstanceId(name),
        address=address(name),
        number=number,
        known=(
            messages.KnownRevision(kind=KIND, revision=ids.Revision(revision)),
        ),
        loads=(),
        **fields,  # type: ignore[arg-type]
    )


def replicate(
    leader: replica.Replica,
    follower: replica.Replica,
    requested_at: float,
    arrived_at: float,
) -> None:
    """Replicate to a follower, whose clock differs from the leader's."""
    revision = follower.by_kind(KIND).revision
    known = make_request(1, revision).known
    for relayed in updates.relayed_kinds(leader, known, at(arrived_at)):
        event = updates.to_event(relayed, at(requested_at))
        if isinstance(event, store.KindListed):
            follower.apply_list(event)
        else:
            follower.apply_changes(event)


class TestReplication:
    """A follower converges to the objects of the leader."""

    def test_full_list_then_changes(self) -> None:
        """The first response is a full list, later ones contain changes."""
        leader, follower = replica.Replica(), replica.Replica()
        leader.apply_list(
            objects.list_event(
                5, 1.0, objects.stored("a", 4), objects.stored("b", 5)
            )
        )
        replicate(leader, follower, 10.0, 1.5)
        assert objects.object_names(follower) == ["a", "b"]
        leader.apply_changes(
            objects.change_event(
                8, 2.0, objects.removal("a", 7), objects.stored("c", 8)
            )
        )
        replicate(leader, follower, 11.0, 2.5)
        assert objects.object_names(follower) == ["b", "c"]

    def test_removal_before_the_leaders_list(self) -> None:
        """A follower removes objects removed before the leader's list."""
        leader, follower = replica.Replica(), replica.Replica()
        follower.apply_list(objects.list_event(3, 1.0, objects.stored("a", 3)))
        leader.apply_list(objects.list_event(9, 1.0, objects.stored("b", 8)))
        replicate(leader, follower, 10.0, 1.5)
        assert objects.object_names(follower) == ["b"]


class TestUpdateLostOnTheWay:
    """A change in an update that got lost reaches the follower later."""

    def send_two_updates(
        self, follower: replica.Replica
    ) -> tuple[replica.Replica, messages.Update]:
        """Return the leader's replica and an update after a lost one."""
        leader = replica.Replica()
        leader.apply_list(objects.list_event(5, 1.0, objects.stored("a", 4)))
        replicate(leader, follower, 10.0, 1.5)
        collection = followers.Followers(OWN_SETTINGS, leader)
        collection.record_request("link", make_request(1, 5), at(2.0))
        leader.apply_changes(
            objects.change_event(6, 2.1, objects.stored("a", 6, b"draining"))
        )
        collection.next_update("link", True, at(2.1))
        leader.apply_changes(
            objects.change_event(7, 2.2, objects.stored("b", 7))
        )
        return leader, collection.next_update("link", True, at(2.2))

    def test_drain_in_a_lost_update(self) -> None:
        """The follower doesn't count as current without the lost change."""
        follower = replica.Replica()
        leader, second_update = self.send_two_updates(follower)
        for relayed in second_update.kinds:
            follower.apply_changes(updates.to_event(relayed, at(11.0)))
        assert follower.by_kind(KIND).revision == 5
        replicate(leader, follower, 12.0, 2.5)
        specs_by_name = {
            stored.name: stored.spec for stored in follower.objects(KIND)
        }
        assert specs_by_name == {"a": b"draining", "b": b"1"}

    def test_age_after_a_lost_update(self) -> None:
        """The follower's replica gets older until the change arrives."""
        follower = replica.Replica()
        _, second_update = self.send_two_updates(follower)
        confirmed_at = follower.by_kind(KIND).confirmed_at
        for relayed in second_update.kinds:
            follower.apply_changes(updates.to_event(relayed, at(11.0)))
        assert follower.by_kind(KIND).confirmed_at == confirmed_at


class TestUpdateOnTheWay:
    """What is on its way to a follower is not sent again."""

    def make_followers(self) -> tuple[replica.Replica, followers.Followers]:
        """Return a leader's replica, and a follower that has no object."""
        leader = replica.Replica()
        leader.apply_list(objects.list_event(5, 1.0, objects.stored("a", 4)))
        collection = followers.Followers(OWN_SETTINGS, leader)
        self.request(collection, 1, 0, received_count=0)
        return leader, collection

    def request(
        self,
        collection: followers.Followers,
        number: int,
        revision: int,
        received_count: int,
    ) -> None:
        """Record a request of the follower."""
        request = make_request(number, revision, received_count=received_count)
        collection.record_request("link", request, at(2.0 + number / 10))

    def sent_names(self, collection: followers.Followers) -> list[str]:
        """Return the names of the objects in the next update."""
        (relayed,) = collection.next_update("link", True, at(3.0)).kinds
        return [change.name for change in relayed.changes]

    def test_request_before_the_update_arrived(self) -> None:
        """A slow link does not get the same objects again and again."""
        leader, collection = self.make_followers()
        assert self.sent_names(collection) == ["a"]
        self.request(collection, 2, 0, received_count=0)
        assert not self.sent_names(collection)
        leader.apply_changes(
            objects.change_event(6, 2.5, objects.stored("b", 6))
        )
        self.request(collection, 3, 0, received_count=1)
        assert self.sent_names(collection) == ["b"]

    def test_update_that_was_ignored(self) -> None:
        """It is sent again once all updates have arrived."""
        _, collection = self.make_followers()
        assert self.sent_names(collection) == ["a"]
        self.request(collection, 2, 0, received_count=1)
        assert self.sent_names(collection) == ["a"]

    def test_update_that_was_not_sent(self) -> None:
        """It is not awaited."""
        _, collection = self.make_followers()
        unsent = collection.next_update("link", True, at(2.2))
        collection.record_unsent("link", unsent)
        self.request(collection, 2, 0, received_count=0)
        assert self.sent_names(collection) == ["a"]

    def test_follower_that_does_not_count(self) -> None:
        """A follower of an older build gets what it asks for."""
        _, collection = self.make_followers()
        assert self.sent_names(collection) == ["a"]
        self.request(collection, 2, 0, received_count=-1)
        assert self.sent_names(collection) == ["a"]


class TestFreshness:
    """A replica never appears fresher than it is."""

    def test_age_is_counted_from_the_request(self) -> None:
        """The age on arrival is subtracted from the sending time."""
        leader, follower = replica.Replica(), replica.Replica()
        leader.apply_list(objects.list_event(5, 100.0))
        replicate(leader, follower, 10.0, 102.0)
        assert follower.by_kind(KIND).confirmed_at == 8.0

    def test_confirmation_after_the_request(self) -> None:
        """A confirmation after the request is later than its sending."""
        leader, follower = replica.Replica(), replica.Replica()
        leader.apply_list(objects.list_event(5, 100.0))
        leader.apply_changes(objects.change_event(5, 102.5))
        replicate(leader, follower, 10.0, 102.0)
        assert follower.by_kind(KIND).confirmed_at == 10.5

    def test_leader_that_was_never_confirmed(self) -> None:
        """A leader whose replica was never confirmed sends nothing."""
        leader, follower = replica.Replica(), replica.Replica()
        replicate(leader, follower, 10.0, 1.0)
        assert follower.by_kind(KIND).confirmed_at == replica.DISTANT_PAST


class TestFollowers:
    """Followers and the state sent to each."""

    def make_followers(self) -> followers.Followers:
        """Return the followers of a replica with one object."""
        store_replica = replica.Replica()
        store_replica.apply_list(
            objects.list_event(5, 1.0, objects.stored("a", 4))
        )
        return followers.Followers(OWN_SETTINGS, store_replica)

    def test_changes_are_sent_once(self) -> None:
        """Changes that were sent are not sent again."""
        collection = self.make_followers()
        collection.record_request("link", make_request(1, 0), at(2.0))
        first = collection.next_update("link", True, at(2.0))
        assert first.kinds[0].changes
        second = collection.next_update("link", True, at(2.1))
        assert not second.kinds[0].changes

    def test_update_that_was_not_sent(self) -> None:
        """Its changes and instances are in the next update again."""
        collection = self.make_followers()
        collection.record_request("link", make_request(1, 0), at(2.0))
        unsent = collection.next_update("link", True, at(2.0))
        collection.record_unsent("link", unsent)
        again = collection.next_update("link", True, at(2.1))
        assert again.kinds[0].changes == unsent.kinds[0].changes
        assert again.instances == unsent.instances

    def test_instances_are_sent_when_they_change(self) -> None:
        """Instance names are omitted while they are unchanged."""
        collection = self.make_followers()
        collection.record_request("link", make_request(1, 5), at(2.0))
        assert collection.next_update("link", True, at(2.0)).instances == (
            "i1",
            "i2",
        )
        collection.record_request("link", make_request(2, 5), at(2.4))
        assert collection.next_update("link", True, at(2.4)).instances == ()
        collection.record_request("other", make_request(1, 5, "i3"), at(2.5))
        instances = collection.next_update("link", True, at(2.5)).instances
        assert instances == ("i1", "i2", "i3")

    def test_silent_instance(self) -> None:
        """A silent instance is counted as silent first and expires later."""
        collection = self.make_followers()
        collection.record_request("link", make_request(1, 5), at(2.0))
        assert collection.count_silent(at(2.5)) == 0
        assert collection.count_silent(at(3.5)) == 1
        assert collection.instances(at(9.0)) == ("i1",)

    def test_instances_of_a_former_leader(self) -> None:
        """A new leader treats the previous leader's instances as alive."""
        collection = self.make_followers()
        collection.assume_alive((ids.InstanceId("i9"),), at(2.0))
        assert collection.instances(at(2.1)) == ("i1", "i9")


class TestRelays:
    """One follower in each other data centre serves as relay."""

    def make_followers(self) -> followers.Followers:
        """Return the followers of a leader in data centre a."""
        return followers.Followers(OWN_SETTINGS, replica.Replica())

    def test_second_follower_is_redirected(self) -> None:
        """The first follower of a data centre is the relay of the others."""
        collection = self.make_followers()
        remote = ids.DataCentreId("b")
        collection.record_request(
            "first", make_request(1, 0, "i2", data_centre=remote), at(2.0)
        )
        collection.record_request(
            "second", make_request(1, 0, "i3", data_centre=remote), at(2.1)
        )
        first = collection.next_update("first", True, at(2.1))
        second = collection.next_update("second", True, at(2.1))
        assert first.relay == addresses.NO_ADDRESS
        assert second.relay == address("i2")

    def test_first_request_of_a_member(self) -> None:
        """An instance that knows nothing gets all from its relay."""
        leader = replica.Replica()
        leader.apply_list(objects.list_event(5, 1.0, objects.stored("a", 4)))
        collection = followers.Followers(OWN_SETTINGS, leader)
        remote = ids.DataCentreId("b")
        for name in ("i2", "i3"):
            collection.record_request(
                name, make_request(1, 0, name, data_centre=remote), at(2.0)
            )
        assert collection.next_update("i2", True, at(2.0)).kinds
        redirect = collection.next_update("i3", True, at(2.0))
        assert redirect.relay == address("i2")
        assert not redirect.kinds
        collection.record_request(
            "i3",
            make_request(2, 0, "i3", data_centre=remote, received_count=1),
            at(2.4),
        )
        assert collection.next_update("i3", True, at(2.4)).kinds

    def test_takeover_among_many(self) -> None:
        """A new leader of 195 instances sends objects to its relays alone.

        What 195 followers got at once filled a link of 6 Mbit/s for longer
        than a lease, so that no leader could renew its lease.
        """
        leader = replica.Replica()
        leader.apply_list(objects.list_event(5, 1.0, objects.stored("a", 4)))
        collection = followers.Followers(OWN_SETTINGS, leader)
        names = [f"i{number}" for number in range(2, 196)]
        for index, name in enumerate(names):
            data_centre = ids.DataCentreId("abcde"[index % 5])
            collection.record_request(
                name,
                make_request(7, 3, name, data_centre=data_centre),
                at(2.0),
            )
        sent_updates = [
            collection.next_update(name, True, at(2.0)) for name in names
        ]
        served_count = sum(
            bool(update.kinds or update.instances) for update in sent_updates
        )
        assert served_count == 5

    def test_own_data_centre(self) -> None:
        """Followers in the leader's data centre are not redirected."""
        collection = self.make_followers()
        collection.record_request("first", make_request(1, 0, "i2"), at(2.0))
        collection.record_request("second", make_request(1, 0, "i3"), at(2.1))
        assert (
            collection.next_update("second", True, at(2.1)).relay
            == addresses.NO_ADDRESS
        )

    def test_narrow_link_of_a_leader_of_many(self) -> None:
        """A leader of many instances has one follower a data centre."""
        collection = self.make_followers()
        names = [f"i{number}" for number in range(2, 34)]
        for index, name in enumerate(names):
            data_centre = ids.DataCentreId("ab"[index % 2])
            collection.record_request(
                name,
                make_request(1, 0, name, data_centre=data_centre),
                at(2.0),
            )
        relays = [
            collection.next_update(name, True, at(2.1)).relay for name in names
        ]
        assert relays[:2] == [addresses.NO_ADDRESS] * 2
        assert relays[2:] == [address("i2"), address("i3")] * 15

    def test_small_relay_is_replaced(self) -> None:
        """An instance that is not small takes its place, and keeps it."""
        collection = self.make_followers()
        remote = ids.DataCentreId("b")
        for name, is_small in (("i2", True), ("i3", True), ("i4", False)):
            request = make_request(
                1, 0, name, data_centre=remote, is_small=is_small
            )
            collection.record_request(name, request, at(2.0))
            collection.next_update(name, True, at(2.0))
        relays = [
            collection.next_update(name, True, at(2.1)).relay
            for name in ("i2", "i3", "i4")
        ]
        assert relays == [address("i4"), address("i4"), addresses.NO_ADDRESS]

    def test_followers_of_a_replaced_relay(self) -> None:
        """It sends them to the relay that it follows itself."""
        collection = self.make_followers()
        collection.record_request("member", make_request(1, 5), at(2.0))
        redirect = collection.next_update(
            "member", False, at(2.0), own_relay=address("i4")
        )
        assert redirect.relay == address("i4")

    def test_silent_relay_is_replaced(self) -> None:
        """The next follower to send a request replaces a silent relay."""
        collection = self.make_followers()
        remote = ids.DataCentreId("b")
        collection.record_request(
            "first", make_request(1, 0, "i2", data_centre=remote), at(2.0)
        )
        collection.next_update("first", True, at(2.0))
        collection.record_request(
            "second", make_request(1, 0, "i3", data_centre=remote), at(3.5)
        )
        assert (
            collection.next_update("second", True, at(3.5)).relay
            == addresses.NO_ADDRESS
        )

    def test_only_the_leader_assigns_relays(self) -> None:
        """A relay does not redirect its followers."""
        collection = self.make_followers()
        remote = ids.DataCentreId("b")
        collection.record_request(
            "first", make_request(1, 0, "i2", data_centre=remote), at(2.0)
        )
        collection.record_request(
            "second", make_request(1, 0, "i3", data_centre=remote), at(2.1)
        )
        collection.next_update("first", False, at(2.1))
        assert collection.next_update("second", False, at(2.1)).relay == (
            addresses.NO_ADDRESS
        )

    def test_members_are_considered_alive(self) -> None:
        """The leader treats the members of a relay as alive."""
        collection = self.make_followers()
        members = (ids.InstanceId("i3"), ids.InstanceId("i4"))
        collection.record_request(
            "first", make_request(1, 0, "i2", members=members), at(2.0)
        )
        assert collection.instances(at(2.1)) == ("i1", "i2", "i3", "i4")

    def test_loads_of_members_are_summed(self) -> None:
        """A relay reports the sum of its own and its members' load."""
        collection = self.make_followers()
        load = grantor.RangeLoad(
            service=ids.ServiceName("archive"),
            first=ids.ShardKey(64),
            rate=2.0,
        )
        request = dataclasses.replace(make_request(1, 0, "i2"), loads=(load,))
        collection.record_request("first", request, at(2.0))
        (summed,) = collection.aggregate_loads((load,), at(2.5))
        assert summed.rate == 4.0
        assert collection.aggregate_loads((load,), at(4.0)) == (load,)
