"""Scheduling state of one service."""

import collections
from collections import abc

from dragonflyshelf.core.grantor import objects as grantor
from dragonflyshelf.core import ids
from dragonflyshelf.core.scheduling import const
from dragonflyshelf.core.scheduling import queue
from dragonflyshelf.core.upstreams import const as upstream_const
from dragonflyshelf.core.upstreams import state

SERVICE_TIME_SMOOTHING_RATIO = 0.1
"""Weight of the newest response in the mean service time of a service."""


class ServiceState:
    """Upstreams, queues and throughput of one service at this instance."""

    def __init__(self, name: ids.ServiceName) -> None:
        """Create the state of a service without upstreams."""
        self.name = name
        self.upstreams_by_incarnation: dict[
            ids.UpstreamIncarnation, state.UpstreamState
        ] = {}
        self.plan: grantor.ShardPlan | None = None
        self.queue = queue.FairQueue()
        self.queues_by_incarnation: dict[
            ids.UpstreamIncarnation, queue.FairQueue
        ] = {}
        self.mean_service_time = upstream_const.DEFAULT_SERVICE_TIME_SECONDS
        self._finish_times: collections.deque[ids.Instant] = (
            collections.deque()
        )
        self._finish_times_by_incarnation: dict[
            ids.UpstreamIncarnation, collections.deque[ids.Instant]
        ] = {}

    def holder(self, key: ids.ShardKey) -> state.UpstreamState | None:
        """Return the holder of a shard key, or None while it moves."""
        if self.plan is None:
            return None
        assignment = self.plan.find(key)
        if assignment is None or not assignment.is_settled:
            return None
        return self.upstreams_by_incarnation.get(assignment.life)

    def holder_queue(
        self, incarnation: ids.UpstreamIncarnation
    ) -> queue.FairQueue:
        """Return the queue of one shard holder, created on first use."""
        return self.queues_by_incarnation.setdefault(
            incarnation, queue.FairQueue()
        )

    def all_queues(self) -> abc.Iterator[queue.FairQueue]:
        """Iterate over all queues."""
        yield self.queue
        yield from self.queues_by_incarnation.values()

    def record_response(
        self,
        incarnation: ids.UpstreamIncarnation,
        seconds: float,
        now: ids.Instant,
    ) -> None:
        """Record a response and its duration."""
        self.mean_service_time += SERVICE_TIME_SMOOTHING_RATIO * (
            seconds - self.mean_service_time
        )
        self._finish_times.append(now)
        holder_finish_times = self._finish_times_by_incarnation.setdefault(
            incarnation, collections.deque()
        )
        holder_finish_times.append(now)

    def throughput(
        self, incarnation: ids.UpstreamIncarnation | None, now: ids.Instant
    ) -> float:
        """Return the responses per second of one holder or of the service.

        A holder without any response has the throughput of the service.
        At least one response per window is assumed, so that a wait can
        be estimated.
        """
        finish_times = self._finish_times
        if incarnation is not None:
            finish_times = self._finish_times_by_incarnation.get(
                incarnation, finish_times
            )
        while (
            finish_times
            and finish_times[0] < now - const.THROUGHPUT_WINDOW_SECONDS
        ):
            finish_times.popleft()
        return max(len(finish_times), 1) / const.THROUGHPUT_WINDOW_SECONDS
