"""Leader election by a lease in the store.

The holder is the leader until one lease duration has passed since it
sent its last successful renewal. Another instance acquires the lease by
a conditional write after it has observed an unchanged revision for a
lease duration; the write fails if the lease was renewed in between.
"""

import dataclasses
import enum

from dragonflyshelf.core.grantor import const
from dragonflyshelf.core.grantor import messages
from dragonflyshelf.core.grantor import objects
from dragonflyshelf.core.grantor import range_grants
from dragonflyshelf.core import ids
from dragonflyshelf.core import settings
from dragonflyshelf.core import stagger
from dragonflyshelf.core.store import messages as store

LEASE_NAME = ids.ObjectName(const.LEASE_NAME)
DISTANT_PAST = ids.Instant(float("-inf"))
"""Instant before all others: not happened yet, or due immediately."""


class Role(enum.Enum):
    """Role of this instance in leader election.

    A detached leader could not renew its lease in time. It moves no
    range, but renews existing grants for as long as another leader can
    not yet have reassigned them.
    """

    DETACHED = "detached"
    FOLLOWER = "following"
    LEADER = "leading"


class LeaseManager:
    """Acquires, renews and releases the lease."""

    def __init__(
        self, config: settings.Settings, own_lease: objects.Lease
    ) -> None:
        """Create a manager; ``own_lease`` is the lease that it writes."""
        self._config = config.leadership
        self._is_small = config.instance.is_small
        self._continue_for = config.grants.continue_for
        self._delivery_time = (
            range_grants.MAX_DELIVERY_TIMEOUT_COUNT
            * config.grants.call_timeout
        )
        self._own_lease = own_lease
        self._lease: objects.Lease | None = None
        self._revision = ids.Revision(0)
        self._observed_at = DISTANT_PAST
        self._listed_at = ids.Instant(float("inf"))
        self._renewed_at = DISTANT_PAST
        self._checked_at = DISTANT_PAST
        self._next_attempt_at = DISTANT_PAST
        self._pending_write: messages.WriteControl | None = None
        self._resigned = False
        self.role = Role.FOLLOWER
        self.predecessor_until = DISTANT_PAST
        self._stagger_ratio = stagger.find_ratio(
            f"{own_lease.holder}/{own_lease.incarnation}"
        )
        self._instance_count = const.DEFAULT_INSTANCE_COUNT

    def set_instance_count(self, count: int) -> None:
        """Set the number of instances that compete for the lease."""
        self._instance_count = count

    @property
    def _takeover_delay(self) -> float:
        """Return this instance's delay before a takeover, in seconds.

        The delays are spread over a window that grows with the number of
        instances, so that the others observe the lease of the first one
        before they attempt to acquire it. The shortest delay does not
        grow with that number. Small instances wait until the others have
        tried.
        """
        count = min(self._instance_count, const.MAX_STAGGERED_COUNT)
        window = const.TAKEOVER_STAGGER_SECONDS * count
        if not self._is_small:
            return window * self._stagger_ratio
        window_of_all = const.TAKEOVER_STAGGER_SECONDS * self._instance_count
        return window + window_of_all * self._stagger_ratio

    @property
    def _retry_interval(self) -> float:
        """Return the delay before a failed write is retried, in seconds.

        All other instances together retry about as often as the holder
        alone.
        """
        if self.is_holder:
            return const.RETRY_INTERVAL_SECONDS
        interval_of_all = const.RETRY_INTERVAL_SECONDS * self._instance_count
        return interval_of_all * (0.5 + self._stagger_ratio)

    @property
    def lease(self) -> objects.Lease | None:
        """Return the lease as last observed in the store."""
        return self._lease

    @property
    def is_holder(self) -> bool:
        """Return whether this process holds the lease."""
        return self._lease is not None and self._is_own_lease(self._lease)

    def _is_own_lease(self, lease: objects.Lease) -> bool:
        is_same_holder = lease.holder == self._own_lease.holder
        return (
            is_same_holder and lease.incarnation == self._own_lease.incarnation
        )

    def record_listed(self, now: ids.Instant) -> None:
        """Record that the control objects are known.

        From then on an unknown lease is one that does not exist.
        """
        self._listed_at = min(self._listed_at, now)

    def observe(
        self, observed: messages.ControlObserved, now: ids.Instant
    ) -> None:
        """Update the lease from the store unless the revision is old."""
        assert isinstance(observed.value, objects.Lease)
        if observed.revision <= self._revision:
            return
        self._lease = observed.value
        self._revision = observed.revision
        self._observed_at = now
        if not self.is_holder:
            self.role = Role.FOLLOWER

    def complete_write(
        self, event: messages.ControlWriteCompleted, now: ids.Instant
    ) -> None:
        """Process the outcome of a write."""
        self._pending_write = None
        if event.current is not None:
            self.observe(event.current, now)
        value = event.write.value
        is_done = event.outcome is store.WriteOutcome.DONE
        if event.outcome is store.WriteOutcome.CONFLICT:
            is_done = self._lease == value
        if not is_done:
            self._next_attempt_at = ids.Instant(now + self._retry_interval)
            return
        if not self.is_holder:
            self.role = Role.FOLLOWER
            return
        self._renewed_at = max(self._renewed_at, event.sent_at)
        self.role = Role.LEADER

    def tick(self, now: ids.Instant) -> messages.WriteControl | None:
        """Return the write that is due, if any."""
        self._check_expiry(now)
        if self._pending_write is not None or now < self._next_attempt_at:
            return None
        if self._resigned or not self._is_due(now):
            return None
        if not self.is_holder:
            self._record_predecessor()
        return self._write(
            dataclasses.replace(
                self._own_lease,
                count=self._lease.count + 1 if self._lease else 1,
                former_for=round(max(self.predecessor_until - now, 0.0), 3),
            )
        )

    def _record_predecessor(self) -> None:
        """Record until when previous leaders may renew grants.

        A previous process of this instance has ended, and a holder that
        has released the lease sends no more grants, but a leader before
        either of them may still do so.
        """
        self.predecessor_until = DISTANT_PAST
        if self._lease is None:
            return
        remaining = self._lease.former_for
        if self._lease.holder not in ("", self._own_lease.holder):
            remaining = max(remaining, self._continue_for)
        if remaining > 0:
            self.predecessor_until = ids.Instant(self._observed_at + remaining)

    def _write(self, value: objects.Lease) -> messages.WriteControl:
        self._pending_write = messages.WriteControl(
            name=LEASE_NAME,
            expected_revision=self._revision,
            value=value,
            timeout=const.WRITE_TIMEOUT_SECONDS,
        )
        return self._pending_write

    def resign(self) -> messages.WriteControl | None:
        """Release the lease, so that another instance can acquire it early.

        Grants that have been requested before may still arrive until their
        calls have timed out.
        """
        self._resigned = True
        if self.role is not Role.LEADER or not self.is_holder:
            return None
        self.role = Role.FOLLOWER
        assert self._lease is not None
        return self._write(
            dataclasses.replace(
                self._lease,
                holder=ids.InstanceId(""),
                count=self._lease.count + 1,
                former_for=max(self._lease.former_for, self._delivery_time),
            )
        )

    def _is_due(self, now: ids.Instant) -> bool:
        if self.is_holder:
            return now >= self._renewed_at + self._config.renew_interval
        if self._lease is None:
            return now >= self._listed_at + self._takeover_delay
        if self._lease.holder == self._own_lease.holder:
            return True
        if not self._lease.holder:
            return now >= self._observed_at + self._takeover_delay / 3
        return (
            now
            >= self._observed_at + self._config.lease + self._takeover_delay
        )

    def _check_expiry(self, now: ids.Instant) -> None:
        """Give up the leader role when the lease has expired.

        A process that was suspended past the expiry becomes a follower
        rather than a detached leader, as another instance may have
        acquired the lease in the meantime.
        """
        lease_age = now - self._renewed_at
        was_suspended = now - self._checked_at > const.MAX_TICK_GAP_SECONDS
        self._checked_at = now
        if was_suspended and lease_age > self._config.lease:
            self.role = Role.FOLLOWER
        if self.role is Role.LEADER and lease_age > self._config.lease:
            self.role = Role.DETACHED
        if self.role is Role.DETACHED and lease_age > self._continue_for:
            self.role = Role.FOLLOWER
