"""The upstreams of one service, as the scheduler sees them."""

import collections
from collections import abc

from dragonflyshelf.core.grantor import objects as grantor
from dragonflyshelf.core import ids
from dragonflyshelf.core.scheduling import const
from dragonflyshelf.core.scheduling import queue
from dragonflyshelf.core.upstreams import const as upstream_const
from dragonflyshelf.core.upstreams import state

TIME_WEIGHT = 0.1
"""Weight of the newest answer in the mean service time."""


class ServiceState:
    """Upstreams, queues and pace of one service at this instance."""

    def __init__(self, name: ids.ServiceName) -> None:
        """Create the state of a service without upstreams."""
        self.name = name
        self.upstreams_by_life: dict[ids.UpstreamLife, state.UpstreamState] = (
            {}
        )
        self.plan: grantor.ShardPlan | None = None
        self.queue = queue.FairQueue()
        self.queues_by_life: dict[ids.UpstreamLife, queue.FairQueue] = {}
        self.mean_time = upstream_const.DEFAULT_SERVICE_TIME_SECONDS
        self._finished: collections.deque[ids.Instant] = collections.deque()
        self._finished_by_life: dict[
            ids.UpstreamLife, collections.deque[ids.Instant]
        ] = {}

    def holder(self, key: ids.ShardKey) -> state.UpstreamState | None:
        """Return the upstream that holds a shard key."""
        if self.plan is None:
            return None
        found = self.plan.find(key)
        if found is None or not found.is_settled:
            return None
        return self.upstreams_by_life.get(found.life)

    def queue_of(self, life: ids.UpstreamLife) -> queue.FairQueue:
        """Return the queue of those that wait for one holder."""
        return self.queues_by_life.setdefault(life, queue.FairQueue())

    def queues(self) -> abc.Iterator[queue.FairQueue]:
        """Iterate over all queues."""
        yield self.queue
        yield from self.queues_by_life.values()

    def count_answer(
        self, life: ids.UpstreamLife, seconds: float, now: ids.Instant
    ) -> None:
        """Count an answer that took so many seconds."""
        self.mean_time += TIME_WEIGHT * (seconds - self.mean_time)
        self._finished.append(now)
        by_life = self._finished_by_life.setdefault(life, collections.deque())
        by_life.append(now)

    def pace(self, life: ids.UpstreamLife | None, now: ids.Instant) -> float:
        """Return the answers a second of late, at one holder or at all."""
        finished = self._finished
        if life is not None:
            finished = self._finished_by_life.get(life, finished)
        while finished and finished[0] < now - const.RATE_WINDOW:
            finished.popleft()
        return max(len(finished), 1) / const.RATE_WINDOW
