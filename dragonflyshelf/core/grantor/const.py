"""Constants of the lease and of the assignment of shard ranges."""

from typing import Final

BALANCE_INTERVAL: Final = 1.0
"""Seconds between moves of ranges that are made for load."""

EPOCH_STEP: Final = 2
"""Growth of an epoch with each move; the odd one between fences."""

FIRST_EPOCH: Final = 2
"""Epoch of the first holder of a range."""

INSTANCES_UNKNOWN: Final = 16
"""Instances that may want the lease, before they are counted."""

LEASE_NAME: Final = "lease"
"""Name of the lease among the system's own objects."""

WORTHWHILE: Final = 0.95
"""Part of the highest use below which a move has to bring it."""

HOT_WORTHWHILE: Final = 0.75
"""The same for a bucket that overloads its holder by itself."""

LEAST_LOAD: Final = 5.0
"""Requests a second of a service below which nothing moves for load."""

LOAD_LIFE: Final = 4.0
"""Seconds after which an instance's report of load no longer counts."""

LOAD_WEIGHT: Final = 0.6
"""Weight of the newest report in the mean load of a bucket."""

LONGEST_PAUSE: Final = 0.6
"""Seconds without a tick after which an instance was paused."""

LEAST_MOVES: Final = 4
"""Ranges that may be moved for load at the same time at least."""

MOVING_SHARE: Final = 0.25
"""Ranges that may be moved at the same time, for each upstream."""

MOST_ROWS: Final = 160
"""Ranges of a service past which none is split any more."""

OVERLOAD: Final = 1.25
"""Times the mean load that a holder may have before ranges move."""

PACE_SPREAD: Final = 2.0
"""Times the mean pace that an upstream is believed to be fast or slow."""

MOST_RANGES: Final = 64
"""Ranges into which a service is divided at most."""

PLAN_PREFIX: Final = "shards-"
"""Begin of the names of the objects with a service's assignments."""

RANGES_PER_UPSTREAM: Final = 4
"""Ranges for each upstream when a service is first divided."""

RETRY_INTERVAL: Final = 0.25
"""Seconds between tries at a failed write."""

FIRST_PLAN_DELAY: Final = 1.5
"""Seconds without a new upstream before a service is first divided."""

SETTLE_DELAY: Final = 0.3
"""Seconds after taking the lease before upstreams are judged missing."""

SUSPECT_AFTER: Final = 2
"""Failed calls in a row after which a holder is taken to be lost."""

SUSPECT_SHARE: Final = 0.5
"""Part of the upstreams that may be suspect; past it, it is our link."""

SUSPICION: Final = 5.0
"""Seconds after which a suspect may be given ranges again."""

TAKEOVER_STAGGER: Final = 0.0375
"""Seconds for each instance over which they spread their takeovers."""

TICK: Final = 0.1
"""Seconds between looks at leases and grants."""

WRITE_TIMEOUT: Final = 0.8
"""Seconds that a write may take until its outcome counts as unknown."""
