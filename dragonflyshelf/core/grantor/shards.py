"""Assignment of one sharded service's ranges, run by the leader.

Nothing is granted before the assignment is in the store. A range that
moves is first taken from its former holder, with a higher epoch, or
waited for until no grant of it can still run.
"""

import bisect

from dragonflyshelf.core.grantor import const
from dragonflyshelf.core.grantor import holdings
from dragonflyshelf.core.grantor import levelling
from dragonflyshelf.core.grantor import messages
from dragonflyshelf.core.grantor import objects
from dragonflyshelf.core.grantor import planning
from dragonflyshelf.core.grantor import suspicions
from dragonflyshelf.core import ids
from dragonflyshelf.core import settings
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.core.upstreams import objects as upstreams
from dragonflyshelf.core.upstreams import service_times

Effects = list[messages.Effect]
RangeState = holdings.RangeState


class ShardKeeper:
    """Keeps the ranges of one service assigned and granted."""

    def __init__(
        self, service: ids.ServiceName, config: settings.GrantSettings
    ) -> None:
        """Create a keeper that has not seen the plan yet."""
        self._service = service
        self._config = config
        self._plan: objects.ShardPlan | None = None
        self._revision = ids.Revision(0)
        self._holdings_by_first: dict[ids.ShardKey, holdings.Holding] = {}
        self._registrations: tuple[upstreams.Registration, ...] = ()
        self._known_by_life: dict[ids.UpstreamLife, upstreams.Registration] = (
            {}
        )
        self._suspicions = suspicions.Suspicions()
        self._silent_lives: set[ids.UpstreamLife] = set()
        self._warm_at_by_life: dict[ids.UpstreamLife, ids.Instant] = {}
        self._evacuated: frozenset[ids.DataCentreId] = frozenset()
        self._writing = False
        self._next_level = holdings.NEVER
        self._newest_at = holdings.NEVER
        self._paces_by_life: dict[
            ids.UpstreamLife, service_times.ServiceTimeSum
        ] = {}
        self.loads = levelling.LoadMap()
        self._next_write = holdings.NEVER
        self._plan_from = holdings.NEVER
        self._predecessor_until = holdings.NEVER
        self.is_leading = False

    @property
    def name(self) -> ids.ObjectName:
        """Return the name of the object with the plan."""
        return ids.ObjectName(f"{const.PLAN_PREFIX}{self._service}")

    def set_upstreams(
        self,
        registrations: tuple[upstreams.Registration, ...],
        evacuated: frozenset[ids.DataCentreId],
        now: ids.Instant,
    ) -> None:
        """Take over the service's upstreams and the evacuations."""
        self._registrations = registrations
        self._evacuated = evacuated
        for one in registrations:
            if one.incarnation not in self._known_by_life:
                self._newest_at = now
            self._known_by_life[one.incarnation] = one
            self._warm_at_by_life.setdefault(
                one.incarnation, ids.Instant(now + one.warmup_left_seconds)
            )

    def set_paces(self, known: service_times.ServiceTimeSums) -> None:
        """Take over how fast the upstreams answer."""
        self._paces_by_life = {one.life: one for one in known}

    def see(self, seen: messages.ControlSeen) -> None:
        """Take in the plan as the store has it."""
        assert isinstance(seen.value, objects.ShardPlan)
        if seen.revision <= self._revision:
            return
        self._plan = seen.value
        self._revision = seen.revision
        if self.is_leading:
            self._adopt(seen.value)

    def lead(self, predecessor_until: ids.Instant, now: ids.Instant) -> None:
        """Begin to lead; the predecessor may grant until an instant."""
        self.is_leading = True
        self._writing = False
        self._plan_from = ids.Instant(now + const.SETTLE_DELAY)
        self._predecessor_until = max(predecessor_until, now)
        self._suspicions.clear()
        self._holdings_by_first.clear()
        if self._plan is not None:
            self._adopt(self._plan)

    def follow(self) -> None:
        """Stop to lead; nothing is granted any more."""
        self.is_leading = False
        self._holdings_by_first.clear()

    def _adopt(self, plan: objects.ShardPlan) -> None:
        """Take the plan as it is stored as the work to be done."""
        known = self._holdings_by_first
        firsts = sorted(known)
        self._holdings_by_first = {}
        for one in plan.assignments:
            held = known.get(one.first)
            if held is not None and held.assignment.epoch == one.epoch:
                held.assignment = one
            else:
                place = bisect.bisect_right(firsts, one.first)
                parent = known[firsts[place - 1]] if place else None
                held = self._held_anew(one, parent)
            self._holdings_by_first[one.first] = held

    def _held_anew(
        self,
        assignment: objects.Assignment,
        parent: holdings.Holding | None,
    ) -> holdings.Holding:
        """Return the holding of a range that was part of another."""
        if parent is not None:
            return holdings.derived(assignment, parent)
        until = holdings.granted_until(
            self._predecessor_until,
            self._config.hold,
            self._config.clock_rate,
        )
        return holdings.inherited(assignment, until)

    def written(
        self, event: messages.ControlWritten, now: ids.Instant
    ) -> None:
        """Take in what became of a write of the plan."""
        self._writing = False
        if event.present is not None:
            self.see(event.present)
        if event.outcome is not store.WriteOutcome.DONE:
            self._next_write = ids.Instant(now + const.RETRY_INTERVAL)

    def tick(self, may_plan: bool, now: ids.Instant) -> Effects:
        """Return the calls that are due.

        Without ``may_plan`` only what is granted is kept up.
        """
        effects: Effects = []
        if may_plan:
            self._silent_lives.clear()
        if may_plan and not self._writing and now >= self._next_write:
            effects.extend(self._plan_anew(now))
        for held in self._holdings_by_first.values():
            if held.call is not None or now < held.next_call:
                continue
            call = self._call(held, may_plan, now)
            if call is not None:
                held.call = call
                effects.append(call)
        return effects

    def _plan_anew(self, now: ids.Instant) -> Effects:
        if now < self._plan_from:
            return []
        candidates = self._candidates(now)
        if not candidates:
            return []
        if self._plan is None:
            if now < self._newest_at + const.FIRST_PLAN_DELAY:
                return []
            found = planning.first_assignments(candidates)
            return [self._write(found)]
        found = self._moves(candidates, now)
        if found == self._plan.assignments:
            return []
        return [self._write(found)]

    def _usable(self) -> list[upstreams.Registration]:
        """Return the upstreams that may go on holding ranges."""
        return [
            one
            for one in self._registrations
            if not one.is_draining and one.data_centre not in self._evacuated
        ]

    def _candidates(self, now: ids.Instant) -> list[upstreams.Registration]:
        """Return the upstreams that may be given ranges."""
        sound = [
            one
            for one in self._usable()
            if not self._suspicions.is_suspect(one.incarnation, now)
        ]
        warm = [
            one
            for one in sound
            if self._warm_at_by_life[one.incarnation] <= now
        ]
        return warm or sound

    def _lost_lives(self, now: ids.Instant) -> set[ids.UpstreamLife]:
        """Return the suspects, unless they are too many to be believed."""
        usable = self._usable()
        suspects = {
            one.incarnation
            for one in usable
            if self._suspicions.is_suspect(one.incarnation, now)
        }
        if len(suspects) > len(usable) * const.SUSPECT_SHARE:
            return set()
        return suspects

    def _moves(
        self, candidates: list[upstreams.Registration], now: ids.Instant
    ) -> tuple[objects.Assignment, ...]:
        """Return the plan with settled moves and new ones."""
        usable = {one.incarnation for one in self._usable()}
        usable -= self._lost_lives(now)
        rows = [one.assignment for one in self._holdings_by_first.values()]
        balance = planning.Balance(candidates, rows)
        found = []
        for held in self._holdings_by_first.values():
            row = self._settled(held)
            if row.life not in usable and held.may_move():
                row = planning.moved(row, balance.least())
            found.append(row)
        planned = tuple(found)
        if now < self._next_level:
            return planned
        self._next_level = ids.Instant(now + const.BALANCE_INTERVAL)
        return self._levelled(planned, candidates, now)

    def _levelled(
        self,
        rows: tuple[objects.Assignment, ...],
        candidates: list[upstreams.Registration],
        now: ids.Instant,
    ) -> tuple[objects.Assignment, ...]:
        """Return the rows with busy buckets moved to holders with room."""
        allowed = max(
            const.LEAST_MOVES, int(const.MOVING_SHARE * len(candidates))
        )
        allowed -= sum(not one.is_settled for one in rows)
        load = self.loads.by_bucket(now)
        if load.get(objects.ALL_KEYS, 0.0) < const.LEAST_LOAD:
            return rows
        capacity = levelling.capacities(candidates, self._paces_by_life)
        leveller = levelling.Leveller(rows, candidates, load, capacity)
        return leveller.level(allowed)

    def _settled(self, held: holdings.Holding) -> objects.Assignment:
        """Return the assignment, settled once the new holder has it."""
        row = held.assignment
        if row.is_settled or held.state is not RangeState.HELD:
            return row
        return planning.settled(row)

    def _write(
        self, found: tuple[objects.Assignment, ...]
    ) -> messages.WriteControl:
        self._writing = True
        return messages.WriteControl(
            name=self.name,
            expected=self._revision,
            value=objects.ShardPlan(service=self._service, assignments=found),
            timeout=const.WRITE_TIMEOUT,
        )

    def _call(
        self, held: holdings.Holding, may_plan: bool, now: ids.Instant
    ) -> messages.GrantRange | messages.ReleaseRange | None:
        if held.state is RangeState.RELEASING:
            return self._release(held, now) if may_plan else None
        if not may_plan and not self._may_keep_up(held):
            return None
        return self._grant(held, now)

    def _may_keep_up(self, held: holdings.Holding) -> bool:
        """Tell whether a detached leader may go on with a grant.

        An upstream that did not answer may have started again, and may
        have been left out of another leader's plan since.
        """
        if held.state is not RangeState.HELD:
            return False
        return held.assignment.life not in self._silent_lives

    def _grant(
        self, held: holdings.Holding, now: ids.Instant
    ) -> messages.GrantRange | None:
        row = held.assignment
        registration = self._known_by_life.get(row.life)
        if registration is None:
            return None
        if self._suspicions.is_suspect(row.life, now):
            return None
        held.next_call = ids.Instant(now + self._config.renew_interval)
        send_by = ids.Instant(now + self._config.call_timeout)
        held.pending_until = holdings.granted_until(
            ids.Instant(send_by + self._config.call_timeout),
            self._config.hold,
            self._config.clock_rate,
        )
        return messages.GrantRange(
            service=self._service,
            registration=registration,
            assignment=row,
            hold=self._config.hold,
            send_by=send_by,
            handover=held.handover,
        )

    def _release(
        self, held: holdings.Holding, now: ids.Instant
    ) -> messages.ReleaseRange | messages.GrantRange | None:
        row = held.assignment
        if now >= held.former_until:
            held.state = RangeState.GRANTING
            return self._grant(held, now)
        former = self._known_by_life.get(row.former_life)
        if former is None:
            return None
        held.next_call = ids.Instant(now + const.RETRY_INTERVAL)
        return messages.ReleaseRange(
            service=self._service,
            registration=former,
            assignment=row,
            epoch=ids.Epoch(row.epoch - 1),
        )

    def answered(
        self, event: messages.RangeAnswered, now: ids.Instant
    ) -> None:
        """Take in the outcome of a call to an upstream."""
        call = event.call
        held = self._holdings_by_first.get(call.assignment.first)
        life = call.registration.incarnation
        self._suspicions.count(life, event.outcome, now)
        if event.outcome in suspicions.FAILURES:
            self._silent_lives.add(life)
        if held is None:
            return
        if held.assignment.epoch != call.assignment.epoch:
            self._note_late_grant(held, event, now)
            return
        if isinstance(call, messages.GrantRange):
            holdings.take_grant_answer(
                held, event, now, self._config.clock_rate
            )
        elif held.state is RangeState.RELEASING:
            self._take_release_answer(held, event, now)
        if held.call is call:
            held.call = None

    def _take_release_answer(
        self,
        held: holdings.Holding,
        event: messages.RangeAnswered,
        now: ids.Instant,
    ) -> None:
        if event.outcome in (
            messages.CallOutcome.DONE,
            messages.CallOutcome.GONE,
        ):
            held.state = RangeState.GRANTING
            held.handover = event.handover
            held.next_call = now

    def _note_late_grant(
        self,
        held: holdings.Holding,
        event: messages.RangeAnswered,
        now: ids.Instant,
    ) -> None:
        """Reckon with a grant that was under way when the range moved."""
        if not isinstance(event.call, messages.GrantRange):
            return
        until = holdings.answered_until(event, now, self._config.clock_rate)
        held.former_held_until = max(held.former_held_until, until)
        if event.call is held.former_call:
            held.former_pending_until = holdings.NEVER
