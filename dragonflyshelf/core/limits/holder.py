"""The tokens of one workspace that an instance has borrowed.

A batch may be spent until its life is over, counted from when it was
asked for; so it ends here before it ends at the home that lent it.
"""

import collections
import dataclasses
import math
from typing import Final

from dragonflyshelf.core import ids
from dragonflyshelf.core import invariants
from dragonflyshelf.core.limits import messages
from dragonflyshelf.core import settings

NEVER: Final = ids.Instant(float("inf"))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HomeId:
    """An instance and the claim by which it lends."""

    instance: ids.InstanceId
    claim: ids.ClaimId


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Batch:
    """Tokens of one answer of the home."""

    number: int
    tokens: int
    left: int
    until: ids.Instant
    home: HomeId


@dataclasses.dataclass(kw_only=True, slots=True)
class Waiting:
    """An exchange that waits for a token since an instant."""

    exchange: ids.ExchangeId
    since: ids.Instant


class Holder:
    """Spends borrowed tokens and knows when to borrow more."""

    def __init__(
        self,
        workspace: ids.WorkspaceId,
        config: settings.LimitSettings,
        incarnation: ids.Incarnation,
    ) -> None:
        """Create a holder without tokens.

        Asks are numbered from the incarnation on, so that no answer to
        an earlier start of the instance counts.
        """
        self.workspace = workspace
        self.home: HomeId | None = None
        self.waiting: collections.deque[Waiting] = collections.deque()
        self.blocked_until = ids.Instant(float("-inf"))
        self._config = config
        self._batches: collections.deque[Batch] = collections.deque()
        self._closed: list[messages.BatchLeft] = []
        self._asks_sent_by_number: dict[int, ids.Instant] = {}
        self._last_ask = int(incarnation)
        self._open_ask = 0
        self._demand = 0.0
        self._demand_at = ids.Instant(0.0)
        self._used_at = ids.Instant(0.0)

    @property
    def left(self) -> int:
        """Return the tokens that are not spent."""
        return sum(one.left for one in self._batches)

    def spend(self, now: ids.Instant) -> Batch | None:
        """Spend one token; return its batch, or None if there is none."""
        self.drop_ended(now)
        if not self._batches:
            return None
        batch = self._batches[0]
        batch.left -= 1
        invariants.check(batch.left >= 0, "batch %s is over", batch.number)
        self._used_at = now
        if batch.left == 0:
            self._close(self._batches.popleft())
        return batch

    def put_back(self, batch: Batch, now: ids.Instant) -> bool:
        """Undo the spending of a token of a batch that is still open."""
        if batch not in self._batches or batch.until <= now:
            return False
        if batch.home != self.home:
            return False
        batch.left += 1
        invariants.check(
            batch.left <= batch.tokens, "batch %s is over-full", batch.number
        )
        return True

    def count_demand(self, now: ids.Instant) -> None:
        """Count one request in the recent demand."""
        self._demand = self._decayed(now) + 1.0 / self._config.demand_window
        self._demand_at = now

    def _decayed(self, now: ids.Instant) -> float:
        age = max(now - self._demand_at, 0.0)
        return self._demand * math.exp(-age / self._config.demand_window)

    def standing(self, now: ids.Instant) -> int:
        """Return the tokens wanted for the requests of the near future."""
        return int(self._decayed(now) * self._config.standing)

    def wants(self, now: ids.Instant) -> bool:
        """Tell whether it is time to borrow."""
        if now < self.blocked_until or self._asks(now):
            return False
        if self.waiting:
            return True
        return 2 * self.left < self.standing(now)

    def _asks(self, now: ids.Instant) -> bool:
        sent = self._asks_sent_by_number.get(self._open_ask)
        return sent is not None and now - sent < self._config.ask_timeout

    def ask(self, now: ids.Instant) -> messages.Borrow:
        """Return a message that borrows from the home."""
        claim = self.home.claim if self.home else ids.ClaimId(0)
        self._last_ask += 1
        self._open_ask = self._last_ask
        oldest = now - self._config.batch_life
        self._asks_sent_by_number = {
            ask: sent
            for ask, sent in self._asks_sent_by_number.items()
            if sent > oldest
        }
        self._asks_sent_by_number[self._last_ask] = now
        return messages.Borrow(
            workspace=self.workspace,
            ask=self._last_ask,
            needed=len(self.waiting),
            standing=max(self.standing(now) - self.left, 0),
            claim=claim,
            closed=self.take_closed(),
        )

    def receive(
        self, home: HomeId, lend: messages.Lend, now: ids.Instant
    ) -> None:
        """Take in what a home lent, if it is the accepted one."""
        if lend.ask == self._open_ask:
            self._open_ask = 0
        sent = self._asks_sent_by_number.pop(lend.ask, None)
        if sent is None or home != self.home:
            return
        if lend.wait > 0:
            shortest = self._config.shortest_block
            self.blocked_until = ids.Instant(now + max(lend.wait, shortest))
        until = ids.Instant(sent + self._config.batch_life)
        if lend.tokens <= 0 or until <= now:
            return
        self._used_at = now
        self._batches.append(
            Batch(
                number=lend.batch,
                tokens=lend.tokens,
                left=lend.tokens,
                until=until,
                home=home,
            )
        )

    def accept(self, home: HomeId) -> None:
        """Take tokens of this home only; those at hand stay."""
        if home == self.home:
            return
        self.home = home
        self._closed = []
        self._asks_sent_by_number = {}
        self._open_ask = 0
        self.blocked_until = ids.Instant(float("-inf"))

    def drop_ended(self, now: ids.Instant) -> None:
        """Forget batches whose life is over."""
        while self._batches and self._batches[0].until <= now:
            self._batches.popleft()

    def drop_all(self) -> None:
        """Forget every batch, as after a lapsed lease."""
        self._batches.clear()
        self._closed = []
        self._asks_sent_by_number = {}
        self._open_ask = 0
        self.home = None

    def close_surplus(self, now: ids.Instant) -> None:
        """Close every batch if none was used for a while."""
        self.drop_ended(now)
        if not self._batches or now < self._idle_at():
            return
        while self._batches:
            self._close(self._batches.popleft())

    def _idle_at(self) -> ids.Instant:
        return ids.Instant(self._used_at + self._config.idle_return)

    def _close(self, batch: Batch) -> None:
        if batch.home == self.home:
            self._closed.append(
                messages.BatchLeft(batch=batch.number, left=batch.left)
            )

    def take_closed(self) -> tuple[messages.BatchLeft, ...]:
        """Return the batches that the home does not know to be closed."""
        closed = tuple(self._closed)
        self._closed = []
        return closed

    def ends_at(self, waiting: Waiting, now: ids.Instant) -> ids.Instant:
        """Return until when an exchange may wait.

        The wait is short once the home has said that tokens lack, and
        longer while its answer is outstanding.
        """
        longest = self._config.longest_wait
        if now < self.blocked_until:
            longest = self._config.longest_block
        return ids.Instant(waiting.since + longest)

    def wake_at(self, now: ids.Instant) -> ids.Instant:
        """Return when time alone changes something."""
        found = NEVER
        if self.waiting:
            found = self.ends_at(self.waiting[0], now)
            if now < self.blocked_until:
                found = min(found, self.blocked_until)
            found = min(found, ids.Instant(now + self._config.ask_timeout))
        if self._batches:
            found = min(found, self._idle_at())
        return found
