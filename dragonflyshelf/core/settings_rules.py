"""Validation rules across options, checked once all have values."""

from collections import abc
import dataclasses
import re
from typing import Final

from dragonflyshelf.core import promises
from dragonflyshelf.core import registry
from dragonflyshelf.core import settings

NAME_PATTERN: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
"""Names of instances, data centres and regions."""

MIN_WATCH_WAIT_COUNT: Final = 2
"""Watch waits that ``ready_age`` must cover.

A confirmation may be that many waits old while the store responds.
"""

MIN_RENEWAL_COUNT: Final = 2
"""Renewals that must fit into a lease, so that one may be lost."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Violation:
    """Violation of a rule, reported at the option to change."""

    section: str
    option: str
    message: str


Rule = abc.Callable[[settings.Settings], abc.Iterable[Violation]]

RULES: Final[registry.Registry[str, Rule]] = registry.Registry(
    "settings rules"
)


def find_violations(config: settings.Settings) -> list[Violation]:
    """Return the violations of all rules."""
    return [
        violation for name in RULES for violation in RULES.get(name)(config)
    ]


def _check_at_most(
    section: str, option: str, value: float, bound: float, text: str
) -> abc.Iterable[Violation]:
    if value > bound:
        message = f"{value:g} exceeds {text} ({bound:g})"
        yield Violation(section=section, option=option, message=message)


def _check_at_least(
    section: str, option: str, value: float, bound: float, text: str
) -> abc.Iterable[Violation]:
    if value < bound:
        message = f"{value:g} is less than {text} ({bound:g})"
        yield Violation(section=section, option=option, message=message)


@RULES.register("names")
def _names(config: settings.Settings) -> abc.Iterable[Violation]:
    values = dataclasses.asdict(config.instance)
    for option in ("name", "data_centre", "region"):
        if NAME_PATTERN.fullmatch(values[option]) is None:
            message = (
                f"{values[option]!r} is not 1 to 63 letters, digits, dots,"
                " dashes and underscores"
            )
            yield Violation(section="instance", option=option, message=message)


@RULES.register("leadership")
def _leadership(config: settings.Settings) -> abc.Iterable[Violation]:
    leadership = config.leadership
    yield from _check_at_most(
        "leadership",
        "renew_interval",
        leadership.renew_interval,
        leadership.lease / MIN_RENEWAL_COUNT,
        "half of the lease duration",
    )
    yield from _check_at_most(
        "leadership",
        "lease",
        leadership.lease,
        config.grants.hold,
        "the hold time of grants",
    )


@RULES.register("grants")
def _grants(config: settings.Settings) -> abc.Iterable[Violation]:
    grants = config.grants
    yield from _check_at_most(
        "grants",
        "renew_interval",
        grants.renew_interval,
        grants.hold / MIN_RENEWAL_COUNT,
        "half of the hold time",
    )


@RULES.register("freshness")
def _freshness(config: settings.Settings) -> abc.Iterable[Violation]:
    yield from _check_at_most(
        "freshness",
        "ready_age",
        config.freshness.ready_age,
        config.freshness.longest_age,
        "longest_age",
    )
    yield from _check_at_most(
        "store",
        "watch_wait",
        config.store.watch_wait * MIN_WATCH_WAIT_COUNT,
        config.freshness.ready_age,
        "ready_age, which must cover two watch waits",
    )


@RULES.register("promises")
def _promises(config: settings.Settings) -> abc.Iterable[Violation]:
    """Report promises that can't be kept."""
    confirmation_seconds = config.store.watch_wait * MIN_WATCH_WAIT_COUNT
    for option, bound, text in (
        ("apply", promises.MIN_CHANGE_SECONDS, "lease, relay and read take"),
        ("drain", promises.MIN_CHANGE_SECONDS, "lease, relay and read take"),
        ("contact", confirmation_seconds, "two watch waits"),
        (
            "revoke",
            confirmation_seconds + promises.REVOCATION_MARGIN_SECONDS,
            "two watch waits and a request take",
        ),
        ("grace", 2 * promises.EXIT_SECONDS, "the end of a process takes"),
        (
            "rollback",
            1.5 * promises.JUDGEMENT_SECONDS,
            "reports and the judgement of a version take",
        ),
    ):
        value = getattr(config.promises, option)
        yield from _check_at_least("promises", option, value, bound, text)


@RULES.register("requests")
def _requests(config: settings.Settings) -> abc.Iterable[Violation]:
    yield from _check_at_most(
        "requests",
        "replay_bytes",
        config.requests.replay_bytes,
        config.requests.window_bytes,
        "window_bytes",
    )
    yield from _check_at_most(
        "upstreams",
        "connect_timeout",
        config.upstreams.connect_timeout,
        config.requests.deadline,
        "the request deadline",
    )


@RULES.register("shutdown")
def _shutdown(config: settings.Settings) -> abc.Iterable[Violation]:
    yield from _check_at_most(
        "shutdown",
        "settle",
        config.shutdown.settle,
        config.shutdown.deadline,
        "the shutdown deadline",
    )
