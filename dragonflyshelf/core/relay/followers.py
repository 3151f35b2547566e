"""The instances that ask this one, and what they have been told."""

import collections
from collections import abc
import dataclasses
from typing import Any, Final

from dragonflyshelf.core import addresses
from dragonflyshelf.core.grantor import messages as grantor
from dragonflyshelf.core import ids
from dragonflyshelf.core.relay import messages
from dragonflyshelf.core.relay import source
from dragonflyshelf.core import settings
from dragonflyshelf.core.store import replica

Link = Any
"""What a link is known by; the runtime takes the link's inbox."""

ASK_SILENCE: Final = 1.0
"""Seconds without an ask after which an instance is cut off, or gone."""

INSTANCE_LIFE: Final = 5.0
"""Seconds for which an instance is reckoned with after its last ask."""

LOAD_LIFE: Final = 1.2
"""Seconds for which a follower's report of load is passed on."""

MOST_LOADS: Final = 256
"""Loads of ranges that are passed on in one ask at most."""


@dataclasses.dataclass(kw_only=True, slots=True)
class Follower:
    """The last ask over one link, and when it came."""

    ask: messages.Ask
    asked_at: ids.Instant
    told_instances: tuple[ids.InstanceId, ...] = ()
    loads: tuple[grantor.RangeLoad, ...] = ()
    loads_at: ids.Instant = ids.Instant(0.0)


class Followers:
    """Asks by the key of their link, and instances by name."""

    def __init__(
        self, own: settings.InstanceSettings, copies: replica.Replica
    ) -> None:
        """Create a collection that knows this instance only."""
        self._own = own
        self._copies = copies
        self._followers_by_link: dict[Link, Follower] = {}
        self._heard_by_instance: dict[ids.InstanceId, ids.Instant] = {}
        self._relays_by_data_centre: dict[ids.DataCentreId, Link] = {}
        self._passed_on: tuple[ids.InstanceId, ...] = ()

    def __iter__(self) -> abc.Iterator[Link]:
        """Iterate over the links."""
        return iter(tuple(self._followers_by_link))

    def expect(
        self, instances: abc.Iterable[ids.InstanceId], now: ids.Instant
    ) -> None:
        """Reckon with the instances of a former leader."""
        for name in instances:
            self._heard_by_instance.setdefault(name, now)

    def pass_on(self, instances: tuple[ids.InstanceId, ...]) -> None:
        """Take over those with whom the leading instance reckons."""
        self._passed_on = instances

    def asked(self, link: Link, ask: messages.Ask, now: ids.Instant) -> None:
        """Take in an ask."""
        for name in (ask.instance, *ask.members):
            self._heard_by_instance[name] = now
        known = self._followers_by_link.setdefault(
            link, Follower(ask=ask, asked_at=now)
        )
        known.ask = ask
        known.asked_at = now
        if ask.loads:
            known.loads = ask.loads
            known.loads_at = now

    def gone(self, link: Link) -> None:
        """Forget a link."""
        self._followers_by_link.pop(link, None)

    def instances(self, now: ids.Instant) -> tuple[ids.InstanceId, ...]:
        """Return this instance and those that asked of late."""
        heard = self._heard_by_instance
        heard[self._own.name] = now
        for name in list(heard):
            if now - heard[name] > INSTANCE_LIFE:
                del heard[name]
        return tuple(sorted(heard))

    def missing(self, now: ids.Instant) -> int:
        """Return how many of the instances do not ask at present."""
        return sum(
            now - self._heard_by_instance[name] > ASK_SILENCE
            for name in self.instances(now)
        )

    def members(self, now: ids.Instant) -> tuple[ids.InstanceId, ...]:
        """Return the instances that ask this one at present."""
        return tuple(
            one.ask.instance
            for one in self._followers_by_link.values()
            if now - one.asked_at <= ASK_SILENCE
        )

    def has_members(self, now: ids.Instant) -> bool:
        """Tell whether any instance asks this one at present."""
        return any(
            now - one.asked_at <= ASK_SILENCE
            for one in self._followers_by_link.values()
        )

    def with_loads_of_members(
        self, own: tuple[grantor.RangeLoad, ...], now: ids.Instant
    ) -> tuple[grantor.RangeLoad, ...]:
        """Return own loads with those that the followers reported."""
        rates: collections.Counter[tuple[ids.ServiceName, ids.ShardKey]] = (
            collections.Counter()
        )
        reports = [
            one.loads
            for one in self._followers_by_link.values()
            if now - one.loads_at <= LOAD_LIFE
        ]
        for loads in (own, *reports):
            for one in loads:
                rates[(one.service, one.first)] += one.rate
        return tuple(
            grantor.RangeLoad(service=service, first=first, rate=rate)
            for (service, first), rate in rates.most_common(MOST_LOADS)
        )

    def update(
        self, link: Link, leads: bool, now: ids.Instant
    ) -> messages.Update:
        """Return what is new over a link, which counts as told."""
        follower = self._followers_by_link[link]
        names = self.instances(now) if leads else self._passed_on
        news = names if names != follower.told_instances else ()
        follower.told_instances = names
        update = messages.Update(
            number=follower.ask.number,
            kinds=source.relayed_kinds(
                self._copies, follower.ask.known, follower.asked_at
            ),
            instances=news,
            relay=self._relay(link, now) if leads else addresses.NOWHERE,
        )
        follower.ask = _told(follower.ask, update)
        return update

    def _relay(self, link: Link, now: ids.Instant) -> addresses.Address:
        """Return whom a follower in another data centre is to ask."""
        asking = self._followers_by_link[link].ask
        if asking.data_centre == self._own.data_centre:
            return addresses.NOWHERE
        relay = self._relays_by_data_centre.get(asking.data_centre)
        found = self._followers_by_link.get(relay)
        if found is None or now - found.asked_at > ASK_SILENCE:
            self._relays_by_data_centre[asking.data_centre] = link
            return addresses.NOWHERE
        if relay == link:
            return addresses.NOWHERE
        return found.ask.address


def _told(ask: messages.Ask, update: messages.Update) -> messages.Ask:
    """Return the ask with the revisions that the update brings."""
    revisions = {one.kind: one.revision for one in update.kinds}
    known = tuple(
        dataclasses.replace(
            one,
            revision=max(one.revision, revisions.get(one.kind, one.revision)),
        )
        for one in ask.known
    )
    return dataclasses.replace(ask, known=known)
