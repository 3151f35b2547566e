"""Assignment and grants of one sharded service's ranges on the leader.

A range is granted only after its assignment has been stored. A range
that is moved is granted to its new holder once the former holder has
released it, fenced by a higher epoch, or all former grants have expired.
"""

from dragonflyshelf.core.grantor import const
from dragonflyshelf.core.grantor import failure_detector
from dragonflyshelf.core.grantor import hold
from dragonflyshelf.core.grantor import holders
from dragonflyshelf.core.grantor import load_tracker
from dragonflyshelf.core.grantor import messages
from dragonflyshelf.core.grantor import objects
from dragonflyshelf.core.grantor import planning
from dragonflyshelf.core.grantor import range_grants
from dragonflyshelf.core.grantor import rebalancing
from dragonflyshelf.core import ids
from dragonflyshelf.core import settings
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.core.upstreams import objects as upstreams
from dragonflyshelf.core.upstreams import service_times

Effects = list[messages.Effect]
GrantState = range_grants.GrantState


class ShardManager:
    """Assigns the ranges of one service and renews their grants."""

    def __init__(
        self, service: ids.ServiceName, config: settings.GrantSettings
    ) -> None:
        """Create a manager that has not read a plan yet."""
        self._service = service
        self._config = config
        self._hold = config.hold
        self._plan: objects.ShardPlan | None = None
        self._revision = ids.Revision(0)
        self._grants: list[range_grants.RangeGrant] = []
        self._holders = holders.Holders()
        self._failed_incarnations: set[ids.UpstreamIncarnation] = set()
        self._is_writing = False
        self._next_rebalance_at = range_grants.DISTANT_PAST
        self._service_times_by_incarnation: dict[
            ids.UpstreamIncarnation, service_times.ServiceTimeSum
        ] = {}
        self.load_tracker = load_tracker.LoadTracker()
        self._next_write_at = range_grants.DISTANT_PAST
        self._planning_starts_at = range_grants.DISTANT_PAST
        self._predecessor_until = range_grants.DISTANT_PAST
        self.is_leading = False

    @property
    def name(self) -> ids.ObjectName:
        """Return the name of the control object that stores the plan."""
        return ids.ObjectName(f"{const.PLAN_NAME_PREFIX}{self._service}")

    def set_upstreams(
        self,
        registrations: tuple[upstreams.Registration, ...],
        evacuated: frozenset[ids.DataCentreId],
        now: ids.Instant,
    ) -> None:
        """Set the service's upstreams and the evacuated data centres."""
        self._holders.set_registrations(registrations, evacuated, now)

    def set_service_times(
        self, measurements: service_times.ServiceTimeSums
    ) -> None:
        """Set the measured service times of the upstreams."""
        self._service_times_by_incarnation = {
            measurement.life: measurement
            for measurement in measurements
            if self._holders.has_known(measurement.life)
        }
        self._hold = hold.find_hold(
            self._config, tuple(self._service_times_by_incarnation.values())
        )

    def observe(self, observed: messages.ControlObserved) -> None:
        """Update the plan from the store unless the revision is old."""
        assert isinstance(observed.value, objects.ShardPlan)
        if observed.revision <= self._revision:
            return
        self._plan = observed.value
        self._revision = observed.revision
        if self.is_leading:
            self._apply_plan(observed.value)

    def start_leading(
        self, predecessor_until: ids.Instant, now: ids.Instant
    ) -> None:
        """Start as the leader.

        A previous leader may renew grants until ``predecessor_until``.
        """
        self.is_leading = True
        self._is_writing = False
        self._planning_starts_at = ids.Instant(
            now + const.PLANNING_DELAY_SECONDS
        )
        self._predecessor_until = max(predecessor_until, now)
        self._holders.failure_detector.clear()
        self._grants.clear()
        if self._plan is not None:
            self._apply_plan(self._plan)

    def stop_leading(self) -> None:
        """Stop as the leader; no grants are renewed from then on."""
        self.is_leading = False
        self._grants.clear()

    def _apply_plan(self, plan: objects.ShardPlan) -> None:
        """Update the grants to a stored plan.

        A range whose keys and epoch are unchanged keeps its state.
        """
        previous_grants = self._grants
        self._grants = []
        for assignment in plan.assignments:
            previous = range_grants.overlapping(
                previous_grants, assignment.first, assignment.last
            )
            if len(previous) == 1 and previous[0].has_same_range(assignment):
                grant = previous[0]
                grant.assignment = assignment
            elif previous:
                grant = range_grants.from_previous(assignment, previous)
            else:
                grant = self._take_over(assignment)
            self._grants.append(grant)

    def _take_over(
        self, assignment: objects.Assignment
    ) -> range_grants.RangeGrant:
        """Return the state of a range that this leader has not granted."""
        held_until = range_grants.latest_expiry(
            self._predecessor_until,
            hold.max_hold(self._config),
            self._config.clock_rate,
        )
        return range_grants.from_predecessor(assignment, held_until)

    def complete_write(
        self, event: messages.ControlWriteCompleted, now: ids.Instant
    ) -> None:
        """Process the outcome of a write of the plan."""
        self._is_writing = False
        if event.current is not None:
            self.observe(event.current)
        if event.outcome is not store.WriteOutcome.DONE:
            self._next_write_at = ids.Instant(
                now + const.RETRY_INTERVAL_SECONDS
            )

    def tick(self, may_plan: bool, now: ids.Instant) -> Effects:
        """Return the calls and writes that are due.

        Without ``may_plan`` only existing grants are renewed.
        """
        effects: Effects = []
        if may_plan:
            self._failed_incarnations.clear()
        if may_plan and not self._is_writing and now >= self._next_write_at:
            effects.extend(self._update_plan(now))
        for grant in self._grants:
            if grant.pending_call is not None or now < grant.next_call_at:
                continue
            call = self._due_call(grant, may_plan, now)
            if call is not None:
                grant.pending_call = call
                effects.append(call)
        return effects

    def _update_plan(self, now: ids.Instant) -> Effects:
        if now < self._planning_starts_at:
            return []
        candidates = self._holders.candidates(now)
        if not candidates:
            return []
        if self._plan is None:
            registered_at = self._holders.last_registered_at
            if now < registered_at + const.INITIAL_PLAN_DELAY_SECONDS:
                return []
            assignments = planning.initial_assignments(candidates)
            return [self._write_plan(assignments)]
        assignments = self._plan_assignments(candidates, now)
        if assignments == self._plan.assignments:
            return []
        return [self._write_plan(assignments)]

    def _plan_assignments(
        self, candidates: list[upstreams.Registration], now: ids.Instant
    ) -> tuple[objects.Assignment, ...]:
        """Return the assignments with ended moves settled and new moves."""
        keepers = self._holders.keepers(now)
        current = [grant.assignment for grant in self._grants]
        range_counts = planning.RangeCounts(candidates, current)
        assignments = []
        for grant in self._grants:
            assignment = self._settle(grant)
            if assignment.life not in keepers and grant.can_move():
                assignment = planning.moved(
                    assignment, range_counts.pick_least_loaded()
                )
            assignments.append(assignment)
        planned = tuple(assignments)
        if now < self._next_rebalance_at:
            return planned
        self._next_rebalance_at = ids.Instant(
            now + const.REBALANCE_INTERVAL_SECONDS
        )
        return self._rebalanced(planned, candidates, now)

    def _rebalanced(
        self,
        assignments: tuple[objects.Assignment, ...],
        candidates: list[upstreams.Registration],
        now: ids.Instant,
    ) -> tuple[objects.Assignment, ...]:
        """Return the assignments after a rebalancing pass."""
        max_moves = max(
            const.MIN_CONCURRENT_MOVE_COUNT,
            int(const.CONCURRENT_MOVES_PER_UPSTREAM_RATIO * len(candidates)),
        )
        max_moves -= sum(
            not assignment.is_settled for assignment in assignments
        )
        load = self.load_tracker.load_by_bucket(now)
        if (
            load.get(objects.TOTAL_LOAD_KEY, 0.0)
            < const.MIN_REBALANCE_REQUESTS_PER_SECOND
        ):
            return assignments
        capacity = rebalancing.capacities(
            candidates, self._service_times_by_incarnation
        )
        rebalancer = rebalancing.Rebalancer(
            assignments, candidates, load, capacity
        )
        return rebalancer.rebalance(max_moves)

    def _settle(self, grant: range_grants.RangeGrant) -> objects.Assignment:
        """Return the assignment, settled if the new holder has the grant."""
        assignment = grant.assignment
        if assignment.is_settled or grant.state is not GrantState.HELD:
            return assignment
        return planning.settled(assignment)

    def _write_plan(
        self, assignments: tuple[objects.Assignment, ...]
    ) -> messages.WriteControl:
        self._is_writing = True
        return messages.WriteControl(
            name=self.name,
            expected_revision=self._revision,
            value=objects.ShardPlan(
                service=self._service, assignments=assignments
            ),
            timeout=const.WRITE_TIMEOUT_SECONDS,
        )

    def _due_call(
        self, grant: range_grants.RangeGrant, may_plan: bool, now: ids.Instant
    ) -> messages.GrantRange | messages.ReleaseRange | None:
        if grant.state is GrantState.RELEASING:
            return self._release_call(grant, now) if may_plan else None
        if not may_plan and not self._may_renew(grant):
            return None
        return self._grant_call(grant, now)

    def _may_renew(self, grant: range_grants.RangeGrant) -> bool:
        """Return whether a detached leader may renew a grant.

        An upstream that did not respond may have restarted, and another
        leader may have reassigned its ranges since.
        """
        if grant.state is not GrantState.HELD:
            return False
        return grant.assignment.life not in self._failed_incarnations

    def _grant_call(
        self, grant: range_grants.RangeGrant, now: ids.Instant
    ) -> messages.GrantRange | None:
        assignment = grant.assignment
        registration = self._holders.find(assignment.life)
        if registration is None:
            return None
        if self._holders.is_unresponsive(assignment.life, now):
            return None
        grant.next_call_at = ids.Instant(now + self._config.renew_interval)
        send_deadline = ids.Instant(now + self._config.call_timeout)
        call = messages.GrantRange(
            service=self._service,
            registration=registration,
            assignment=assignment,
            hold=self._hold,
            send_deadline=send_deadline,
            handover=grant.handover,
        )
        longest_delivery = (
            range_grants.MAX_DELIVERY_TIMEOUT_COUNT * self._config.call_timeout
        )
        expires_at = range_grants.latest_expiry(
            ids.Instant(now + longest_delivery),
            self._hold,
            self._config.clock_rate,
        )
        grant.add_in_flight(call, expires_at)
        return call

    def _release_call(
        self, grant: range_grants.RangeGrant, now: ids.Instant
    ) -> messages.ReleaseRange | messages.GrantRange | None:
        assignment = grant.assignment
        if now >= grant.former_until:
            grant.state = GrantState.GRANTING
            return self._grant_call(grant, now)
        former = self._holders.find(assignment.former_life)
        if former is None:
            return None
        grant.next_call_at = ids.Instant(now + const.RETRY_INTERVAL_SECONDS)
        return messages.ReleaseRange(
            service=self._service,
            registration=former,
            assignment=assignment,
            epoch=ids.Epoch(assignment.epoch - 1),
        )

    def complete_call(
        self, event: messages.RangeCallCompleted, now: ids.Instant
    ) -> None:
        """Process the outcome of a call to an upstream.

        The plan may have changed since, so that a grant concerns several
        ranges, or those of another holder.
        """
        call = event.call
        incarnation = call.registration.incarnation
        self._holders.failure_detector.record_outcome(
            incarnation, event.outcome, now
        )
        if event.outcome in failure_detector.FAILED_OUTCOMES:
            self._failed_incarnations.add(incarnation)
        for grant in range_grants.overlapping(
            self._grants, call.assignment.first, call.assignment.last
        ):
            if isinstance(call, messages.GrantRange):
                range_grants.apply_grant_outcome(
                    grant, event, now, self._config.clock_rate
                )
            elif grant.has_same_range(call.assignment):
                self._apply_release_outcome(grant, event, now)
            if grant.pending_call is call:
                grant.pending_call = None

    def _apply_release_outcome(
        self,
        grant: range_grants.RangeGrant,
        event: messages.RangeCallCompleted,
        now: ids.Instant,
    ) -> None:
        if grant.state is GrantState.RELEASING and event.outcome in (
            messages.CallOutcome.DONE,
            messages.CallOutcome.GONE,
        ):
            grant.state = GrantState.GRANTING
            grant.handover = event.handover
            grant.next_call_at = now
