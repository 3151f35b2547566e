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
from dragonflyshelf.core.upstreams import state

SlotKey = tuple[messages.Link, int]


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
        self._held_by_key: dict[SlotKey, HeldSlot] = {}
        self._terms: list[tuple[ids.Instant, int, SlotKey]] = []
        self._term_number = 0

    def assign(
        self, event: messages.SlotRequested, now: ids.Instant
    ) -> messages.AssignSlot:
        """Assign the slot with the least expected time, if one is free."""
        self._release_overdue(now)
        request = event.request
        upstream = self._fleet.choose_local(
            request.service, request.objective, now
        )
        incarnation = messages.NO_UPSTREAM
        if upstream is not None:
            incarnation = upstream.registration.incarnation
            self._hold(event, upstream, now)
        return messages.AssignSlot(
            link=event.link,
            assignment=messages.SlotAssignment(
                number=request.number, incarnation=incarnation
            ),
        )

    def _hold(
        self,
        event: messages.SlotRequested,
        upstream: state.UpstreamState,
        now: ids.Instant,
    ) -> None:
        upstream.start()
        key = (event.link, event.request.number)
        self._held_by_key[key] = HeldSlot(
            service=event.request.service, upstream=upstream
        )
        self._term_number += 1
        term = min(const.MAX_TERM_SECONDS, max(0.0, event.request.remaining))
        ends_at = ids.Instant(now + term + const.TERM_MARGIN_SECONDS)
        heapq.heappush(self._terms, (ends_at, self._term_number, key))

    def _release_overdue(self, now: ids.Instant) -> None:
        """Free the slots whose end was not reported."""
        while self._terms and self._terms[0][0] <= now:
            _, _, key = heapq.heappop(self._terms)
            held = self._held_by_key.pop(key, None)
            if held is not None:
                held.upstream.finish(
                    state.AttemptResult.CANCELLED, 0.0, None, now
                )

    def report(self, event: messages.SlotReported, now: ids.Instant) -> None:
        """Free a slot and learn from the attempt in it.

        That one instance did not reach an upstream may be its own fault, so
        this counts as any other failure.
        """
        report = event.report
        held = self._held_by_key.pop((event.link, report.number), None)
        if held is None:
            return
        load_report = None
        if report.report.slots:
            load_report = report.report
        result = report.result
        if result is state.AttemptResult.UNREACHABLE:
            result = state.AttemptResult.FAILED
        held.upstream.finish(result, report.seconds, load_report, now)
        if report.result is state.AttemptResult.RESPONDED:
            self._fleet.service_state(held.service).record_response(
                held.upstream.registration.incarnation, report.seconds, now
            )
