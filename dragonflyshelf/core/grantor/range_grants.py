"""State of the grants of a service's shard ranges."""

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


@dataclasses.dataclass(kw_only=True, slots=True)
class RangeGrant:
    """State that the leader keeps for the grant of one range.

    ``held_until`` is the latest expiry of the grants whose outcome is
    known, ``pending_until`` that of the grant in ``pending_call``, which
    is still in flight. ``former_held_until``, ``former_pending_until``
    and ``former_call`` are the same for the former holder.
    """

    assignment: objects.Assignment
    state: GrantState
    held_until: ids.Instant = DISTANT_PAST
    pending_until: ids.Instant = DISTANT_PAST
    former_held_until: ids.Instant = DISTANT_PAST
    former_pending_until: ids.Instant = DISTANT_PAST
    next_call_at: ids.Instant = DISTANT_PAST
    former_call: Call | None = None
    handover: str = ""
    pending_call: Call | None = None

    @property
    def first(self) -> ids.ShardKey:
        """Return the first key of the range, which identifies the grant."""
        return self.assignment.first

    @property
    def former_until(self) -> ids.Instant:
        """Return the instant by which the former holder's grants expire."""
        return max(self.former_held_until, self.former_pending_until)

    def can_move(self) -> bool:
        """Return whether the range may be moved to another holder."""
        return self.state is not GrantState.RELEASING


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


def from_parent(
    assignment: objects.Assignment, parent: RangeGrant
) -> RangeGrant:
    """Return the state of a range that was moved or split from ``parent``."""
    if assignment.life == parent.assignment.life:
        return dataclasses.replace(
            parent, assignment=assignment, pending_call=None
        )
    return RangeGrant(
        assignment=assignment,
        state=_initial_state(assignment),
        former_held_until=parent.held_until,
        former_pending_until=parent.pending_until,
        former_call=parent.pending_call,
    )


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
    """Update the state of a range with the outcome of a grant."""
    if event.call is grant.pending_call:
        grant.pending_until = DISTANT_PAST
    if event.outcome is messages.CallOutcome.DONE:
        if grant.state is GrantState.GRANTING:
            grant.state = GrantState.HELD
        grant.handover = ""
    held_until = latest_expiry_of_call(event, now, clock_rate)
    grant.held_until = max(grant.held_until, held_until)
