"""Exchange of updates and tokens with the leader, relays and followers.

This part of the control task runs within it, because followers are sent
changes from that task's replica.
"""

from collections import abc
import dataclasses
from typing import Final

from absl import logging

from dragonflyshelf.core import addresses
from dragonflyshelf.core.grantor import lease as grantor_lease
from dragonflyshelf.core.grantor import messages as grantor
from dragonflyshelf.core.grantor import objects as grantor_objects
from dragonflyshelf.core import ids
from dragonflyshelf.core.quota import allocator
from dragonflyshelf.core.quota import messages as quota
from dragonflyshelf.core.quota import pool
from dragonflyshelf.core.relay import completeness
from dragonflyshelf.core.relay import followers
from dragonflyshelf.core.relay import messages as relay
from dragonflyshelf.core.relay import relay_selector
from dragonflyshelf.core.relay import updates
from dragonflyshelf.core.rollouts import outcomes
from dragonflyshelf.core.routing import objects as routing
from dragonflyshelf.core import settings
from dragonflyshelf.core.slots import messages as slots
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.core.store import replica
from dragonflyshelf.core.upstreams import service_times
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime.relay import messages

_LOGGER = logging.get_absl_logger()

MAX_TRACKED_REQUEST_COUNT: Final = 32
"""Number of latest update requests whose responses are accepted.

It bounds the number of sending times that are kept.
"""


class RelayCoordinator:
    """Coordinates updates and tokens between this instance and others."""

    def __init__(
        self,
        config: settings.Settings,
        own_lease: grantor_objects.Lease,
        store_replica: replica.Replica,
    ) -> None:
        """Create the coordinator without followers.

        ``router`` and ``client`` must be set before messages are sent.
        """
        self._own_lease = own_lease
        self._data_centre = config.instance.data_centre
        self._is_small = config.instance.is_small
        self._replica = store_replica
        self._token_pool = pool.TokenPool()
        self._relay_selector = relay_selector.RelaySelector(own_lease.holder)
        self._request_number = 0
        self._posted_address: addresses.Address | None = None
        self._has_broker = False
        self._shown_revision = ids.Revision(0)
        self._requested_at_by_number: dict[int, ids.Instant] = {}
        self._service_time_tally = service_times.ServiceTimeTally()
        self._outcome_tally = outcomes.OutcomeTally()
        self.allocator = allocator.TokenAllocator()
        self.completeness = completeness.Completeness(store_replica)
        self.followers = followers.Followers(config.instance, store_replica)
        self.router: inbox.Inbox | None = None
        self.client: inbox.Inbox | None = None

    def update_lease(
        self,
        lease: grantor_objects.Lease,
        revision: ids.Revision,
        now: ids.Instant,
    ) -> bool:
        """Apply the lease and set the update source.

        Return whether the update source has changed. The former source is
        told the lease, as it may not reach the store.
        """
        former_address = self._relay_selector.address
        self._relay_selector.update_lease(lease, revision, now)
        is_changed = self._relay_selector.address != former_address
        if is_changed and former_address is not None:
            self._post_to_client(self._make_request(now))
        self._post_update_source()
        return is_changed

    def _post_update_source(self) -> None:
        address = self._relay_selector.address
        if address != self._posted_address:
            self._posted_address = address
            self._shown_revision = ids.Revision(0)
            self._set_broker(False)
        self._post_to_client(messages.SetUpdateSource(address=address))

    def _set_broker(self, is_available: bool) -> None:
        """Publish whether the update source assigns slots."""
        if is_available != self._has_broker:
            self._has_broker = is_available
            assert self.router is not None
            self.router.post(slots.BrokerChanged(is_available=is_available))

    def _post_to_client(
        self,
        message: (
            messages.SetUpdateSource
            | relay.UpdateRequest
            | relay.TokenRequests
        ),
    ) -> None:
        assert self.client is not None
        self.client.post(message)

    @property
    def source_address(self) -> addresses.Address | None:
        """Return the address from which updates are requested, if any."""
        return self._relay_selector.address

    @property
    def uses_relay(self) -> bool:
        """Return whether this instance follows a relay."""
        return self._relay_selector.uses_relay

    def is_relay(self, now: ids.Instant) -> bool:
        """Return whether other instances follow this one."""
        return self.followers.has_members(now)

    def check_relay(self, age: float, now: ids.Instant) -> None:
        """Drop a relay that is silent or whose data is outdated.

        ``age`` is that of the configuration.
        """
        if self._relay_selector.should_drop_relay(age, now):
            self.drop_relay("it is silent or its data is outdated", now)

    def drop_relay(self, reason: str, now: ids.Instant) -> None:
        """Drop the relay, if any, and revert to the leader."""
        if not self._relay_selector.uses_relay:
            return
        address = self._relay_selector.address
        _LOGGER.info("relay at %s dropped: %s", address, reason)
        self._relay_selector.drop_relay(now)
        self._post_update_source()

    def request_updates(
        self,
        loads: tuple[grantor.RangeLoad, ...],
        service_time_sums: service_times.ServiceTimeSums,
        outcome_sums: outcomes.OutcomeSums,
        now: ids.Instant,
    ) -> None:
        """Request updates from the update source, a leader or relay.

        ``loads`` and ``service_time_sums`` are empty if no report is due.
        """
        self._service_time_tally.add(service_time_sums)
        self._outcome_tally.add(outcome_sums)
        if loads:
            loads = self.followers.aggregate_loads(loads, now)
        self._post_to_client(
            dataclasses.replace(
                self._make_request(now),
                loads=loads,
                paces=self._service_time_tally.take_report(),
                outcomes=self._outcome_tally.take_report(),
            )
        )

    def _make_request(self, now: ids.Instant) -> relay.UpdateRequest:
        """Return the next update request, without measurements."""
        self._request_number += 1
        self._requested_at_by_number[self._request_number] = now
        self._requested_at_by_number.pop(
            self._request_number - MAX_TRACKED_REQUEST_COUNT, None
        )
        return relay.UpdateRequest(
            instance=self._own_lease.holder,
            data_centre=self._data_centre,
            address=self._own_lease.address,
            number=self._request_number,
            known=tuple(
                relay.KnownRevision(
                    kind=kind,
                    revision=self._replica.by_kind(kind).revision,
                )
                for kind in store.REPLICATED_KINDS
            ),
            loads=(),
            members=self.followers.members(now),
            accepts_compressed=True,
            accepts_deltas=True,
            news=self._news_for_source(),
            is_small=self._is_small,
        )

    def _news_for_source(self) -> tuple[relay.RelayedChange, ...]:
        """Return the lease if the update source has not shown it."""
        stored = self._replica.by_kind(
            store.ObjectKind.CONTROL
        ).objects_by_name.get(grantor_lease.LEASE_NAME)
        if stored is None or stored.revision <= self._shown_revision:
            return ()
        return (
            relay.RelayedChange(
                name=stored.name,
                revision=stored.revision,
                removed=False,
                spec=stored.spec,
            ),
        )

    def apply_update(
        self, update: relay.Update, now: ids.Instant
    ) -> abc.Iterator[store.KindListed | store.KindChanged]:
        """Apply an update and yield its store events to apply.

        An update for a request that is no longer tracked is ignored.
        """
        requested_at = self._requested_at_by_number.get(update.number)
        if requested_at is None:
            return
        self._relay_selector.record_update(update.relay, now)
        self._post_update_source()
        if update.kinds:
            self._set_broker(self.uses_relay and update.serves_slots)
        if update.instances:
            self.followers.set_leader_instances(update.instances)
        for relayed_kind in update.kinds:
            if relayed_kind.kind is store.ObjectKind.CONTROL:
                self._record_shown(relayed_kind.revision)
            yield updates.to_event(relayed_kind, requested_at)
        self.completeness.record_update(update, requested_at)

    def _record_shown(self, revision: ids.Revision) -> None:
        """Record which control objects the update source has."""
        self._shown_revision = revision
        self._relay_selector.record_known(revision)

    def handle_request(
        self,
        message: messages.UpdateRequestReceived,
        is_leading: bool,
        now: ids.Instant,
    ) -> None:
        """Record a follower's update request and respond to it."""
        if not is_leading:
            self._service_time_tally.add(message.request.paces)
            self._outcome_tally.add(message.request.outcomes)
        self.followers.record_request(message.reply_to, message.request, now)
        self.send_update(message.reply_to, is_leading, now)

    def send_updates(self, is_leading: bool, now: ids.Instant) -> None:
        """Send each follower the changes that it does not have yet."""
        for link in self.followers:
            self.send_update(link, is_leading, now)

    def send_update(
        self, link: inbox.Inbox, is_leading: bool, now: ids.Instant
    ) -> None:
        """Send a follower the changes that it does not have yet.

        Nothing is sent on a link whose follower has disconnected.
        """
        if self.followers.has_link(link):
            complete_at = self.completeness.complete_at(is_leading)
            link.post(
                self.followers.next_update(
                    link,
                    is_leading,
                    now,
                    complete_at,
                    self._relay_selector.relay_address,
                )
            )

    def request_tokens(
        self,
        link: inbox.Inbox,
        requests: tuple[quota.TokenRequest, ...],
        is_leading: bool,
        now: ids.Instant,
    ) -> None:
        """Allocate tokens as the leader, or request them from it.

        A former leader that knows no other one has no tokens for others.
        """
        is_detached = not is_leading and self.source_address is None
        if is_detached and link is not self.router:
            return
        for request in requests:
            if is_leading:
                self._send_allocation(
                    link, self.allocator.allocate(request, now)
                )
                continue
            for reply in self._token_pool.request_tokens(link, request, now):
                self._send_allocation(reply.link, reply.allocation)
            self._request_tokens_if_due(request.workspace, now)

    def resolve_overdue_tokens(self, now: ids.Instant) -> None:
        """Hand out the fallback share if the leader does not respond."""
        member_count = 0
        if self.source_address is not None:
            member_count = len(self.followers.members(now))
        self._token_pool.fallback_share.set_instances(
            1 + member_count, self.followers.instance_count
        )
        for reply in self._token_pool.resolve_overdue(now):
            self._send_allocation(reply.link, reply.allocation)

    def set_workspaces(
        self, workspaces: tuple[routing.Workspace, ...], now: ids.Instant
    ) -> None:
        """Apply the rates and bursts of a new configuration."""
        self.allocator.set_workspaces(workspaces, now)
        self._token_pool.fallback_share.set_workspaces(workspaces)

    def handle_allocations(
        self, message: relay.TokenAllocations, now: ids.Instant
    ) -> None:
        """Distribute tokens allocated by the update source."""
        for allocation in message.lendings:
            for reply in self._token_pool.add_allocation(allocation, now):
                self._send_allocation(reply.link, reply.allocation)
            self._request_tokens_if_due(allocation.workspace, now)

    def _request_tokens_if_due(
        self, workspace: ids.WorkspaceId, now: ids.Instant
    ) -> None:
        request = self._token_pool.next_request(
            workspace, self.is_relay(now), now
        )
        if request is not None:
            self._post_to_client(relay.TokenRequests(borrowings=(request,)))

    def _send_allocation(
        self, link: inbox.Inbox, allocation: quota.TokenAllocation
    ) -> None:
        if link is self.router:
            link.post(allocation)
        else:
            link.post(relay.TokenAllocations(lendings=(allocation,)))
