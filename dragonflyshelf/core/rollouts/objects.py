"""Orders of operators, and the plans that instances obey."""

import dataclasses
import enum

from dragonflyshelf.core import ids
from dragonflyshelf.core.upstreams import objects as upstreams

PLAN_NAME_PREFIX = "rollout-"
"""Prefix of a plan's object name; the name of the service follows."""


class RolloutState(enum.Enum):
    """State of a roll-out as operators read it."""

    COMPLETE = "complete"
    ROLLED_BACK = "rolled_back"
    RUNNING = "running"


class RolloutStep(enum.Enum):
    """Step of a roll-out as instances obey it."""

    WAITING = "waiting"
    CANARY = "canary"
    FULL = "full"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Return whether no other step follows."""
        return self in (RolloutStep.COMPLETED, RolloutStep.ROLLED_BACK)

    @property
    def state(self) -> RolloutState:
        """Return the state that operators are told."""
        if self is RolloutStep.COMPLETED:
            return RolloutState.COMPLETE
        if self is RolloutStep.ROLLED_BACK:
            return RolloutState.ROLLED_BACK
        return RolloutState.RUNNING


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RolloutOrder:
    """Order to move the traffic of a service to its ``target`` version.

    ``duration`` is in seconds, 0 if it is missing or invalid. ``revision``
    changes with each status too and so does not identify the order.
    """

    name: ids.ObjectName
    revision: ids.Revision
    service: ids.ServiceName
    target: ids.UpstreamVersion
    duration: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RolloutStatus:
    """Status of an order."""

    state: RolloutState
    target: ids.UpstreamVersion


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RolloutPlan:
    """Step of a roll-out, and what a successor of the leader needs.

    Instances send ``share`` of the requests to the ``canaries``. They send
    none to versions in ``barred``, the targets of former orders, and after
    the last step none to the upstreams in ``retired``. ``requests`` reached
    the service since the order, ``spent`` of them its target, and ``rate``
    do so each second. It ``is_closed`` once its order was removed, and
    ``is_sharded`` if the service is divided; then the canaries hold some of
    the keys instead. It ``is_refused`` for an order that can't be carried
    out, and then excludes no target. Times are in Unix seconds.
    """

    service: ids.ServiceName
    target: ids.UpstreamVersion
    duration: float
    step: RolloutStep
    deadline: float
    written_at: float
    share: float = 0.0
    canaries: tuple[ids.UpstreamIncarnation, ...] = ()
    barred: tuple[ids.UpstreamVersion, ...] = ()
    retired: tuple[ids.UpstreamIncarnation, ...] = ()
    requests: float = 0.0
    spent: float = 0.0
    rate: float = 0.0
    reason: str = ""
    is_closed: bool = False
    is_sharded: bool = False
    is_refused: bool = False

    def excludes(self, registration: upstreams.Registration) -> bool:
        """Return whether an upstream gets no requests beyond the share.

        In a divided service the holder of a key gets its requests, also
        while the keys move to the target.
        """
        if self.is_sharded and self.step is RolloutStep.FULL:
            return registration.version in self.barred
        if self.is_sharded:
            return not self.may_hold(registration)
        if self.step is RolloutStep.CANARY:
            return self._is_unproven(registration)
        return not self.may_hold(registration)

    def may_hold(self, registration: upstreams.Registration) -> bool:
        """Return whether an upstream may be given requests or keys."""
        if self.is_refused:
            return registration.version not in self.barred
        if self.step is RolloutStep.COMPLETED:
            return registration.incarnation not in self.retired
        if self.step is RolloutStep.FULL:
            return registration.version == self.target
        if self.step is RolloutStep.CANARY:
            if registration.incarnation in self.canaries:
                return True
        return not self._is_unproven(registration)

    def _is_unproven(self, registration: upstreams.Registration) -> bool:
        return (
            registration.version == self.target
            or registration.version in self.barred
        )

    def is_for(self, order: RolloutOrder) -> bool:
        """Return whether this is the plan of an order."""
        return not self.is_closed and (
            self.service,
            self.target,
            self.duration,
        ) == (
            order.service,
            order.target,
            order.duration,
        )


def plan_name(service: ids.ServiceName) -> ids.ObjectName:
    """Return the name of the control object of a service's plan."""
    return ids.ObjectName(f"{PLAN_NAME_PREFIX}{service}")
