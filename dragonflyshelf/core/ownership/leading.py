"""What the leader of an upstream knows of it: grants, answers, starts."""

import dataclasses
import math

from dragonflyshelf.core import ids
from dragonflyshelf.core.ownership import messages
from dragonflyshelf.core.ownership import objects
from dragonflyshelf.core import settings

MILLISECONDS = 1000
NEVER = ids.Instant(-math.inf)


@dataclasses.dataclass(kw_only=True, slots=True)
class Led:
    """One upstream under one term of this instance.

    ``granted_at`` is the latest instant at which a grant was sent that
    may have arrived. A former leader that was removed has none left, as
    no grant outlives the lease of its giver; one that handed over may
    have sent its last just then.
    """

    term: ids.Term
    since: ids.Instant
    succeeded: bool
    granted_at: ids.Instant
    heard_at: ids.Instant
    next_grant: ids.Instant
    waiting: bool = False
    reached: bool = False
    contested: bool = False
    claimed: bool = False
    granted_before: ids.Instant = ids.Instant(0.0)
    start_id: ids.StartId = ids.StartId("")
    clock_ms: int = 0
    clock_at: ids.Instant = ids.Instant(0.0)


class LedUpstreams:
    """The upstreams that this instance leads."""

    def __init__(self, config: settings.Settings) -> None:
        """Create without upstreams."""
        self._config = config.ownership
        self._deadline = config.requests.deadline
        self._margin = 1 + config.membership.clock_rate_margin
        self.led_by_upstream: dict[ids.UpstreamId, Led] = {}

    def follow(
        self,
        leaderships: list[objects.Leadership],
        members: frozenset[tuple[ids.InstanceId, ids.Incarnation]],
        now: ids.Instant,
    ) -> None:
        """Take over which leaderships this instance has."""
        present = self.led_by_upstream
        self.led_by_upstream = {
            one.upstream: self._kept(present.get(one.upstream), one, now)
            for one in leaderships
        }
        for one in leaderships:
            former = (one.former, one.former_incarnation)
            led = self.led_by_upstream[one.upstream]
            led.contested = former in members

    def unproven(self, upstream: ids.UpstreamId) -> bool:
        """Tell whether a former leader may still be obeyed."""
        led = self.led_by_upstream[upstream]
        return led.contested and not led.claimed

    def _kept(
        self,
        led: Led | None,
        leadership: objects.Leadership,
        now: ids.Instant,
    ) -> Led:
        if led is not None and led.term == leadership.term:
            return led
        return Led(
            term=leadership.term,
            since=now,
            succeeded=leadership.term > 1,
            granted_at=now if leadership.former else NEVER,
            heard_at=now,
            next_grant=now,
        )

    def due(self, upstream: ids.UpstreamId, now: ids.Instant) -> bool:
        """Tell whether a grant is to be sent now, and count it.

        The first one has no shards and does not count.
        """
        led = self.led_by_upstream[upstream]
        if led.waiting or now < led.next_grant:
            return False
        led.waiting = True
        led.next_grant = ids.Instant(now + self._config.grant_interval)
        led.granted_before = led.granted_at
        if led.start_id:
            led.granted_at = now
        return True

    def hurry(self) -> None:
        """Let the next grants be sent at once, after a change."""
        for led in self.led_by_upstream.values():
            led.next_grant = ids.Instant(0.0)

    def grant_end(
        self, upstream: ids.UpstreamId, ttl: float, now: ids.Instant
    ) -> int:
        """Return the end of a grant by the upstream's clock, in ms.

        The result is 0 for an upstream that tells no clock.
        """
        led = self.led_by_upstream[upstream]
        if led.clock_ms == 0:
            return 0
        passed = (now - led.clock_at) / self._margin
        return led.clock_ms + int((passed + ttl) * MILLISECONDS)

    def on_answer(
        self, event: messages.GrantAnswered, now: ids.Instant
    ) -> bool:
        """Take in an answer; return whether the upstream started anew."""
        led = self.led_by_upstream.get(event.upstream)
        if led is None or led.term != event.given_term:
            return False
        led.waiting = False
        if event.undelivered:
            led.granted_at = led.granted_before
        if not event.reached:
            return False
        led.reached = True
        led.claimed = led.claimed or event.accepted
        led.heard_at = max(led.heard_at, event.sent_at)
        led.clock_ms = event.clock_ms
        led.clock_at = now
        if not event.start_id or event.start_id == led.start_id:
            return False
        led.start_id = event.start_id
        led.next_grant = now
        return True

    def is_lost(self, upstream: ids.UpstreamId, now: ids.Instant) -> bool:
        """Tell whether an upstream has been silent for too long."""
        led = self.led_by_upstream[upstream]
        return now - led.heard_at > self._config.upstream_silence

    def expired_since(
        self,
        upstream: ids.UpstreamId,
        sealed_at: ids.Instant,
        now: ids.Instant,
    ) -> bool:
        """Tell whether every grant from before a seal has run out.

        Grants that are sent after a seal leave the shard out.
        """
        led = self.led_by_upstream[upstream]
        longest = self._config.grant_ttl * self._margin
        return now - min(led.granted_at, sealed_at) > longest

    def sends_over(
        self,
        upstream: ids.UpstreamId,
        sealed_at: ids.Instant,
        now: ids.Instant,
    ) -> bool:
        """Tell whether no request sent before can still be running.

        It is the answer for an upstream that checks no grants.
        """
        longest = self._deadline * self._margin
        return now - sealed_at > longest

    def predecessor_over(
        self, upstream: ids.UpstreamId, now: ids.Instant
    ) -> bool:
        """Tell whether the predecessor's requests have reached deadlines."""
        led = self.led_by_upstream[upstream]
        longest = self._deadline * self._margin
        return not led.succeeded or now - led.since > longest
