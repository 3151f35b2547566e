"""Matching of arriving requests to the configuration in force."""

from typing import Final

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.routing import objects as routing
from dragonflyshelf.core.routing import split
from dragonflyshelf.core.routing import table
from dragonflyshelf.core.scheduling import const
from dragonflyshelf.core.scheduling import exchanges
from dragonflyshelf.core.scheduling import messages
from dragonflyshelf.core import settings

DISTANT_PAST: Final = ids.Instant(float("-inf"))


class RequestIntake:
    """Creates an exchange for each request that a route matches."""

    def __init__(self, config: settings.Settings) -> None:
        """Create an intake without a configuration."""
        self._config = config
        self._route_table: table.RouteTable | None = None
        self._confirmed_at = DISTANT_PAST
        self._traffic_split = split.WeightedSplit(config.instance.name)

    def set_settings(self, config: settings.Settings) -> None:
        """Replace the settings."""
        self._config = config

    def set_configuration(self, configuration: routing.Configuration) -> bool:
        """Use a configuration; return whether it is newer than the last."""
        current = self._route_table
        if current and current.configuration.version >= configuration.version:
            return False
        self._route_table = table.RouteTable(configuration)
        return True

    def confirm(self, confirmed_at: ids.Instant) -> None:
        """Record that the configuration was current at an instant."""
        self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def create_exchange(
        self, event: messages.RequestArrived, now: ids.Instant
    ) -> exchanges.Exchange:
        """Match a request to its route and create its exchange.

        Raises ``StaleInstance`` without a configuration that is recent
        enough, and what ``RouteTable.match`` raises.
        """
        if self._route_table is None:
            raise errors.StaleInstance(
                "no configuration has been received yet",
                retry_after=const.MAX_RETRY_AFTER_SECONDS / 2,
            )
        head = event.head
        match = self._route_table.match(head.host, head.path, head.key_digest)
        if match.workspace is not None:
            self._check_configuration_age(now)
        route = match.route
        return exchanges.Exchange(
            id=event.exchange,
            head=head,
            match=match,
            service=self._traffic_split.choose(route),
            arrived_at=now,
            deadline=min(head.deadline, ids.Instant(now + route.timeout)),
        )

    def _check_configuration_age(self, now: ids.Instant) -> None:
        """Raise if the configuration is too old to trust caller keys.

        A key may have been withdrawn since it was last confirmed.
        """
        age = now - self._confirmed_at
        if age <= self._config.freshness.longest_age:
            return
        raise errors.StaleInstance(
            f"configuration was last confirmed {age:.1f} s ago",
            retry_after=const.MAX_RETRY_AFTER_SECONDS / 2,
        )
