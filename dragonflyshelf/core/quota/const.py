"""Constants of the rate limits of workspaces."""

from typing import Final

PREFETCH_SECONDS: Final = 0.25
"""Seconds of estimated demand that are prefetched."""

DEMAND_AVERAGING_SECONDS: Final = 1.0
"""Time constant of the moving average of demand."""

FALLBACK_RATIO: Final = 0.5
"""Share of a rate that all instances together use without a leader."""

FALLBACK_RESET_SECONDS: Final = 5.0
"""Idle seconds after which the bucket of the fallback share is reset.

The share of one instance may be less than one token; without a reset it
would accrue to a whole token at every instance.
"""

INSTANCE_MIN_BURST: Final = 1.0
"""Tokens that can accrue in the fallback share of one instance."""

RELAY_MIN_BURST: Final = 2.0
"""Tokens that can accrue in the fallback share of a relay."""

MIN_BURST_SECONDS: Final = 0.25
"""Seconds of a rate that may be used at once, whatever the burst is.

Instances request tokens in batches; a bucket that can't hold a batch would
admit less than its rate.
"""

MIN_BURST_TOKEN_COUNT: Final = 4.0
"""Tokens up to which a whole second of a low rate may be used at once."""

INITIAL_BURST_RATIO: Final = 0.3
"""Fraction of the burst in the buckets of a new leader.

Tokens that the former leader allocated may still be in use.
"""

DEFAULT_INSTANCE_COUNT: Final = 64
"""Number of instances assumed until the list of instances has arrived.

The fallback share is divided by it.
"""

TOKEN_REQUEST_TIMEOUT_SECONDS: Final = 0.18
"""Seconds after which a token request counts as timed out."""

MAX_WAIT_SECONDS: Final = 5.0
"""Upper bound on the wait in a token allocation."""

MAX_FALLBACK_WAIT_SECONDS: Final = 0.5
"""Upper bound on the wait while the leader, which may be back, is silent."""

MAX_REQUESTED_TOKEN_COUNT: Final = 32
"""Upper bound on the tokens in one token request."""

PROBE_INTERVAL_SECONDS: Final = 0.2
"""Seconds between token requests to a leader that does not respond."""

PROBE_TOKEN_COUNT: Final = 1
"""Tokens requested at least from a leader that has timed out.

With many instances the demand at one of them can be too low for a
prefetch, so that it would never find out that the leader responds again.
"""

RELAY_REQUEST_TIMEOUT_SECONDS: Final = 0.12
"""Seconds after which the token request of a relay counts as timed out.

It is less than that of its members, so that they hear of the share.
"""

RELAY_TOKEN_TTL_SECONDS: Final = 0.3
"""Seconds after which unused tokens at a relay are discarded."""

RELAY_REQUEST_TTL_SECONDS: Final = 0.5
"""Seconds after which a relay drops the token request of a member.

By then the request has timed out at the member.
"""

MIN_WAIT_SECONDS: Final = 0.05
"""Lower bound on the wait in a token allocation.

Without it, a workspace over its rate would cause a token request with
each of its requests.
"""

TOKEN_TTL_SECONDS: Final = 1.0
"""Seconds after which unused tokens at an instance are discarded."""
