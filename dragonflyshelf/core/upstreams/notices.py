"""What upstreams have said in their responses about new requests.

A notice concerns one start of an upstream. It holds whatever the registry
says, which learns of a leaving upstream later or not at all.
"""

from typing import Final

from dragonflyshelf.core import ids

LEAVING_TTL_SECONDS: Final = 600.0
"""Seconds for which a start of an upstream that leaves is remembered."""

DISTANT_PAST: Final = ids.Instant(float("-inf"))


class UpstreamNotices:
    """Upstreams that leave, or that want nothing for some time."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._leaving_until_by_incarnation: dict[
            ids.UpstreamIncarnation, ids.Instant
        ] = {}
        self._backoff_until_by_incarnation: dict[
            ids.UpstreamIncarnation, ids.Instant
        ] = {}

    def record_leaving(
        self, incarnation: ids.UpstreamIncarnation, now: ids.Instant
    ) -> bool:
        """Record that an upstream leaves; return whether that is new."""
        self._remove_expired(now)
        is_new = incarnation not in self._leaving_until_by_incarnation
        self._leaving_until_by_incarnation[incarnation] = ids.Instant(
            now + LEAVING_TTL_SECONDS
        )
        return is_new

    def record_backoff(
        self,
        incarnation: ids.UpstreamIncarnation,
        seconds: float,
        now: ids.Instant,
    ) -> None:
        """Record for how long an upstream wants no requests."""
        self._remove_expired(now)
        self._backoff_until_by_incarnation[incarnation] = max(
            self.backoff_until(incarnation), ids.Instant(now + seconds)
        )

    def is_leaving(self, incarnation: ids.UpstreamIncarnation) -> bool:
        """Return whether this start of an upstream leaves."""
        return incarnation in self._leaving_until_by_incarnation

    def backoff_until(
        self, incarnation: ids.UpstreamIncarnation
    ) -> ids.Instant:
        """Return until when an upstream wants no requests."""
        return self._backoff_until_by_incarnation.get(
            incarnation, DISTANT_PAST
        )

    def _remove_expired(self, now: ids.Instant) -> None:
        for until_by_incarnation in (
            self._leaving_until_by_incarnation,
            self._backoff_until_by_incarnation,
        ):
            for incarnation, until in list(until_by_incarnation.items()):
                if until <= now:
                    del until_by_incarnation[incarnation]
