"""Constants of load balancing and outlier ejection."""

from typing import Final

CROSS_DATA_CENTRE_COST_RATIO: Final = 0.9
"""Fraction of the service time by which another data centre must be faster."""

DISCOUNT_THRESHOLD_RATIO: Final = 0.4
"""Fraction of the latency objective below which time is discounted.

A faster response is worth little once the objective is met easily.
"""

DISCOUNT_WEIGHT_RATIO: Final = 0.25
"""Weight of discounted time, relative to time above the threshold."""

DEFAULT_SERVICE_TIME_SECONDS: Final = 0.3
"""Service time assumed until a response has been measured."""

EJECTION_FAILURE_COUNT: Final = 3
"""Consecutive failures after which an upstream is ejected.

After an ejection the next failure ejects it again, unless a request has
succeeded in between.
"""

MAX_EJECTED_RATIO: Final = 0.34
"""Largest fraction of the candidates that may be excluded as ejected.

If more of them are ejected, none is excluded.
"""

EJECTION_SECONDS: Final = 1.5
"""Seconds for which an upstream stays ejected."""

FAILURE_SMOOTHING_RATIO: Final = 0.2
"""Weight of the newest outcome in the moving average of failures."""

SERVICE_TIME_SMOOTHING_RATIO: Final = 0.15
"""Weight of the newest response in the moving average of service times."""

MAX_EXCESS_REQUEST_COUNT: Final = 1.0
"""Requests beyond its slots that an upstream may have at once."""

DECLINE_BACKOFF_SECONDS: Final = 0.08
"""Seconds without requests after an upstream declined one for load."""

LOAD_REPORT_TTL_SECONDS: Final = 1.0
"""Seconds in which the reported load of other instances decays to zero."""

SLOWDOWN_TTL_SECONDS: Final = 0.4
"""Seconds for which a reported slowdown is used."""
