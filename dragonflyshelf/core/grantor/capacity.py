"""Capacity of each upstream for shard ranges.

Load pattern: a divided service whose upstreams differ in speed. While there
is room to spare, the requests for the keys of a slow upstream are late
though nothing waits; the faster ones can hold more keys than their share.
"""

from collections import abc
from typing import Final

from dragonflyshelf.core.grantor import const
from dragonflyshelf.core import ids
from dragonflyshelf.core.upstreams import objects as upstreams
from dragonflyshelf.core.upstreams import service_times

MIN_SERVICE_TIME_SECONDS: Final = 0.001
"""Lower limit on the service time; it avoids a division by zero."""

MAX_SPEED_EXPONENT: Final = 4.0
"""Preference of fast upstreams while there is much room.

A range of capacities is the speed to this power; with 1 all upstreams are
utilized alike.
"""

COMFORTABLE_UTILIZATION: Final = 0.5
"""Utilization of slots up to which requests hardly wait for one."""

EXPONENT_STEP_COUNT: Final = 12
"""Steps of the bisection that finds the exponent."""

Registrations = abc.Collection[upstreams.Registration]
SumsByIncarnation = dict[ids.UpstreamIncarnation, service_times.ServiceTimeSum]


def find_capacities(
    candidates: Registrations,
    sums_by_incarnation: SumsByIncarnation,
    rate: float,
) -> dict[ids.UpstreamIncarnation, float]:
    """Return the load that each upstream should bear, relative to others.

    ``rate`` is the load of the service in requests per second. The faster
    half of a service bears more than its share of it as long as that does
    not utilize it over ``COMFORTABLE_UTILIZATION``.
    """
    measurements = [
        sums_by_incarnation[candidate.incarnation]
        for candidate in candidates
        if candidate.incarnation in sums_by_incarnation
    ]
    mean = service_times.mean_service_time(measurements, default=1.0)
    speed_by_incarnation = {
        candidate.incarnation: 1.0 for candidate in candidates
    }
    for measurement in measurements:
        speed_by_incarnation[measurement.life] = _relative_speed(
            measurement, mean
        )
    exponent = _find_exponent(candidates, speed_by_incarnation, rate * mean)
    return {
        candidate.incarnation: candidate.slots
        * speed_by_incarnation[candidate.incarnation] ** exponent
        for candidate in candidates
    }


def _relative_speed(
    measurement: service_times.ServiceTimeSum, mean: float
) -> float:
    speed = mean / max(
        measurement.service_time(mean), MIN_SERVICE_TIME_SECONDS
    )
    return min(
        max(speed, 1 / const.MAX_RELATIVE_SPEED_RATIO),
        const.MAX_RELATIVE_SPEED_RATIO,
    )


def _find_exponent(
    candidates: Registrations,
    speed_by_incarnation: dict[ids.UpstreamIncarnation, float],
    busy_slots: float,
) -> float:
    """Return the largest exponent that leaves the fastest one comfortable.

    ``busy_slots`` is the mean number of slots in use at mean speed.
    """
    fastest = max(speed_by_incarnation.values(), default=1.0)

    def utilization(exponent: float) -> float:
        total = sum(
            candidate.slots
            * speed_by_incarnation[candidate.incarnation] ** exponent
            for candidate in candidates
        )
        return busy_slots * fastest ** (exponent - 1.0) / max(total, 1.0)

    if utilization(MAX_SPEED_EXPONENT) <= COMFORTABLE_UTILIZATION:
        return MAX_SPEED_EXPONENT
    lowest, highest = 1.0, MAX_SPEED_EXPONENT
    for _ in range(EXPONENT_STEP_COUNT):
        middle = (lowest + highest) / 2
        if utilization(middle) <= COMFORTABLE_UTILIZATION:
            lowest = middle
        else:
            highest = middle
    return lowest
