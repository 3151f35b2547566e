"""Limits that the promised times set to the durations of other sections."""

from collections import abc
import dataclasses
from typing import Final

from dragonflyshelf.core import registry
from dragonflyshelf.core.relay import watch_selector
from dragonflyshelf.core import settings

MIN_LEASE_SECONDS: Final = 0.4
"""Shortest lease that a leader can renew in time."""

REVOCATION_MARGIN_SECONDS: Final = 0.6
"""Time in which a request that was accepted reaches its upstream."""

EXIT_SECONDS: Final = 0.4
"""Time that a process takes to end after its last request."""

JUDGEMENT_SECONDS: Final = 2.0
"""Time from a bad response over its report to the plan that follows."""

MAX_SETTLE_RATIO: Final = 0.5
"""Share of the shutdown in which the listeners are open at most."""

MIN_CHANGE_SECONDS: Final = (
    MIN_LEASE_SECONDS
    + watch_selector.RELAY_DELAY_SECONDS
    + watch_selector.DIRECT_READ_SECONDS
)
"""Shortest time in which a change is known without a sound leader."""

Limit = abc.Callable[[settings.Settings], settings.Settings]

LIMITS: Final[registry.Registry[str, Limit]] = registry.Registry(
    "limits set by promises"
)


def limit(config: settings.Settings) -> settings.Settings:
    """Return the settings with durations that keep the promised times."""
    for section in LIMITS:
        config = LIMITS.get(section)(config)
    return config


@LIMITS.register("freshness")
def _limit_freshness(config: settings.Settings) -> settings.Settings:
    longest_age = min(
        config.freshness.longest_age,
        config.promises.revoke - REVOCATION_MARGIN_SECONDS,
    )
    ready_age = min(
        config.freshness.ready_age, config.promises.contact, longest_age
    )
    return dataclasses.replace(
        config,
        freshness=settings.FreshnessSettings(
            longest_age=longest_age, ready_age=ready_age
        ),
    )


@LIMITS.register("grants")
def _limit_grants(config: settings.Settings) -> settings.Settings:
    grants = config.grants
    return dataclasses.replace(
        config,
        grants=dataclasses.replace(
            grants,
            hold=min(grants.hold, config.promises.hold),
            max_hold=min(grants.max_hold, config.promises.hold),
        ),
    )


@LIMITS.register("leadership")
def _limit_leadership(config: settings.Settings) -> settings.Settings:
    """Shorten the lease: its end tells the members of a relay to look."""
    lease = min(
        config.leadership.lease,
        config.promises.change
        - watch_selector.RELAY_DELAY_SECONDS
        - watch_selector.DIRECT_READ_SECONDS,
    )
    renew_interval = (
        config.leadership.renew_interval * lease / config.leadership.lease
    )
    return dataclasses.replace(
        config,
        leadership=settings.LeadershipSettings(
            lease=lease, renew_interval=renew_interval
        ),
    )


@LIMITS.register("rollouts")
def _limit_rollouts(config: settings.Settings) -> settings.Settings:
    """Shorten the term: past it an instance without the plan sends none."""
    term = min(
        config.rollouts.term, config.promises.rollback - JUDGEMENT_SECONDS
    )
    return dataclasses.replace(
        config, rollouts=dataclasses.replace(config.rollouts, term=term)
    )


@LIMITS.register("shutdown")
def _limit_shutdown(config: settings.Settings) -> settings.Settings:
    deadline = min(
        config.shutdown.deadline, config.promises.grace - EXIT_SECONDS
    )
    settle = min(config.shutdown.settle, deadline * MAX_SETTLE_RATIO)
    return dataclasses.replace(
        config,
        shutdown=settings.ShutdownSettings(deadline=deadline, settle=settle),
    )
