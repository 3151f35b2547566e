"""Gauges of the instance, read when somebody asks for them."""

import asyncio
from collections import abc
import contextlib
import dataclasses

from prometheus_client import core
from prometheus_client import registry

from dragonflyshelf.runtime import task

LAG_INTERVAL = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reading:
    """State of an instance at one moment."""

    ready: bool
    leased: bool
    draining: bool
    requests: int
    connections_by_listener: dict[str, int]
    messages_by_inbox: dict[str, int]
    loop_lag: float


class InstanceCollector(registry.Collector):
    """Turns a reading into gauges."""

    def __init__(self, read: abc.Callable[[], Reading]) -> None:
        """Create a collector that reads when it is asked."""
        self._read = read

    def collect(self) -> abc.Iterable[core.Metric]:
        """Return the gauges."""
        reading = self._read()
        yield _gauge("ready", "Whether callers may come", reading.ready)
        yield _gauge("leased", "Whether the lease runs", reading.leased)
        yield _gauge(
            "draining", "Whether the shutdown has begun", reading.draining
        )
        yield _gauge(
            "requests_in_flight", "Unfinished requests", reading.requests
        )
        yield _gauge(
            "loop_lag_seconds",
            "Longest lateness of a timer since the last reading",
            reading.loop_lag,
        )
        yield _by_label(
            "connections",
            "Open connections of callers",
            "listener",
            reading.connections_by_listener,
        )
        yield _by_label(
            "inbox_messages",
            "Messages that wait in the inbox of a task",
            "task",
            reading.messages_by_inbox,
        )


def _gauge(name: str, text: str, value: float) -> core.Metric:
    return core.GaugeMetricFamily(
        f"dragonflyshelf_{name}", text, value=float(value)
    )


def _by_label(
    name: str, text: str, label: str, values: dict[str, int]
) -> core.Metric:
    found = core.GaugeMetricFamily(
        f"dragonflyshelf_{name}", text, labels=(label,)
    )
    for key, value in sorted(values.items()):
        found.add_metric([key], value)
    return found


@contextlib.contextmanager
def collecting(read: abc.Callable[[], Reading]) -> abc.Iterator[None]:
    """Publish the gauges for the length of a ``with`` block."""
    collector = InstanceCollector(read)
    core.REGISTRY.register(collector)
    try:
        yield
    finally:
        core.REGISTRY.unregister(collector)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LagTick:
    """A timer that should have fired at an instant."""

    due: float


class LoopLagTask(task.Task):
    """Measures how late the timers of the event loop fire."""

    def __init__(self) -> None:
        """Create the task; it starts to measure when it runs."""
        super().__init__("loop-lag")
        self._longest = 0.0

    def take(self) -> float:
        """Return the longest lateness in seconds, and begin again."""
        longest, self._longest = self._longest, 0.0
        return longest

    def start(self) -> task.Task:
        """Start to read the inbox and set the first timer."""
        self._set_timer()
        return super().start()

    @task.handles(LagTick)
    def _on_tick(self, message: LagTick) -> None:
        self._longest = max(self._longest, self.now - message.due)
        self._set_timer()

    def _set_timer(self) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time() + LAG_INTERVAL
        loop.call_at(due, self.inbox.post, LagTick(due=due))
