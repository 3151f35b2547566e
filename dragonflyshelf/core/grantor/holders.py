"""Upstreams of one service, and which of them may hold ranges."""

from collections import abc

from dragonflyshelf.core.grantor import const
from dragonflyshelf.core.grantor import failure_detector
from dragonflyshelf.core import ids
from dragonflyshelf.core.upstreams import objects as upstreams


class Holders:
    """Registrations of upstreams, with their warm-up and failures.

    The registration of an upstream is kept after its removal, as a range may
    have to be released from it.
    """

    def __init__(self) -> None:
        """Create a collection without upstreams."""
        self._registrations: tuple[upstreams.Registration, ...] = ()
        self._registrations_by_incarnation: dict[
            ids.UpstreamIncarnation, upstreams.Registration
        ] = {}
        self._warm_at_by_incarnation: dict[
            ids.UpstreamIncarnation, ids.Instant
        ] = {}
        self._evacuated_data_centres: frozenset[ids.DataCentreId] = frozenset()
        self.failure_detector = failure_detector.FailureDetector()
        self.last_registered_at = ids.Instant(float("-inf"))

    def set_registrations(
        self,
        registrations: tuple[upstreams.Registration, ...],
        evacuated: frozenset[ids.DataCentreId],
        now: ids.Instant,
    ) -> None:
        """Set the upstreams and the evacuated data centres."""
        self._registrations = registrations
        self._evacuated_data_centres = evacuated
        for registration in registrations:
            if not self.has_known(registration.incarnation):
                self.last_registered_at = now
            self._registrations_by_incarnation[registration.incarnation] = (
                registration
            )
            self._warm_at_by_incarnation.setdefault(
                registration.incarnation,
                ids.Instant(now + registration.warmup_left_seconds),
            )

    def has_known(self, incarnation: ids.UpstreamIncarnation) -> bool:
        """Return whether an upstream is or was registered."""
        return incarnation in self._registrations_by_incarnation

    def find(
        self, incarnation: ids.UpstreamIncarnation
    ) -> upstreams.Registration | None:
        """Return the last registration of an upstream."""
        return self._registrations_by_incarnation.get(incarnation)

    def is_unresponsive(
        self, incarnation: ids.UpstreamIncarnation, now: ids.Instant
    ) -> bool:
        """Return whether an upstream does not respond to calls."""
        return self.failure_detector.is_unresponsive(incarnation, now)

    def keepers(self, now: ids.Instant) -> abc.Set[ids.UpstreamIncarnation]:
        """Return the upstreams that may keep their ranges."""
        usable = {registration.incarnation for registration in self._usable()}
        return usable - self._lost_incarnations(now)

    def candidates(self, now: ids.Instant) -> list[upstreams.Registration]:
        """Return the upstreams to which ranges may be assigned."""
        responsive = [
            registration
            for registration in self._usable()
            if not self.is_unresponsive(registration.incarnation, now)
        ]
        warm = [
            registration
            for registration in responsive
            if self._warm_at_by_incarnation[registration.incarnation] <= now
        ]
        return warm or responsive

    def _usable(self) -> list[upstreams.Registration]:
        """Return the upstreams that neither leave nor are evacuated."""
        return [
            registration
            for registration in self._registrations
            if not registration.is_draining
            and registration.data_centre not in self._evacuated_data_centres
        ]

    def _lost_incarnations(
        self, now: ids.Instant
    ) -> set[ids.UpstreamIncarnation]:
        """Return the unresponsive upstreams, unless there are too many.

        The leader's own network link is the more likely cause then.
        """
        usable = self._usable()
        unresponsive = {
            registration.incarnation
            for registration in usable
            if self.is_unresponsive(registration.incarnation, now)
        }
        if len(unresponsive) > len(usable) * const.MAX_UNRESPONSIVE_RATIO:
            return set()
        return unresponsive
