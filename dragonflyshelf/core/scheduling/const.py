"""Constants of request scheduling."""

from typing import Final

BUDGET_MARGIN: Final = 0.8
"""Fraction of the allowed retries that the instances use.

It leaves a margin below the configured budget.
"""

FAIR_TURN: Final = 5
"""Every n-th entry removed from a queue is the oldest one.

This prevents starvation of low priorities and of busy workspaces.
"""

HOLDER_PATIENCE: Final = 0.8
"""Fraction of the latency objective to wait for a shard's holder."""

INSTANCES_UNKNOWN: Final = 16
"""Instance count assumed until the leader announces the real one."""

LATEST_START: Final = 0.5
"""Fraction of the time to its deadline that a request may be queued."""

LONGEST_RETRY_AFTER: Final = 2.0
"""Upper bound of ``Retry-After`` in refusals."""

NOT_HOLDER_PAUSE: Final = 0.1
"""Delay before the holder of a shard key is looked up again.

Doubled with each attempt that an upstream refuses as not the holder.
"""

NOT_HOLDER_REPEATS: Final = 2
"""Retries after refusals of upstreams that do not hold the shard key."""

QUEUE_ENTRIES: Final = 400
"""Maximum number of requests queued for one service or shard holder."""

RATE_WINDOW: Final = 1.0
"""Window over which the throughput of a service is measured."""

SHORTEST_RETRY_AFTER: Final = 0.15
"""Lower bound of ``Retry-After`` in refusals."""

TICK: Final = 0.025
"""Interval of queue checks while requests are queued."""
