"""Constants of leader election and shard range assignment."""

from typing import Final

BALANCE_INTERVAL: Final = 1.0
"""Interval between rebalancing passes, which move ranges by load."""

EPOCH_STEP: Final = 2
"""Increment of the epoch at each move.

A release fences with the odd epoch between the old and the new one.
"""

FIRST_EPOCH: Final = 2
"""Epoch of the initial assignment of a range."""

INSTANCES_UNKNOWN: Final = 16
"""Number of instances assumed until it is known.

Takeover attempts for the lease are spread over that many instances.
"""

LEASE_NAME: Final = "lease"
"""Name of the control object that stores the lease."""

WORTHWHILE: Final = 0.95
"""Highest utilization after a move, relative to the source's before it.

It keeps moves of little benefit from being made.
"""

HOT_WORTHWHILE: Final = 0.75
"""The same limit for a bucket that overloads its holder on its own."""

LEAST_LOAD: Final = 5.0
"""Load of a service below which it is not rebalanced."""

LOAD_LIFE: Final = 4.0
"""Age above which the load reported by an instance is ignored."""

LOAD_WEIGHT: Final = 0.6
"""Weight of the newest report in the moving average of a bucket's load."""

LONGEST_PAUSE: Final = 0.6
"""Time between ticks above which the process counts as suspended."""

LEAST_MOVES: Final = 4
"""Lower bound of the limit on concurrent rebalancing moves."""

MOVING_SHARE: Final = 0.25
"""Limit on concurrent rebalancing moves, per candidate upstream."""

MOST_ROWS: Final = 160
"""Number of ranges of a service above which it is not rebalanced."""

OVERLOAD: Final = 1.25
"""Utilization, relative to the mean, above which ranges are moved away."""

PACE_SPREAD: Final = 2.0
"""Limit on an upstream's measured speed relative to the mean.

It applies in both directions: the inverse is the lower limit.
"""

MOST_RANGES: Final = 64
"""Maximum number of ranges in a service's initial plan."""

PLAN_PREFIX: Final = "shards-"
"""Prefix of a plan's object name; the name of the service follows."""

RANGES_PER_UPSTREAM: Final = 4
"""Number of ranges for each upstream in the initial plan."""

RETRY_INTERVAL: Final = 0.25
"""Delay before a failed write or a pending release is retried."""

FIRST_PLAN_DELAY: Final = 1.5
"""Time without a new upstream that precedes the initial plan."""

SETTLE_DELAY: Final = 0.3
"""Delay after becoming the leader before plans are changed.

An upstream whose registration has not arrived yet would otherwise be
treated as lost.
"""

SUSPECT_AFTER: Final = 2
"""Consecutive failed calls after which an upstream is unresponsive."""

SUSPECT_SHARE: Final = 0.5
"""Share of unresponsive upstreams above which none is treated as lost.

The leader's own network link is the more likely cause then.
"""

SUSPICION: Final = 5.0
"""Time after which an unresponsive upstream is tried again."""

TAKEOVER_STAGGER: Final = 0.0375
"""Length per instance of the window over which takeovers are spread."""

TICK: Final = 0.1
"""Interval between checks for due renewals of leases and grants."""

WRITE_TIMEOUT: Final = 0.8
"""Timeout of a write, after which its outcome counts as unknown."""
