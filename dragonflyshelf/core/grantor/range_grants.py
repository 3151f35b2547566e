"""State of the grants of a service's shard ranges."""

import bisect
from collections import abc
import dataclasses
import enum

from dragonflyshelf.core.grantor import messages
from dragonflyshelf.core.grantor import objects
from dragonflyshelf.core import ids

MAX_DELIVERY_DELAY_SECONDS = 0.1
"""Longest assumed network delay of a grant whose response was lost."""

MAX_DELIVERY_TIMEOUT_COUNT = 2
"""Timeouts of a call after which a requested grant can't arrive any more.

It may wait for one to be sent, and then takes another one at most.
"""

NOT_GRANTED_OUTCOMES = frozenset(
    {
        messages.CallOutcome.FENCED,
        messages.CallOutcome.GONE,
        messages.CallOutcome.UNSENT,
    }
)
"""Outcomes of calls that cannot have granted the range."""

DISTANT_PAST = ids.Instant(float("-inf"))
"""Instant before all others: not happened yet, or due immediately."""

Call = messages.GrantRange | messages.ReleaseRange


class GrantState(enum.Enum):
    """Phase of the grant of a range."""

    GRANTING = "granting"
    HELD = "held"
    RELEASING = "releasing"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantInFlight:
    """Requested grant whose outcome is not known, and its latest expiry."""

    call: messages.GrantRange
    until: ids.Instant


GrantsInFlight = tuple[GrantInFlight, ...]


@dataclasses.dataclass(kw_only=True, slots=True)
class RangeGrant:
    """State that the leader keeps for the grant of one range.

    ``held_until`` is the latest expiry of the grants whose outcome is
    known. ``in_flight`` are the others that concern keys of the range; they
    may be for a larger range that was split, or for a part of this one.
    ``former_held_until`` and ``former_in_flight`` are the same for the former
    holder. ``pending_call`` is the call after which the next one is made.
    """

    assignment: objects.Assignment
    state: GrantState
    held_until: ids.Instant = DISTANT_PAST
    in_flight: GrantsInFlight = ()
    former_held_until: ids.Instant = DISTANT_PAST
    former_in_flight: GrantsInFlight = ()
    next_call_at: ids.Instant = DISTANT_PAST
    handover: str = ""
    pending_call: Call | None = None

    @property
    def first(self) -> ids.ShardKey:
        """Return the first key of the range."""
        return self.assignment.first

    @property
    def last(self) -> ids.ShardKey:
        """Return the last key of the range."""
        return self.assignment.last

    @property
    def former_until(self) -> ids.Instant:
        """Return the instant by which the former holder's grants expire."""
        in_flight_until = (grant.until for grant in self.former_in_flight)
        return max((self.former_held_until, *in_flight_until))

    def can_move(self) -> bool:
        """Return whether the range may be moved to another holder."""
        return self.state is not GrantState.RELEASING

    def add_in_flight(
        self, call: messages.GrantRange, until: ids.Instant
    ) -> None:
        """Record a grant that is requested and expires by ``until``."""
        requested = GrantInFlight(call=call, until=until)
        self.in_flight = (*self.in_flight, requested)

    def has_same_range(self, assignment: objects.Assignment) -> bool:
        """Return whether an assignment has the same keys and epoch."""
        current = self.assignment
        return (current.first, current.last, current.epoch) == (
            assignment.first,
            assignment.last,
            assignment.epoch,
        )


def overlapping(
    grants: abc.Sequence[RangeGrant], first: ids.ShardKey, last: ids.ShardKey
) -> abc.Sequence[RangeGrant]:
    """Return the grants, which are ordered by key, of a range of keys."""
    start = bisect.bisect_left(grants, first, key=lambda grant: grant.last)
    end = bisect.bisect_right(grants, last, key=lambda grant: grant.first)
    return grants[start:end]


def from_predecessor(
    assignment: objects.Assignment, held_until: ids.Instant
) -> RangeGrant:
    """Return the state of a range that a previous leader has granted.

    Both holder and former holder may hold the range until ``held_until``,
    as the previous leader may have renewed either of their grants.
    """
    return RangeGrant(
        assignment=assignment,
        state=_initial_state(assignment),
        held_until=held_until,
        former_held_until=held_until,
    )


def from_previous(
    assignment: objects.Assignment, previous: abc.Sequence[RangeGrant]
) -> RangeGrant:
    """Return the state of a range that was moved, split or merged.

    ``previous`` are the grants of its keys before that, at least one. Those
    of its holder go on; the others are those of the former holder.
    """
    life = assignment.life
    own = [grant for grant in previous if grant.assignment.life == life]
    others = [grant for grant in previous if grant.assignment.life != life]
    return RangeGrant(
        assignment=assignment,
        state=_state_after(assignment, own, others),
        held_until=_latest(grant.held_until for grant in own),
        in_flight=_distinct(grant.in_flight for grant in own),
        former_held_until=_latest(
            (
                *(grant.former_held_until for grant in own),
                *(grant.held_until for grant in others),
            )
        ),
        former_in_flight=_distinct(
            (
                *(grant.former_in_flight for grant in own),
                *(grant.in_flight for grant in others),
            )
        ),
        next_call_at=min(
            (grant.next_call_at for grant in own), default=DISTANT_PAST
        ),
        handover=own[0].handover if len(own) == 1 else "",
    )


def _state_after(
    assignment: objects.Assignment,
    own: abc.Sequence[RangeGrant],
    others: abc.Sequence[RangeGrant],
) -> GrantState:
    """Return the state of a range whose keys had these grants before."""
    if others:
        return _initial_state(assignment)
    states = {grant.state for grant in own}
    return states.pop() if len(states) == 1 else _initial_state(assignment)


def _latest(instants: abc.Iterable[ids.Instant]) -> ids.Instant:
    return max(instants, default=DISTANT_PAST)


def _distinct(groups: abc.Iterable[GrantsInFlight]) -> GrantsInFlight:
    """Return the grants in flight of several ranges, each of them once."""
    grants_by_call = {
        id(grant.call): grant for grants in groups for grant in grants
    }
    return tuple(grants_by_call.values())


def _initial_state(assignment: objects.Assignment) -> GrantState:
    if assignment.is_settled:
        return GrantState.GRANTING
    return GrantState.RELEASING


def latest_expiry(
    arrived_at: ids.Instant, hold: float, clock_rate: float
) -> ids.Instant:
    """Return the latest expiry of a grant that arrived by an instant.

    ``clock_rate`` is the largest fraction by which the upstream's clock
    may run slow.
    """
    return ids.Instant(arrived_at + hold * (1.0 + clock_rate))


def latest_expiry_of_call(
    event: messages.RangeCallCompleted, now: ids.Instant, clock_rate: float
) -> ids.Instant:
    """Return the latest expiry of the grant that a call has requested.

    A grant arrives before its response does. One without a response is
    assumed to arrive shortly after it was sent, if it arrives at all.
    """
    call = event.call
    assert isinstance(call, messages.GrantRange)
    if event.outcome in NOT_GRANTED_OUTCOMES:
        return DISTANT_PAST
    arrived_at = now
    if event.outcome is messages.CallOutcome.LOST:
        arrived_at = min(
            now, ids.Instant(event.sent_at + MAX_DELIVERY_DELAY_SECONDS)
        )
    return latest_expiry(arrived_at, call.hold, clock_rate)


def apply_grant_outcome(
    grant: RangeGrant,
    event: messages.RangeCallCompleted,
    now: ids.Instant,
    clock_rate: float,
) -> None:
    """Update the state of a range with the outcome of a grant of its keys.

    The grant may have been for other keys too, or for a former holder.
    """
    call = event.call
    assert isinstance(call, messages.GrantRange)
    expires_at = latest_expiry_of_call(event, now, clock_rate)
    if call.assignment.life == grant.assignment.life:
        grant.in_flight = _without(grant.in_flight, call)
        grant.held_until = max(grant.held_until, expires_at)
    else:
        grant.former_in_flight = _without(grant.former_in_flight, call)
        grant.former_held_until = max(grant.former_held_until, expires_at)
    if event.outcome is messages.CallOutcome.DONE and _is_for_all(call, grant):
        if grant.state is GrantState.GRANTING:
            grant.state = GrantState.HELD
        grant.handover = ""


def _without(
    grants: GrantsInFlight, call: messages.GrantRange
) -> GrantsInFlight:
    return tuple(grant for grant in grants if grant.call is not call)


def _is_for_all(call: messages.GrantRange, grant: RangeGrant) -> bool:
    """Return whether a call grants all keys of a range as it is now."""
    granted = call.assignment
    return (
        granted.epoch == grant.assignment.epoch
        and granted.life == grant.assignment.life
        and granted.first <= grant.first
        and grant.last <= granted.last
    )
