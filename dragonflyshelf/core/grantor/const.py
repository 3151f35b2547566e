"""Constants of leader election and shard range assignment."""

from typing import Final

REBALANCE_INTERVAL_SECONDS: Final = 1.0
"""Interval between rebalancing passes, which move ranges by load."""

EPOCH_INCREMENT: Final = 2
"""Increment of the epoch at each move.

A release fences with the odd epoch between the old and the new one.
"""

INITIAL_EPOCH: Final = 2
"""Epoch of the initial assignment of a range."""

DEFAULT_INSTANCE_COUNT: Final = 16
"""Number of instances assumed until it is known.

Takeover attempts for the lease are spread over that many instances.
"""

LEASE_NAME: Final = "lease"
"""Name of the control object that stores the lease."""

MAX_MOVE_UTILIZATION_RATIO: Final = 0.95
"""Highest utilization after a move, relative to the source's before it.

It keeps moves of little benefit from being made.
"""

MAX_HOT_MOVE_UTILIZATION_RATIO: Final = 0.75
"""The same limit for a bucket that overloads its holder on its own.

It is stricter, as the busy keys are not served during the move.
"""

MIN_REBALANCE_REQUESTS_PER_SECOND: Final = 5.0
"""Load of a service below which it is not rebalanced."""

MAX_LOAD_REPORT_AGE_SECONDS: Final = 4.0
"""Age above which the load reported by an instance is ignored."""

LOAD_SMOOTHING_RATIO: Final = 0.6
"""Weight of the newest report in the moving average of a bucket's load."""

MAX_TICK_GAP_SECONDS: Final = 0.6
"""Time between ticks above which the process counts as suspended."""

MIN_CONCURRENT_MOVE_COUNT: Final = 4
"""Lower bound of the limit on concurrent rebalancing moves."""

CONCURRENT_MOVES_PER_UPSTREAM_RATIO: Final = 0.25
"""Limit on concurrent rebalancing moves, per candidate upstream."""

MAX_REBALANCED_RANGE_COUNT: Final = 160
"""Number of ranges of a service above which it is not rebalanced.

Each move may split a range and so add to that number.
"""

OVERLOAD_RATIO: Final = 1.25
"""Utilization, relative to the mean, above which ranges are moved away."""

MAX_RELATIVE_SPEED_RATIO: Final = 2.0
"""Limit on an upstream's measured speed relative to the mean.

It applies in both directions: the inverse is the lower limit.
"""

MAX_INITIAL_RANGE_COUNT: Final = 64
"""Maximum number of ranges in a service's initial plan.

A service with more upstreams than that gets one range for each.
"""

PLAN_NAME_PREFIX: Final = "shards-"
"""Prefix of a plan's object name; the name of the service follows."""

INITIAL_RANGES_PER_UPSTREAM: Final = 4
"""Number of ranges for each upstream in the initial plan."""

RETRY_INTERVAL_SECONDS: Final = 0.25
"""Delay before a failed write or a pending release is retried.

Instances that do not hold the lease retry to acquire it less often, so
that all of them together retry about as often as its holder.
"""

INITIAL_PLAN_DELAY_SECONDS: Final = 1.5
"""Time without a new upstream that precedes the initial plan."""

PLANNING_DELAY_SECONDS: Final = 0.3
"""Delay after becoming the leader before plans are changed.

An upstream whose registration has not arrived yet would otherwise be
treated as lost.
"""

UNRESPONSIVE_FAILURE_COUNT: Final = 2
"""Consecutive failed calls after which an upstream is unresponsive."""

MAX_UNRESPONSIVE_RATIO: Final = 0.5
"""Share of unresponsive upstreams above which none is treated as lost.

The leader's own network link is the more likely cause then.
"""

UNRESPONSIVE_PERIOD_SECONDS: Final = 5.0
"""Time for which an upstream is unresponsive after its last failed call.

Afterwards it is called again and may be assigned ranges.
"""

TAKEOVER_STAGGER_SECONDS: Final = 0.0375
"""Length per instance of the window over which takeovers are spread."""

MAX_STAGGERED_COUNT: Final = 40
"""Number of instances from which on the window grows no further.

A few may then attempt a takeover together, of which one succeeds.
"""

TICK_INTERVAL_SECONDS: Final = 0.1
"""Interval between checks for due renewals of leases and grants."""

WRITE_TIMEOUT_SECONDS: Final = 0.8
"""Timeout of a write, after which its outcome counts as unknown."""
