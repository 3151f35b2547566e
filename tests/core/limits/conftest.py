"""Several limit cores on a virtual clock and a lossy network."""

import dataclasses
import heapq
import itertools
import random
from typing import Any

import pytest

from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core import ids
from dragonflyshelf.core.limits import home_batches  # noqa: F401
from dragonflyshelf.core.limits import messages
from dragonflyshelf.core.limits import policies
from dragonflyshelf.core.limits import static_share  # noqa: F401
from dragonflyshelf.core import settings

LEASE = 1.5
REMOVAL_DELAY = 0.1
RENEWAL = 0.4
TICK = 0.01


@dataclasses.dataclass(kw_only=True)
class Node:
    """One instance of the model."""

    name: ids.InstanceId
    policy: policies.LimitPolicy
    lease_until: float = 0.0
    paused_until: float = 0.0
    cut_until: float = 0.0
    view_at: float = 0.0
    member: bool = True
    incarnation: int = 1


class LimitNetwork:
    """Limit cores, the roster that they see late, and their messages."""

    def __init__(
        self,
        workspace: objects.Workspace,
        instances: int,
        seed: int,
        policy: str = "home_batches",
        loss: float = 0.0,
        late: float = 0.0,
    ) -> None:
        """Create the cores; nothing has happened yet."""
        self.workspace = workspace
        self.random = random.Random(seed)
        self.now = 100.0
        self.loss = loss
        self.late = late
        self.policy = policy
        self.admitted: list[float] = []
        self.refused: list[float] = []
        self.open: set[ids.ExchangeId] = set()
        self.view_delay = 0.05
        self._numbers = itertools.count(1)
        self._starts = itertools.count(1)
        self._queue: list[tuple[float, int, Any]] = []
        self.nodes_by_name = {
            ids.InstanceId(f"i{number}"): self._node(f"i{number}")
            for number in range(instances)
        }
        self.publish()

    def _node(self, name: str) -> Node:
        incarnation = next(self._starts)
        config = settings.Settings(
            instance=settings.InstanceSettings(
                name=ids.InstanceId(name),
                data_centre=ids.DataCentreId("a"),
            )
        )
        created = policies.LIMIT_POLICIES.get(self.policy)(
            config, ids.Incarnation(incarnation * 1_000_000)
        )
        return Node(
            name=ids.InstanceId(name), policy=created, incarnation=incarnation
        )

    def publish(self) -> None:
        """Change the roster; each member sees it after some time."""
        event = messages.LimitsChanged(
            instances=tuple(
                one.name for one in self.nodes_by_name.values() if one.member
            ),
            version=ids.Version(next(self._numbers)),
            workspaces=(self.workspace,),
        )
        for node in self.nodes_by_name.values():
            at = self.now + self.random.random() * self.view_delay
            node.view_at = max(node.view_at, at)
            self._post(node.view_at - self.now, node, event)

    def change(self, workspace: objects.Workspace) -> None:
        """Change the rate and burst."""
        self.workspace = workspace
        self.publish()

    def ask(self, name: ids.InstanceId) -> ids.ExchangeId:
        """Let an instance ask for a token."""
        exchange = ids.ExchangeId(next(self._numbers))
        node = self.nodes_by_name[name]
        if node.paused_until > self.now:
            return exchange
        self.open.add(exchange)
        event = messages.AskToken(exchange=exchange, workspace=self.workspace)
        self._handle(node, event)
        return exchange

    def replace(self, name: ids.InstanceId) -> None:
        """Start an instance anew, after its removal from the roster."""
        self.nodes_by_name[name] = self._node(name)
        self.publish()

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self.now < end - TICK / 2:
            self.now += TICK
            self._tick()

    def _tick(self) -> None:
        for node in list(self.nodes_by_name.values()):
            self._renew(node)
        while self._queue and self._queue[0][0] <= self.now:
            _, _, (node, event) = heapq.heappop(self._queue)
            self._deliver(node, event)
        for node in self.nodes_by_name.values():
            if node.paused_until > self.now:
                continue
            if node.policy.wake_at <= self.now:
                self._handle(node, messages.TimePassed())

    def _renew(self, node: Node) -> None:
        reaches = max(node.paused_until, node.cut_until) <= self.now
        if reaches and node.lease_until - self.now < LEASE - RENEWAL:
            if not node.member:
                self.replace(node.name)
                return
            node.lease_until = self.now + LEASE
            event = messages.LeaseMoved(until=ids.Instant(node.lease_until))
            self._handle(node, event)
        lapsed = self.now > node.lease_until + REMOVAL_DELAY
        if node.member and lapsed:
            node.member = False
            self.publish()

    def _deliver(self, node: Node, event: messages.Event) -> None:
        if self.nodes_by_name[node.name] is not node:
            return
        stopped = node.paused_until
        if not isinstance(event, messages.LimitReceived):
            stopped = max(stopped, node.cut_until)
        if stopped > self.now:
            self._post(stopped - self.now, node, event)
            return
        self._handle(node, event)

    def _handle(self, node: Node, event: messages.Event) -> None:
        for effect in node.policy.handle(event, ids.Instant(self.now)):
            if isinstance(effect, messages.SendLimit):
                self._send(node, effect)
            elif isinstance(effect, messages.TokenGranted):
                self.open.remove(effect.exchange)
                assert self.now < node.lease_until
                self.admitted.append(self.now)
            else:
                self.open.remove(effect.exchange)
                self.refused.append(self.now)

    def _send(self, node: Node, effect: messages.SendLimit) -> None:
        target = self.nodes_by_name[effect.instance]
        if max(node.cut_until, target.cut_until) > self.now:
            return
        copies = 2 if self.random.random() < self.loss / 4 else 1
        for _ in range(copies):
            if self.random.random() < self.loss:
                continue
            delay = 0.001
            if self.random.random() < self.late:
                delay = self.random.random() * 3.0
            event = messages.LimitReceived(
                sender=node.name, message=effect.message
            )
            self._post(delay, target, event)

    def _post(self, delay: float, node: Node, event: Any) -> None:
        entry = (self.now + delay, next(self._numbers), (node, event))
        heapq.heappush(self._queue, entry)

    def over_admitted(self, rate: float, burst: float) -> float:
        """Return by how much any window was over rate and burst."""
        tokens = burst
        last = 0.0
        worst = 0.0
        for at in self.admitted:
            tokens = min(burst, tokens + (at - last) * rate) - 1
            last = at
            worst = max(worst, -tokens)
        return worst


@pytest.fixture
def workspace() -> objects.Workspace:
    """Return a workspace with a middling rate."""
    return objects.Workspace(name=ids.WorkspaceId("w"), rate=200.0, burst=50.0)
