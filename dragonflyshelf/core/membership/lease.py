"""The lease of this instance, by renewals and by promises."""

import dataclasses
import math

from dragonflyshelf.core import ids
from dragonflyshelf.core import invariants
from dragonflyshelf.core.membership import messages
from dragonflyshelf.core.membership import objects
from dragonflyshelf.core import settings

KEPT_QUESTIONS = 256
KEPT_RENEWALS = 64


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeldPromise:
    """A promise that this instance may rely on until an instant."""

    session: int
    generation: int
    until: ids.Instant


class Lease:
    """Until when this instance may act as a leader.

    Every time is counted from the instant at which the renewal or the
    question was sent, on the clock of this process.
    """

    def __init__(
        self, config: settings.MembershipSettings, own: objects.Member
    ) -> None:
        """Create a lease that is over."""
        self._config = config
        self.own = own
        self.session = 1
        self._renewals: dict[int, ids.Instant] = {}
        self._questions: dict[int, ids.Instant] = {}
        self._question = 0
        self._promises_by_remover: dict[objects.Remover, HeldPromise] = {}
        self.confirmed_at = ids.Instant(-math.inf)
        self.direct_until = ids.Instant(0.0)

    def next_renewal(self, now: ids.Instant) -> objects.Member:
        """Number a renewal that is sent now."""
        self.own = dataclasses.replace(self.own, renewal=self.own.renewal + 1)
        self._renewals[self.own.renewal] = now
        self._renewals.pop(self.own.renewal - KEPT_RENEWALS, None)
        return self.own

    def confirm(self, renewal: int) -> bool:
        """Take in that a renewal is in the platform.

        Return whether the lease became longer; then all promises are
        dropped and a new session begins.
        """
        sent_at = self._renewals.get(renewal)
        if sent_at is None:
            return False
        for number in [one for one in self._renewals if one <= renewal]:
            del self._renewals[number]
        until = ids.Instant(sent_at + self._config.lease)
        invariants.check(
            until >= self.direct_until, "lease ends earlier: %s", until
        )
        self.confirmed_at = sent_at
        self.direct_until = until
        self._promises_by_remover.clear()
        self._questions.clear()
        self.session += 1
        return True

    def ask(self, now: ids.Instant) -> int:
        """Number a question that is sent now."""
        self._question += 1
        self._questions[self._question] = now
        self._questions.pop(self._question - KEPT_QUESTIONS, None)
        return self._question

    def take_promise(self, promise: messages.Promise) -> None:
        """Keep a promise of the present session."""
        asked_at = self._questions.get(promise.question)
        if promise.session != self.session or asked_at is None:
            return
        remover = objects.Remover(
            instance=promise.instance, incarnation=promise.incarnation
        )
        until = ids.Instant(asked_at + self._config.promise)
        held = self._promises_by_remover.get(remover)
        if held is None or held.until < until:
            self._promises_by_remover[remover] = HeldPromise(
                session=promise.session,
                generation=promise.generation,
                until=until,
            )

    def promised_until(self, roster: objects.Roster) -> ids.Instant:
        """Return the end of the earliest of all promises needed."""
        own = objects.remover_of(self.own)
        ends = [
            self.promised_by(one, roster.generation)
            for one in roster.removers
            if one != own
        ]
        return min(ends, default=ids.Instant(math.inf))

    def promised_by(
        self, remover: objects.Remover, generation: int
    ) -> ids.Instant:
        """Return the end of a promise; the past if there is none."""
        held = self._promises_by_remover.get(remover)
        if held is None or held.generation != generation:
            return ids.Instant(-math.inf)
        return held.until

    def release(self) -> messages.PromiseRelease:
        """Give up the promises of all sessions before the present one.

        Renewals carry it too, since the message may be lost.
        """
        released = self.session - 1
        self.own = dataclasses.replace(self.own, released=released)
        return messages.PromiseRelease(
            instance=self.own.instance,
            incarnation=self.own.incarnation,
            session=released,
        )

    def restart(self) -> None:
        """Begin again under a new incarnation, without a lease."""
        self.own = dataclasses.replace(
            self.own,
            incarnation=ids.Incarnation(self.own.incarnation + 1),
            renewal=0,
        )
        self.session += 1
        self._renewals.clear()
        self._questions.clear()
        self._promises_by_remover.clear()
        self.direct_until = ids.Instant(0.0)
        self.confirmed_at = ids.Instant(-math.inf)
