"""Rules between options, checked once every option has a value."""

from collections import abc
import dataclasses
import itertools
import re
from typing import Final

from dragonflyshelf.core import registry
from dragonflyshelf.core import settings

NAME: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
RENEWALS_WITHIN_LEASE: Final = 2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Broken:
    """A rule that does not hold, at the option to change."""

    section: str
    option: str
    message: str


Rule = abc.Callable[[settings.Settings], abc.Iterable[Broken]]

RULES: Final[registry.Registry[str, Rule]] = registry.Registry(
    "rules of settings"
)


def broken(config: settings.Settings) -> list[Broken]:
    """Return all rules that do not hold."""
    return [one for name in RULES for one in RULES.get(name)(config)]


def _below(
    section: str, option: str, value: float, bound: float, text: str
) -> abc.Iterable[Broken]:
    if value > bound:
        message = f"{value:g} is over {text} ({bound:g})"
        yield Broken(section=section, option=option, message=message)


@RULES.register("names")
def _names(config: settings.Settings) -> abc.Iterable[Broken]:
    values = dataclasses.asdict(config.instance)
    for option in ("name", "data_centre", "region"):
        if NAME.fullmatch(values[option]) is None:
            message = (
                f"{values[option]!r} is not 1 to 63 letters, digits, dots,"
                " dashes and underscores"
            )
            yield Broken(section="instance", option=option, message=message)


@RULES.register("ports")
def _ports(config: settings.Settings) -> abc.Iterable[Broken]:
    values = dataclasses.asdict(config.listen)
    ports = {
        option: value
        for option, value in values.items()
        if option.endswith("_port") and value
    }
    for first, second in itertools.combinations(ports, 2):
        if ports[first] == ports[second]:
            message = f"port {ports[second]} is also {first}"
            yield Broken(section="listen", option=second, message=message)


@RULES.register("leases")
def _leases(config: settings.Settings) -> abc.Iterable[Broken]:
    member = config.membership
    yield from _below(
        "membership",
        "renew_interval",
        member.renew_interval,
        member.lease / RENEWALS_WITHIN_LEASE,
        "half of the lease",
    )
    yield from _below(
        "membership",
        "heartbeat_interval",
        member.heartbeat_interval,
        member.lease / RENEWALS_WITHIN_LEASE,
        "half of the lease",
    )
    yield from _below(
        "membership", "lease", member.lease, member.promise, "promise"
    )


@RULES.register("grants")
def _grants(config: settings.Settings) -> abc.Iterable[Broken]:
    owner = config.ownership
    yield from _below(
        "ownership",
        "grant_ttl",
        owner.grant_ttl,
        config.membership.lease,
        "the lease",
    )
    yield from _below(
        "ownership",
        "grant_interval",
        owner.grant_interval,
        owner.grant_ttl / RENEWALS_WITHIN_LEASE,
        "half of grant_ttl",
    )


@RULES.register("requests")
def _requests(config: settings.Settings) -> abc.Iterable[Broken]:
    yield from _below(
        "requests",
        "replay_bytes",
        config.requests.replay_bytes,
        config.requests.window_bytes,
        "window_bytes",
    )
    yield from _below(
        "upstreams",
        "connect_timeout",
        config.upstreams.connect_timeout,
        config.requests.deadline,
        "the deadline of requests",
    )


@RULES.register("shutdown")
def _shutdown(config: settings.Settings) -> abc.Iterable[Broken]:
    yield from _below(
        "shutdown",
        "settle",
        config.shutdown.settle + config.shutdown.handover,
        config.shutdown.deadline,
        "the deadline, with handover",
    )
