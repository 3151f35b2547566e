"""Logs and metrics about what the control task knows and how late it is.

They show from where a change came and how old it was, so that a change
that was late can be traced to the store, the leader, a relay or a busy
process.
"""

from collections import abc
import enum
from typing import Final

from absl import logging
import prometheus_client

from dragonflyshelf.core.grantor import objects as grantor
from dragonflyshelf.core import ids
from dragonflyshelf.core.rollouts import objects as rollouts
from dragonflyshelf.core.routing import objects as routing
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.core.upstreams import objects as upstreams

_LOGGER = logging.get_absl_logger()

LATE_TICK_SECONDS: Final = 0.25
"""Delay of a tick from which the control task counts as late."""

LATE_LOG_INTERVAL_SECONDS: Final = 1.0
"""Minimum interval between two log lines about late ticks."""

MAX_LOGGED_MOVE_COUNT: Final = 8
"""Maximum number of moves that the log line of a shard plan lists."""

MAX_LOGGED_UPSTREAM_COUNT: Final = 8
"""Maximum number of upstreams that one log line lists."""

TICK_DELAY: Final = prometheus_client.Histogram(
    "dragonflyshelf_control_tick_delay_seconds",
    "Time by which a tick of the control task was late",
    buckets=(0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0),
)
CONFIRMATION_AGE: Final = prometheus_client.Gauge(
    "dragonflyshelf_confirmation_age_seconds",
    "Time since the replica of a kind was confirmed by the store",
    ("kind",),
)
INVALID_OBJECTS: Final = prometheus_client.Gauge(
    "dragonflyshelf_invalid_objects",
    "Objects of a kind whose newest version is invalid and not in force",
    ("kind",),
)


class Source(enum.Enum):
    """From where an instance received a change."""

    FOLLOWER = "follower"
    STORE = "store"
    UPDATE = "update"


def record_faults(kind: store.ObjectKind, count: int) -> None:
    """Record the number of invalid objects of a kind."""
    INVALID_OBJECTS.labels(kind.value).set(count)


def log_plan(plan: grantor.ShardPlan) -> None:
    """Log the ranges that a plan moves, in one line."""
    moves = [
        f"{assignment.first}-{assignment.last}:"
        f" {assignment.former_upstream} to {assignment.upstream}"
        for assignment in plan.assignments
        if not assignment.is_settled
    ]
    _LOGGER.info(
        "plan of %s has %d ranges, moving %s",
        plan.service,
        len(plan.assignments),
        "; ".join(moves[:MAX_LOGGED_MOVE_COUNT]) or "none",
    )


def log_configuration(
    configuration: routing.Configuration,
    source: Source,
    age: float,
    size: int,
) -> None:
    """Log a configuration that is now in force.

    ``age`` is the time since its kind was confirmed, in seconds, and
    ``size`` that of the encoded object, in bytes.
    """
    _LOGGER.info(
        "configuration %d in force",
        configuration.version,
        extra={
            "source": source.value,
            "age": round(age, 3),
            "bytes": size,
        },
    )


class LeaderLog:
    """Logs each change of the leader as this instance observes it."""

    def __init__(self) -> None:
        """Create a log that knows no leader."""
        self._holder = ids.InstanceId("")

    def record(self, lease: grantor.Lease, source: Source, age: float) -> None:
        """Record the lease; ``age`` is the time since it was confirmed."""
        if lease.holder == self._holder:
            return
        self._holder = lease.holder
        _LOGGER.info(
            "leader is %s",
            lease.holder or "nobody",
            extra={"source": source.value, "age": round(age, 3)},
        )


class RolloutLog:
    """Logs each step of a roll-out as this instance observes it."""

    def __init__(self) -> None:
        """Create a log that knows no roll-out."""
        self._step_by_service: dict[
            ids.ServiceName,
            tuple[ids.UpstreamVersion, rollouts.RolloutStep],
        ] = {}

    def record(
        self, plan: rollouts.RolloutPlan, source: Source, age: float
    ) -> None:
        """Record a plan; ``age`` is the time since it was confirmed."""
        step = (plan.target, plan.step)
        if step == self._step_by_service.get(plan.service):
            return
        self._step_by_service[plan.service] = step
        _LOGGER.info(
            "rollout of %s to %s: %s in force, %s",
            plan.service,
            plan.target,
            plan.step.value,
            plan.reason,
            extra={"source": source.value, "age": round(age, 3)},
        )


class UpstreamLog:
    """Logs the upstreams that begin to leave or are gone."""

    def __init__(self) -> None:
        """Create a log that knows no upstream."""
        self._active_ids: frozenset[ids.UpstreamId] = frozenset()

    def record(
        self,
        registrations: abc.Iterable[upstreams.Registration],
        source: Source,
        age: float,
    ) -> None:
        """Record the registry; ``age`` is the time since its confirmation."""
        active_ids = frozenset(
            registration.id
            for registration in registrations
            if not registration.is_draining
        )
        left_ids = sorted(self._active_ids - active_ids)
        self._active_ids = active_ids
        if not left_ids:
            return
        _LOGGER.info(
            "upstreams leaving: %d, %s",
            len(left_ids),
            ", ".join(left_ids[:MAX_LOGGED_UPSTREAM_COUNT]),
            extra={"source": source.value, "age": round(age, 3)},
        )


class TickMonitor:
    """Measures by how much the ticks of the control task are late."""

    def __init__(self, interval_seconds: float) -> None:
        """Create a monitor of ticks that are due at an interval."""
        self._interval_seconds = interval_seconds
        self._ticked_at: ids.Instant | None = None
        self._logged_at = ids.Instant(0.0)

    def record(self, waiting_count: int, now: ids.Instant) -> None:
        """Record a tick; ``waiting_count`` messages wait behind it."""
        ticked_at = self._ticked_at
        self._ticked_at = now
        if ticked_at is None:
            return
        delay = max(now - ticked_at - self._interval_seconds, 0.0)
        TICK_DELAY.observe(delay)
        if delay < LATE_TICK_SECONDS:
            return
        if now - self._logged_at < LATE_LOG_INTERVAL_SECONDS:
            return
        self._logged_at = now
        _LOGGER.warning(
            "control task was late: %d messages wait",
            waiting_count,
            extra={"seconds": round(delay, 3)},
        )
