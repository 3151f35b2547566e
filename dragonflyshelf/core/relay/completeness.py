"""Time up to which an instance knows all kinds of objects together."""

from typing import Final

from dragonflyshelf.core import ids
from dragonflyshelf.core.relay import messages
from dragonflyshelf.core.relay import watch_selector
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.core.store import replica

DISTANT_PAST: Final = replica.DISTANT_PAST


class Completeness:
    """Tracks when the replica was last complete.

    Each kind has a time of its own, but that of one kind tells nothing of
    the others: a follower that watches the lease in the store still gets
    the registrations from its source, which may be late. The leader knows
    all that there was when it renewed its lease, and states in updates how
    long ago that was; relays pass it on.
    """

    def __init__(self, store_replica: replica.Replica) -> None:
        """Create a tracker of a replica that was never complete."""
        self._replica = store_replica
        self._complete_at = DISTANT_PAST

    def complete_at(self, is_leading: bool) -> ids.Instant:
        """Return up to when all changes are known."""
        if is_leading:
            lease_kind = self._replica.by_kind(store.ObjectKind.CONTROL)
            self._record(lease_kind.confirmed_at)
        return self._complete_at

    def record_direct_watch(self) -> None:
        """Record that all kinds are being watched in the store."""
        self._record(
            min(
                self._replica.by_kind(kind).confirmed_at
                for kind in watch_selector.ALL_KINDS
            )
        )

    def record_update(
        self, update: messages.Update, requested_at: ids.Instant
    ) -> None:
        """Record an update that was applied.

        An update that lacks kinds, or whose changes did not follow on those
        of the replica, does not make it complete.
        """
        kinds = {relayed.kind for relayed in update.kinds}
        if not kinds >= watch_selector.ALL_KINDS:
            return
        for relayed in update.kinds:
            if self._replica.by_kind(relayed.kind).revision < relayed.revision:
                return
        self._record(ids.Instant(requested_at - _find_age(update)))

    def _record(self, complete_at: ids.Instant) -> None:
        self._complete_at = max(self._complete_at, complete_at)


def _find_age(update: messages.Update) -> float:
    """Return the age of an update; that of its lease from older builds."""
    if update.age != messages.UNKNOWN_AGE:
        return update.age
    return max(
        relayed.age
        for relayed in update.kinds
        if relayed.kind is store.ObjectKind.CONTROL
    )
