"""Length of the grants of a service.

An upstream ends work that outlasts the grant under which it began, though
the grant was renewed since. So grants have to outlast nearly all work; but
the longer they are, the later a lost upstream's keys are served again.
"""

from typing import Final

from dragonflyshelf.core import settings
from dragonflyshelf.core.upstreams import service_times

SERVICE_TIME_COUNT: Final = 6.0
"""Mean service times for which a grant is valid.

Service times are spread widely, and upstreams are at times slower by a
multiple.
"""


def find_hold(
    config: settings.GrantSettings, sums: service_times.ServiceTimeSums
) -> float:
    """Return for how many seconds the ranges of a service are granted.

    ``sums`` are the service times of its upstreams.
    """
    mean = service_times.mean_service_time(sums, 0.0)
    return min(max(config.hold, SERVICE_TIME_COUNT * mean), max_hold(config))


def max_hold(config: settings.GrantSettings) -> float:
    """Return the longest grant that any leader gives, in seconds."""
    return max(config.hold, config.max_hold)
