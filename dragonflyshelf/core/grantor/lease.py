"""The lease of the leading instance.

A holder leads until its last renewal, counted from its sending, is a
lease old. Another takes over by a conditional write once it has seen
the same revision for a lease: the write fails if there was a renewal.
"""

import dataclasses
import enum

import xxhash

from dragonflyshelf.core.grantor import const
from dragonflyshelf.core.grantor import messages
from dragonflyshelf.core.grantor import objects
from dragonflyshelf.core import ids
from dragonflyshelf.core import settings
from dragonflyshelf.core.store import messages as store

LEASE_NAME = ids.ObjectName(const.LEASE_NAME)
NEVER = ids.Instant(float("-inf"))


class Role(enum.Enum):
    """Part that this instance has.

    A detached leader could not renew: it moves nothing, but keeps up
    what it has granted as long as nobody else may have taken over.
    """

    DETACHED = "detached"
    FOLLOWING = "following"
    LEADING = "leading"


class LeaseKeeper:
    """Takes, renews and gives up the lease."""

    def __init__(self, config: settings.Settings, own: objects.Lease) -> None:
        """Create a keeper; ``own`` says what the lease would hold."""
        self._config = config.leadership
        self._continue_for = config.grants.continue_for
        self._own = own
        self._lease: objects.Lease | None = None
        self._revision = ids.Revision(0)
        self._seen_at = NEVER
        self._listed_at = ids.Instant(float("inf"))
        self._renewed_at = NEVER
        self._checked_at = NEVER
        self._next_try = NEVER
        self._writing: messages.WriteControl | None = None
        self._resigned = False
        self.role = Role.FOLLOWING
        self.predecessor_until = NEVER
        digest = xxhash.xxh64_intdigest(
            f"{own.holder}/{own.incarnation}".encode()
        )
        self._place = (digest % 1000) / 1000
        self._instances = const.INSTANCES_UNKNOWN

    def set_instances(self, count: int) -> None:
        """Take over how many instances may want the lease."""
        self._instances = count

    @property
    def _stagger(self) -> float:
        """Return the own place among the takeovers, in seconds.

        The first of many comes as soon as the first of few, and the
        others see its lease in time.
        """
        return const.TAKEOVER_STAGGER * self._place * self._instances

    @property
    def _retry_interval(self) -> float:
        """Return the seconds until a failed write is tried again.

        The holder tries often; all others together no more often.
        """
        if self.is_own:
            return const.RETRY_INTERVAL
        others = const.RETRY_INTERVAL * self._instances
        return others * (0.5 + self._place)

    @property
    def lease(self) -> objects.Lease | None:
        """Return the lease as last seen."""
        return self._lease

    @property
    def is_own(self) -> bool:
        """Tell whether the lease names this process."""
        return self._lease is not None and self._names_own(self._lease)

    def _names_own(self, lease: objects.Lease) -> bool:
        same = lease.holder == self._own.holder
        return same and lease.incarnation == self._own.incarnation

    def listed(self, now: ids.Instant) -> None:
        """Note that the own objects are known, and so a missing lease."""
        self._listed_at = min(self._listed_at, now)

    def see(self, seen: messages.ControlSeen, now: ids.Instant) -> None:
        """Take in the lease as the store has it."""
        assert isinstance(seen.value, objects.Lease)
        if seen.revision <= self._revision:
            return
        self._lease = seen.value
        self._revision = seen.revision
        self._seen_at = now
        if not self.is_own:
            self.role = Role.FOLLOWING

    def written(
        self, event: messages.ControlWritten, now: ids.Instant
    ) -> None:
        """Take in what became of a write."""
        self._writing = None
        if event.present is not None:
            self.see(event.present, now)
        value = event.write.value
        is_done = event.outcome is store.WriteOutcome.DONE
        if event.outcome is store.WriteOutcome.CONFLICT:
            is_done = self._lease == value
        if not is_done:
            self._next_try = ids.Instant(now + self._retry_interval)
            return
        if not self.is_own:
            self.role = Role.FOLLOWING
            return
        self._renewed_at = max(self._renewed_at, event.sent_at)
        self.role = Role.LEADING

    def tick(self, now: ids.Instant) -> messages.WriteControl | None:
        """Return a write that is due, if any."""
        self._check_age(now)
        if self._writing is not None or now < self._next_try:
            return None
        if self._resigned or not self._is_due(now):
            return None
        if not self.is_own:
            self._note_predecessor()
        return self._write(
            dataclasses.replace(
                self._own,
                count=self._lease.count + 1 if self._lease else 1,
                former_for=round(max(self.predecessor_until - now, 0.0), 3),
            )
        )

    def _note_predecessor(self) -> None:
        """Remember until when former holders may send grants.

        A former process of this instance has ended, and a holder that
        gave the lease up sends no more, but their own predecessors may.
        """
        self.predecessor_until = NEVER
        if self._lease is None:
            return
        lasting = self._lease.former_for
        if self._lease.holder not in ("", self._own.holder):
            lasting = max(lasting, self._continue_for)
        if lasting > 0:
            self.predecessor_until = ids.Instant(self._seen_at + lasting)

    def _write(self, value: objects.Lease) -> messages.WriteControl:
        self._writing = messages.WriteControl(
            name=LEASE_NAME,
            expected=self._revision,
            value=value,
            timeout=const.WRITE_TIMEOUT,
        )
        return self._writing

    def resign(self) -> messages.WriteControl | None:
        """Give the lease up, so that another takes it at once."""
        self._resigned = True
        if self.role is not Role.LEADING or not self.is_own:
            return None
        self.role = Role.FOLLOWING
        assert self._lease is not None
        return self._write(
            dataclasses.replace(
                self._lease,
                holder=ids.InstanceId(""),
                count=self._lease.count + 1,
            )
        )

    def _is_due(self, now: ids.Instant) -> bool:
        if self.is_own:
            return now >= self._renewed_at + self._config.renew_interval
        if self._lease is None:
            return now >= self._listed_at + self._stagger
        if self._lease.holder == self._own.holder:
            return True
        if not self._lease.holder:
            return now >= self._seen_at + self._stagger / 3
        return now >= self._seen_at + self._config.lease + self._stagger

    def _check_age(self, now: ids.Instant) -> None:
        """Stop leading when the lease is over.

        After a pause of its own an instance cannot tell whether another
        has taken over, so it does not go on as a detached leader.
        """
        age = now - self._renewed_at
        has_paused = now - self._checked_at > const.LONGEST_PAUSE
        self._checked_at = now
        if has_paused and age > self._config.lease:
            self.role = Role.FOLLOWING
        if self.role is Role.LEADING and age > self._config.lease:
            self.role = Role.DETACHED
        if self.role is Role.DETACHED and age > self._continue_for:
            self.role = Role.FOLLOWING
