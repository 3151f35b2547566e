"""Settings of one process, one frozen dataclass per INI section.

Fields annotated with a ``Range`` are validated against it when the file
is read. Durations are in seconds and sizes in bytes.
"""

import dataclasses
import enum
from typing import Annotated, Final

from dragonflyshelf.core import ids
from dragonflyshelf.core import ranges

KIB = 1024
MIB = 1024 * KIB
PORT_RANGE = ranges.Range(minimum=0, maximum=65535)
DURATION_RANGE = ranges.Range(minimum=0.001, maximum=86400, unit="s")
RATIO_RANGE = ranges.Range(minimum=0, maximum=1)


class HolderQueue(enum.Enum):
    """Who counts the room of a holder and queues the requests for it."""

    BROKER = "broker"
    INSTANCE = "instance"


class LogLevel(enum.Enum):
    """Minimum severity of logged messages."""

    DEBUG = "debug"
    ERROR = "error"
    INFO = "info"
    WARNING = "warning"


MIN_SERVING_CORES: Final = 0.5
"""Cores that a leader or relay of many instances needs."""

MIN_SERVING_LINK_MBPS: Final = 20.0
"""Mbit/s that a leader or relay of many instances needs."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class InstanceSettings:
    """Section ``instance``: identity and size of this process.

    It may use the share ``core_share`` of a core, ``cores`` times as fast
    as a usual one, ``link_mbps`` Mbit/s of its network link, ``memory_mb``
    MiB of memory and ``descriptors`` file descriptors.
    """

    name: ids.InstanceId
    data_centre: ids.DataCentreId
    region: str = "local"
    core_share: Annotated[float, ranges.Range(minimum=0.001, maximum=1)] = 1.0
    cores: Annotated[float, ranges.Range(minimum=0.01, maximum=1024)] = 1.0
    link_mbps: Annotated[float, ranges.Range(minimum=0.1, maximum=1e6)] = 1e3
    memory_mb: Annotated[float, ranges.Range(minimum=64, maximum=1e6)] = 1024.0
    descriptors: Annotated[
        int, ranges.Range(minimum=256, maximum=10000000)
    ] = 16384

    @property
    def is_small(self) -> bool:
        """Return whether it should not serve many other instances."""
        processor = self.core_share * self.cores
        return processor < MIN_SERVING_CORES or (
            self.link_mbps < MIN_SERVING_LINK_MBPS
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestSettings:
    """Section ``requests``: limits on requests and connections.

    ``headers`` limits their number; 0 leaves it to ``head_bytes``.
    Only a request whose body has at most ``replay_bytes`` is retried.
    ``window_bytes`` is the flow control window of a body. ``linger_timeout``
    limits how long a closing connection may take to deliver its last
    response, and ``write_timeout`` how long a caller may take nothing of the
    responses that wait for it. ``held_bytes`` limits what is held for all
    connections together; 0 stands for a quarter of the memory.
    """

    deadline: Annotated[float, DURATION_RANGE] = 10.0
    head_bytes: Annotated[
        int, ranges.Range(minimum=1024, maximum=MIB, unit="B")
    ] = (32 * KIB)
    headers: Annotated[int, ranges.Range(minimum=0, maximum=10000)] = 0
    body_bytes: Annotated[
        int, ranges.Range(minimum=0, maximum=1024 * MIB, unit="B")
    ] = (16 * MIB)
    replay_bytes: Annotated[
        int, ranges.Range(minimum=0, maximum=16 * MIB, unit="B")
    ] = (64 * KIB)
    window_bytes: Annotated[
        int, ranges.Range(minimum=KIB, maximum=16 * MIB, unit="B")
    ] = (256 * KIB)
    connections: Annotated[int, ranges.Range(minimum=1, maximum=1000000)] = (
        10000
    )
    idle_timeout: Annotated[float, DURATION_RANGE] = 60.0
    read_timeout: Annotated[float, DURATION_RANGE] = 10.0
    linger_timeout: Annotated[float, DURATION_RANGE] = 2.0
    write_timeout: Annotated[float, DURATION_RANGE] = 10.0
    held_bytes: Annotated[
        int, ranges.Range(minimum=0, maximum=1024 * 1024 * MIB, unit="B")
    ] = 0
    inbox_messages: Annotated[
        int, ranges.Range(minimum=16, maximum=10000000)
    ] = 100000


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamSettings:
    """Section ``upstreams``: connections to upstreams."""

    connections: Annotated[int, ranges.Range(minimum=1, maximum=10000)] = 110
    connect_timeout: Annotated[float, DURATION_RANGE] = 0.5
    idle_timeout: Annotated[float, DURATION_RANGE] = 30.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class RetrySettings:
    """Section ``retries``: retry budget of a service.

    All instances together may retry the fraction ``share`` of a service's
    requests and ``reserve`` further ones within ``window`` seconds.
    """

    reserve: Annotated[float, ranges.Range(minimum=0, maximum=100000)] = 20.0
    share: Annotated[float, ranges.Range(minimum=0, maximum=1)] = 0.1
    window: Annotated[float, DURATION_RANGE] = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogSettings:
    """Section ``log``: minimum severity of log messages."""

    level: LogLevel = LogLevel.INFO
    access_level: LogLevel = LogLevel.DEBUG


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShutdownSettings:
    """Section ``shutdown``: graceful shutdown of the process.

    The listeners stay open for ``settle`` seconds after readiness turns
    false. Requests still open ``deadline`` seconds after it are cut.
    """

    deadline: Annotated[float, DURATION_RANGE] = 20.0
    settle: Annotated[
        float, ranges.Range(minimum=0, maximum=600, unit="s")
    ] = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoreSettings:
    """Section ``store``: access to the platform's object store.

    ``watch_wait`` is the long-polling time of a watch of the configuration,
    ``slow_watch_wait`` that of the other kinds. While nothing changes, the
    replica is confirmed no more often than that, and an unresponsive store
    is detected no sooner.
    """

    address: str = ""
    call_timeout: Annotated[float, DURATION_RANGE] = 1.0
    watch_wait: Annotated[float, DURATION_RANGE] = 0.5
    slow_watch_wait: Annotated[float, DURATION_RANGE] = 0.8


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntrySettings:
    """Section ``entry``: addresses for callers and health checks.

    ``ready`` serves the load balancer's health checks and the metrics.
    Other instances connect to ``relay_port``. If ``metrics_port`` is set,
    the metrics are served there too, on the host of ``ready``.
    """

    callers: str = ""
    ready: str = ""
    relay_port: Annotated[int, PORT_RANGE] = 7100
    metrics_port: Annotated[int, PORT_RANGE] = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class FreshnessSettings:
    """Section ``freshness``: maximum age of the replicated configuration.

    The age is the time since the store confirmed the configuration. Past
    ``longest_age`` requests with a caller key are refused; past
    ``ready_age`` the instance is not ready.
    """

    longest_age: Annotated[float, DURATION_RANGE] = 4.4
    ready_age: Annotated[float, DURATION_RANGE] = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeadershipSettings:
    """Section ``leadership``: lease of the leader.

    The holder renews the lease every ``renew_interval`` seconds. Another
    instance may acquire it after ``lease`` seconds without a renewal.
    """

    lease: Annotated[float, DURATION_RANGE] = 1.2
    renew_interval: Annotated[float, DURATION_RANGE] = 0.4


@dataclasses.dataclass(frozen=True, kw_only=True)
class GrantSettings:
    """Section ``grants``: grants of shard ranges to upstreams.

    A grant is valid for ``hold`` seconds, for services with long work for
    up to ``max_hold``, and is renewed every ``renew_interval`` seconds. A
    leader that cannot reach the store continues to renew for
    ``continue_for`` seconds. ``clock_rate`` is the largest fraction by
    which an upstream's clock may run slow.
    """

    hold: Annotated[float, DURATION_RANGE] = 2.4
    max_hold: Annotated[float, DURATION_RANGE] = 8.0
    renew_interval: Annotated[float, DURATION_RANGE] = 0.6
    continue_for: Annotated[float, DURATION_RANGE] = 12.0
    call_timeout: Annotated[float, DURATION_RANGE] = 0.5
    clock_rate: Annotated[float, ranges.Range(minimum=0, maximum=0.2)] = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True)
class PromiseSettings:
    """Section ``promises``: times in which operators rely on an effect.

    A configuration is in force ``apply`` seconds after its change, and a
    leaving upstream gets no requests ``drain`` seconds after it said so.
    A withdrawn caller key is refused after ``revoke`` seconds. An instance
    that can't reach the store is not used after ``contact`` seconds, and
    a process is killed ``grace`` seconds after SIGTERM. Upstreams accept
    grants of at most ``hold`` seconds. A version that is rolled out and may
    be bad gets the fraction ``exposure_share`` of its service's requests and
    ``exposure_slack`` more, and none ``rollback`` seconds after its 50th bad
    response; without a share there are no roll-outs. Durations of other
    sections are limited so that these hold.
    """

    apply: Annotated[float, DURATION_RANGE] = 2.0
    contact: Annotated[float, DURATION_RANGE] = 3.0
    drain: Annotated[float, DURATION_RANGE] = 2.0
    grace: Annotated[float, DURATION_RANGE] = 30.0
    hold: Annotated[float, DURATION_RANGE] = 10.0
    revoke: Annotated[float, DURATION_RANGE] = 5.0
    exposure_share: Annotated[float, RATIO_RANGE] = 0.0
    exposure_slack: Annotated[
        float, ranges.Range(minimum=0, maximum=1000000)
    ] = 0.0
    rollback: Annotated[float, DURATION_RANGE] = 5.0

    @property
    def has_rollouts(self) -> bool:
        """Return whether operators may order roll-outs."""
        return self.exposure_share > 0

    @property
    def change(self) -> float:
        """Return the seconds in which any change is in force."""
        return min(self.apply, self.drain)


@dataclasses.dataclass(frozen=True, kw_only=True)
class RolloutSettings:
    """Section ``rollouts``: how a new version of a service is judged.

    Instances send the share of a plan to the new version for ``term``
    seconds after the plan was confirmed, at most ``max_share``. The canary
    step ends after the fraction ``canary_until`` of the roll-out's duration,
    and takes at least ``canary_ratio`` of it and ``min_responses`` of the new
    version. The version is bad if what it did would occur by chance with a
    probability under ``certainty``, at the end of the step under ``doubt``.
    Failures are normal up to ``normal_failures`` of the requests, and so are
    responses ``slow_factor`` times slower than those of slow upstreams of the
    present version up to ``normal_slow``. The roll-out is completed
    ``drained`` seconds after the last response of the present version.
    """

    term: Annotated[float, DURATION_RANGE] = 2.0
    canary_until: Annotated[float, RATIO_RANGE] = 0.45
    canary_ratio: Annotated[float, RATIO_RANGE] = 0.22
    min_responses: Annotated[int, ranges.Range(minimum=1, maximum=100000)] = 50
    max_share: Annotated[float, RATIO_RANGE] = 0.25
    certainty: Annotated[float, RATIO_RANGE] = 0.00003
    doubt: Annotated[float, RATIO_RANGE] = 0.05
    normal_failures: Annotated[float, RATIO_RANGE] = 0.005
    normal_slow: Annotated[float, RATIO_RANGE] = 0.05
    slow_factor: Annotated[float, ranges.Range(minimum=1, maximum=100)] = 2.0
    drained: Annotated[float, DURATION_RANGE] = 0.9


@dataclasses.dataclass(frozen=True, kw_only=True)
class SlotSettings:
    """Section ``slots``: who keeps the queues of a divided service's holders.

    With ``broker`` that is the relay of the data centre, for all of its
    members; without a relay, and with ``instance``, each instance.
    """

    holders: HolderQueue = HolderQueue.INSTANCE


RELOADABLE_SECTIONS: Final = ("freshness", "log", "requests", "retries")
"""Sections that can be changed without a restart."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """All settings of one process."""

    instance: InstanceSettings
    entry: EntrySettings = EntrySettings()
    freshness: FreshnessSettings = FreshnessSettings()
    grants: GrantSettings = GrantSettings()
    leadership: LeadershipSettings = LeadershipSettings()
    log: LogSettings = LogSettings()
    promises: PromiseSettings = PromiseSettings()
    requests: RequestSettings = RequestSettings()
    retries: RetrySettings = RetrySettings()
    rollouts: RolloutSettings = RolloutSettings()
    shutdown: ShutdownSettings = ShutdownSettings()
    slots: SlotSettings = SlotSettings()
    store: StoreSettings = StoreSettings()
    upstreams: UpstreamSettings = UpstreamSettings()

    def changed_sections(self, other: "Settings") -> tuple[str, ...]:
        """Return the names of the sections that differ from ``other``."""
        return tuple(
            field.name
            for field in dataclasses.fields(self)
            if getattr(self, field.name) != getattr(other, field.name)
        )

    def with_reloaded_sections(self, newer: "Settings") -> "Settings":
        """Return these settings with the reloadable sections of ``newer``."""
        return dataclasses.replace(
            self,
            **{name: getattr(newer, name) for name in RELOADABLE_SECTIONS},
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SettingsChanged:
    """Message: the reloadable settings have changed."""

    settings: Settings
