"""Constants of request scheduling."""

from typing import Final

RETRY_BUDGET_RATIO: Final = 0.8
"""Fraction of the allowed retries that the instances use.

It leaves a margin below the configured budget.
"""

OLDEST_FIRST_INTERVAL_COUNT: Final = 5
"""Every n-th entry removed from a queue is the oldest one.

This prevents starvation of low priorities and of busy workspaces.
"""

HOLDER_WAIT_RATIO: Final = 0.8
"""Fraction of the latency objective that a request may wait for a holder.

A shard range has no holder for a moment while it is moved.
"""

DEFAULT_INSTANCE_COUNT: Final = 16
"""Number of instances assumed until the list of instances has arrived.

The retry reserve is divided by it.
"""

MAX_QUEUE_TIME_RATIO: Final = 0.5
"""Fraction of the time to its deadline that a request may be queued."""

MAX_OBJECTIVE_WAIT_RATIO: Final = 0.5
"""Fraction of the time to its latest start in time that a request may wait.

Service times differ, and what becomes late in a queue comes last there.
"""

MAX_RETRY_AFTER_SECONDS: Final = 2.0
"""Upper bound of ``Retry-After`` in refusals."""

NOT_HOLDER_BACKOFF_SECONDS: Final = 0.1
"""Delay before the holder of a shard key is looked up again.

A request that an upstream declined because it does not hold the key
waits twice as long after its first attempt, and the delay doubles with
each further attempt.
"""

NOT_HOLDER_MAX_RETRY_COUNT: Final = 2
"""Maximum retries of a request if upstreams do not hold its shard key.

All earlier attempts of the request count, whatever their result.
"""

MAX_QUEUED_REQUEST_COUNT: Final = 400
"""Maximum number of requests queued for one service or shard holder."""

THROUGHPUT_WINDOW_SECONDS: Final = 1.0
"""Window over which the throughput of a service or holder is measured."""

MIN_RETRY_AFTER_SECONDS: Final = 0.15
"""Lower bound of ``Retry-After`` in refusals."""

QUEUE_CHECK_INTERVAL_SECONDS: Final = 0.025
"""Interval of queue checks while requests are queued."""
