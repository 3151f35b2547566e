"""Assignment of the slots of one data centre's upstreams.

Load pattern: many instances that each see few requests. None of them meets
an upstream often enough to know its load, and what they are told about it
makes all choose the same one. What is assigned by one place does not.
"""

import dataclasses
import heapq

from dragonflyshelf.core import ids
from dragonflyshelf.core.scheduling import fleet as fleets
from dragonflyshelf.core.slots import const
from dragonflyshelf.core.slots import messages
from dragonflyshelf.core.slots import tickets
from dragonflyshelf.core.upstreams import state


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeldSlot:
    """Slot of an upstream that is assigned to an instance."""

    service: ids.ServiceName
    upstream: state.UpstreamState


class SlotBroker:
    """Assigns slots, and counts them as load of their upstreams."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        """Create a broker that has assigned no slot."""
        self._fleet = fleet
        self._held_by_key: dict[messages.SlotKey, HeldSlot] = {}
        self._terms: list[tuple[ids.Instant, int, messages.SlotKey]] = []
        self._term_number = 0

    def assign(
        self, event: messages.SlotRequested, now: ids.Instant
    ) -> messages.AssignSlot:
        """Assign the slot with the least expected time, if one is free."""
        self.release_overdue(now)
        request = event.request
        upstream = self._fleet.choose_local(
            request.service, request.objective, now
        )
        incarnation = messages.NO_UPSTREAM
        if upstream is not None:
            incarnation = upstream.registration.incarnation
            self.hold(
                messages.SlotKey(link=event.link, number=request.number),
                request.service,
                upstream,
                request.remaining,
                now,
            )
        return messages.AssignSlot(
            link=event.link,
            assignment=messages.SlotAssignment(
                number=request.number,
                incarnation=incarnation,
                serves_holders=True,
            ),
        )

    def hold(
        self,
        key: messages.SlotKey,
        service: ids.ServiceName,
        upstream: state.UpstreamState,
        remaining: float,
        now: ids.Instant,
    ) -> None:
        """Count a slot as in use, until its end is reported.

        ``remaining`` is the time to the request's deadline in seconds.
        """
        upstream.start()
        self._fleet.record_attempt(upstream, now)
        self._held_by_key[key] = HeldSlot(service=service, upstream=upstream)
        self._term_number += 1
        term = tickets.bounded_seconds(remaining)
        ends_at = ids.Instant(now + term + const.TERM_MARGIN_SECONDS)
        heapq.heappush(self._terms, (ends_at, self._term_number, key))

    def record_in_use(
        self, event: messages.SlotInUseReported, now: ids.Instant
    ) -> None:
        """Count an attempt that was under way before this broker."""
        slot = event.slot
        key = messages.SlotKey(link=event.link, number=slot.number)
        service = self._fleet.service_state(slot.service)
        upstream = service.upstreams_by_incarnation.get(slot.incarnation)
        if upstream is not None and key not in self._held_by_key:
            self.hold(key, slot.service, upstream, slot.remaining, now)

    def release_overdue(self, now: ids.Instant) -> None:
        """Free the slots whose end was not reported."""
        while self._terms and self._terms[0][0] <= now:
            _, _, key = heapq.heappop(self._terms)
            held = self._held_by_key.pop(key, None)
            if held is not None:
                held.upstream.finish(
                    state.AttemptResult.CANCELLED, 0.0, None, now
                )

    def report(
        self, event: messages.SlotReported, now: ids.Instant
    ) -> ids.ServiceName | None:
        """Free a slot and learn from the attempt in it.

        Return the service of the slot, None if it is not known. That one
        instance did not reach an upstream may be its own fault, so this
        counts as any other failure.
        """
        report = event.report
        key = messages.SlotKey(link=event.link, number=report.number)
        held = self._held_by_key.pop(key, None)
        if held is None:
            return None
        load_report = None
        if report.report.slots:
            load_report = report.report
        result = report.result
        if result is state.AttemptResult.UNREACHABLE:
            result = state.AttemptResult.FAILED
        held.upstream.finish(result, report.seconds, load_report, now)
        service = self._fleet.service_state(held.service)
        is_refused = report.result is state.AttemptResult.UNREACHABLE
        is_turned_away = report.is_turned_away or is_refused
        if is_turned_away and self._fleet.is_sharded(held.service):
            held.upstream.record_turned_away(service.mean_service_time, now)
        if report.result is state.AttemptResult.RESPONDED:
            service.record_response(
                held.upstream.registration.incarnation, report.seconds, now
            )
        return held.service
