"""The home of one workspace's tokens.

What the home has and what holders may still spend never exceeds the
burst, so that no window admits more than rate times its length plus
burst. A batch counts as unspent until its holder closes it or its time
is over by the strictest reading of both clocks.
"""

import dataclasses
import heapq
import math
from typing import Final

from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core import ids
from dragonflyshelf.core import invariants
from dragonflyshelf.core.limits import messages

ROUNDING: Final = 1e-6
SLOWEST_RATE: Final = 1e-9


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LentBatch:
    """Tokens that a holder may spend until an instant."""

    tokens: int
    until: ids.Instant


class Home:
    """Accrues the tokens of one workspace and lends them."""

    def __init__(
        self, workspace: objects.Workspace, held: int, until: ids.Instant
    ) -> None:
        """Create a home without tokens.

        Holders may spend ``held`` tokens of earlier homes; the home
        lends for as long as they may, to ``until``.
        """
        self.workspace = workspace
        self.tokens = 0.0
        self.lent = 0
        self._accrued_at: ids.Instant | None = None
        self._last_batch = 0
        self._lent_by_batch: dict[int, LentBatch] = {}
        self._ends: list[tuple[ids.Instant, int]] = []
        if held > 0:
            self._record(held, until)

    def accrue(self, now: ids.Instant) -> None:
        """Earn tokens up to an instant."""
        start = now if self._accrued_at is None else self._accrued_at
        while self._ends and self._ends[0][0] <= now:
            end, batch = heapq.heappop(self._ends)
            if batch not in self._lent_by_batch:
                continue
            self._earn(max(end - start, 0.0))
            start = max(end, start)
            self._forget(batch)
        self._earn(max(now - start, 0.0))
        self._accrued_at = now

    def change(self, workspace: objects.Workspace, now: ids.Instant) -> None:
        """Go over to another rate and burst."""
        self.accrue(now)
        self.workspace = workspace
        self.tokens = min(self.tokens, self._room())

    def lend(
        self,
        needed: int,
        standing: int,
        holders: int,
        until: ids.Instant,
        now: ids.Instant,
    ) -> tuple[int, int]:
        """Return a batch's number and tokens; 0 tokens if there are none.

        Standing tokens come out of an equal share of what remains, so
        that one holder does not strand the tokens of the others.
        """
        self.accrue(now)
        granted = min(needed, int(self.tokens))
        spare = int((self.tokens - granted) / max(holders, 1))
        granted += min(standing, spare)
        if granted <= 0:
            return 0, 0
        self.tokens -= granted
        batch = self._record(granted, until)
        self._check()
        return batch, granted

    def close(
        self, closed: tuple[messages.BatchLeft, ...], now: ids.Instant
    ) -> None:
        """Take back what is left of batches; repeated ones count once."""
        self.accrue(now)
        for one in closed:
            lent = self._lent_by_batch.get(one.batch)
            if lent is None:
                continue
            invariants.check(
                0 <= one.left <= lent.tokens,
                "%s tokens came back of a batch of %s",
                one.left,
                lent.tokens,
            )
            self._forget(one.batch)
            self.tokens = min(self.tokens + one.left, self._room())
        self._check()

    def wait(self, tokens: float = 1.0) -> float:
        """Return the seconds until so many tokens may be there."""
        missing = max(tokens - self.tokens, 0.0)
        return missing / max(self.workspace.rate, SLOWEST_RATE)

    def _room(self) -> float:
        return max(self.workspace.burst - self.lent, 0.0)

    def _earn(self, seconds: float) -> None:
        earned = self.tokens + seconds * self.workspace.rate
        self.tokens = max(min(earned, self._room()), 0.0)

    def _record(self, tokens: int, until: ids.Instant) -> int:
        self._last_batch += 1
        self._lent_by_batch[self._last_batch] = LentBatch(
            tokens=tokens, until=until
        )
        heapq.heappush(self._ends, (until, self._last_batch))
        self.lent += tokens
        return self._last_batch

    def _forget(self, batch: int) -> None:
        self.lent -= self._lent_by_batch.pop(batch).tokens

    def _check(self) -> None:
        invariants.check(self.tokens >= 0, "tokens are %s", self.tokens)
        invariants.check(self.lent >= 0, "lent tokens are %s", self.lent)
        bound = max(math.ceil(self.workspace.burst), self.lent) + ROUNDING
        invariants.check(
            self.tokens + self.lent <= bound,
            "workspace %s has %s tokens and lent %s, over its burst",
            self.workspace.name,
            self.tokens,
            self.lent,
        )
