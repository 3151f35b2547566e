"""Instances that request updates from this one, and the state of each."""

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
"""Identifies a connection to a follower; the runtime uses its inbox."""

ASK_SILENCE: Final = 1.0
"""Seconds without a request after which a follower counts as silent."""

INSTANCE_LIFE: Final = 5.0
"""Seconds after its last request for which an instance is considered alive."""

LOAD_LIFE: Final = 1.2
"""Seconds for which a follower's load report is included in own reports."""

MOST_LOADS: Final = 256
"""Maximum number of range loads in one update request."""


@dataclasses.dataclass(kw_only=True, slots=True)
class Follower:
    """Last update request on one link, and the state sent in response."""

    ask: messages.Ask
    asked_at: ids.Instant
    told_instances: tuple[ids.InstanceId, ...] = ()
    loads: tuple[grantor.RangeLoad, ...] = ()
    loads_at: ids.Instant = ids.Instant(0.0)


class Followers:
    """Followers by link, and the instances known to be alive."""

    def __init__(
        self, own: settings.InstanceSettings, copies: replica.Replica
    ) -> None:
        """Create a collection that contains no follower."""
        self._own = own
        self._copies = copies
        self._followers_by_link: dict[Link, Follower] = {}
        self._heard_by_instance: dict[ids.InstanceId, ids.Instant] = {}
        self._relays_by_data_centre: dict[ids.DataCentreId, Link] = {}
        self._passed_on: tuple[ids.InstanceId, ...] = ()

    def __iter__(self) -> abc.Iterator[Link]:
        """Iterate over the links of all followers."""
        return iter(tuple(self._followers_by_link))

    def expect(
        self, instances: abc.Iterable[ids.InstanceId], now: ids.Instant
    ) -> None:
        """Treat the instances known to the previous leader as alive."""
        for name in instances:
            self._heard_by_instance.setdefault(name, now)

    def pass_on(self, instances: tuple[ids.InstanceId, ...]) -> None:
        """Store the instances that the leader considers alive."""
        self._passed_on = instances

    def asked(self, link: Link, ask: messages.Ask, now: ids.Instant) -> None:
        """Record an update request and the load that it reports."""
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
        """Remove a closed link."""
        self._followers_by_link.pop(link, None)

    def instances(self, now: ids.Instant) -> tuple[ids.InstanceId, ...]:
        """Return the instances considered alive, including this one."""
        heard = self._heard_by_instance
        heard[self._own.name] = now
        for name in list(heard):
            if now - heard[name] > INSTANCE_LIFE:
                del heard[name]
        return tuple(sorted(heard))

    def missing(self, now: ids.Instant) -> int:
        """Count the live instances that have stopped sending requests."""
        return sum(
            now - self._heard_by_instance[name] > ASK_SILENCE
            for name in self.instances(now)
        )

    def members(self, now: ids.Instant) -> tuple[ids.InstanceId, ...]:
        """Return the instances that currently follow this one."""
        return tuple(
            one.ask.instance
            for one in self._followers_by_link.values()
            if now - one.asked_at <= ASK_SILENCE
        )

    def has_members(self, now: ids.Instant) -> bool:
        """Return whether any instance currently follows this one."""
        return any(
            now - one.asked_at <= ASK_SILENCE
            for one in self._followers_by_link.values()
        )

    def with_loads_of_members(
        self, own: tuple[grantor.RangeLoad, ...], now: ids.Instant
    ) -> tuple[grantor.RangeLoad, ...]:
        """Return own loads summed with those that followers reported."""
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
        """Return the changes not yet sent on a link, and mark them as sent."""
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
        """Return the relay for a follower in another data centre.

        The first follower of a data centre becomes its relay; it is
        replaced when it is silent.
        """
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
    """Return the request with its revisions advanced by the update."""
    revisions = {one.kind: one.revision for one in update.kinds}
    known = tuple(
        dataclasses.replace(
            one,
            revision=max(one.revision, revisions.get(one.kind, one.revision)),
        )
        for one in ask.known
    )
    return dataclasses.replace(ask, known=known)
