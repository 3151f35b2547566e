"""Instances that request updates from this one, and the state of each."""

import collections
from collections import abc
import dataclasses
from typing import Any, Final

from dragonflyshelf.core import addresses
from dragonflyshelf.core.grantor import messages as grantor
from dragonflyshelf.core import ids
from dragonflyshelf.core.quota import const
from dragonflyshelf.core.relay import messages
from dragonflyshelf.core.relay import updates
from dragonflyshelf.core import settings
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.core.store import replica

Link = Any
"""Identifies a connection to a follower; the runtime uses its inbox."""

FOLLOWER_TIMEOUT_SECONDS: Final = 1.0
"""Seconds without a request after which a follower counts as silent."""

INSTANCE_EXPIRY_SECONDS: Final = 5.0
"""Seconds after its last request for which an instance is considered alive."""

LOAD_EXPIRY_SECONDS: Final = 1.2
"""Seconds for which a follower's load report is included in own reports."""

MAX_DIRECT_INSTANCE_COUNT: Final = 16
"""Number of instances up to which the leader serves its own data centre.

It also sends the grants and renews the lease, which a long configuration
for many followers must not hold up on its link.
"""

MAX_LOAD_COUNT: Final = 256
"""Maximum number of range loads in one update request."""


@dataclasses.dataclass(kw_only=True, slots=True)
class Follower:
    """Last update request on one link, and the state sent in response.

    The revisions in the request include those that were sent since.
    """

    request: messages.UpdateRequest
    requested_at: ids.Instant
    sent_count: int = 0
    sent_instances: tuple[ids.InstanceId, ...] = ()
    loads: tuple[grantor.RangeLoad, ...] = ()
    loads_reported_at: ids.Instant = ids.Instant(0.0)

    @property
    def is_new(self) -> bool:
        """Return whether nothing has been sent on its link yet."""
        return not self.sent_count


class Followers:
    """Followers by link, and the instances known to be alive."""

    def __init__(
        self,
        instance_settings: settings.InstanceSettings,
        store_replica: replica.Replica,
    ) -> None:
        """Create a collection that contains no follower."""
        self._instance_settings = instance_settings
        self._replica = store_replica
        self._followers_by_link: dict[Link, Follower] = {}
        self._last_seen_by_instance: dict[ids.InstanceId, ids.Instant] = {}
        self._relay_links_by_data_centre: dict[ids.DataCentreId, Link] = {}
        self._leader_instances: tuple[ids.InstanceId, ...] = ()

    def __iter__(self) -> abc.Iterator[Link]:
        """Iterate over the links of all followers."""
        return iter(tuple(self._followers_by_link))

    def assume_alive(
        self, instances: abc.Iterable[ids.InstanceId], now: ids.Instant
    ) -> None:
        """Treat the instances known to the previous leader as alive."""
        for instance in instances:
            self._last_seen_by_instance.setdefault(instance, now)

    def set_leader_instances(
        self, instances: tuple[ids.InstanceId, ...]
    ) -> None:
        """Store the instances that the leader considers alive."""
        self._leader_instances = instances

    @property
    def instance_count(self) -> int:
        """Return the number of live instances, a default if unknown."""
        return len(self._leader_instances) or const.DEFAULT_INSTANCE_COUNT

    def record_request(
        self, link: Link, request: messages.UpdateRequest, now: ids.Instant
    ) -> None:
        """Record an update request and the load that it reports."""
        for instance in (request.instance, *request.members):
            self._last_seen_by_instance[instance] = now
        follower = self._followers_by_link.setdefault(
            link, Follower(request=request, requested_at=now)
        )
        if 0 <= request.received_count < follower.sent_count:
            sent_by_kind = {
                known.kind: known.revision for known in follower.request.known
            }
            request = _with_known(request, sent_by_kind, max)
        follower.request = request
        follower.requested_at = now
        if request.loads:
            follower.loads = request.loads
            follower.loads_reported_at = now

    def has_link(self, link: Link) -> bool:
        """Return whether a follower has sent a request on a link."""
        return link in self._followers_by_link

    def remove_link(self, link: Link) -> None:
        """Remove a closed link."""
        self._followers_by_link.pop(link, None)

    def instances(self, now: ids.Instant) -> tuple[ids.InstanceId, ...]:
        """Return the instances considered alive, including this one."""
        last_seen = self._last_seen_by_instance
        last_seen[self._instance_settings.name] = now
        for instance in list(last_seen):
            if now - last_seen[instance] > INSTANCE_EXPIRY_SECONDS:
                del last_seen[instance]
        return tuple(sorted(last_seen))

    def count_silent(self, now: ids.Instant) -> int:
        """Count the live instances that have stopped sending requests."""
        return sum(
            now - self._last_seen_by_instance[instance]
            > FOLLOWER_TIMEOUT_SECONDS
            for instance in self.instances(now)
        )

    def members(self, now: ids.Instant) -> tuple[ids.InstanceId, ...]:
        """Return the instances that currently follow this one."""
        return tuple(
            follower.request.instance
            for follower in self._followers_by_link.values()
            if now - follower.requested_at <= FOLLOWER_TIMEOUT_SECONDS
        )

    def has_members(self, now: ids.Instant) -> bool:
        """Return whether any instance currently follows this one."""
        return any(
            now - follower.requested_at <= FOLLOWER_TIMEOUT_SECONDS
            for follower in self._followers_by_link.values()
        )

    def aggregate_loads(
        self, own_loads: tuple[grantor.RangeLoad, ...], now: ids.Instant
    ) -> tuple[grantor.RangeLoad, ...]:
        """Return ``own_loads`` summed with those that followers reported."""
        rates: collections.Counter[tuple[ids.ServiceName, ids.ShardKey]] = (
            collections.Counter()
        )
        reports = [
            follower.loads
            for follower in self._followers_by_link.values()
            if now - follower.loads_reported_at <= LOAD_EXPIRY_SECONDS
        ]
        for loads in (own_loads, *reports):
            for load in loads:
                rates[(load.service, load.first)] += load.rate
        return tuple(
            grantor.RangeLoad(service=service, first=first, rate=rate)
            for (service, first), rate in rates.most_common(MAX_LOAD_COUNT)
        )

    def next_update(
        self,
        link: Link,
        is_leading: bool,
        now: ids.Instant,
        complete_at: ids.Instant = replica.DISTANT_PAST,
        own_relay: addresses.Address = addresses.NO_ADDRESS,
    ) -> messages.Update:
        """Return the changes not yet sent on a link, and mark them as sent.

        A relay that follows another one, ``own_relay``, since the leader
        has replaced it, sends its followers there.
        ``complete_at`` is up to when this instance knows all changes. A new
        follower is only told its relay at first: all instances come to a
        new leader at once, and its link may be narrow.
        """
        follower = self._followers_by_link[link]
        relay = own_relay
        if is_leading:
            relay = self._select_relay(link, now)
        if relay != addresses.NO_ADDRESS and follower.is_new:
            follower.sent_count += 1
            return messages.Update(
                number=follower.request.number,
                kinds=(),
                instances=(),
                relay=relay,
            )
        update = messages.Update(
            number=follower.request.number,
            kinds=updates.relayed_kinds(
                self._replica, follower.request.known, follower.requested_at
            ),
            instances=self._new_instances(follower, is_leading, now),
            relay=relay,
            age=follower.requested_at - complete_at,
            serves_slots=not is_leading,
        )
        sent_by_kind = {
            relayed.kind: relayed.revision for relayed in update.kinds
        }
        follower.request = _with_known(follower.request, sent_by_kind, max)
        follower.sent_count += 1
        return update

    def _new_instances(
        self, follower: Follower, is_leading: bool, now: ids.Instant
    ) -> tuple[ids.InstanceId, ...]:
        """Return the live instances if they differ from those sent."""
        instances = (
            self.instances(now) if is_leading else self._leader_instances
        )
        if instances == follower.sent_instances:
            return ()
        follower.sent_instances = instances
        return instances

    def record_unsent(self, link: Link, update: messages.Update) -> None:
        """Record that an update was not sent, so that it is sent again."""
        follower = self._followers_by_link.get(link)
        if follower is None:
            return
        follower.sent_count -= 1
        follower.sent_instances = ()
        former_by_kind = {
            relayed.kind: relayed.since for relayed in update.kinds
        }
        follower.request = _with_known(follower.request, former_by_kind, min)

    def _select_relay(self, link: Link, now: ids.Instant) -> addresses.Address:
        """Return the relay for a follower.

        The first follower of a data centre becomes its relay; it is
        replaced when it is silent, and a small one by any that is not. The
        leader's own data centre has none if there are few instances.
        """
        request = self._followers_by_link[link].request
        has_few_instances = (
            len(self._last_seen_by_instance) <= MAX_DIRECT_INSTANCE_COUNT
        )
        own_data_centre = self._instance_settings.data_centre
        if has_few_instances and request.data_centre == own_data_centre:
            return addresses.NO_ADDRESS
        relay_link = self._relay_links_by_data_centre.get(request.data_centre)
        relay_follower = self._followers_by_link.get(relay_link)
        if (
            relay_follower is None
            or now - relay_follower.requested_at > FOLLOWER_TIMEOUT_SECONDS
            or (relay_follower.request.is_small and not request.is_small)
        ):
            self._relay_links_by_data_centre[request.data_centre] = link
            return addresses.NO_ADDRESS
        if relay_link == link:
            return addresses.NO_ADDRESS
        return relay_follower.request.address


def _with_known(
    request: messages.UpdateRequest,
    revision_by_kind: abc.Mapping[store.ObjectKind, ids.Revision],
    select: abc.Callable[[ids.Revision, ids.Revision], ids.Revision],
) -> messages.UpdateRequest:
    """Return the request with each revision selected from the two known."""
    known = tuple(
        dataclasses.replace(
            known_revision,
            revision=select(
                known_revision.revision,
                revision_by_kind.get(
                    known_revision.kind, known_revision.revision
                ),
            ),
        )
        for known_revision in request.known
    )
    return dataclasses.replace(request, known=known)
