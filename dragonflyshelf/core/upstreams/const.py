"""Constants of the choice among upstreams."""

from typing import Final

CROSS_DATA_CENTRE_COST: Final = 0.9
"""Part of a service time that another data centre must be better by."""

COMFORT: Final = 0.4
"""Part of the objective within which a sooner answer is worth little."""

COMFORT_WEIGHT: Final = 0.25
"""What a second within the comfortable part counts, against one past it."""

DEFAULT_SERVICE_TIME: Final = 0.3
"""Seconds that a request is taken to last before one has been seen."""

EJECT_AFTER: Final = 3
"""Failures in a row after which an upstream is left alone."""

EJECTED_SHARE: Final = 0.34
"""Largest part of a service's upstreams that may be ejected at once."""

EJECTION: Final = 1.5
"""Seconds for which an ejected upstream gets no request."""

FAILURE_WEIGHT: Final = 0.2
"""Weight of the newest outcome in the mean share of failures."""

LATENCY_WEIGHT: Final = 0.15
"""Weight of the newest answer in the mean service time."""

QUEUED_AHEAD: Final = 1.0
"""Requests more than its slots that an upstream may have at once."""

REFUSAL_PAUSE: Final = 0.08
"""Seconds for which an upstream that refused for load gets no more."""

REPORT_LIFE: Final = 1.0
"""Seconds over which the load of other instances in a report fades."""

SLOWNESS_LIFE: Final = 0.4
"""Seconds for which a reported slowness is believed."""
