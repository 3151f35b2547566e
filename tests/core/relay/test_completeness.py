"""Tests of dragonflyshelf.core.relay.completeness."""

import dataclasses

from dragonflyshelf.core import ids
from dragonflyshelf.core.relay import completeness
from dragonflyshelf.core.relay import messages
from dragonflyshelf.core.relay import updates
from dragonflyshelf.core.relay import watch_selector
from dragonflyshelf.core import settings
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.core.store import replica

KNOWN = tuple(
    messages.KnownRevision(kind=kind, revision=ids.Revision(5))
    for kind in store.ObjectKind
)
PROMISES = settings.PromiseSettings(apply=2.5, drain=2.5)


def at(seconds: float) -> ids.Instant:
    """Return an instant."""
    return ids.Instant(seconds)


def list_kind(
    store_replica: replica.Replica, kind: store.ObjectKind, seconds: float
) -> None:
    """Let a replica read a kind, which is empty, from the store."""
    store_replica.apply_list(
        store.KindListed(
            kind=kind,
            revision=ids.Revision(5),
            objects=(),
            sent_at=at(seconds),
        )
    )


def make_replica(seconds: float) -> replica.Replica:
    """Return a replica that has read all kinds at a time."""
    store_replica = replica.Replica()
    for kind in store.ObjectKind:
        list_kind(store_replica, kind, seconds)
    return store_replica


def make_update(
    requested_at: float, complete_at: float, confirmed_at: float
) -> messages.Update:
    """Return the update of a source."""
    return messages.Update(
        number=1,
        kinds=updates.relayed_kinds(
            make_replica(confirmed_at), KNOWN, at(requested_at)
        ),
        instances=(),
        age=requested_at - complete_at,
    )


class Member:
    """Member of a relay, as the control task runs it."""

    def __init__(self) -> None:
        """Create a member that is complete at 10.0 s."""
        self.replica = make_replica(10.0)
        self.completeness = completeness.Completeness(self.replica)
        self.completeness.record_direct_watch()
        self.selector = watch_selector.WatchSelector(
            settings.LeadershipSettings(), PROMISES
        )
        self.selector.start(at(0.0))

    def receive(self, update: messages.Update, requested_at: float) -> None:
        """Apply an update."""
        for relayed in update.kinds:
            event = updates.to_event(relayed, at(requested_at))
            assert isinstance(event, store.KindChanged)
            self.replica.apply_changes(event)
        self.completeness.record_update(update, at(requested_at))

    def watched_kinds(self, now: float) -> set[store.ObjectKind]:
        """Return the kinds that it watches; updates keep coming."""
        self.selector.record_update(at(now))
        configuration = self.replica.by_kind(store.ObjectKind.CONFIGURATION)
        state = watch_selector.ReplicaState(
            uses_relay=True,
            configuration_age=now - configuration.confirmed_at,
            complete_age=now - self.completeness.complete_at(False),
        )
        return set(self.selector.select_kinds(state, at(now)))


class TestDrainBehindALateRelay:
    """DRAIN on fiacail-gw-grown: updates of a sound leader come late."""

    def test_lease_that_was_read_in_the_store(self) -> None:
        """It does not hide that the registrations are old."""
        member = Member()
        for tenth in range(100, 125):
            now = tenth / 10
            for kind in watch_selector.FRESHNESS_KINDS:
                list_kind(member.replica, kind, now)
            kinds = member.watched_kinds(now)
        assert kinds == watch_selector.ALL_KINDS

    def test_updates_in_time(self) -> None:
        """Nothing is watched while the updates are as young as usual."""
        member = Member()
        for tenth in range(100, 150, 4):
            now = tenth / 10
            update = make_update(now - 0.1, now - 1.2, now - 1.2)
            member.receive(update, now - 0.1)
            assert member.watched_kinds(now) == watch_selector.NO_KINDS

    def test_relay_that_read_the_lease_itself(self) -> None:
        """It says how old the rest is, though its lease is young."""
        member = Member()
        update = make_update(12.4, complete_at=10.2, confirmed_at=12.3)
        member.receive(update, 12.4)
        assert member.completeness.complete_at(False) == at(10.2)
        assert member.watched_kinds(12.4) == watch_selector.ALL_KINDS


class TestCompleteness:
    """What makes a replica complete, and what does not."""

    def test_leader(self) -> None:
        """The leader knows all that there was when it renewed its lease."""
        store_replica = make_replica(10.0)
        tracker = completeness.Completeness(store_replica)
        list_kind(store_replica, store.ObjectKind.CONTROL, 11.0)
        assert tracker.complete_at(False) == completeness.DISTANT_PAST
        assert tracker.complete_at(True) == at(11.0)
        assert tracker.complete_at(False) == at(11.0)

    def test_update_that_lacks_a_kind(self) -> None:
        """A relay may not have read it yet."""
        member = Member()
        update = make_update(11.0, 11.0, 11.0)
        partial = dataclasses.replace(update, kinds=update.kinds[1:])
        member.receive(partial, 11.0)
        assert member.completeness.complete_at(False) == at(10.0)

    def test_update_that_did_not_follow(self) -> None:
        """Changes before it got lost, so that it was ignored."""
        member = Member()
        update = make_update(11.0, 11.0, 11.0)
        kinds = tuple(
            dataclasses.replace(
                relayed, revision=ids.Revision(9), since=ids.Revision(7)
            )
            for relayed in update.kinds
        )
        member.receive(dataclasses.replace(update, kinds=kinds), 11.0)
        assert member.completeness.complete_at(False) == at(10.0)

    def test_update_of_an_older_build(self) -> None:
        """The age of its lease counts, as it states no other."""
        member = Member()
        update = make_update(11.0, 10.9, confirmed_at=10.6)
        member.receive(
            dataclasses.replace(update, age=messages.UNKNOWN_AGE), 11.0
        )
        assert member.completeness.complete_at(False) == at(10.6)
